// Package link keeps connections to targets.
//
// A connection carries one request at a time. It is given back only after a
// whole answer with nothing behind it, and looked at before it is used again:
// bytes that arrived meanwhile belong to no request, so such a connection is
// closed. Targets close idle connections, sometimes without notice, and a
// request sent at that moment may or may not have run; requests that must not
// be repeated therefore ask for a connection that was used recently.
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
	"golang.org/x/sys/unix"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/hangup"
)

// IdleLimit is how long a connection may have rested before it is used again.
type IdleLimit time.Duration

const (
	// ShortIdle is for requests that must not be repeated: shorter than any target
	// forgets a connection.
	ShortIdle = IdleLimit(400 * time.Millisecond)
	// LongIdle is for requests that may be sent again.
	LongIdle = IdleLimit(3 * time.Second)
)

const (
	// MaxDialTimeout bounds connecting; inside a region it takes a few milliseconds,
	// also when a target is busy.
	MaxDialTimeout = 150 * time.Millisecond
	// deadPeer is how long sent bytes may stay unacknowledged, and how long a
	// silent peer is probed, before the connection counts as broken.
	deadPeer = 2 * time.Second
	// probeAfter is the silence after which a peer is probed.
	probeAfter = time.Second
	// readBuffer holds the header of an answer or a few events of a stream.
	readBuffer = 4096
	// defaultIdle is how long a connection is kept if the target did not say.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the target a router gives up an idle
	// connection.
	idleMargin = 500 * time.Millisecond
)

// Options configure a pool.
type Options struct {
	Clock clockwork.Clock
	// Dial connects to an address within a time; the default is TCP with the limits of
	// this package.
	Dial func(netip.AddrPort, time.Duration) (net.Conn, error)
}

// Pool holds idle connections by the id of the target. It is safe for
// concurrent use.
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

// DialTimeout connects to an address within a timeout, at most MaxDialTimeout. The
// connection breaks when the peer is silent for some seconds while it is probed
// or sent to.
func DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         min(timeout, MaxDialTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeAfter, Count: int(deadPeer / probeAfter)},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			cerr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadPeer.Milliseconds()))
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
	// Reused tells that the connection carried another request before.
	Reused bool

	target string
	raw    syscall.RawConn
	rested time.Time
	until  time.Time
}

// Get returns a connection to a target, a new one within a timeout. Only a failure
// to connect is an error, so nothing was sent then.
func (p *Pool) Get(target string, addr netip.AddrPort, fresh IdleLimit, timeout time.Duration) (*Conn, error) {
	for {
		c := p.take(target, fresh)
		if c == nil {
			break
		}
		if c.quiet() {
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

func newConn(nc net.Conn, target string) *Conn {
	c := &Conn{Conn: nc, Reader: bufio.NewReaderSize(nc, readBuffer), target: target}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	return c
}

// take removes and returns the connection that rested least, if it rested for
// less than fresh.
func (p *Pool) take(target string, fresh IdleLimit) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	now := p.options.Clock.Now()
	if now.Sub(c.rested) > time.Duration(fresh) || now.After(c.until) {
		return nil
	}
	p.idle[target] = list[:len(list)-1]
	return c
}

// quiet reports whether nothing arrived on an idle connection.
func (c *Conn) quiet() bool {
	return c.Reader.Buffered() == 0 && (c.raw == nil || hangup.Peek(c.raw) == hangup.Idle)
}

// Put gives a connection back after a whole answer. Idle is how long the
// target keeps it; 0 if it did not say.
func (p *Pool) Put(c *Conn, idle time.Duration) {
	if c.Reader.Buffered() > 0 {
		c.Close() //nolint:errcheck // bytes behind a whole answer belong to no request
		return
	}
	if idle <= 0 {
		idle = defaultIdle
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.rested = p.options.Clock.Now()
	c.until = c.rested.Add(idle - idleMargin)
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Sweep closes connections that rested too long, and all of targets that are
// not known any more.
func (p *Pool) Sweep(known func(target string) bool) {
	for _, c := range p.stale(known) {
		c.Close() //nolint:errcheck // nothing was sent on it
	}
}

func (p *Pool) stale(known func(target string) bool) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	var stale []*Conn
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if known(target) && now.Before(c.until) && now.Sub(c.rested) < time.Duration(LongIdle) {
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
