package proof

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/fleet"
	"zinccove.example/standin/routesite"
)

// TestStoreThatComesBackFromACopyTakesNothingBack has the store come back from a copy some
// seconds old, which lacks that a target is leaving and that a key was taken away. Versions
// go back and are given out again: routers that order by them alone ignored what was new,
// and what the copy said of the target counted again.
//
// The target gets nothing new and the key stays refused, also while the store holds the old
// rows, and at a router that starts meanwhile. What is written after that takes effect in
// the usual time: a configuration, and a second target that leaves.
func TestStoreThatComesBackFromACopyTakesNothingBack(t *testing.T) {
	for _, age := range []time.Duration{2 * time.Second, 6 * time.Second} {
		t.Run(age.String(), func(t *testing.T) {
			t.Parallel()
			g := newGoingBack(t, age)
			g.changeThings(t)
			assert.NilError(t, g.GoBack(age, 1500*time.Millisecond))
			g.Routers[0].Kill()
			assert.NilError(t, g.Routers[0].Restart(g.Routers[1].Peer))
			g.holdFor(t, 4*time.Second)
			g.changeMore(t)
		})
	}
}

// goingBack is a site with two targets that will leave.
type goingBack struct {
	*routesite.Site
	leaving, next *fleet.Target
	// before is the number of requests that the leaving target had run when it was left.
	before int
	stops  errgroup.Group
}

// usual is the time in which changes take effect; the smallest fleets have this much.
const usual = 2 * time.Second

func newGoingBack(t *testing.T, age time.Duration) *goingBack {
	g := &goingBack{Site: newRouteSite(t, 3)}
	t.Cleanup(func() { assert.NilError(t, g.stops.Wait()) })
	for _, x := range []struct {
		id     string
		target **fleet.Target
	}{{"leaving", &g.leaving}, {"next", &g.next}} {
		w, err := g.AddWorker(x.id, routesite.Model, "dc1", "--drain-time", "12s")
		assert.NilError(t, err)
		*x.target = w
	}
	configure(t, g.Site, routesite.Config(5, routeKey, "second"))
	assert.NilError(t, g.AwaitReady(routeWait))
	assert.NilError(t, g.AwaitMembers(routeWait))
	for _, r := range g.Routers {
		awaitStatus(t, g.Site, r, "/draft/", "second", 200)
	}
	time.Sleep(age + 300*time.Millisecond)
	return g
}

// leave has a target say that it leaves, and waits until it must get nothing new.
func (g *goingBack) leave(t *testing.T, w *fleet.Target) {
	t.Helper()
	g.stops.Go(func() error { _, err := w.Stop(); return err })
	time.Sleep(usual)
}

// changeThings has a target leave and a key taken away, which the copy lacks.
func (g *goingBack) changeThings(t *testing.T) {
	t.Helper()
	configure(t, g.Site, routesite.Config(9, routeKey))
	g.stops.Go(func() error { _, err := g.leaving.Stop(); return err })
	for _, r := range g.Routers {
		awaitStatus(t, g.Site, r, "/draft/", "second", 401)
	}
	time.Sleep(500 * time.Millisecond)
	g.before = requestsRunBy(t, g.leaving)
}

// holdFor asks all routers for some time. A router that just started and knows no
// configuration yet answers 503.
func (g *goingBack) holdFor(t *testing.T, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, r := range g.Routers {
			a := g.Call(r.Caller, "POST", "/draft/", "second")
			assert.Assert(t, a.Status == 401 || i == 0 && a.Status == 503, "%s: status %d", r.Name, a.Status)
			a = g.Call(r.Caller, "POST", "/draft/", routeKey)
			assert.Assert(t, a.Whole("/draft/") || i == 0 && a.Status == 503, "%s: %d %v", r.Name, a.Status, a.Err)
		}
		assert.Equal(t, requestsRunBy(t, g.leaving), g.before, "a target that leaves got new requests")
	}
}

// changeMore has a configuration and the next target's leaving take effect.
func (g *goingBack) changeMore(t *testing.T) {
	t.Helper()
	configure(t, g.Site, routesite.Config(12, routeKey, "third"))
	written := time.Now()
	for _, r := range g.Routers {
		awaitStatus(t, g.Site, r, "/draft/", "third", 200)
	}
	assert.Assert(t, time.Since(written) < usual, fmt.Sprint(time.Since(written)))
	g.leave(t, g.next)
	before := requestsRunBy(t, g.next)
	for range 20 {
		for _, r := range g.Routers {
			assert.Assert(t, g.Call(r.Caller, "POST", "/draft/", routeKey).Whole("/draft/"))
		}
	}
	assert.Equal(t, requestsRunBy(t, g.next), before, "a target that leaves got new requests")
}

// TestCallRunsOnceAlthoughItsClaimIsLost has the store come back from a copy without the
// claims of the last seconds, while a call runs and after one was answered. The same calls
// come again through another router at once, and until they are answered: they must not run
// a second time.
func TestCallRunsOnceAlthoughItsClaimIsLost(t *testing.T) {
	s := newSite(t, 2)
	time.Sleep(2500 * time.Millisecond) // so that the copy has the configuration
	first, second := s.Routers[0], s.Routers[1]
	assert.Equal(t, callOnce(first, "answered").outcome, answered)
	var running errgroup.Group
	running.Go(func() error { callOnce(first, "running"); return nil })
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, s.GoBack(2*time.Second, time.Second))
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, body := range []string{"answered", "running"} {
			callOnce(second, body)
		}
	}
	assert.NilError(t, running.Wait())
	ran, err := s.ran()
	assert.NilError(t, err)
	for _, body := range []string{"answered", "running"} {
		assert.Equal(t, ran.effects[body], 1, body)
	}
	assert.Equal(t, callOnce(second, "answered").outcome, replayed, "the answer is known again")
	assert.Equal(t, callOnce(second, "new").outcome, answered)
}
