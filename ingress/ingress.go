// Package ingress serves callers over HTTP: completions of models and calls of
// plain services.
//
// # Usage
//
//	s, err := ingress.Listen(ingress.Options{Address: addr, ...})
//	defer s.Close() // ends all accepted requests first
//
// # Callers' API
//
// POST /v1/completions takes the usual JSON with "model", "prompt",
// "max_tokens" and "stream" and answers JSON, or server-sent events whose end
// mark is [DONE]. Any method on /services/NAME/PATH calls PATH of a service.
//
// Authorization: Bearer KEY names the customer. X-Timeout-Ms asks for a
// shorter deadline. X-Request-Class: urgent puts a request first among those
// of its own customer. Every answer carries X-Request-Id.
//
// A call that may not be repeated runs at most once in the whole fleet if it
// carries an Idempotency-Key, whichever routers receive it and however often:
// a second call with the key gets the answer of the first (X-Replayed: true),
// or learns that its outcome is not known. Without a key this router sends it
// at most once.
//
// An answer that is an error is {"error": {...}} with a code, a message, the
// field that is wrong, and the outcome: not_run or unknown. Retry-After tells
// when coming back may help.
package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"zinccove.example/zinccove/claim"
	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/confsync"
	"zinccove.example/zinccove/dispatch"
	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/fair"
	"zinccove.example/zinccove/hangup"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/request"
	"zinccove.example/zinccove/target"
)

// Headers of the callers' API.
const (
	headerRequestID = "X-Request-Id"
	headerTimeout   = "X-Timeout-Ms"
	headerClass     = "X-Request-Class"
	headerKey       = "Idempotency-Key"
	headerReplayed  = "X-Replayed"
	classUrgent     = "urgent"
)

// Limits bound what callers can take.
type Limits struct {
	// BodyBytes and HeaderBytes are the largest body and header.
	BodyBytes   int
	HeaderBytes int
	Connections int
	// Timeout is the longest time of a request.
	Timeout time.Duration
	// Write is the longest time that a caller may take no bytes.
	Write time.Duration
	// StopTimeout is the longest time that Close waits for requests.
	StopTimeout time.Duration
}

// Options configure a server. All are required.
type Options struct {
	Address    netip.AddrPort
	Clock      clockwork.Clock
	Limits     Limits
	Syncer     *confsync.Syncer
	Dispatcher *dispatch.Dispatcher
	Claims     *claim.Store
	Clients    *target.Clients
	// Quarantine knows the requests that end their targets.
	Quarantine *quarantine.List
	Metrics    *metric.Metrics
	// NewID returns an id that no other request of the fleet has.
	NewID func() string
}

// Server serves callers until Close. It is safe for concurrent use.
type Server struct {
	options  Options
	listener net.Listener
	http     *fasthttp.Server
	watcher  *hangup.Watcher
	retries  *request.Budget
	input    inputEstimate
	group    errgroup.Group
	stopping atomic.Bool
	// accepted is the number of requests that are not answered yet.
	accepted atomic.Int64
}

// Bounds that callers do not notice.
const (
	idleTimeout   = 75 * time.Second
	readTimeout   = 30 * time.Second
	lookPeriod    = 100 * time.Millisecond
	retryRatio    = 0.1
	retryBurst    = 50
	maxAttempts   = 4
	closeIdleTime = time.Second
	drainPeriod   = 10 * time.Millisecond
)

// Listen starts to serve. The port 0 picks a free port.
func Listen(o Options) (*Server, error) {
	l, err := net.Listen("tcp", o.Address.String())
	if err != nil {
		return nil, errs.Wrap(err, "listen for callers", o.Address.String())
	}
	s := &Server{
		options:  o,
		listener: l,
		watcher:  hangup.New(lookPeriod, o.Clock),
		retries:  request.NewBudget(retryRatio, retryBurst),
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          badHTTP,
		Concurrency:           o.Limits.Connections,
		ReadBufferSize:        o.Limits.HeaderBytes,
		MaxRequestBodySize:    o.Limits.BodyBytes,
		StreamRequestBody:     true,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                silent{},
	}
	s.group.Go(s.serve)
	return s, nil
}

// silent drops the lines that fasthttp would log for each broken connection.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// Address returns the address the server listens on.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close makes the planned stop: no new connections, every accepted request
// ends, then the connections are closed. The error says that requests were
// still running after the stop timeout.
func (s *Server) Close() error {
	s.stopping.Store(true)
	err := s.listener.Close()
	if derr := s.drain(); err == nil {
		err = derr
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeIdleTime)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx) // idle callers may outlast it
	s.watcher.Close()
	if gerr := s.group.Wait(); err == nil {
		err = gerr
	}
	return errs.Wrap(err, "stop serving callers", "")
}

// drain waits until every accepted request has ended.
func (s *Server) drain() error {
	deadline := s.options.Clock.Now().Add(s.options.Limits.StopTimeout)
	for s.accepted.Load() > 0 {
		if s.options.Clock.Now().After(deadline) {
			return errStillRunning
		}
		s.options.Clock.Sleep(drainPeriod)
	}
	return nil
}

var errStillRunning = eris.New("requests still running after the stop timeout")

// serve accepts callers until the listener is closed.
func (s *Server) serve() error {
	err := s.http.Serve(s.listener)
	if eris.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// badHTTP answers requests that are not HTTP or exceed a bound.
func badHTTP(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case eris.As(err, &small):
		r := refuse(CodeTooLarge, "the header exceeds the limit")
		r.Field = "header"
		r.write(ctx)
	default:
		refuse(CodeBadRequest, "the request is not valid HTTP").write(ctx)
	}
}

// Paths of the callers' API.
const (
	pathCompletions = "/v1/completions"
	pathServices    = "/services/"
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.stopping.Load() {
		ctx.SetConnectionClose()
	}
	snap := s.options.Syncer.Current()
	if snap == nil {
		r := refuse(CodeNoConfig, "this router has no configuration yet")
		r.RetryAfter = defaultRetry
		s.end(ctx, r)
		return
	}
	key, _ := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	customer := snap.Customer([]byte(key))
	if customer == nil {
		s.options.Metrics.Inc(metric.WrongKeys)
		s.end(ctx, refuse(CodeWrongKey, "the API key is unknown"))
		return
	}
	s.options.Metrics.Inc(metric.RequestsReceived)
	body, r := s.readBody(ctx)
	if r != nil {
		s.end(ctx, r)
		ctx.SetConnectionClose()
		return
	}
	s.accepted.Add(1)
	s.route(ctx, body, snap, customer)
}

// discardFactor is how many times the largest body is read and thrown away,
// so that a caller who sends too much can read the answer.
const discardFactor = 16

// readBody returns the whole body, or a refusal if it exceeds the limit.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) ([]byte, *Refusal) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return ctx.PostBody(), nil
	}
	limit := s.options.Limits.BodyBytes
	body, err := io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	if err != nil {
		return nil, badField("body", "could not be read")
	}
	if len(body) <= limit {
		return body, nil
	}
	io.CopyN(io.Discard, stream, int64(limit)*discardFactor) //nolint:errcheck // the request is refused anyway
	r := refuse(CodeTooLarge, "the body exceeds the limit")
	r.Field = "body"
	return nil, r
}

// route serves an authenticated request. Whoever ends the request calls
// s.accepted.Done.
func (s *Server) route(ctx *fasthttp.RequestCtx, body []byte, snap *confsync.Snapshot, customer *config.Customer) {
	path := string(ctx.Path())
	switch {
	case path == pathCompletions && ctx.IsPost():
		s.complete(ctx, body, snap, customer)
	case strings.HasPrefix(path, pathServices):
		s.call(ctx, body, snap, customer, path[len(pathServices):])
		s.accepted.Add(-1)
	default:
		s.end(ctx, refuse(CodeUnknownPath, "use POST "+pathCompletions+" or "+pathServices+"NAME/PATH"))
		s.accepted.Add(-1)
	}
}

// end answers with a refusal and counts it.
func (s *Server) end(ctx *fasthttp.RequestCtx, r *Refusal) {
	s.countRefusal(r)
	r.write(ctx)
	if s.stopping.Load() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) countRefusal(r *Refusal) {
	if r.Outcome == request.Unknown {
		s.options.Metrics.Inc(metric.RequestsUnknown)
	} else {
		s.options.Metrics.Inc(metric.RequestsNotRun)
	}
	if r.Code == CodeQueueFull || r.Code == CodeNoTarget || r.Code == CodeBackingOff {
		s.options.Metrics.Inc(metric.RequestsRefused)
	}
}

// newFlow starts the life cycle of a request.
func (s *Server) newFlow(ctx *fasthttp.RequestCtx, body []byte, customer *config.Customer, pool uint32, repeatable bool) (*flow, *Refusal) {
	now := s.options.Clock.Now()
	deadline, r := s.deadline(ctx, now)
	if r != nil {
		return nil, r
	}
	s.retries.Deposit()
	f := &flow{
		server:   s,
		deadline: deadline,
		accepted: now,
		conn:     ctx.Conn(),
		ended:    make(chan struct{}),
		// The header is made one for the target before it is sent.
		asks: quarantine.Content{
			Customer: customer.Name, Method: bytes.Clone(ctx.Method()), URI: bytes.Clone(ctx.RequestURI()), Body: body,
		},
		submit: dispatch.Request{Pool: pool, Customer: fair.Customer(customer.Number), Class: class(ctx), Deadline: deadline},
		request: request.New(request.Options{
			ID: s.options.NewID(), Repeatable: repeatable, Deadline: deadline, MaxAttempts: maxAttempts,
		}),
	}
	return f, nil
}

func class(ctx *fasthttp.RequestCtx) fair.Class {
	if string(ctx.Request.Header.Peek(headerClass)) == classUrgent {
		return fair.Urgent
	}
	return fair.Normal
}

// deadline returns the deadline that the caller asks for, at most the limit.
func (s *Server) deadline(ctx *fasthttp.RequestCtx, now time.Time) (time.Time, *Refusal) {
	limit := s.options.Limits.Timeout
	text := string(ctx.Request.Header.Peek(headerTimeout))
	if text == "" {
		return now.Add(limit), nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 1 {
		r := refuse(CodeBadRequest, "must be a number of milliseconds, at least 1")
		r.Field = headerTimeout
		return time.Time{}, r
	}
	return now.Add(min(time.Duration(ms)*time.Millisecond, limit)), nil
}
