// Package relay serves callers by passing their requests on to targets.
//
// The route of a request follows from its host and path. Method, path, query and body reach the
// target unchanged. A response is passed on only if it is the target's complete response to
// that very request. Streams are passed on event by event, and the caller's connection is cut
// if a stream breaks, so that the stream cannot look complete.
//
// # Life of a request
//
//	fasthttp reads it             callers.go, within the limits of the configuration
//	its body is read              handle (relay.go), readBody (memory.go)
//	route, key, deadline          admit (admit.go)
//	refusal of streams            throttle (throttle.go), by lag and slow connections
//	origin of a resumed stream    resumeAtOrigin (origin.go)
//	content that crashes targets  suspect (suspect.go), quarantine.List
//	target, or refusal            place.Placer
//	connection                    dial (connect.go), link.Pool
//	send, read the response head  attempt (attempt.go), sending.go, package head
//	another target, if allowed    retryAfterFailure, retryAfterErrorResponse (flight.go)
//	response or events            writeResponse, writeStream (response.go, stream.go)
//	order of events               sequence (sequence.go)
//	end of a response without     confirmEnd (unframed.go), witness (witness.go)
//	length or chunks
//	caller closed, timeout        monitor (monitor.go), which ends the attempt and
//	                              measures the lag
//	one log line for each step    log.go
//
// # Usage
//
//	s, err := relay.Listen(relay.Options{Address: addr, ...})
//	defer s.Close() // graceful shutdown
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
	"zinccove.example/zinccove/processor"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/request"
	"zinccove.example/zinccove/rollout"
	"zinccove.example/zinccove/route"
)

// View is the routing table in force.
type View struct {
	// Table is nil until a table is known.
	Table *route.Table
	// Fresh reports that no newer table can have been accepted some seconds ago. What a fresh
	// table lacks does not exist.
	Fresh bool
	// TargetsAge is the time since the store last responded to a read of the targets.
	TargetsAge time.Duration
}

// Options configure a server. All but Query, Rollouts, Offload, Waits and Processor are required.
type Options struct {
	Address netip.AddrPort
	Clock   clockwork.Clock
	// Log is for lines about the router, RequestLog for those about single requests, whose number
	// may be limited.
	Log        zerolog.Logger
	RequestLog zerolog.Logger
	Metrics    *metric.Metrics
	Codec      message.Codec
	View       func() View
	Placer     *place.Placer
	Links      *link.Pool
	// Query sends queries to the routers that own targets and waits for their replies for some
	// milliseconds at most. If it is nil, no queries are sent.
	Query   func([]place.Query) []place.Reply
	Origins Origins
	Retries *request.Budget
	// Quarantine holds the requests whose content ends the targets that run them.
	Quarantine *quarantine.List
	// Rollouts are the services that are moved to new versions; nil means none.
	// OnVersionFailure is called when a response or a failure counts against a new version.
	Rollouts         *rollout.Set
	OnVersionFailure func()
	// Offload hands streams over to other routers while this one is at its limits.
	Offload Offload
	// Waits lets requests wait for places at targets.
	Waits Waits
	// Processor measures the processor time of this process; nil means that it is not known.
	Processor *processor.Meter
	Limits    Limits
}

// Limits bound the resources that callers can occupy.
type Limits struct {
	// BodyBytes and HeaderBytes are the limits of requests where the configuration has none.
	BodyBytes   int
	HeaderBytes int
	Connections int
	// Memory is the memory limit of the process in bytes; 0 means no limit.
	Memory int64
	// WriteTimeout is how long a caller may read no bytes of its response; 0 means no limit.
	WriteTimeout time.Duration
	// PassWithin is the time within which an event has to be passed on after its target made it;
	// 0 means that there is no such time.
	PassWithin time.Duration
	// StopDelay is how long a graceful shutdown continues to accept all requests, until the
	// balancer has noticed it. Later requests are refused if they may not end in time.
	StopDelay time.Duration
	// QuietPeriod is the time without a new request after which a graceful shutdown expects no
	// more requests.
	QuietPeriod time.Duration
	// StopTimeout is the longest duration of a graceful shutdown.
	StopTimeout time.Duration
}

// Server serves callers until Close. It is safe for concurrent use.
type Server struct {
	options  Options
	listener *net.TCPListener
	// callers is the HTTP server for new connections. limits are those of the configuration in force.
	callers atomic.Pointer[callerServer]
	limits  atomic.Pointer[route.Limits]
	group   errgroup.Group
	// stopped is when the graceful shutdown began, nil before.
	stopped atomic.Pointer[time.Time]
	stop    chan struct{}
	// stopping is closed when the graceful shutdown begins.
	stopping chan struct{}
	// started is when the server began to listen.
	started time.Time
	pace    pace
	lag     lag
	// connectHistory holds the latest new connections to targets.
	connectHistory connectHistory
	large          largeBodies
	unframed       unframedTargets
	overload       overload
	throttle       throttle
	limitSummary   limitSummary
	waiting        waiting
	// handedOver is the number of requests that other routers serve now.
	handedOver atomic.Int64
	// handedOverAt is when a request was last handed over, in nanoseconds since the Unix epoch.
	handedOverAt atomic.Int64

	mu      sync.Mutex
	flights map[*flight]struct{}
	// ended is set once the requests that still run were cut.
	ended bool
	// lastArrival is when the last admitted request arrived.
	lastArrival time.Time
}

// Listen opens the listener and starts to serve.
func Listen(o Options) (*Server, error) {
	// The timeouts of the requests detect callers that vanish, so the listener needs no
	// keep-alive probes. Probes would cost four system calls for each connection, and a flood
	// opens a connection for each request.
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", o.Address.String())
	if err != nil {
		return nil, errs.Wrap(err, "listen for callers", o.Address.String())
	}
	s := &Server{options: o, listener: l.(*net.TCPListener), started: o.Clock.Now(), stop: make(chan struct{}), stopping: make(chan struct{}), flights: make(map[*flight]struct{}), lag: lag{clock: o.Clock}, connectHistory: newConnectHistory(o.Clock), overload: overload{clock: o.Clock}}
	s.limits.Store(new(route.Limits))
	s.large.allow(o.Limits.Memory, o.Limits.BodyBytes, 0)
	s.callers.Store(s.newCallerServer(o.Limits.HeaderBytes))
	s.group.Go(s.serve)
	s.group.Go(s.monitor)
	return s, nil
}

// discardLogger drops the lines that fasthttp would log for each broken connection.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Address returns the address the server listens on.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer s.closeWhileStopping(ctx)
	f, r := s.admit(ctx)
	if r != nil {
		s.logRefused(f, r)
		f.writeRefusal(ctx, r)
		return
	}
	s.register(f)
	if err := f.readBody(ctx); err != nil {
		f.refuseBody(ctx, err)
		return
	}
	if len(f.offloadTo) > 0 {
		if f.mayBeHandedOver() && f.handOver(ctx) {
			return
		}
		if r := f.keep(); r != nil {
			f.refuse(ctx, r)
			return
		}
	}
	f.deposit()
	if r := f.resumeAtOrigin(); r != nil {
		f.refuse(ctx, r)
		return
	}
	f.serve(ctx)
}

// closeWhileStopping asks the caller to send no further request on its connection if this server stops
// or has replaced the one that serves the connection.
func (s *Server) closeWhileStopping(ctx *fasthttp.RequestCtx) {
	if s.stopped.Load() != nil || s.retired(ctx.Conn()) {
		ctx.SetConnectionClose()
	}
}

// register counts a request as running until unregister.
func (s *Server) register(f *flight) {
	s.options.Metrics.Inc(metric.RequestsReceived)
	if !s.add(f) {
		f.interrupt(causeStopped)
	}
}

// add reports whether the server still serves requests.
func (s *Server) add(f *flight) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flights[f] = struct{}{}
	s.lastArrival = f.received
	return !s.ended
}

// cut ends the requests that run, and those that still arrive.
func (s *Server) cut() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	for _, f := range s.inFlight() {
		f.interrupt(causeStopped)
	}
}

func (s *Server) unregister(f *flight) {
	s.options.Metrics.Observe(metric.RequestTime, s.options.Clock.Since(f.received))
	s.large.reserved.Add(-f.reserved)
	f.markDispatched()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flights, f)
}

// Running returns the number of requests that have no complete response yet.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.flights)
}

// Close shuts the server down gracefully: it serves callers until the balancer has noticed and
// no request runs any more, for StopTimeout at most. Responses ask the callers to close their
// connections.
func (s *Server) Close() error {
	now := s.options.Clock.Now()
	if !s.stopped.CompareAndSwap(nil, &now) {
		return errs.Wrap(s.group.Wait(), "stop serving callers", "")
	}
	close(s.stopping)
	s.drain(now)
	close(s.stop)
	s.cut()
	err := s.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = s.callers.Load().ShutdownWithContext(ctx) // connections without a request may outlast the timeout
	s.awaitRequests(ctx)
	if gerr := s.group.Wait(); err == nil {
		err = gerr
	}
	return errs.Wrap(err, "stop serving callers", "")
}

// awaitRequests waits until no request runs. Fasthttp does not wait for those that were handed over.
func (s *Server) awaitRequests(ctx context.Context) {
	for s.Running() > 0 && ctx.Err() == nil {
		s.options.Clock.Sleep(drainCheckInterval)
	}
}

const (
	// closeTimeout bounds writing the responses of the requests that were cut and closing the callers'
	// connections.
	closeTimeout = 500 * time.Millisecond
	// drainCheckInterval is the time between checks for running requests during a shutdown.
	drainCheckInterval = 20 * time.Millisecond
)

// drain waits until no request runs and no more are expected, or until StopTimeout.
func (s *Server) drain(began time.Time) {
	clock := s.options.Clock
	for {
		clock.Sleep(drainCheckInterval)
		now := clock.Now()
		if now.Sub(began) >= s.options.Limits.StopTimeout {
			s.options.Log.Warn().Int("running", s.Running()).Msg("stop timeout reached; cutting the requests that still run")
			return
		}
		if now.Sub(began) >= s.options.Limits.StopDelay+s.options.Limits.QuietPeriod && s.idle(now) {
			return
		}
	}
}

// idle reports whether no request runs and none has arrived within the quiet period.
func (s *Server) idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.flights) == 0 && now.Sub(s.lastArrival) >= s.options.Limits.QuietPeriod
}
