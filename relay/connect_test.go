package relay

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// near is the time of a connection to a target in the same data centre.
const near = 2 * time.Millisecond

// TestSlowConnectionsToMostTargetsImpairRouter has some failed targets, then only slow ones.
func TestSlowConnectionsToMostTargetsImpairRouter(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newConnectHistory(clock)
	name := func(i int) string { return string(rune('a' + i)) }
	for i := range connectSamples {
		if i < 4 {
			c.record("dc", name(i), 60*time.Millisecond, false)
		} else {
			c.record("dc", name(i), near, true)
		}
	}
	assert.Assert(t, !c.impaired(), "four of nine targets have failed")
	assert.Equal(t, c.excess(), 0.0)
	for range connectSamples {
		c.record("dc", "dead", 60*time.Millisecond, false)
	}
	assert.Assert(t, !c.impaired(), "one target is connected to again and again")
	for i := range connectSamples {
		c.record("dc", name(i), near+saturatedConnect, true)
	}
	assert.Assert(t, c.impaired(), "all are slow")
	assert.Equal(t, c.excess(), 1.0)
	clock.Advance(connectSampleTTL)
	assert.Equal(t, c.excess(), 0.0, "old samples do not count, so that some streams are admitted again")
}

// TestDistantTargetsDoNotCountAsOverload connects to targets of another region, then slowly to all.
func TestDistantTargetsDoNotCountAsOverload(t *testing.T) {
	const far = 62 * time.Millisecond
	c := newConnectHistory(clockwork.NewFakeClock())
	targets := func(took time.Duration) {
		for i := range connectSamples {
			c.record("far", string(rune('a'+i)), took, true)
		}
	}
	targets(far)
	assert.Assert(t, !c.impaired())
	assert.Equal(t, c.excess(), 0.0)
	assert.Equal(t, c.distance("far"), far)
	targets(far + saturatedConnect)
	assert.Assert(t, c.impaired())
	assert.Equal(t, c.excess(), 1.0)
}

// TestDistanceFollowsThePath has the path to a data centre become longer.
func TestDistanceFollowsThePath(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newConnectHistory(clock)
	c.record("dc", "t", near, true)
	c.record("dc", "t", 0, false)
	assert.Equal(t, c.distance("dc"), near, "failures have no distance")
	for range 3 {
		clock.Advance(distanceWindow)
		c.record("dc", "t", saturatedConnect, true)
	}
	assert.Equal(t, c.distance("dc"), saturatedConnect)
}

// TestFailedConnectsTakeAnEighthOfObjective has three targets, all of them unreachable.
func TestFailedConnectsTakeAnEighthOfObjective(t *testing.T) {
	var (
		mu    sync.Mutex
		spent time.Duration
	)
	s := newTestServerDialling(t, func(_ netip.AddrPort, timeout time.Duration) (net.Conn, error) {
		time.Sleep(timeout)
		mu.Lock()
		defer mu.Unlock()
		spent += timeout
		return nil, os.ErrDeadlineExceeded
	}, newTarget(t, "t1", respondOK), newTarget(t, "t2", respondOK), newTarget(t, "t3", respondOK))
	for _, path := range []string{"/once/", "/model/"} {
		spent = 0
		res := s.do(t, "POST", path, "r", "b")
		assert.Equal(t, res.header.StatusCode(), 503)
		assert.Assert(t, len(res.header.Peek("Retry-After")) > 0)
		mu.Lock()
		assert.Assert(t, spent <= time.Second/8, "%s: %v", path, spent)
		mu.Unlock()
	}
}

// TestRequestOfClosedCallerIsNotSent has the caller close its connection while the router
// connects.
func TestRequestOfClosedCallerIsNotSent(t *testing.T) {
	f := newTarget(t, "t", respondOK)
	left := make(chan struct{})
	dialling := make(chan struct{}, 8)
	s := newTestServerDialling(t, func(to netip.AddrPort, _ time.Duration) (net.Conn, error) {
		dialling <- struct{}{}
		<-left
		return net.Dial("tcp", to.String())
	}, f)
	c := s.dial(t)
	c.send("POST", "/model/", "r", "b")
	<-dialling
	assert.NilError(t, c.Close())
	time.Sleep(10 * time.Millisecond) // the close crosses the loopback
	close(left)
	eventually(t, "request ends", func() bool { return s.Running() == 0 })
	assert.Equal(t, len(f.received()), 0)
}
