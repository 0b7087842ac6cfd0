package testrouter

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// network is the router's way to all others, which can be cut. Connections
// across a cut hang, as they do when packets are lost: reads and writes wait
// until the cut heals, their deadline passes or they are closed.
type network struct {
	mu      sync.Mutex
	blocked map[netip.AddrPort]bool
}

func (n *network) cut(addrs []netip.AddrPort) {
	blocked := make(map[netip.AddrPort]bool)
	for _, a := range addrs {
		blocked[a] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
}

func (n *network) reachable(a netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.blocked[a]
}

// dial connects unless the address is cut off, in which case it times out.
func (n *network) dial(addr string, timeout time.Duration) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	if !n.reachable(to) {
		time.Sleep(timeout)
		return nil, fasthttp.ErrDialTimeout
	}
	c, err := fasthttp.DialTimeout(addr, timeout)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, network: n, to: to}, nil
}

// conn is a connection that hangs while its address is cut off.
type conn struct {
	net.Conn
	network  *network
	to       netip.AddrPort
	deadline atomic.Int64
	closed   atomic.Bool
}

// hangPeriod is how often a hanging connection looks whether it may go on.
const hangPeriod = 5 * time.Millisecond

// hang waits while the address is cut off.
func (c *conn) hang() error {
	for !c.network.reachable(c.to) {
		if c.closed.Load() {
			return net.ErrClosed
		}
		if d := c.deadline.Load(); d != 0 && time.Now().UnixNano() > d {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(hangPeriod)
	}
	return nil
}

// Read reads after the cut has healed.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if herr := c.hang(); herr != nil {
		return 0, herr
	}
	return n, err
}

// Write writes after the cut has healed.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.hang(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.noteDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.noteDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) noteDeadline(t time.Time) {
	if t.IsZero() {
		c.deadline.Store(0)
		return
	}
	c.deadline.Store(t.UnixNano())
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
