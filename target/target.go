// Package target sends single attempts to engines and services.
//
// An attempt is sent once. Its failure says what is known of it at the target:
// nothing arrived, the target refused it, or it may have run. An answer that
// names another attempt is never handed over; its connection is closed.
//
// # Usage
//
//	clients := target.NewClients(nil)
//	defer clients.Close()
//	s, err := clients.Get(addr).Stream(attempt) // *Failure
//	defer s.Close()
//	for {
//		ev, err := s.Next()                 // *Failure when the stream breaks
//		if err != nil || ev.Kind == target.Done {
//			break
//		}
//	}
//
// # Protocol of engines
//
// POST /v1/completions with the headers X-Request-Id, X-Attempt-Id, X-Priority
// (lowest first) and X-Model-Version answers server-sent events. Each carries the
// attempt's id and either the index and text of a token or the usage; the
// stream is whole only with its end mark [DONE]. "resume_from" in the body is
// the number of tokens already delivered. POST /v1/cancel?attempt=ID ends one.
// 429 and 503 mean that the attempt was refused and did not run; with Retry-After the target
// wants nothing for so long. X-Target-Leaving: 1 in any answer says that the target will end.
package target

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/httpc"
	"zinccove.example/zinccove/notice"
)

// Headers that identify an attempt.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderAttempt  = "X-Attempt-Id"
	HeaderPriority = "X-Priority"
	// HeaderVersion is the version of the model that the attempt is for. An
	// engine that has another one loaded refuses the attempt.
	HeaderVersion = "X-Model-Version"
	// HeaderLeaving is "1" in the answers of a target that will end and wants nothing new.
	HeaderLeaving = "X-Target-Leaving"
)

// Kind is what is known of a failed attempt.
type Kind int

// The kinds of failure.
const (
	// NotSent: no byte reached the target.
	NotSent Kind = iota
	// Refused: the target said that it does not run the attempt.
	Refused
	// Broken: the attempt was sent and no whole answer came back.
	Broken
	// Crossed: the answer was that of another attempt.
	Crossed
	// Rejected: the target found the request itself wrong.
	Rejected
	// Replaced: another run of the target answered, which refuses what was meant
	// for the one before.
	Replaced
)

// NotRun reports whether an attempt that failed so has provably not run.
func (k Kind) NotRun() bool { return k == NotSent || k == Refused || k == Replaced }

// Failure is the error of an attempt.
type Failure struct {
	Kind Kind
	// Status is the target's HTTP status, 0 if there was none.
	Status int
	// Err carries step and peer.
	Err error
}

// connectionEnds are the errors of a connection that the other side ended or reset.
var connectionEnds = []error{
	io.EOF, io.ErrUnexpectedEOF, fasthttp.ErrConnectionClosed, syscall.ECONNRESET, syscall.EPIPE,
}

// Dropped reports whether the connection went down from the target's side while the
// attempt may have been running there, as it does when the target ends. Attempts that
// this router ended and answers that cannot be read are none.
func (f *Failure) Dropped() bool {
	if f.Kind != Broken {
		return false
	}
	return slices.ContainsFunc(connectionEnds, func(end error) bool { return errs.Is(f.Err, end) })
}

// Error returns the step, the peer and the cause.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the wrapped error.
func (f *Failure) Unwrap() error { return f.Err }

// Attempt is one try of one request at one target.
type Attempt struct {
	Request  string
	ID       string
	Priority int64
	// ModelVersion is the version of the model, empty for services.
	ModelVersion string
	// Deadline is on the clock of Go's timers.
	Deadline time.Time
	// Notice takes what the target says of itself in its answer; nil ignores that.
	Notice func(notice.Notice)
}

// Bounds of a client.
const (
	maxConns = 4096 + 64
	// idle is shorter than targets keep connections, so that requests are
	// rarely sent on a connection that the target is closing.
	idle = 5 * time.Second
	// cancelTimeout bounds telling an engine that an attempt is not wanted.
	cancelTimeout = time.Second
)

// Clients holds a client for each target address.
type Clients struct {
	dial httpc.Dial

	mu      sync.Mutex
	clients map[netip.AddrPort]*Client
}

// NewClients returns an empty set. Dial is passed to package httpc; nil is
// plain TCP.
func NewClients(dial httpc.Dial) *Clients {
	return &Clients{dial: dial, clients: make(map[netip.AddrPort]*Client)}
}

// Get returns the client of an address.
func (cs *Clients) Get(addr netip.AddrPort) *Client {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c := cs.clients[addr]
	if c == nil {
		c = &Client{
			peer:   addr.String(),
			whole:  httpc.New(addr, httpc.Limits{Conns: maxConns, Body: maxAnswer, Idle: idle, Dial: cs.dial}),
			stream: httpc.New(addr, httpc.Limits{Conns: maxConns, Stream: true, Idle: idle, Dial: cs.dial}),
		}
		cs.clients[addr] = c
	}
	return c
}

// Close drops all idle connections.
func (cs *Clients) Close() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, c := range cs.clients {
		c.whole.CloseIdleConnections()
		c.stream.CloseIdleConnections()
	}
}

// Client sends attempts to one target. It is safe for concurrent use.
type Client struct {
	peer string
	// whole reads answers to their end, stream hands them over before.
	whole  *fasthttp.HostClient
	stream *fasthttp.HostClient
}

func (c *Client) fail(k Kind, status int, err error, step string) *Failure {
	return &Failure{Kind: k, Status: status, Err: errs.Wrap(err, step, c.peer)}
}

// prepare sets what all attempts have in common.
func (c *Client) prepare(req *fasthttp.Request, a Attempt) {
	req.URI().SetScheme("http")
	req.URI().SetHost(c.peer)
	req.Header.Set(HeaderRequest, a.Request)
	req.Header.Set(HeaderAttempt, a.ID)
	if a.ModelVersion != "" {
		req.Header.Set(HeaderVersion, a.ModelVersion)
	}
}

// send sends a prepared request and checks who the answer is for.
func (c *Client) send(via *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response, a Attempt, step string) *Failure {
	if err := via.DoDeadline(req, resp, a.Deadline); err != nil {
		if httpc.NotSent(err) {
			return c.fail(NotSent, 0, err, step)
		}
		return c.fail(Broken, 0, err, step)
	}
	if a.Notice != nil {
		a.Notice(notice.Notice{Draining: string(resp.Header.Peek(HeaderLeaving)) == "1", Backoff: notice.Backoff(&resp.Header)})
	}
	status := resp.StatusCode()
	if status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable {
		return c.fail(Refused, status, fmt.Errorf("status %d", status), step)
	}
	if status < fasthttp.StatusBadRequest && string(resp.Header.Peek(HeaderAttempt)) != a.ID {
		resp.SetConnectionClose()
		return c.fail(Crossed, status, errOtherAttempt, step)
	}
	return nil
}

// maxAnswer is the largest answer of a service in bytes.
const maxAnswer = 16 << 20

// Call sends an attempt to a service and reads the whole answer into resp. The
// caller has set method, path, headers and body of req.
func (c *Client) Call(req *fasthttp.Request, resp *fasthttp.Response, a Attempt) *Failure {
	c.prepare(req, a)
	return c.send(c.whole, req, resp, a, "call service")
}

// Cancel tells an engine that an attempt is not wanted any more. The engine
// also notices the closed connection, so a lost cancel costs only time.
func (c *Client) Cancel(attempt string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.peer + "/v1/cancel")
	req.URI().QueryArgs().Set("attempt", attempt)
	req.Header.SetMethod(fasthttp.MethodPost)
	_ = c.whole.DoTimeout(req, resp, cancelTimeout)
}
