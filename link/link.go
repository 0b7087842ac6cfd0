// Package link pools connections to targets.
//
// A connection carries one request at a time. It is returned to the pool only after a complete
// response with no bytes after it, and checked before it is used again: bytes that arrived
// meanwhile belong to no request, so such a connection is closed. Targets close idle
// connections, sometimes without notice, and a request sent at that moment may or may not have
// run. Requests that must not be repeated therefore ask for a connection that was used
// recently.
//
// # Usage
//
//	p := link.NewPool(link.Options{Clock: clock})
//	defer p.Close()
//	c, err := p.Get(target.ID, target.Address, link.ShortIdle, link.MaxDialTimeout)
//	...
//	p.Put(c, idle) // or c.Close()
package link

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/hangup"
)

// IdleLimit is how long a connection may have been idle before it is used again.
type IdleLimit time.Duration

const (
	// ShortIdle is for requests that must not be repeated. It is shorter than the idle timeout
	// of any target.
	ShortIdle = IdleLimit(400 * time.Millisecond)
	// LongIdle is for requests that may be sent again.
	LongIdle = IdleLimit(3 * time.Second)
)

const (
	// MaxDialTimeout bounds connecting; inside a region it takes a few milliseconds, even when
	// a target is busy.
	MaxDialTimeout = 150 * time.Millisecond
	// peerTimeout is how long sent bytes may stay unacknowledged, and how long a silent peer is
	// probed, before the connection counts as broken.
	peerTimeout = 2 * time.Second
	// probeInterval is the silence after which a peer is probed, and the time between probes.
	probeInterval = time.Second
	// readBufferSize fits the header of a response or a few events of a stream.
	readBufferSize = 4096
	// defaultIdle is how long a connection is kept if the target sent no idle timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the target a router drops an idle connection.
	idleMargin = 500 * time.Millisecond
)

// Options configure a pool.
type Options struct {
	Clock clockwork.Clock
	// Dial connects to an address within a timeout; the default is TCP with the limits of this
	// package.
	Dial func(netip.AddrPort, time.Duration) (net.Conn, error)
}

// Pool holds idle connections by the ID of the target. It is safe for concurrent use.
type Pool struct {
	options Options

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	if o.Dial == nil {
		o.Dial = dial
	}
	return &Pool{options: o, idle: make(map[string][]*Conn)}
}

func dial(addr netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	return DialTimeout(addr.String(), timeout)
}

// DialTimeout connects to an address within a timeout, at most MaxDialTimeout. The connection
// breaks if the peer does not respond for some seconds to probes or sent bytes.
func DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         min(timeout, MaxDialTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: int(peerTimeout / probeInterval)},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			cerr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(peerTimeout.Milliseconds()))
			})
			if cerr != nil {
				return cerr
			}
			return err
		},
	}
	return d.DialContext(context.Background(), "tcp", addr)
}

// Conn is a connection to a target.
type Conn struct {
	net.Conn
	// Reader reads from the connection.
	Reader *bufio.Reader
	// Reused reports that the connection carried another request before.
	Reused bool

	target    string
	raw       syscall.RawConn
	idleSince time.Time
	expires   time.Time
}

// Get returns a connection to a target: an idle one, or a new one that is opened within a
// timeout. It returns an error only if it cannot connect, so nothing was sent then.
func (p *Pool) Get(target string, addr netip.AddrPort, limit IdleLimit, timeout time.Duration) (*Conn, error) {
	for {
		c := p.take(target, limit)
		if c == nil {
			break
		}
		if c.Idle() {
			c.Reused = true
			return c, nil
		}
		c.Close() //nolint:errcheck // the connection is of no use
	}
	nc, err := p.options.Dial(addr, timeout)
	if err != nil {
		return nil, errs.Wrap(err, "connect to target", addr.String())
	}
	return newConn(nc, target), nil
}

var (
	errEnded        = eris.New("target accepts no connections")
	errClosedAtOnce = eris.New("target closed a new connection")
)

const (
	// maxProbes bounds the connections by which a target is probed: while it ends, some are lost or
	// reset. maxProbeTimeout bounds each of them.
	maxProbes       = 3
	maxProbeTimeout = 50 * time.Millisecond
	// probeLasts is how long a connection must last to show that a target runs: a proxy before one
	// that has ended accepts it and closes it then.
	probeLasts = 5 * time.Millisecond
)

// Probe checks after a delay whether a target runs, by a new connection, which becomes an idle one. The
// delay lets the system close all sockets of a process that is ending, which still accepts connections
// until then. What responds at the address may be another process than the one that was connected before.
func (p *Pool) Probe(target string, addr netip.AddrPort, timeout, delay time.Duration) error {
	var err error
	for range maxProbes {
		p.options.Clock.Sleep(delay)
		err = p.probe(target, addr, min(timeout, maxProbeTimeout))
		if err == nil || errs.Is(err, errEnded) || errs.Is(err, errClosedAtOnce) {
			break
		}
	}
	return errs.Wrap(err, "probe target", addr.String())
}

func (p *Pool) probe(target string, addr netip.AddrPort, timeout time.Duration) error {
	nc, err := p.options.Dial(addr, timeout)
	if errs.Is(err, syscall.ECONNREFUSED) {
		return errEnded
	}
	if err != nil {
		return err
	}
	c := newConn(nc, target)
	p.options.Clock.Sleep(probeLasts)
	if !c.Idle() {
		c.Close() //nolint:errcheck // the connection is of no use
		return errClosedAtOnce
	}
	p.Put(c, 0)
	return nil
}

func newConn(nc net.Conn, target string) *Conn {
	c := &Conn{Conn: nc, Reader: bufio.NewReaderSize(nc, readBufferSize), target: target}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	return c
}

// take removes and returns the connection that was used last, if it has been idle for at most
// limit.
func (p *Pool) take(target string, limit IdleLimit) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	now := p.options.Clock.Now()
	if now.Sub(c.idleSince) > time.Duration(limit) || now.After(c.expires) {
		return nil
	}
	p.idle[target] = list[:len(list)-1]
	return c
}

// Idle reports whether no bytes arrived on a connection that awaits none and the peer has not closed it.
func (c *Conn) Idle() bool {
	return c.Reader.Buffered() == 0 && (c.raw == nil || hangup.Peek(c.raw) == hangup.Idle)
}

// HalfClosed reports whether the peer has closed its side, also while bytes that it sent before are
// unread. It reports true if that is not known.
func (c *Conn) HalfClosed() bool {
	if c.raw == nil {
		return true
	}
	closed := true
	err := c.raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		closed = err != nil || n != 0
	})
	return closed || err != nil
}

// Acknowledged reports whether the peer has acknowledged all bytes that were sent. It reports false if
// that is not known.
func (c *Conn) Acknowledged() bool {
	if c.raw == nil {
		return false
	}
	acknowledged := false
	err := c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		acknowledged = err == nil && info.Unacked == 0
	})
	return acknowledged && err == nil
}

// Put returns a connection to the pool after a complete response. Idle is how long the target
// keeps it; 0 if the target sent no idle timeout.
func (p *Pool) Put(c *Conn, idle time.Duration) {
	if c.Reader.Buffered() > 0 {
		c.Close() //nolint:errcheck // bytes after a complete response belong to no request
		return
	}
	if idle <= 0 {
		idle = defaultIdle
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = p.options.Clock.Now()
	c.expires = c.idleSince.Add(idle - idleMargin)
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Sweep closes connections that were idle for too long, and all connections to targets that are
// no longer known.
func (p *Pool) Sweep(known func(target string) bool) {
	for _, c := range p.removeStale(known) {
		c.Close() //nolint:errcheck // nothing was sent on it
	}
}

func (p *Pool) removeStale(known func(target string) bool) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	var stale []*Conn
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if known(target) && now.Before(c.expires) && now.Sub(c.idleSince) < time.Duration(LongIdle) {
				kept = append(kept, c)
			} else {
				stale = append(stale, c)
			}
		}
		p.idle[target] = kept
		if len(kept) == 0 {
			delete(p.idle, target)
		}
	}
	return stale
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Sweep(func(string) bool { return false }) }
