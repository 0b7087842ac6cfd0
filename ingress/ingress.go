// Package ingress serves callers over HTTP: completions of models and calls of
// plain services.
//
// # Usage
//
//	s, err := ingress.Listen(ingress.Options{Address: addr, ...})
//	defer s.Close() // waits for the accepted requests first
//
// # Callers' API
//
// POST /v1/completions takes the usual JSON with "model", "prompt",
// "max_tokens" and "stream" and returns JSON, or server-sent events that are
// terminated by [DONE]. Any method on /services/NAME/PATH calls PATH of a
// service.
//
// Authorization: Bearer KEY identifies the customer. X-Timeout-Ms requests a
// shorter deadline. X-Request-Class: urgent puts a request ahead of the other
// requests of its own customer. Every response to a request that passed
// validation carries X-Request-Id.
//
// A call that must not be repeated runs at most once in the whole fleet if it
// carries an Idempotency-Key, whichever routers receive it and however often:
// a second call with the same key gets the response of the first
// (X-Replayed: true), or an error that says that its outcome is unknown.
// Without a key, this router sends the call at most once.
//
// An error response is {"error": {...}} with a code, a message, the invalid
// field and the outcome: not_run or unknown. Retry-After is set if a later
// retry may succeed.
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

	"zinccove.example/zinccove/accept"
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

// Limits bound the resources that callers can use.
type Limits struct {
	// BodyBytes and HeaderBytes are the maximum sizes of a body and a header.
	BodyBytes   int
	HeaderBytes int
	Connections int
	// RequestTimeout is the maximum duration of a request.
	RequestTimeout time.Duration
	// WriteTimeout is the maximum time that a write to a caller may block.
	WriteTimeout time.Duration
	// StopTimeout is the maximum time that Close waits for running requests.
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
	// Quarantine lists the requests that terminate their targets.
	Quarantine *quarantine.List
	Metrics    *metric.Metrics
	// NewID returns an id that is unique in the fleet.
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
	// incarnations identifies targets that terminated, for the quarantine.
	incarnations incarnations
	group        errgroup.Group
	stopping     atomic.Bool
	// accepted is the number of accepted requests that have not ended.
	accepted atomic.Int64
}

// Internal limits and intervals. They are not part of the callers' API.
const (
	idleTimeout             = 75 * time.Second
	readTimeout             = 30 * time.Second
	disconnectCheckInterval = 100 * time.Millisecond
	retryRatio              = 0.1
	retryBurst              = 50
	maxAttempts             = 4
	idleCloseTimeout        = time.Second
	drainCheckInterval      = 10 * time.Millisecond
)

// Listen starts a server. Port 0 selects a free port.
func Listen(o Options) (*Server, error) {
	l, err := net.Listen("tcp", o.Address.String())
	if err != nil {
		return nil, errs.Wrap(err, "listen for callers", o.Address.String())
	}
	s := &Server{
		options:  o,
		listener: l,
		watcher:  hangup.New(disconnectCheckInterval, o.Clock),
		retries:  request.NewBudget(retryRatio, retryBurst),
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          writeHTTPError,
		Concurrency:           o.Limits.Connections,
		ReadBufferSize:        o.Limits.HeaderBytes,
		MaxRequestBodySize:    o.Limits.BodyBytes,
		StreamRequestBody:     true,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	s.group.Go(s.serve)
	return s, nil
}

// discardLogger discards the lines that fasthttp would log for each broken connection.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Address returns the address the server listens on.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the server gracefully: it accepts no new connections, waits for
// every accepted request to end and then closes the connections. It returns an
// error if requests are still running after the stop timeout.
func (s *Server) Close() error {
	s.stopping.Store(true)
	err := s.listener.Close()
	if derr := s.drain(); err == nil {
		err = derr
	}
	ctx, cancel := context.WithTimeout(context.Background(), idleCloseTimeout)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx) // idle connections may outlast the timeout
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
		s.options.Clock.Sleep(drainCheckInterval)
	}
	return nil
}

var errStillRunning = eris.New("requests still running after the stop timeout")

// serve accepts connections until the listener is closed.
func (s *Server) serve() error {
	err := s.http.Serve(&accept.Listener{Listener: s.listener, Clock: s.options.Clock})
	if eris.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// writeHTTPError responds to requests that are not HTTP or exceed a limit.
func writeHTTPError(ctx *fasthttp.RequestCtx, err error) {
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
		r.RetryAfter = defaultRetryDelay
		s.writeRefusal(ctx, r)
		return
	}
	key, _ := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	customer := snap.Customer([]byte(key))
	if customer == nil {
		s.options.Metrics.Inc(metric.WrongKeys)
		s.writeRefusal(ctx, refuse(CodeWrongKey, "the API key is unknown"))
		return
	}
	s.options.Metrics.Inc(metric.RequestsReceived)
	body, r := s.readBody(ctx)
	if r != nil {
		s.writeRefusal(ctx, r)
		ctx.SetConnectionClose()
		return
	}
	s.accepted.Add(1)
	s.route(ctx, body, snap, customer)
}

// discardFactor is how many times the maximum body size is read and discarded,
// so that a caller that sends too much can still read the response.
const discardFactor = 16

// readBody returns the complete body, or a refusal if the body exceeds the
// limit.
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

// route serves an authenticated request. The code that ends the request
// decrements s.accepted.
func (s *Server) route(ctx *fasthttp.RequestCtx, body []byte, snap *confsync.Snapshot, customer *config.Customer) {
	path := string(ctx.Path())
	switch {
	case path == pathCompletions && ctx.IsPost():
		s.complete(ctx, body, snap, customer)
	case strings.HasPrefix(path, pathServices):
		s.call(ctx, body, snap, customer, path[len(pathServices):])
		s.accepted.Add(-1)
	default:
		s.writeRefusal(ctx, refuse(CodeUnknownPath, "use POST "+pathCompletions+" or "+pathServices+"NAME/PATH"))
		s.accepted.Add(-1)
	}
}

// writeRefusal responds with a refusal and counts it.
func (s *Server) writeRefusal(ctx *fasthttp.RequestCtx, r *Refusal) {
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

// newFlow returns the flow of a new request.
func (s *Server) newFlow(ctx *fasthttp.RequestCtx, body []byte, customer *config.Customer, pool uint32, repeatable bool) (*flow, *Refusal) {
	now := s.options.Clock.Now()
	deadline, r := s.deadline(ctx, now)
	if r != nil {
		return nil, r
	}
	s.retries.Deposit()
	f := &flow{
		server:     s,
		deadline:   deadline,
		accepted:   now,
		conn:       ctx.Conn(),
		callerDone: make(chan struct{}),
		// Method and URI are copied because prepareCall rewrites the request for the target.
		content: quarantine.Content{
			Customer: customer.Name, Method: bytes.Clone(ctx.Method()), URI: bytes.Clone(ctx.RequestURI()), Body: body,
		},
		submission: dispatch.Request{Pool: pool, Customer: fair.Customer(customer.Number), Class: class(ctx), Deadline: deadline},
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

// deadline returns the deadline that the caller requests, bounded by the
// limit.
func (s *Server) deadline(ctx *fasthttp.RequestCtx, now time.Time) (time.Time, *Refusal) {
	limit := s.options.Limits.RequestTimeout
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
