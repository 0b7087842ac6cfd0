package offload

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protodelim"

	"zinccove.example/zinccove/errs"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/link"
)

// Options configure a client. Key and Clock are required.
type Options struct {
	// Key is that of the fleet.
	Key   []byte
	Clock clockwork.Clock
	// Dial connects to another router; nil selects TCP with the limits of package link.
	Dial func(netip.AddrPort, time.Duration) (net.Conn, error)
}

// Client hands requests over. It is safe for concurrent use.
type Client struct {
	options Options
	// group holds the goroutines that open and probe connections.
	group errgroup.Group
	// probe is the one that Delay waits for, nil if none is open. delay is what the last one took.
	probe atomic.Pointer[probe]
	delay atomic.Int64

	mu       sync.Mutex
	sessions map[netip.AddrPort]*session
	closed   bool
}

// session is a connection to another router.
type session struct {
	lastUse atomic.Int64
	// waiting is the number of requests without a response.
	waiting atomic.Int64

	mu   sync.Mutex
	mux  *yamux.Session
	conn *batchConn
	// opening is closed when the attempt to connect has ended, nil if there is none.
	opening chan struct{}
	failed  time.Time
}

const (
	// dialTimeout bounds connecting to a router of the same data centre.
	dialTimeout = 100 * time.Millisecond
	// redialDelay is the time after a failure for which a router is not tried again.
	redialDelay = 500 * time.Millisecond
	// openWait is how long a request waits for a connection that is being opened: within a data
	// centre that takes a millisecond, unless the other router has no time for it.
	openWait = 5 * time.Millisecond
	// maxWaiting is the number of requests without a response from which on no more are handed over
	// to a router; it is below the number from which on opening a stream blocks.
	maxWaiting = maxOpening / 2
	// idleTimeout is the time without a request after which a connection is closed.
	idleTimeout = 10 * time.Second
)

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	if o.Dial == nil {
		o.Dial = func(a netip.AddrPort, timeout time.Duration) (net.Conn, error) {
			return link.DialTimeout(a.String(), timeout)
		}
	}
	return &Client{options: o, sessions: make(map[netip.AddrPort]*session)}
}

// errStuck means that another router does not reply or read.
var errStuck = eris.New("connection to router is stuck")

// Open hands a request over to a router, age after it arrived here, and returns the stream that
// its response is read from. If it returns an error, the router has not got the whole request. What
// becomes of a request whose stream breaks later is not known. Open waits for some milliseconds at
// most: it fails if there is no connection yet, or if it is stuck.
func (c *Client) Open(to netip.AddrPort, age time.Duration, request []byte) (net.Conn, error) {
	s, conn, mux, err := c.connect(to)
	if err != nil {
		return nil, err
	}
	message, err := encode(age, request)
	if err != nil {
		return nil, errs.Wrap(err, "encode head", to.String())
	}
	stream, err := mux.OpenStream()
	if err != nil {
		return nil, errs.Wrap(err, "open stream", to.String())
	}
	s.waiting.Add(1)
	opened := &Stream{Stream: stream, session: s, conn: conn}
	opened.conn.add(stream)
	if err := stream.SetWriteDeadline(deadline(c.options.Clock, openWait)); err != nil {
		opened.Close() //nolint:errcheck // the stream is of no use
		return nil, errs.Wrap(err, "send request", to.String())
	}
	if _, err := stream.Write(message); err != nil && !mayBeSent(err) {
		opened.Close() //nolint:errcheck // the stream is of no use
		return nil, errs.Wrap(err, "send request", to.String())
	}
	return opened, nil
}

// mayBeSent reports whether bytes may be sent although their write failed: they are in the queue of
// the session then. The reader of the stream learns what became of them.
func mayBeSent(err error) bool {
	return !errs.Is(err, yamux.ErrTimeout) && !errs.Is(err, yamux.ErrStreamClosed) && !errs.Is(err, yamux.ErrConnectionReset)
}

// Stream is a request that was handed over; its response is read from it.
type Stream struct {
	*yamux.Stream
	session  *session
	conn     *batchConn
	answered atomic.Bool
}

// Read reads the response.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	s.answer()
	return n, err
}

// Close ends the request at the other router.
func (s *Stream) Close() error {
	s.answer()
	s.conn.remove(s.Stream)
	return s.Stream.Close()
}

// answer notes that the request does not wait for a response any more.
func (s *Stream) answer() {
	if !s.answered.Swap(true) {
		s.session.waiting.Add(-1)
	}
}

// encode returns the head and the request.
func encode(age time.Duration, request []byte) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(len(request) + 16)
	head := &zinccovev1.OffloadHead{AgeUs: uint64(age.Microseconds()), Size: uint32(len(request))}
	if _, err := protodelim.MarshalTo(&b, head); err != nil {
		return nil, err
	}
	b.Write(request)
	return b.Bytes(), nil
}

// connect returns the open connection to a router. It opens one, but does not wait for long until it
// is open.
func (c *Client) connect(to netip.AddrPort) (*session, *batchConn, *yamux.Session, error) {
	s, opening := c.session(to)
	if s == nil {
		return nil, nil, nil, errs.Wrap(net.ErrClosed, "connect to router", to.String())
	}
	if opening != nil {
		select {
		case <-opening:
		case <-c.options.Clock.After(openWait):
		}
	}
	now := c.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open() {
		return nil, nil, nil, errs.New("router could not be reached just now", "connect to router", to.String())
	}
	if s.waiting.Load() >= maxWaiting || s.conn.stuck(now) {
		return nil, nil, nil, errs.Wrap(errStuck, "connect to router", to.String())
	}
	s.conn.ask(now)
	return s, s.conn, s.mux, nil
}

// open reports whether there is a connection. The caller holds s.mu.
func (s *session) open() bool { return s.mux != nil && !s.mux.IsClosed() }

// session returns the connection to a router, nil if the client is closed, and begins to open it.
// The channel is closed when that has ended; it is nil if the connection is not being opened.
func (c *Client) session(to netip.AddrPort) (*session, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil
	}
	s := c.sessions[to]
	if s == nil {
		s = new(session)
		c.sessions[to] = s
	}
	now := c.options.Clock.Now()
	s.lastUse.Store(now.UnixNano())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opening == nil && !s.open() && now.Sub(s.failed) >= redialDelay {
		s.opening = make(chan struct{})
		c.group.Go(func() error {
			c.openSession(s, to)
			return nil
		})
	}
	return s, s.opening
}

// openSession connects to a router. A failure is remembered for some time.
func (c *Client) openSession(s *session, to netip.AddrPort) {
	conn, mux, err := c.dial(to)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed = c.options.Clock.Now()
	} else {
		s.conn, s.mux = conn, mux
		c.group.Go(func() error { return keepAlive(conn, mux) })
	}
	close(s.opening)
	s.opening = nil
}

func (c *Client) dial(to netip.AddrPort) (*batchConn, *yamux.Session, error) {
	nc, err := c.options.Dial(to, dialTimeout)
	if err != nil {
		return nil, nil, errs.Wrap(err, "connect to router", to.String())
	}
	if err := prove(nc, c.options.Key, deadline(c.options.Clock, handshakeTimeout)); err != nil {
		nc.Close() //nolint:errcheck // the connection is of no use
		return nil, nil, err
	}
	conn := newBatchConn(nc, c.options.Clock)
	mux, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		conn.Close() //nolint:errcheck // the connection is of no use
		return nil, nil, errs.Wrap(err, "open session", to.String())
	}
	return conn, mux, nil
}

// Sweep closes connections that were not used lately or are broken.
func (c *Client) Sweep() {
	for _, conn := range c.removeIdle() {
		conn.abort() // no stream uses it
	}
}

func (c *Client) removeIdle() []*batchConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	var idle []*batchConn
	for to, s := range c.sessions {
		s.mu.Lock()
		unused := now.UnixNano()-s.lastUse.Load() >= int64(idleTimeout)
		if unused && s.opening == nil && (s.mux == nil || s.mux.IsClosed() || s.mux.NumStreams() == 0) {
			if s.mux != nil {
				idle = append(idle, s.conn)
			}
			delete(c.sessions, to)
		}
		s.mu.Unlock()
	}
	return idle
}

// probe is a message to several routers at once, of which the first reply counts: all replies are
// late if this process is, but a single one if the other router is.
type probe struct {
	at time.Time
	// open is the number of routers that may still reply.
	open atomic.Int32
}

// probedRouters is the number of routers that get a probe.
const probedRouters = 3

// Probe measures how long other routers take to reply to a message. Most of that is the delay of
// this process if it has no processor time left. It returns at once, and does nothing while an earlier
// probe is open or there is no connection.
func (c *Client) Probe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.probe.Load() != nil {
		return
	}
	sessions := c.someSessions()
	if len(sessions) == 0 {
		return
	}
	p := &probe{at: c.options.Clock.Now()}
	p.open.Store(int32(len(sessions)))
	c.probe.Store(p)
	for _, mux := range sessions {
		c.group.Go(func() error {
			c.ping(p, mux)
			return nil
		})
	}
}

// ping sends a probe to one router, and records the time until its reply if it is the first.
func (c *Client) ping(p *probe, mux *yamux.Session) {
	took, err := mux.Ping()
	last := p.open.Add(-1) == 0
	if err != nil && !last {
		return
	}
	if c.probe.CompareAndSwap(p, nil) && err == nil {
		c.delay.Store(int64(took))
	}
}

// Delay returns what the last probe took, or the open one if that is longer.
func (c *Client) Delay() time.Duration {
	var open time.Duration
	if p := c.probe.Load(); p != nil {
		open = c.options.Clock.Since(p.at)
	}
	return max(open, time.Duration(c.delay.Load()))
}

// someSessions returns some of the open connections. The caller holds c.mu.
func (c *Client) someSessions() []*yamux.Session {
	var some []*yamux.Session
	for _, s := range c.sessions {
		s.mu.Lock()
		if s.open() {
			some = append(some, s.mux)
		}
		s.mu.Unlock()
		if len(some) == probedRouters {
			break
		}
	}
	return some
}

// Close closes all connections and the streams that use them.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	sessions := c.sessions
	c.sessions = nil
	c.mu.Unlock()
	abortAll(sessions)
	c.waitOpening(sessions)
	abortAll(sessions) // connections that were being opened
	return errs.Wrap(c.group.Wait(), "close connections to routers", "")
}

// waitOpening waits until no connection is being opened.
func (c *Client) waitOpening(sessions map[netip.AddrPort]*session) {
	for _, s := range sessions {
		s.mu.Lock()
		opening := s.opening
		s.mu.Unlock()
		if opening != nil {
			<-opening
		}
	}
}

func abortAll(sessions map[netip.AddrPort]*session) {
	for _, s := range sessions {
		s.mu.Lock()
		if s.conn != nil {
			s.conn.abort()
		}
		s.mu.Unlock()
	}
}
