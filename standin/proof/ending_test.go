package proof

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/fleet"
	"zinccove.example/standin/routesite"
	"zinccove.example/standin/worker"
)

const (
	// contactTime is how long routers may take to tell each other, endsAllowed the number
	// of targets that a request may still reach after that, once three ended under it.
	contactTime = 3 * time.Second
	endsAllowed = 3
	// targetDown is how long a target that ended is away.
	targetDown = 200 * time.Millisecond
)

// endings are the times at which targets were seen to have ended.
type endings struct {
	mu    sync.Mutex
	times []time.Time
	// starting are the targets that are being started again.
	starting map[*fleet.Target]bool
}

// Load returns the number of targets that ended.
func (e *endings) Load() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.times)
}

// since returns the ends after a time.
func (e *endings) since(t time.Time) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(e.times), t.After)
}

// begin notes that a target has ended. It returns false if it is being started again.
func (e *endings) begin(w *fleet.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.starting[w] || !w.Ended() {
		return false
	}
	e.times = append(e.times, time.Now())
	e.starting[w] = true
	return true
}

// restart starts a target again that was away for a while.
func (e *endings) restart(w *fleet.Target, down time.Duration) error {
	time.Sleep(down)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starting[w] = false
	return w.Restart()
}

// revive starts targets again some time after they ended, until the test ends, and counts the ends.
func revive(t *testing.T, s *routesite.Site, down time.Duration) *endings {
	t.Helper()
	ends := &endings{starting: make(map[*fleet.Target]bool)}
	var group, restarts errgroup.Group
	stop := make(chan struct{})
	group.Go(func() error {
		for {
			select {
			case <-stop:
				return nil
			case <-time.After(10 * time.Millisecond):
			}
			for _, w := range s.Workers {
				if ends.begin(w) {
					restarts.Go(func() error { return ends.restart(w, down) })
				}
			}
		}
	})
	t.Cleanup(func() {
		close(stop)
		group.Wait() //nolint:errcheck // returns none
		assert.NilError(t, restarts.Wait())
	})
	return ends
}

// TestRequestThatEndsItsTargetsIsBounded was a fault that took a fleet's engines down one
// after the other. A request ended each engine that began to run it, and its callers sent
// it again under new ids, at any router. The routers knew requests by their ids only and
// told each other nothing of what had run at a target that ended: six engines in a row
// ended with "read stream: unexpected EOF" under the same chat of one customer, which came
// by five routers, 16 in all.
//
// Three targets may end under it. Once the routers had the time to tell each other, it may
// reach three more at most, whichever router it comes to, one that just started as well,
// also after all routers lost what they know, and other requests are served as before.
func TestRequestThatEndsItsTargetsIsBounded(t *testing.T) {
	for _, path := range routesite.Paths {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			s := newRouteSite(t, 3)
			configure(t, s, routesite.Config(1, routeKey))
			assert.NilError(t, s.AwaitReady(routeWait))
			assert.NilError(t, s.AwaitMembers(routeWait))
			for _, r := range s.Routers {
				awaitStatus(t, s, r, path, routeKey, 200)
			}
			ends := revive(t, s, targetDown)
			ask := func(n int) *routesite.Answer {
				r := s.Routers[n%len(s.Routers)]
				return s.Repeat(r.Caller, "POST", path, routeKey, worker.EndingBody+" "+path)
			}
			// Copies come at the same time at first, then one by one.
			var copies errgroup.Group
			for n := range s.Routers {
				copies.Go(func() error { ask(n); return nil })
			}
			assert.NilError(t, copies.Wait())
			for n := range 40 {
				if ends.Load() >= 3 {
					break
				}
				ask(n)
				time.Sleep(50 * time.Millisecond)
			}
			assert.Assert(t, ends.Load() > 0, "the request ends no target")
			told := time.Now().Add(contactTime)
			for n := 0; time.Now().Before(told); n++ {
				ask(n)
				time.Sleep(200 * time.Millisecond)
			}
			s.Routers[0].Kill()
			assert.NilError(t, s.Routers[0].Restart(s.Routers[1].Peer))
			assert.NilError(t, s.AwaitReady(routeWait))
			assert.NilError(t, s.AwaitMembers(routeWait))
			time.Sleep(contactTime)
			before := ends.Load()
			for n := range 30 {
				a := ask(n)
				assert.Assert(t, !a.Complete(), "answered %d", a.Status)
				time.Sleep(100 * time.Millisecond)
			}
			assert.Assert(t, ends.Load()-before <= endsAllowed, "%d targets ended, %d of them later", ends.Load(), ends.Load()-before)
			for _, r := range s.Routers {
				a := s.Call(r.Caller, "POST", path, routeKey)
				assert.Assert(t, a.Whole(path), fmt.Sprint(a.Status, a.Err))
			}
			restartAll(t, s)
			for n := range 12 {
				ask(n)
			}
			assert.Assert(t, ends.Load()-before <= endsAllowed, "%d targets ended, %d of them later", ends.Load(), ends.Load()-before)
		})
	}
}

// restartAll has all routers lose what they know at once.
func restartAll(t *testing.T, s *routesite.Site) {
	t.Helper()
	for _, r := range s.Routers {
		r.Kill()
	}
	for _, r := range s.Routers {
		assert.NilError(t, r.Restart())
	}
	assert.NilError(t, s.AwaitReady(routeWait))
	assert.NilError(t, s.AwaitMembers(routeWait))
}

// TestRouterThatWakesKnowsWhatEndedTargetsMeanwhile has a router stand still while the others
// bar a request, and then asks it at once.
func TestRouterThatWakesKnowsWhatEndedTargetsMeanwhile(t *testing.T) {
	const path = "/lookup/"
	s := newRouteSite(t, 3)
	configure(t, s, routesite.Config(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	assert.NilError(t, s.AwaitMembers(routeWait))
	for _, r := range s.Routers {
		awaitStatus(t, s, r, path, routeKey, 200)
	}
	ends := revive(t, s, targetDown)
	ask := func(r *fleet.Router) *routesite.Answer {
		return s.Repeat(r.Caller, "POST", path, routeKey, worker.EndingBody)
	}
	frozen := s.Routers[2]
	assert.NilError(t, frozen.Signal(syscall.SIGSTOP))
	defer frozen.Signal(syscall.SIGCONT) //nolint:errcheck // it is ended next
	for range 20 {
		ask(s.Routers[0])
		ask(s.Routers[1])
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(contactTime)
	before := ends.Load()
	assert.Assert(t, before > 0, "the request ends no target")
	assert.NilError(t, frozen.Signal(syscall.SIGCONT))
	for range 20 {
		ask(frozen)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * targetDown)
	assert.Assert(t, ends.Load()-before <= endsAllowed, "%d targets ended, %d of them later", ends.Load(), ends.Load()-before)
}
