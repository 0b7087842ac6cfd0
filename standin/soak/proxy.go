package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// way is how a proxy treats bytes.
type way int32

// The ways.
const (
	pass way = iota
	// slow delays each piece.
	slow
	// silent takes bytes and passes none on, in both directions.
	silent
	// deaf passes requests on and loses answers.
	deaf
	// reset ends connections when bytes come.
	reset
	ways
)

var wayNames = [ways]string{"pass", "slow", "silent", "deaf", "reset"}

// slowness is the delay of each piece in the way slow.
const slowness = 60 * time.Millisecond

// proxy stands between routers and one address.
type proxy struct {
	listener net.Listener
	way      atomic.Int32
	// muted grows each time the open connections go silent for good.
	muted atomic.Int64
	group errgroup.Group

	mu    sync.Mutex
	to    netip.AddrPort
	conns map[net.Conn]struct{}
}

func newProxy() (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, conns: make(map[net.Conn]struct{})}
	p.group.Go(p.accept)
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *proxy) connect(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.to = to
}

func (p *proxy) set(w way) { p.way.Store(int32(w)) }

// mute has the connections that are open pass nothing on any more.
func (p *proxy) mute() { p.muted.Add(1) }

func (p *proxy) accept() error {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // the proxy was closed
		}
		p.group.Go(func() error { p.serve(c); return nil })
	}
}

func (p *proxy) serve(near net.Conn) {
	opened := p.muted.Load()
	p.mu.Lock()
	to := p.to
	p.mu.Unlock()
	far, err := net.DialTimeout("tcp", to.String(), time.Second)
	if err != nil {
		near.Close()
		return
	}
	p.keep(near, far)
	var g errgroup.Group
	g.Go(func() error { return p.copy(far, near, opened, false) })
	g.Go(func() error { return p.copy(near, far, opened, true) })
	g.Wait() //nolint:errcheck // both ends are closed then
	p.drop(near, far)
}

func (p *proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(p.conns, c)
	}
}

// copy passes bytes on in the way that is set when they come. A connection that lost bytes is reset
// when more come that would be passed on: TCP never delivers bytes after a gap. One that was opened before
// the proxy was muted stays silent.
func (p *proxy) copy(to, from net.Conn, opened int64, answer bool) error {
	defer to.Close()
	b := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(b)
		if n > 0 {
			switch w := way(p.way.Load()); {
			case p.muted.Load() > opened:
				lost = true
				continue
			case w == slow:
				time.Sleep(slowness)
			case w == silent || w == deaf && answer:
				lost = true
				continue
			case w == reset || lost:
				to.(*net.TCPConn).SetLinger(0)
				return from.(*net.TCPConn).SetLinger(0)
			}
			if _, err := to.Write(b[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			if lost {
				to.(*net.TCPConn).SetLinger(0) // the end of the connection comes after the lost bytes
			}
			return nil
		}
		if err != nil {
			to.(*net.TCPConn).SetLinger(0) // a reset is passed on as one
			return err
		}
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	for c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.group.Wait() //nolint:errcheck // the goroutines return no error
}
