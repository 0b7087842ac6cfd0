package proof

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/fault"
	"zinccove.example/standin/fleet"
	"zinccove.example/standin/routesite"
	"zinccove.example/standin/worker"
)

// routeWait bounds what takes a second or two.
const routeWait = 8 * time.Second

const routeKey = "key-of-c"

// newRouteSite starts routers and, for each, an engine and a plain target with some flags.
func newRouteSite(t *testing.T, routers int, flags ...string) *routesite.Site {
	t.Helper()
	return newRouteSiteOf(t, fleet.ShippedRouter, routers, flags...)
}

func newRouteSiteOf(t *testing.T, program string, routers int, flags ...string) *routesite.Site {
	t.Helper()
	s, err := routesite.New(bin)
	assert.NilError(t, err)
	s.RouterProgram = program
	t.Cleanup(func() {
		s.Close()
		for _, r := range s.Routers {
			assert.Assert(t, !strings.Contains(r.Output(), "DATA RACE"), r.Output())
			assert.Assert(t, !strings.Contains(r.Output(), "panic:"), r.Output())
		}
	})
	for i := range routers {
		dc := fmt.Sprintf("dc%d", i+1)
		_, err := s.AddWorker(fmt.Sprintf("m%d", i+1), routesite.Model, dc, flags...)
		assert.NilError(t, err)
		_, err = s.AddWorker(fmt.Sprintf("p%d", i+1), routesite.Plain, dc, flags...)
		assert.NilError(t, err)
	}
	for i := range routers {
		_, err := s.StartRouter(fmt.Sprintf("r%d", i+1), fmt.Sprintf("dc%d", i+1))
		assert.NilError(t, err)
	}
	return s
}

func configure(t *testing.T, s *routesite.Site, body []byte) {
	t.Helper()
	assert.NilError(t, s.Configure(body))
}

func awaitStatus(t *testing.T, s *routesite.Site, r *fleet.Router, path, key string, want int) {
	t.Helper()
	deadline := time.Now().Add(routeWait)
	for {
		a := s.Call(r.Caller, "POST", path, key)
		if a.Status == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: status %d, %v, want %d", path, a.Status, a.Err, want)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func requestsRunBy(t *testing.T, w *fleet.Target) int {
	t.Helper()
	var runs map[string]worker.Run
	assert.NilError(t, fleet.GetJSON(w.Address, "/runs", &runs))
	return len(runs)
}

func TestRoutesAreServedWhole(t *testing.T) {
	s := newRouteSite(t, 3)
	configure(t, s, routesite.Config(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	for _, r := range s.Routers {
		awaitStatus(t, s, r, "/record/", routeKey, 200)
		for _, path := range routesite.Paths {
			a := s.Call(r.Caller, "POST", path, routeKey)
			assert.Assert(t, a.Whole(path), "%s: %d %v %q", path, a.Status, a.Err, a.Body)
			instance, _, _ := strings.Cut(a.Header.Get("Response-Seal"), ".")
			assert.Equal(t, a.Header.Get("Response-Seal"), worker.Seal(a.ID, instance))
		}
		assert.Equal(t, s.Call(r.Caller, "POST", "/none/", routeKey).Status, 404)
		assert.Equal(t, s.Call(r.Caller, "POST", "/record/", "other").Status, 401)
	}
	assert.NilError(t, s.AwaitMembers(routeWait))
}

func TestRouterWithoutStoreRecoversWithoutARestart(t *testing.T) {
	s := newRouteSite(t, 1)
	r := s.Routers[0]
	assert.Equal(t, s.Call(r.Caller, "POST", "/record/", routeKey).Status, 503)
	resp, err := http.Get("http://" + r.Control.String() + "/readyz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, 503)
	for _, step := range []string{"list", "get", "feed"} {
		assert.NilError(t, fleet.SetFaults(s.PlatformAddress, fault.Fault{Step: step, Mode: fault.Refuse}))
	}
	// A configuration of which half was written is rejected and said so.
	configure(t, s, routesite.Config(1, routeKey)[:200])
	assert.NilError(t, fleet.SetFaults(s.PlatformAddress))
	deadline := time.Now().Add(routeWait)
	for !strings.Contains(r.Output(), "configuration rejected") {
		assert.Assert(t, time.Now().Before(deadline), r.Output())
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, s.Call(r.Caller, "POST", "/record/", routeKey).Status, 503)
	configure(t, s, routesite.Config(1, routeKey))
	awaitStatus(t, s, r, "/record/", routeKey, 200)
}

func TestKeyIsInForceAndNeverGoesBack(t *testing.T) {
	s := newRouteSite(t, 3)
	configure(t, s, routesite.Config(5, routeKey, "second"))
	assert.NilError(t, s.AwaitReady(routeWait))
	for _, r := range s.Routers {
		awaitStatus(t, s, r, "/record/", "second", 200)
	}
	changed := time.Now()
	configure(t, s, routesite.Config(9, routeKey))
	for _, r := range s.Routers {
		awaitStatus(t, s, r, "/record/", "second", 401)
	}
	assert.Assert(t, time.Since(changed) < 2*time.Second)
	// An older version that turns up is ignored, also when the history is lost.
	configure(t, s, routesite.Config(7, routeKey, "second"))
	assert.NilError(t, s.Forget())
	time.Sleep(500 * time.Millisecond)
	for _, r := range s.Routers {
		assert.Equal(t, s.Call(r.Caller, "POST", "/record/", "second").Status, 401)
	}
}

func TestRestartedRouterLearnsFromOthersWhileTheStoreIsAway(t *testing.T) {
	s := newRouteSite(t, 2)
	configure(t, s, routesite.Config(3, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	assert.NilError(t, s.AwaitMembers(routeWait))
	assert.NilError(t, fleet.SetFaults(s.PlatformAddress,
		fault.Fault{Step: "list", Mode: fault.Refuse}, fault.Fault{Step: "get", Mode: fault.Refuse},
		fault.Fault{Step: "hosts", Mode: fault.Refuse}, fault.Fault{Step: "feed", Mode: fault.Refuse}))
	r := s.Routers[0]
	r.Kill()
	assert.NilError(t, r.Restart(s.Routers[1].Peer))
	assert.NilError(t, s.AwaitReady(routeWait))
	// It has a configuration but no targets; what it does not know it does not
	// deny.
	assert.Equal(t, s.Call(r.Caller, "POST", "/none/", routeKey).Status, 503)
}

func TestDrainingTargetOfRoutesGetsNoNewWork(t *testing.T) {
	s := newRouteSite(t, 2)
	configure(t, s, routesite.Config(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	for _, r := range s.Routers {
		awaitStatus(t, s, r, "/draft/", routeKey, 200)
	}
	_, err := s.AddWorker("leaving", routesite.Model, "dc1", "--drain-time", "2s")
	assert.NilError(t, err)
	leaving := s.Workers[len(s.Workers)-1]
	time.Sleep(200 * time.Millisecond)
	for _, r := range s.Routers {
		assert.Assert(t, s.Call(r.Caller, "POST", "/draft/", routeKey).Whole("/draft/"))
	}
	var g errgroup.Group
	g.Go(func() error { _, err := leaving.Stop(); return err })
	time.Sleep(500 * time.Millisecond)
	before := requestsRunBy(t, leaving)
	for range 4 {
		for _, r := range s.Routers {
			a := s.Call(r.Caller, "POST", "/draft/", routeKey)
			assert.Assert(t, a.Whole("/draft/"), "%d %v", a.Status, a.Err)
		}
	}
	assert.Equal(t, requestsRunBy(t, leaving), before)
	assert.NilError(t, g.Wait())
}

// TestPlannedStopOfRoutesCutsNothing stops a router while callers use it.
func TestPlannedStopOfRoutesCutsNothing(t *testing.T) {
	s := newRouteSite(t, 2)
	configure(t, s, routesite.Config(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	for _, r := range s.Routers {
		awaitStatus(t, s, r, "/draft/", routeKey, 200)
	}
	r := s.Routers[0]
	var g errgroup.Group
	var stopped atomic.Bool
	for range 8 {
		g.Go(func() error {
			for !stopped.Load() {
				a := s.Call(r.Caller, "POST", "/draft/", routeKey)
				refused := a.Status == 503 && a.Header.Get("Retry-After") != ""
				dialed := a.Err == nil || a.Status != 0 || strings.Contains(a.Err.Error(), "connect")
				if !a.Whole("/draft/") && !refused && dialed && !strings.Contains(fmt.Sprint(a.Err), "connect") {
					return fmt.Errorf("request %s: status %d, %v", a.ID, a.Status, a.Err)
				}
			}
			return nil
		})
	}
	time.Sleep(300 * time.Millisecond)
	code, err := r.Stop()
	stopped.Store(true)
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	assert.NilError(t, g.Wait())
}

// TestRoutesUnderFaultsRunOnce breaks answers and kills targets; what callers
// are told must agree with what ran.
func TestRoutesUnderFaultsRunOnce(t *testing.T) {
	s := newRouteSite(t, 3)
	configure(t, s, routesite.Config(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	for _, r := range s.Routers {
		awaitStatus(t, s, r, "/draft/", routeKey, 200)
	}
	for _, w := range s.Workers {
		assert.NilError(t, fleet.SetFaults(w.Address,
			fault.Fault{Step: "run", Mode: fault.Refuse, Count: 4}, fault.Fault{Step: "run", Mode: fault.DropAnswer, Count: 3},
			fault.Fault{Step: "run", Mode: fault.Cross, Count: 3}, fault.Fault{Step: "run", Mode: fault.Cut, After: 3, Count: 3}))
	}
	var answers []*routesite.Answer
	kept := make(map[string]string)
	for i := range 120 {
		path := routesite.Paths[i%len(routesite.Paths)]
		a := s.Call(s.Routers[i%3].Caller, "POST", path, routeKey)
		answers = append(answers, a)
		kept[a.ID] = path
	}
	ran, err := s.Runs()
	assert.NilError(t, err)
	whole := 0
	for _, a := range answers {
		path := kept[a.ID]
		switch {
		case a.Whole(path):
			whole++
		case a.Err == nil && a.Status == http.StatusOK:
			t.Errorf("%s %s: an answer that is not whole looks complete: %q", a.ID, path, a.Body)
		case a.Status == http.StatusServiceUnavailable && ran[a.ID] > 0:
			t.Errorf("%s %s: told not run, ran %d times", a.ID, path, ran[a.ID])
		}
		if once := strings.HasPrefix(path, "/record/") || strings.HasPrefix(path, "/draft/"); once && ran[a.ID] > 1 {
			t.Errorf("%s %s: ran %d times", a.ID, path, ran[a.ID])
		}
	}
	assert.Assert(t, whole > len(answers)/2, "%d of %d answers are whole", whole, len(answers))
}

// silenceFeeds has the store take calls for changes, and never answer them, while
// something changes, so that every router has asked in that time. It returns when
// the store has answered again for three seconds.
func silenceFeeds(t *testing.T, s *routesite.Site, change func()) {
	t.Helper()
	// silent is longer than routers collect changes.
	const silent = time.Second
	time.Sleep(time.Second) // all routers hold a feed
	assert.NilError(t, fleet.SetFaults(s.PlatformAddress, fault.Fault{Step: "feed", Mode: fault.Delay, Delay: time.Minute}))
	change()
	time.Sleep(silent)
	assert.NilError(t, fleet.SetFaults(s.PlatformAddress))
	time.Sleep(3 * time.Second)
}

// TestTargetLeavesAfterTheStoreWasSilent tells of targets that got new requests
// for seconds after they had said that they leave. The store had fallen silent
// for two seconds: it took calls and never answered them, while connections stayed
// up. Every router had asked for changes in that time. It waited for that answer for
// as long as a feed may be held, with the store long back and answering all others:
//
//	store lost table=servers since=27 waited_ms=11000 unheard_ms=11400
//	request placed target_version=11 targets_age_ms=7632
//
// Probes of the connection were answered all the while, and routers could not tell
// each other what none of them had read.
func TestTargetLeavesAfterTheStoreWasSilent(t *testing.T) {
	// drain is the time after which a target that leaves gets nothing new.
	const drain = 2 * time.Second
	s := newRouteSite(t, 3)
	configure(t, s, routesite.Config(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	assert.NilError(t, s.AwaitMembers(routeWait))
	leaving, err := s.AddWorker("leaving", routesite.Plain, "dc1", "--drain-time", "5s")
	assert.NilError(t, err)
	silenceFeeds(t, s, func() {
		_, err := s.AddWorker("another", routesite.Plain, "dc2")
		assert.NilError(t, err)
	})
	leavesInTime(t, s, leaving, s.Routers, drain, func() {})
}

// leavesInTime has a plain target that routers use leave, when something else has just
// happened, and holds that they send it nothing new after the drain.
func leavesInTime(t *testing.T, s *routesite.Site, leaving *fleet.Target, routers []*fleet.Router, drain time.Duration, happens func()) {
	t.Helper()
	calls := func() {
		for range 10 {
			for _, r := range routers {
				a := s.Call(r.Caller, "GET", "/lookup/", routeKey)
				assert.Assert(t, a.Whole("/lookup/"), "%d %v", a.Status, a.Err)
			}
		}
	}
	calls()
	assert.Assert(t, requestsRunBy(t, leaving) > 0)
	happens()
	var g errgroup.Group
	g.Go(func() error { _, err := leaving.Stop(); return err })
	time.Sleep(drain)
	before := requestsRunBy(t, leaving)
	calls()
	assert.Equal(t, requestsRunBy(t, leaving), before)
	assert.NilError(t, g.Wait())
}

// TestKeyIsTakenAwayAfterTheStoreWasSilent has the same happen to the feed of the
// configuration. Keys that operators take away must not work for the ten seconds
// for which a feed may be held.
func TestKeyIsTakenAwayAfterTheStoreWasSilent(t *testing.T) {
	s := newRouteSite(t, 3)
	configure(t, s, routesite.Config(1, routeKey, "second"))
	assert.NilError(t, s.AwaitReady(routeWait))
	assert.NilError(t, s.AwaitMembers(routeWait))
	silenceFeeds(t, s, func() { configure(t, s, routesite.Config(2, routeKey, "second")) })
	changed := time.Now()
	configure(t, s, routesite.Config(3, routeKey))
	for _, r := range s.Routers {
		awaitStatus(t, s, r, "/record/", "second", 401)
	}
	assert.Assert(t, time.Since(changed) < 2*time.Second, "%v", time.Since(changed))
}
