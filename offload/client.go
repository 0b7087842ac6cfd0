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
	// probedAt is when the probe that Delay waits for was sent, in nanoseconds since the Unix epoch;
	// 0 if none is open. delay is what the last one took.
	probedAt, delay atomic.Int64

	mu       sync.Mutex
	sessions map[netip.AddrPort]*session
	closed   bool
}

// session is a connection to another router. Its mutex is held while it is opened.
type session struct {
	mu      sync.Mutex
	mux     *yamux.Session
	failed  time.Time
	lastUse atomic.Int64
}

const (
	// dialTimeout bounds connecting to a router of the same data centre.
	dialTimeout = 100 * time.Millisecond
	// redialDelay is the time after a failure for which a router is not tried again.
	redialDelay = 500 * time.Millisecond
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

// Open hands a request over to a router, age after it arrived here, and returns the stream that
// its response is read from. If it returns an error, the router has not got the whole request. What
// becomes of a request whose stream breaks later is not known.
func (c *Client) Open(to netip.AddrPort, age time.Duration, request []byte) (net.Conn, error) {
	mux, err := c.connect(to)
	if err != nil {
		return nil, err
	}
	stream, err := mux.OpenStream()
	if err != nil {
		return nil, errs.Wrap(err, "open stream", to.String())
	}
	message, err := encode(age, request)
	if err != nil {
		return nil, errs.Wrap(err, "encode head", to.String())
	}
	if _, err := stream.Write(message); err != nil {
		stream.Close() //nolint:errcheck // the stream is of no use
		return nil, errs.Wrap(err, "send request", to.String())
	}
	return stream, nil
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

// connect returns the open connection to a router, or opens one.
func (c *Client) connect(to netip.AddrPort) (*yamux.Session, error) {
	s := c.session(to)
	if s == nil {
		return nil, errs.Wrap(net.ErrClosed, "connect to router", to.String())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.options.Clock.Now()
	s.lastUse.Store(now.UnixNano())
	if s.mux != nil && !s.mux.IsClosed() {
		return s.mux, nil
	}
	if now.Sub(s.failed) < redialDelay {
		return nil, errs.New("router could not be reached just now", "connect to router", to.String())
	}
	mux, err := c.dial(to)
	if err != nil {
		s.failed = now
		return nil, err
	}
	s.mux = mux
	return mux, nil
}

func (c *Client) session(to netip.AddrPort) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	s := c.sessions[to]
	if s == nil {
		s = new(session)
		c.sessions[to] = s
	}
	return s
}

func (c *Client) dial(to netip.AddrPort) (*yamux.Session, error) {
	nc, err := c.options.Dial(to, dialTimeout)
	if err != nil {
		return nil, errs.Wrap(err, "connect to router", to.String())
	}
	if err := prove(nc, c.options.Key, time.Now().Add(handshakeTimeout)); err != nil {
		nc.Close() //nolint:errcheck // the connection is of no use
		return nil, err
	}
	mux, err := yamux.Client(newBatchConn(nc, c.options.Clock), sessionConfig())
	return mux, errs.Wrap(err, "open session", to.String())
}

// Sweep closes connections that were not used lately or are broken.
func (c *Client) Sweep() {
	for _, mux := range c.removeIdle() {
		mux.Close() //nolint:errcheck // no stream uses it
	}
}

func (c *Client) removeIdle() []*yamux.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	var idle []*yamux.Session
	for to, s := range c.sessions {
		if !s.mu.TryLock() {
			continue // it is being opened
		}
		unused := now.UnixNano()-s.lastUse.Load() >= int64(idleTimeout)
		if unused && (s.mux == nil || s.mux.IsClosed() || s.mux.NumStreams() == 0) {
			if s.mux != nil {
				idle = append(idle, s.mux)
			}
			delete(c.sessions, to)
		}
		s.mu.Unlock()
	}
	return idle
}

// probed is the number of routers that are probed at once. The fastest of them counts, as the
// others may be late themselves.
const probed = 3

// Probe measures how long other routers take to reply to a message. Most of that is the delay of
// this process if it has no processor time left. It does nothing while an earlier probe is open or
// there is no connection.
func (c *Client) Probe() {
	sessions := c.someSessions(probed)
	now := c.options.Clock.Now()
	if len(sessions) == 0 || !c.probedAt.CompareAndSwap(0, now.UnixNano()) {
		return
	}
	var first sync.Once
	var group errgroup.Group
	for _, mux := range sessions {
		group.Go(func() error {
			took, err := mux.Ping()
			if err == nil {
				first.Do(func() { c.recordReply(took) })
			}
			return err
		})
	}
	group.Wait()        //nolint:errcheck // a router that does not reply says nothing of this one
	c.probedAt.Store(0) // nobody replied, or recordReply did so before
}

// recordReply records the first reply to a probe.
func (c *Client) recordReply(took time.Duration) {
	c.delay.Store(int64(took))
	c.probedAt.Store(0)
}

// Delay returns what the last probe took, or the open one if that is longer.
func (c *Client) Delay() time.Duration {
	var open time.Duration
	if at := c.probedAt.Load(); at != 0 {
		open = time.Duration(c.options.Clock.Now().UnixNano() - at)
	}
	return max(open, time.Duration(c.delay.Load()))
}

// someSessions returns up to n open connections, any of them.
func (c *Client) someSessions(n int) []*yamux.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*yamux.Session
	for _, s := range c.sessions {
		if len(list) == n {
			break
		}
		if !s.mu.TryLock() {
			continue // it is being opened
		}
		if s.mux != nil && !s.mux.IsClosed() {
			list = append(list, s.mux)
		}
		s.mu.Unlock()
	}
	return list
}

// Close closes all connections and the streams that use them.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	sessions := c.sessions
	c.sessions = nil
	c.mu.Unlock()
	var err error
	for to, s := range sessions {
		s.mu.Lock()
		if s.mux != nil {
			if cerr := s.mux.Close(); cerr != nil && err == nil {
				err = errs.Wrap(cerr, "close session", to.String())
			}
		}
		s.mu.Unlock()
	}
	return err
}
