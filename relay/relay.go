// Package relay serves callers by passing their requests on to targets.
//
// The route of a request follows from its host and path; method, path, query
// and body reach the target unchanged. Answers are passed on only when they
// are the target's whole answer to that very request. Streams are passed on
// event by event, and a stream that breaks is cut, so that it cannot look
// complete.
//
// # Life of a request
//
//	fasthttp reads it            handle (relay.go)
//	route, key, deadline         admit (admit.go)
//	refusal of streams           throttle (throttle.go), by lag and slow connections
//	targets ended under it       suspect (suspect.go), quarantine.List
//	target, or refusal           place.Placer
//	connection                   dial (connect.go), link.Pool
//	send, read the answer's head attempt (attempt.go)
//	another target, if allowed   next, nextAfterAnswer (flight.go)
//	answer or events             passWhole, passStream (answer.go, stream.go)
//	caller gone, time is up      look (look.go), which ends the attempt and
//	                             measures the lag
//	one log line for each step   log.go
//
// # Usage
//
//	s, err := relay.Listen(relay.Options{Address: addr, ...})
//	defer s.Close() // the planned stop
package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/link"
	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/request"
	"zinccove.example/zinccove/rollout"
	"zinccove.example/zinccove/route"
)

// View is the routing table in force.
type View struct {
	// Table is nil until one is known.
	Table *route.Table
	// Fresh tells that no newer table can have been accepted some seconds ago,
	// so that what the table lacks does not exist.
	Fresh bool
	// TargetsAge is the time since the store answered about the targets.
	TargetsAge time.Duration
}

// Options configure a server. All but Ask and Rollouts are required.
type Options struct {
	Address netip.AddrPort
	Clock   clockwork.Clock
	Log     zerolog.Logger
	Metrics *metric.Metrics
	Codec   message.Codec
	View    func() View
	Placer  *place.Placer
	Links   *link.Pool
	// Query asks the routers that answer for targets; it waits some milliseconds at most.
	// Nil asks none.
	Query   func([]place.Query) []place.Reply
	Retries *request.Budget
	// Quarantine knows the requests that end their targets.
	Quarantine *quarantine.List
	// Rollouts are the services that move to new versions; nil are none. OnVersionFailure is called
	// when an answer spoke against a new version.
	Rollouts         *rollout.Set
	OnVersionFailure func()
	Limits           Limits
}

// Limits bound what callers can take.
type Limits struct {
	BodyBytes   int
	HeaderBytes int
	Connections int
	// Memory is that of the process in bytes; 0 leaves it open.
	Memory int64
	// WriteTimeout is how long a caller may take no bytes of its answer; 0 leaves it open.
	WriteTimeout time.Duration
	// StopDelay is how long a planned stop goes on accepting all requests, until
	// the balancer has noticed. Later ones are refused if they may not end in time.
	StopDelay time.Duration
	// QuietPeriod is the time without a new request after which a planned stop expects
	// no more.
	QuietPeriod time.Duration
	// StopTimeout is the longest time of a planned stop.
	StopTimeout time.Duration
}

// Server serves callers until Close. It is safe for concurrent use.
type Server struct {
	options  Options
	listener net.Listener
	http     *fasthttp.Server
	group    errgroup.Group
	// stopped is when the planned stop began, nil before.
	stopped atomic.Pointer[time.Time]
	stop    chan struct{}
	pace    pace
	lag     lag
	// connects are the latest new connections to targets.
	connects connects
	large    *largeBodies
	strain   strain
	throttle throttle

	mu      sync.Mutex
	flights map[*flight]struct{}
	// last is when the last admitted request arrived.
	last time.Time
}

const (
	// readTimeout bounds receiving a request; callers send theirs in one go.
	readTimeout = 15 * time.Second
	// idleTimeout is how long callers' connections may rest. It is longer than
	// any limit of a table, so that no caller sends into a connection that is
	// being closed.
	idleTimeout = 75 * time.Second
)

// Listen starts to serve.
func Listen(o Options) (*Server, error) {
	// Callers that vanish are noticed by the time limits of their requests. Probes would
	// cost four calls of the kernel for each connection, and a flood is a connection for
	// each request.
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", o.Address.String())
	if err != nil {
		return nil, errs.Wrap(err, "listen for callers", o.Address.String())
	}
	s := &Server{options: o, listener: l, stop: make(chan struct{}), flights: make(map[*flight]struct{}), lag: lag{clock: o.Clock}, connects: connects{clock: o.Clock}, strain: strain{clock: o.Clock}, large: newLargeBodies(o.Limits.Memory, o.Limits.BodyBytes)}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		Concurrency:                  connections(o.Limits.Connections, o.Limits.Memory),
		ReadBufferSize:               o.Limits.HeaderBytes,
		StreamRequestBody:            true,
		MaxRequestBodySize:           usualBody,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		Logger:                       silent{},
	}
	s.group.Go(s.serve)
	s.group.Go(s.look)
	return s, nil
}

// silent drops the lines that fasthttp would log for each broken connection.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// serve accepts callers until the listener is closed.
func (s *Server) serve() error {
	err := s.http.Serve(s.listener)
	if errs.Is(err, net.ErrClosed) {
		return nil
	}
	return errs.Wrap(err, "serve callers", s.listener.Addr().String())
}

// Address returns the address the server listens on.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.stopped.Load() != nil {
		ctx.SetConnectionClose()
	}
	f, r := s.admit(ctx)
	if r != nil {
		s.logRefused(f, r)
		r.write(ctx)
		return
	}
	s.enter(f)
	if err := f.readBody(ctx); err != nil {
		f.refuseBody(ctx, err)
		return
	}
	f.serve(ctx)
}

// enter counts a request as running until leave.
func (s *Server) enter(f *flight) {
	s.options.Metrics.Inc(metric.RequestsReceived)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flights[f] = struct{}{}
	s.last = f.received
}

func (s *Server) leave(f *flight) {
	s.options.Metrics.Observe(metric.RequestTime, s.options.Clock.Since(f.received))
	s.large.kept.Add(-f.reserved)
	f.started()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flights, f)
}

// Running returns the number of requests that are not answered yet.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.flights)
}

// Close makes the planned stop: callers are still served until the balancer
// has noticed and nothing runs any more, at most for the stop limit. Answers
// ask the callers to close their connections.
func (s *Server) Close() error {
	now := s.options.Clock.Now()
	if !s.stopped.CompareAndSwap(nil, &now) {
		return errs.Wrap(s.group.Wait(), "stop serving callers", "")
	}
	s.drain(now)
	close(s.stop)
	for _, f := range s.running() {
		f.interrupt(stopped)
	}
	err := s.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeIdle)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx) // idle callers may outlast it
	if gerr := s.group.Wait(); err == nil {
		err = gerr
	}
	return errs.Wrap(err, "stop serving callers", "")
}

const (
	// closeIdle bounds closing the callers' idle connections.
	closeIdle = 100 * time.Millisecond
	// drainPeriod is the time between looks at what still runs.
	drainPeriod = 20 * time.Millisecond
)

// drain waits until nothing runs and nothing more is expected, or until the
// stop limit.
func (s *Server) drain(began time.Time) {
	clock := s.options.Clock
	for {
		clock.Sleep(drainPeriod)
		now := clock.Now()
		if now.Sub(began) >= s.options.Limits.StopTimeout {
			s.options.Log.Warn().Int("running", s.Running()).Msg("stop limit reached, cutting the requests that still run")
			return
		}
		if now.Sub(began) >= s.options.Limits.StopDelay+s.options.Limits.QuietPeriod && s.resting(now) {
			return
		}
	}
}

// resting reports whether nothing runs and nothing arrived lately.
func (s *Server) resting(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.flights) == 0 && now.Sub(s.last) >= s.options.Limits.QuietPeriod
}
