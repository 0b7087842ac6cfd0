package link

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

var addr = netip.MustParseAddrPort("127.0.0.1:1")

// newTestPool returns a pool and the peer ends of its connections.
func newTestPool(t *testing.T) (*Pool, *clockwork.FakeClock, *[]net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var far []net.Conn
	clock := clockwork.NewFakeClock()
	p := NewPool(Options{Clock: clock, Dial: func(netip.AddrPort, time.Duration) (net.Conn, error) {
		near, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return nil, err
		}
		c, err := l.Accept()
		far = append(far, c)
		return near, err
	}})
	t.Cleanup(func() {
		p.Close()
		l.Close()
		for _, c := range far {
			c.Close()
		}
	})
	return p, clock, &far
}

func get(t *testing.T, p *Pool, target string, fresh IdleLimit) *Conn {
	t.Helper()
	c, err := p.Get(target, addr, fresh, MaxDialTimeout)
	assert.NilError(t, err)
	return c
}

func TestConnectionIsUsedAgainOnlyForItsTarget(t *testing.T) {
	p, _, far := newTestPool(t)
	p.Put(get(t, p, "a", LongIdle), 0)
	assert.Assert(t, !get(t, p, "b", LongIdle).Reused)
	assert.Assert(t, get(t, p, "a", LongIdle).Reused)
	assert.Equal(t, len(*far), 2)
}

func TestIdleConnectionIsNotUsedBeyondShortIdle(t *testing.T) {
	p, clock, _ := newTestPool(t)
	p.Put(get(t, p, "a", ShortIdle), 0)
	clock.Advance(time.Duration(ShortIdle) + time.Millisecond)
	assert.Assert(t, !get(t, p, "a", ShortIdle).Reused)
	assert.Assert(t, get(t, p, "a", LongIdle).Reused)
}

func TestConnectionExpiresBeforeTargetClosesIt(t *testing.T) {
	p, clock, _ := newTestPool(t)
	p.Put(get(t, p, "a", LongIdle), 2*time.Second)
	clock.Advance(2*time.Second - idleMargin + time.Millisecond)
	assert.Assert(t, !get(t, p, "a", LongIdle).Reused)
}

func TestDisturbedIdleConnectionIsNotReused(t *testing.T) {
	for _, disturb := range []func(net.Conn){
		func(c net.Conn) { c.Write([]byte("stray")) },
		func(c net.Conn) { c.Close() },
	} {
		p, _, far := newTestPool(t)
		p.Put(get(t, p, "a", LongIdle), 0)
		disturb((*far)[0])
		time.Sleep(20 * time.Millisecond)
		assert.Assert(t, !get(t, p, "a", LongIdle).Reused)
	}
}

func TestSweepClosesConnectionsOfUnknownTargets(t *testing.T) {
	p, clock, far := newTestPool(t)
	p.Put(get(t, p, "a", LongIdle), 0)
	p.Put(get(t, p, "b", LongIdle), 0)
	p.Sweep(func(target string) bool { return target == "a" })
	_, err := (*far)[1].Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
	assert.Assert(t, get(t, p, "a", LongIdle).Reused)
	clock.Advance(time.Hour)
}

func TestFailureToConnectIsAnError(t *testing.T) {
	p := NewPool(Options{Clock: clockwork.NewFakeClock()})
	_, err := p.Get("a", addr, LongIdle, MaxDialTimeout)
	assert.ErrorContains(t, err, "connect to target (127.0.0.1:1)")
}

func TestProbeTellsTargetsThatEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	to := netip.MustParseAddrPort(l.Addr().String())
	p := NewPool(Options{Clock: clockwork.NewRealClock()})
	defer p.Close()
	assert.NilError(t, p.Probe("t", to, MaxDialTimeout, time.Millisecond))
	c, err := p.Get("t", to, ShortIdle, MaxDialTimeout)
	assert.NilError(t, err)
	assert.Assert(t, c.Reused, "the connection of the probe is kept")
	assert.NilError(t, c.Close())
	assert.NilError(t, l.Close())
	assert.ErrorIs(t, p.Probe("t", to, MaxDialTimeout, time.Millisecond), errEnded)
}
