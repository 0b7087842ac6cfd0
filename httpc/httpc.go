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
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
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
			if err != nil || l.Body == 0 {
				return c, err
			}
			return &limitedConn{Conn: c, limit: framingFactor*l.Body + maxHeaders}, nil
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

// limitedConn bounds the bytes of each response on a connection. fasthttp bounds bodies, but reads
// extensions of chunks as long as they come.
type limitedConn struct {
	net.Conn
	// read is the number of bytes read since the last write.
	limit, read int
}

// Write writes a part of a request; the next response begins after it.
func (c *limitedConn) Write(p []byte) (int, error) {
	c.read = 0
	return c.Conn.Write(p)
}

// Read returns an error once the response exceeds the limit.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.read > c.limit {
		return 0, errLargeResponse
	}
	n, err := c.Conn.Read(p)
	c.read += n
	return n, err
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
