package proof

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/fault"
	"zinccove.example/standin/fleet"
	"zinccove.example/standin/routesite"
	"zinccove.example/zinccove/platform/wire"
)

// shortDrain is shorter than a stream, so that targets end in the midst of responses.
const shortDrain = 150 * time.Millisecond

// endsOfTargets are the ways in which a target ends in the midst of responses, other than a kill after
// which it is away for a while.
var endsOfTargets = []struct {
	name string
	end  func(t *testing.T, s *routesite.Site, w *fleet.Target)
}{
	{"drains", func(t *testing.T, _ *routesite.Site, w *fleet.Target) {
		_, err := w.Stop()
		assert.NilError(t, err)
		reviveLater(t, w)
	}},
	{"killed while it drains", func(t *testing.T, s *routesite.Site, w *fleet.Target) {
		assert.NilError(t, w.Signal(syscall.SIGTERM))
		time.Sleep(shortDrain / 2)
		killAndRevive(t, s, w)
	}},
	{"killed after its responses said that it leaves", func(t *testing.T, s *routesite.Site, w *fleet.Target) {
		assert.NilError(t, fleet.SetFaults(w.Address, fault.Fault{Step: "say", Mode: fault.Leaving}))
		time.Sleep(shortDrain)
		killAndRevive(t, s, w)
	}},
	{"killed after its entry went", func(t *testing.T, s *routesite.Site, w *fleet.Target) {
		assert.NilError(t, s.RemoveRow(wire.TableTargets, w.Name))
		time.Sleep(shortDrain)
		killAndRevive(t, s, w)
	}},
	{"back at its address at once", func(t *testing.T, _ *routesite.Site, w *fleet.Target) {
		w.Kill()
		assert.NilError(t, w.Restart())
	}},
	{"another at its address at once", func(t *testing.T, s *routesite.Site, w *fleet.Target) {
		w.Kill()
		other, err := s.StartWorker("other-"+w.Name, routesite.Plain, w.DataCentre, "--listen", w.Address.String())
		assert.NilError(t, err)
		time.Sleep(targetDown)
		other.Kill()
		assert.NilError(t, w.Restart())
	}},
}

// killAndRevive kills a target and starts it again after a while.
func killAndRevive(t *testing.T, _ *routesite.Site, w *fleet.Target) {
	t.Helper()
	w.Kill()
	reviveLater(t, w)
}

// reviveLater starts a target that has ended again after a while.
func reviveLater(t *testing.T, w *fleet.Target) {
	t.Helper()
	time.Sleep(targetDown)
	assert.NilError(t, w.Restart())
}

const (
	endsOfCase = 8
	endEvery   = 400 * time.Millisecond
	callEvery  = 10 * time.Millisecond
)

// newUnframedSite returns a site whose targets send responses with neither length nor chunks, so that a
// broken connection looks like the end of the body.
func newUnframedSite(t *testing.T, flags ...string) *routesite.Site {
	t.Helper()
	s := newRouteSite(t, 3, append([]string{"--unframed-every", "1", "--event-time", "20ms", "--drain-time", shortDrain.String()}, flags...)...)
	configure(t, s, routesite.Config(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	assert.NilError(t, s.AwaitMembers(routeWait))
	for _, r := range s.Routers {
		for _, path := range routesite.Paths {
			awaitStatus(t, s, r, path, routeKey, 200)
		}
	}
	return s
}

func TestUnframedResponseOfEndedTargetDoesNotLookComplete(t *testing.T) {
	s := newUnframedSite(t)
	endTargets(t, s, killAndRevive)
}

func TestUnframedResponseOfLeavingTargetDoesNotLookComplete(t *testing.T) {
	s := newUnframedSite(t)
	for _, c := range endsOfTargets {
		t.Run(c.name, func(t *testing.T) { endTargets(t, s, c.end) })
	}
}

// TestUnframedResponseReadLateDoesNotLookComplete stops all routers for a moment in which a target begins
// responses and is killed, and is back at its address, or another one is.
func TestUnframedResponseReadLateDoesNotLookComplete(t *testing.T) {
	const (
		callTime = 100 * time.Millisecond
		beforeIt = 130 * time.Millisecond
	)
	s := newUnframedSite(t, "--call-time", callTime.String())
	signal := func(t *testing.T, sig syscall.Signal) {
		for _, r := range s.Routers {
			assert.NilError(t, r.Signal(sig))
		}
	}
	t.Run("back at its address", func(t *testing.T) {
		endTargets(t, s, func(t *testing.T, _ *routesite.Site, w *fleet.Target) {
			signal(t, syscall.SIGSTOP)
			time.Sleep(beforeIt)
			w.Kill()
			assert.NilError(t, w.Restart())
			signal(t, syscall.SIGCONT)
		})
	})
	t.Run("another at its address", func(t *testing.T) {
		endTargets(t, s, func(t *testing.T, s *routesite.Site, w *fleet.Target) {
			signal(t, syscall.SIGSTOP)
			time.Sleep(beforeIt)
			w.Kill()
			other, err := s.StartWorker("other-"+w.Name, routesite.Plain, w.DataCentre, "--listen", w.Address.String())
			assert.NilError(t, err)
			signal(t, syscall.SIGCONT)
			time.Sleep(targetDown)
			other.Kill()
			assert.NilError(t, w.Restart())
		})
	})
}

// endTargets ends one target after the other while callers send requests, none of which may get a part
// of a response that looks complete.
func endTargets(t *testing.T, s *routesite.Site, end func(*testing.T, *routesite.Site, *fleet.Target)) {
	t.Helper()
	answers := callAll(t, s, callEvery, func() {
		for n := range endsOfCase {
			time.Sleep(endEvery)
			end(t, s, s.Workers[n%len(s.Workers)])
		}
	})
	whole, lacking, cut := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.Whole(a.Path):
			whole++
		case a.Complete():
			lacking++
		case a.Err != nil:
			cut++
		}
	}
	t.Logf("%d answers, %d whole, %d cut, %d look complete and are not", len(answers), whole, cut, lacking)
	assert.Equal(t, lacking, 0)
	assert.Assert(t, whole > len(answers)/2)
}

// callAll sends requests of all paths to all routers until the function returns.
func callAll(t *testing.T, s *routesite.Site, interval time.Duration, until func()) []*routesite.Answer {
	t.Helper()
	var mu sync.Mutex
	var answers []*routesite.Answer
	var calls, sender errgroup.Group
	stop := make(chan struct{})
	sender.Go(func() error {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return nil
			case <-time.After(interval):
			}
			calls.Go(func() error {
				path := routesite.Paths[n%len(routesite.Paths)]
				a := s.Call(s.Routers[n/len(routesite.Paths)%len(s.Routers)].Caller, "POST", path, routeKey)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
				return nil
			})
		}
	})
	until()
	close(stop)
	assert.NilError(t, sender.Wait())
	assert.NilError(t, calls.Wait())
	return answers
}
