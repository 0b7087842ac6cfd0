package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes connections on to an address. It can silence those that are open: they stay open, and no
// byte passes any more in either direction, while new ones work.
type proxy struct {
	listener net.Listener
	to       string

	mu   sync.Mutex
	open map[*passed]bool
}

// passed is a connection that the proxy passes on.
type passed struct {
	near, far net.Conn
	silent    atomic.Bool
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, open: make(map[*passed]bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(near)
	}
}

func (p *proxy) pass(near net.Conn) {
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		near.Close()
		return
	}
	c := &passed{near: near, far: far}
	p.mu.Lock()
	p.open[c] = true
	p.mu.Unlock()
	go c.copy(near, far)
	c.copy(far, near)
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
}

// copy passes bytes on until the connection ends. A silent connection is neither read nor closed on the
// side of the store; its other end is closed once the router has closed its own.
func (c *passed) copy(to, from net.Conn) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if c.silent.Load() {
			if from == c.near {
				io.Copy(io.Discard, from)
				c.far.Close()
				c.near.Close()
			}
			return
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			c.near.Close()
			c.far.Close()
			return
		}
	}
}

// silence silences all open connections and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.open {
		if !c.silent.Swap(true) {
			n++
		}
	}
	return n
}
