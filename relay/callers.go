package relay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/accept"
	"zinccove.example/zinccove/bootclock"
	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/route"
)

const (
	// requestTimeout bounds receiving the head of a request, and then its body; callers send a
	// request without pauses. The configuration may set a shorter time for the head.
	requestTimeout = 15 * time.Second
	// idleTimeout is how long callers' connections may be idle if the configuration sets no time.
	idleTimeout = 75 * time.Second
	// idleMargin is how much longer a connection may be idle than the configuration says, so that no
	// caller sends into a connection that is being closed.
	idleMargin = time.Second
	// maxHeaderBytes is the largest limit of a head in bytes, whatever the configuration says: each
	// connection of a caller has a buffer of this size.
	maxHeaderBytes = 1 << 20
	// retireDelay is how long callers may go on to use connections whose buffers are too small for a
	// raised limit, and are asked to close them. It is well within the time after which a configuration
	// must be in force.
	retireDelay = time.Second
)

// callerServer is an HTTP server for the connections of callers. The size of its read buffers cannot
// change and bounds the heads of requests, so another server replaces it when that limit is raised.
type callerServer struct {
	*fasthttp.Server
	headerBytes int
	listener    *replaceableListener
}

// newCallerServer returns a server for heads of the given size.
func (s *Server) newCallerServer(headerBytes int) *callerServer {
	l := s.options.Limits
	c := &callerServer{headerBytes: headerBytes}
	c.listener = &replaceableListener{server: s, owner: c, Listener: &accept.Listener{Listener: s.listener, Clock: s.options.Clock, OnError: s.logNotAccepted}}
	c.Server = &fasthttp.Server{
		Handler:                      s.handle,
		Concurrency:                  maxConnections(l.Connections, l.Memory, headerBytes),
		ReadBufferSize:               headerBytes,
		StreamRequestBody:            true,
		MaxRequestBodySize:           maxBufferedBody,
		ReadTimeout:                  requestTimeout,
		IdleTimeout:                  idleTimeout,
		HeaderReceived:               func(*fasthttp.RequestHeader) fasthttp.RequestConfig { return requestConfig },
		ConnState:                    setPhase,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
	}
	return c
}

// requestConfig has a new time limit begin once the head of a request was read.
var requestConfig = fasthttp.RequestConfig{ReadTimeout: requestTimeout}

// replaceableListener accepts connections until another server replaces its owner.
type replaceableListener struct {
	net.Listener
	server *Server
	owner  *callerServer
}

// Accept returns the next connection, or an error once the owner was replaced or the listener closed.
func (l *replaceableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	switch {
	case err == nil:
		return &callerConn{Conn: c, server: l.server, owner: l.owner, expected: firstRequest}, nil
	case l.server.replaced(l.owner):
		return nil, net.ErrClosed
	}
	return nil, err
}

// Close does nothing, as the next owner needs the listener.
func (l *replaceableListener) Close() error { return nil }

// serve accepts callers until the listener is closed.
func (s *Server) serve() error {
	for {
		c := s.callers.Load()
		err := c.Serve(c.listener)
		if !s.replaced(c) {
			if errs.Is(err, net.ErrClosed) {
				return nil
			}
			return errs.Wrap(err, "serve callers", s.listener.Addr().String())
		}
		if err := s.listener.SetDeadline(time.Time{}); err != nil && !errors.Is(err, net.ErrClosed) {
			return errs.Wrap(err, "accept callers", s.listener.Addr().String())
		}
		s.group.Go(func() error { return s.retire(c) })
	}
}

// applyLimits applies the limits of the configuration in force to the connections of callers.
func (s *Server) applyLimits(l route.Limits) error {
	s.limits.Store(&l)
	s.large.allow(s.options.Limits.Memory, s.options.Limits.BodyBytes, l.MaxBodyBytes)
	c := s.callers.Load()
	headerBytes := min(l.MaxHeaderBytes, maxHeaderBytes)
	if headerBytes <= c.headerBytes {
		return nil
	}
	s.options.Log.Info().Int("header_bytes", headerBytes).Int("before", c.headerBytes).Msg("limit of heads raised; new connections get larger buffers")
	s.callers.Store(s.newCallerServer(headerBytes))
	return errs.Wrap(s.listener.SetDeadline(time.Unix(1, 0)), "replace server of callers", s.listener.Addr().String())
}

// configuredLimits returns the limits of the configuration in force, which has 0 for those that it
// leaves open.
func (s *Server) configuredLimits() route.Limits {
	if table := s.options.View().Table; table != nil {
		return table.Limits
	}
	return route.Limits{}
}

// retire closes the connections of a server that was replaced. Those that are in use meanwhile are
// closed by their next response.
func (s *Server) retire(c *callerServer) error {
	select {
	case <-s.stop:
	case <-s.options.Clock.After(retireDelay):
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-s.stop:
			s.options.Clock.Sleep(closeTimeout)
			cancel()
		}
		return nil
	})
	_ = c.ShutdownWithContext(ctx) // connections without a request may outlast the timeout
	return nil
}

// bodyLimit returns the largest body in bytes that the configuration in force for a request allows.
func (f *flight) bodyLimit() int {
	if f.table != nil && f.table.Limits.MaxBodyBytes > 0 {
		return f.table.Limits.MaxBodyBytes
	}
	return f.server.options.Limits.BodyBytes
}

// headTooLarge reports whether the head of a request exceeds the limit of the configuration, or of the
// settings if that has none.
func (s *Server) headTooLarge(table *route.Table, h *fasthttp.RequestHeader) bool {
	limit := table.Limits.MaxHeaderBytes
	if limit <= 0 {
		limit = s.options.Limits.HeaderBytes
	}
	const requestLine = len("  HTTP/1.1\r\n") + len("\r\n")
	return len(h.Method())+len(h.RequestURI())+len(h.RawHeaders())+requestLine > limit
}

// phase is what the next deadline that fasthttp sets for reading from a connection is for.
type phase int

const (
	// firstRequest is the time until the first request begins, nextRequest until another one does,
	// nextHead until its head was read, and nextBody until its body was read.
	firstRequest phase = iota
	nextRequest
	nextHead
	nextBody
)

// callerConn is the connection of a caller. It replaces the times that fasthttp allows for reading by
// those of the configuration in force. One goroutine reads from it.
type callerConn struct {
	net.Conn
	server *Server
	// owner is the server that serves the connection.
	owner    *callerServer
	expected phase
}

// SyscallConn returns the socket.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// setPhase records that a request begins or has ended.
func setPhase(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return // a request that another router handed over
	}
	switch state {
	case fasthttp.StateIdle:
		c.expected = nextRequest
	case fasthttp.StateActive:
		if c.expected == nextBody { // the first request, for whose head fasthttp sets no deadline
			c.Conn.SetReadDeadline(c.headDeadline()) //nolint:errcheck // reads fail then
		}
	}
}

// SetReadDeadline sets the deadline of the current phase, the given one at the latest.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	switch c.expected {
	case firstRequest, nextRequest:
		if c.expected == firstRequest {
			c.expected = nextBody // setPhase sets the deadline of the first head
		} else {
			c.expected = nextHead
		}
		if idle := c.server.limits.Load().IdleTimeout; idle > 0 {
			at = earlier(at, c.server.after(idle+idleMargin))
		}
	case nextHead:
		c.expected = nextBody
		at = earlier(at, c.headDeadline())
	case nextBody:
	}
	return c.Conn.SetReadDeadline(at)
}

// headDeadline returns until when a head that begins now has to be read.
func (c *callerConn) headDeadline() time.Time {
	d := requestTimeout
	if t := c.server.limits.Load().HeaderTimeout; t > 0 {
		d = min(d, t)
	}
	return c.server.after(d)
}

// after returns the time after d as connections take it.
func (s *Server) after(d time.Duration) time.Time {
	return bootclock.ToMonotonic(s.options.Clock, s.options.Clock.Now().Add(d))
}

// replaced reports whether another server took the place of c.
func (s *Server) replaced(c *callerServer) bool { return s.callers.Load() != c }

// retired reports whether the server of a connection was replaced.
func (s *Server) retired(conn net.Conn) bool {
	c, ok := conn.(*callerConn)
	return ok && s.replaced(c.owner)
}
