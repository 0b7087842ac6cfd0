package offload

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// passage is a connection between two routers that can be paused and cut.
type passage struct {
	address netip.AddrPort
	target  string

	mu                sync.Mutex
	changed           sync.Cond
	requests, replies bool // paused
	conns             []net.Conn
}

// newPassage returns a passage to a router.
func newPassage(t *testing.T, to netip.AddrPort) *passage {
	t.Helper()
	p := &passage{target: to.String()}
	p.changed.L = &p.mu
	p.address = silent(t, p.pass)
	t.Cleanup(p.cut)
	return p
}

func (p *passage) pass(c net.Conn) {
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, c, d)
	p.mu.Unlock()
	go p.copy(c, d, &p.requests)
	p.copy(d, c, &p.replies)
}

func (p *passage) copy(from, to net.Conn, paused *bool) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		p.mu.Lock()
		for *paused {
			p.changed.Wait()
		}
		p.mu.Unlock()
		if err != nil {
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (p *passage) set(requests, replies bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests, p.replies = requests, replies
	p.changed.Broadcast()
}

func (p *passage) pause()        { p.set(true, true) }
func (p *passage) pauseReplies() { p.set(false, true) }
func (p *passage) resume()       { p.set(false, false) }

func (p *passage) cut() {
	p.resume()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}

// Requests pass a passage.
func TestPassage(t *testing.T) {
	s := newServer(t, echo)
	c := newClient(t, testKey)
	p := newPassage(t, s.Address())
	connected(t, c, p.address)
	assert.Equal(t, assertQuick(t, c, p.address, 10), 10)
}
