// Package httpc makes HTTP clients that send each request exactly once.
//
// fasthttp's client retries some requests automatically after a broken connection.
// Whether to retry is the router's decision, so clients of this package never retry: a
// broken connection is returned as the error of its request.
//
// # Usage
//
//	c := httpc.New(addr, httpc.Limits{Conns: 64, Body: 1 << 20})
//	defer c.CloseIdleConnections()
//	err := c.DoDeadline(req, resp, deadline)
package httpc

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/head"
)

// Limits bound a client.
type Limits struct {
	// Conns is the maximum number of concurrent connections.
	Conns int
	// Body is the maximum size of a response body in bytes; 0 means no limit. It also bounds
	// what frames the body. Readers of a streamed body compare its size themselves.
	Body int
	// Stream makes the client return responses before their bodies are complete.
	Stream bool
	// Dial connects to an address; the default is plain TCP.
	Dial Dial
	// Idle is how long an idle connection is kept open.
	Idle time.Duration
}

// Dial connects to an address within a timeout. Tests replace it to simulate
// partitions.
type Dial func(addr string, timeout time.Duration) (net.Conn, error)

// dialTimeout bounds connecting to an address, which takes milliseconds in a working
// network.
const dialTimeout = time.Second

// New returns a client for one address.
func New(addr netip.AddrPort, l Limits) *fasthttp.HostClient {
	dial := l.Dial
	if dial == nil {
		dial = fasthttp.DialTimeout
	}
	return &fasthttp.HostClient{
		Addr: addr.String(),
		Dial: func(a string) (net.Conn, error) {
			c, err := dial(a, dialTimeout)
			if err != nil {
				return nil, err
			}
			checked := &checkedConn{Conn: c, inHead: true}
			if l.Body > 0 {
				checked.limit = framingFactor*l.Body + maxHeaders
			}
			return checked, nil
		},
		MaxConns:                      l.Conns,
		MaxResponseBodySize:           l.Body,
		StreamResponseBody:            l.Stream,
		MaxIdleConnDuration:           l.Idle,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
	}
}

const (
	// framingFactor is the size of a body with its chunks in relation to the body. What frames a chunk is
	// shorter than one of ten bytes.
	framingFactor = 2
	// maxHeaders is the size of the headers and the trailer of a response in bytes.
	maxHeaders = 64 << 10
)

// errLargeResponse means that a response, with all that frames it, exceeds the limit.
var errLargeResponse = eris.New("response exceeds the limit")

// checkedConn checks the heads of responses before they are parsed, and bounds the bytes of each
// response. fasthttp takes some heads for responses that are none, and it bounds bodies, but reads
// extensions of chunks as long as they come.
type checkedConn struct {
	net.Conn
	// limit bounds read, the number of bytes that were read since the last write; 0 means no limit.
	limit, read int
	// inHead is set until the head of the response was read; head is the part of it that was.
	inHead bool
	head   []byte
}

// Write writes a part of a request; the next response begins after it.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.read, c.inHead, c.head = 0, true, nil
	return c.Conn.Write(p)
}

// Read returns an error once the response exceeds the limit, or if its head is malformed.
func (c *checkedConn) Read(p []byte) (int, error) {
	if c.limit > 0 && c.read > c.limit {
		return 0, errLargeResponse
	}
	n, err := c.Conn.Read(p)
	c.read += n
	if cerr := c.checkHead(p[:n]); cerr != nil {
		return 0, cerr
	}
	return n, err
}

// checkHead checks the head of a response, and the informational ones before it, once it is complete.
func (c *checkedConn) checkHead(b []byte) error {
	for c.inHead && len(b) > 0 {
		before := len(c.head)
		all := b
		if before > 0 {
			all = append(c.head, b...)
		}
		end := head.End(all)
		switch {
		case end == 0 && len(all) > maxHeaders:
			return head.ErrTooLarge
		case end == 0:
			c.head = slices.Clone(all)
			return nil
		}
		if err := head.Check(all[:end]); err != nil {
			return err
		}
		b = b[end-before:]
		c.inHead, c.head = head.Informational(all[:end]), nil
	}
	return nil
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// NotSent reports whether err proves that no byte of the request reached the
// server, because there was no connection to send it on.
func NotSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op == "dial"
	}
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
