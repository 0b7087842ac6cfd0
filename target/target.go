// Package target sends single attempts to engines and services.
//
// An attempt is sent once. The kind of its failure states what is known about it at
// the target: the target received nothing, refused it, or may have run it. A response
// that names another attempt is never returned; its connection is closed.
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
// (lowest first) and X-Model-Version returns server-sent events. Each carries the
// attempt's id and either the index and text of a token or the usage; the
// stream is complete only with its end mark [DONE]. "resume_from" in the body is
// the number of tokens already delivered. POST /v1/cancel?attempt=ID cancels an attempt.
// 429 and 503 mean that the attempt was refused and did not run; Retry-After is the time for
// which the target requests a backoff. X-Target-Leaving: 1 in any response means that the
// target is draining.
package target

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
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
	// engine that has another version loaded refuses the attempt.
	HeaderVersion = "X-Model-Version"
	// HeaderLeaving is "1" in the responses of a draining target, which accepts no new requests.
	HeaderLeaving = "X-Target-Leaving"
)

// Kind classifies a failed attempt by what is known about it at the target.
type Kind int

// The kinds of failure.
const (
	// NotSent means that no byte reached the target.
	NotSent Kind = iota
	// Refused means that the target responded that it does not run the attempt.
	Refused
	// Broken means that the attempt was sent and no complete response was received.
	Broken
	// Mismatched means that the response was that of another attempt.
	Mismatched
	// Rejected means that the target considers the request itself invalid.
	Rejected
	// Replaced means that another incarnation of the target responded, which refuses
	// attempts that were meant for an earlier one.
	Replaced
)

// NotRun reports whether an attempt that failed with this kind has provably not run.
func (k Kind) NotRun() bool { return k == NotSent || k == Refused || k == Replaced }

// Failure is the error of an attempt.
type Failure struct {
	Kind Kind
	// Status is the HTTP status of the response, 0 if there was none.
	Status int
	// Err is the cause, wrapped with the step and the peer.
	Err error
}

// connectionErrors are the errors of a connection that was closed or reset by the peer.
var connectionErrors = []error{
	io.EOF, io.ErrUnexpectedEOF, fasthttp.ErrConnectionClosed, syscall.ECONNRESET, syscall.EPIPE,
}

// ConnectionLost reports whether the connection was closed or reset by the target while the
// attempt may have been running there, as it is when the target terminates. It is false for
// attempts that this router ended and for responses that cannot be parsed.
func (f *Failure) ConnectionLost() bool {
	if f.Kind != Broken {
		return false
	}
	return slices.ContainsFunc(connectionErrors, func(connErr error) bool { return errs.Is(f.Err, connErr) })
}

// Error returns the step, the peer and the cause.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the wrapped error.
func (f *Failure) Unwrap() error { return f.Err }

// Attempt is one attempt to run a request at a target.
type Attempt struct {
	RequestID string
	ID        string
	Priority  int64
	// ModelVersion is the version of the model, empty for services.
	ModelVersion string
	// Deadline is compared with the clock of Go's timers.
	Deadline time.Time
	// OnNotice is called with the notice in the target's response; nil ignores it.
	OnNotice func(notice.Notice)
}

// Bounds of a client.
const (
	maxConns = 4096 + 64
	// idleTimeout is shorter than the idle timeout of the targets, so that requests
	// are rarely sent on a connection that the target is closing.
	idleTimeout = 5 * time.Second
	// cancelTimeout bounds the request that cancels an attempt at an engine.
	cancelTimeout = time.Second
)

// Clients holds a client for each target address.
type Clients struct {
	dial httpc.Dial

	mu      sync.Mutex
	clients map[netip.AddrPort]*Client
}

// NewClients returns an empty set of clients. Dial is passed to package httpc; nil
// means plain TCP.
func NewClients(dial httpc.Dial) *Clients {
	return &Clients{dial: dial, clients: make(map[netip.AddrPort]*Client)}
}

// Get returns the client for an address and creates it if there is none.
func (cs *Clients) Get(addr netip.AddrPort) *Client {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c := cs.clients[addr]
	if c == nil {
		c = &Client{
			peer:      addr.String(),
			buffered:  httpc.New(addr, httpc.Limits{Conns: maxConns, Body: maxResponseSize, Stream: true, Idle: idleTimeout, Dial: cs.dial}),
			streaming: httpc.New(addr, httpc.Limits{Conns: maxConns, Stream: true, Idle: idleTimeout, Dial: cs.dial}),
		}
		cs.clients[addr] = c
	}
	return c
}

// Close closes all idle connections.
func (cs *Clients) Close() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, c := range cs.clients {
		c.buffered.CloseIdleConnections()
		c.streaming.CloseIdleConnections()
	}
}

// Client sends attempts to one target. It is safe for concurrent use.
type Client struct {
	peer string
	// buffered is for responses that are read completely before they are returned, streaming for those
	// that are returned when their header was read.
	buffered  *fasthttp.HostClient
	streaming *fasthttp.HostClient
}

func (c *Client) fail(k Kind, status int, err error, step string) *Failure {
	return &Failure{Kind: k, Status: status, Err: errs.Wrap(err, step, c.peer)}
}

// prepare sets the host and the headers that all attempts have in common.
func (c *Client) prepare(req *fasthttp.Request, a Attempt) {
	req.URI().SetScheme("http")
	req.URI().SetHost(c.peer)
	req.Header.Set(HeaderRequest, a.RequestID)
	req.Header.Set(HeaderAttempt, a.ID)
	if a.ModelVersion != "" {
		req.Header.Set(HeaderVersion, a.ModelVersion)
	}
}

// send sends a prepared request and checks that the response is for the attempt.
func (c *Client) send(client *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response, a Attempt, step string) *Failure {
	if err := client.DoDeadline(req, resp, a.Deadline); err != nil {
		if httpc.NotSent(err) {
			return c.fail(NotSent, 0, err, step)
		}
		return c.fail(Broken, 0, err, step)
	}
	if a.OnNotice != nil {
		a.OnNotice(notice.Notice{Draining: string(resp.Header.Peek(HeaderLeaving)) == "1", Backoff: notice.Backoff(&resp.Header)})
	}
	status := resp.StatusCode()
	if status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable {
		return c.fail(Refused, status, fmt.Errorf("status %d", status), step)
	}
	if status < fasthttp.StatusBadRequest && string(resp.Header.Peek(HeaderAttempt)) != a.ID {
		resp.SetConnectionClose()
		return c.fail(Mismatched, status, errMismatched, step)
	}
	return nil
}

// maxResponseSize is the maximum size of a service's response in bytes.
const maxResponseSize = 16 << 20

// Call sends an attempt to a service and reads the complete response into resp. The
// method, path, headers and body of req must be set.
func (c *Client) Call(req *fasthttp.Request, resp *fasthttp.Response, a Attempt) *Failure {
	const step = "call service"
	c.prepare(req, a)
	f := c.send(c.buffered, req, resp, a, step)
	defer resp.CloseBodyStream() //nolint:errcheck // the response is complete, or the call has failed
	if f != nil {
		return f
	}
	body, err := readBody(resp)
	if err != nil {
		resp.SetConnectionClose()
		return c.fail(Broken, resp.StatusCode(), err, step)
	}
	resp.SetBody(body)
	return nil
}

var (
	errUnframed      = eris.Wrap(io.ErrUnexpectedEOF, "response has neither length nor chunks, so that its end is not known")
	errLargeResponse = eris.New("response exceeds the limit")
)

// unframedLength is the length that fasthttp reports for a body that ends with its connection.
const unframedLength = -2

// readBody reads the complete body of a response. One that ends with its connection also ends if the
// service does.
func readBody(resp *fasthttp.Response) ([]byte, error) {
	if resp.BodyStream() == nil {
		return nil, nil
	}
	if resp.Header.ContentLength() == unframedLength {
		return nil, errUnframed
	}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxResponseSize+1))
	if err == nil && len(body) > maxResponseSize {
		err = errLargeResponse
	}
	return body, err
}

// Cancel requests that an engine cancels an attempt. The engine also detects the closed
// connection, so a lost cancel request only delays the cancellation.
func (c *Client) Cancel(attempt string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.peer + "/v1/cancel")
	req.URI().QueryArgs().Set("attempt", attempt)
	req.Header.SetMethod(fasthttp.MethodPost)
	_ = c.buffered.DoTimeout(req, resp, cancelTimeout)
}
