package offload

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Conn is a request that another router handed over, as the connection of its caller: the request
// is read from it and the response written to it.
type Conn struct {
	net.Conn
	age     time.Duration
	request []byte
	gone    atomic.Bool
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

// watch records when the other router closes the stream.
func (c *Conn) watch() {
	io.Copy(io.Discard, c.Conn) //nolint:errcheck // any end means that nobody reads the response
	c.gone.Store(true)
}
