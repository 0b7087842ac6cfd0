package offload

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Conn is a request that another router handed over, as the connection of its caller: the request
// is read from it and the response written to it. The server closes its stream when the request was
// served.
type Conn struct {
	net.Conn
	age     time.Duration
	request []byte
	gone    atomic.Bool
	closed  atomic.Bool
}

// Age returns the time since the request arrived at the other router, as of when it was sent.
func (c *Conn) Age() time.Duration { return c.age }

// Gone reports whether the caller has left, or the other router.
func (c *Conn) Gone() bool { return c.gone.Load() }

// Read reads the request.
func (c *Conn) Read(p []byte) (int, error) {
	if len(c.request) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.request)
	c.request = c.request[n:]
	return n, nil
}

// Write writes a part of the response. A stream accepts bytes although nobody reads them any more,
// so it fails once the other router has closed the stream.
func (c *Conn) Write(p []byte) (int, error) {
	if c.closed.Load() || c.gone.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close makes writes fail, also one that waits for the other router to read. It never blocks, as
// the close of a stream does while the connection is stuck.
func (c *Conn) Close() error {
	c.closed.Store(true)
	return c.Conn.SetWriteDeadline(time.Unix(0, 1).UTC())
}

// SetReadDeadline does nothing, as the request has been received. A deadline of the stream would
// end the watch for its end.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetDeadline sets the deadline of writes.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetWriteDeadline(t) }

// SetWriteDeadline sets the deadline of writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	return c.Conn.SetWriteDeadline(t)
}

// watch records when the other router closes the stream.
func (c *Conn) watch() {
	io.Copy(io.Discard, c.Conn) //nolint:errcheck // any end means that nobody reads the response
	c.gone.Store(true)
}
