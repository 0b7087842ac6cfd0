package proof

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
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

const (
	resumablePath = "/gloss/"
	// leaveAfter is the number of events after which callers of twoVersions resume elsewhere.
	leaveAfter = 7
	// spacing is the time between two streams, so that one router accepts them all.
	spacing = 10 * time.Millisecond
	// quickly bounds a refusal of a stream that cannot go on.
	quickly = time.Second
)

// twoVersions is a site whose engines run two versions of their software: two routers and an
// engine of each version in each of three data centres.
type twoVersions struct {
	*routesite.Site
	t        *testing.T
	old, new []*fleet.Target
}

func newTwoVersions(t *testing.T) *twoVersions {
	t.Helper()
	s := newOneVersion(t)
	s.addNew()
	s.awaitVersions("v1", "v2")
	return s
}

// newOneVersion lacks the engines of the new version.
func newOneVersion(t *testing.T) *twoVersions {
	t.Helper()
	return newOneVersionOf(t, fleet.ShippedRouter)
}

func newOneVersionOf(t *testing.T, program string) *twoVersions {
	t.Helper()
	site, err := routesite.New(bin)
	assert.NilError(t, err)
	site.RouterProgram = program
	t.Cleanup(site.Close)
	site.Settings["retry"] = "ratio = 1" // so that the budget of retries ends few streams
	s := &twoVersions{Site: site, t: t}
	t.Cleanup(func() {
		s.t = t // not that of the last subtest
		s.kill()
	})
	for i := range 3 {
		s.old = append(s.old, s.addEngine("old", i, "v1"))
	}
	for i := range 6 {
		_, err := s.StartRouter(fmt.Sprint("r", i), dataCentreOf(i))
		assert.NilError(t, err)
	}
	configure(t, s.Site, routesite.Config(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	assert.NilError(t, s.AwaitMembers(routeWait))
	s.awaitVersions("v1")
	return s
}

// kill ends all processes at once; nothing here is about planned stops.
func (s *twoVersions) kill() {
	for _, w := range s.Workers {
		w.Kill()
	}
	for _, r := range s.Routers {
		r.Kill()
		assert.Assert(s.t, !strings.Contains(r.Output(), "DATA RACE"), r.Output())
		assert.Assert(s.t, !strings.Contains(r.Output(), "panic:"), r.Output())
	}
}

func dataCentreOf(i int) string { return fmt.Sprint("dc", i%3) }

func (s *twoVersions) addNew() {
	for i := range 3 {
		s.new = append(s.new, s.addEngine("new", i, "v2"))
	}
}

func (s *twoVersions) addEngine(name string, i int, version string, flags ...string) *fleet.Target {
	s.t.Helper()
	flags = append([]string{"--version", version, "--event-time", "20ms", "--drain-time", "10s"}, flags...)
	w, err := s.AddWorker(fmt.Sprint(name, i), routesite.Model, dataCentreOf(i), flags...)
	assert.NilError(s.t, err)
	return w
}

// awaitVersions waits until every router places streams at all of the versions.
func (s *twoVersions) awaitVersions(versions ...string) {
	s.t.Helper()
	deadline := time.Now().Add(routeWait)
	for _, r := range s.Running() {
		for seen := map[string]bool{}; len(seen) < len(versions); {
			assert.Assert(s.t, time.Now().Before(deadline), "%s places at %v only", r.Name, seen)
			st := s.NewStream(resumablePath, routeKey)
			st.Try(r.Caller, func(int) bool { return true })
			for _, v := range st.Versions {
				seen[v] = true
			}
		}
	}
}

// beginAndResume has callers read the first events of streams, each from the router that first returns,
// and then wait for between, before they go on at the routers that next returns.
func (s *twoVersions) beginAndResume(n int, first func(i int) *fleet.Router, between func(), next func(i int) *fleet.Router) []*routesite.Stream {
	s.t.Helper()
	streams := make([]*routesite.Stream, n)
	var reached, callers sync.WaitGroup
	passed := make(chan struct{})
	for i := range n {
		streams[i] = s.NewStream(resumablePath, routeKey)
		reached.Add(1)
		var once sync.Once
		callers.Go(func() {
			defer once.Do(reached.Done)
			streams[i].Try(first(i).Caller, func(events int) bool {
				if events < leaveAfter {
					return false
				}
				once.Do(reached.Done)
				<-passed
				return true
			})
		})
		time.Sleep(spacing)
	}
	reached.Wait()
	between()
	close(passed)
	callers.Wait()
	var g errgroup.Group
	for i, st := range streams {
		if len(st.Versions) == 0 {
			continue // it never began
		}
		g.Go(func() error {
			st.Try(next(i).Caller, nil)
			return nil
		})
		time.Sleep(spacing)
	}
	assert.NilError(s.t, g.Wait())
	return streams
}

// count returns how many of the streams that began were resumed to their end, and fails the test if
// one was resumed at another version.
func (s *twoVersions) count(streams []*routesite.Stream) (whole, began int) {
	s.t.Helper()
	mixed := 0
	for _, st := range streams {
		assert.Equal(s.t, st.Problem, "")
		if len(st.Versions) == 0 {
			continue
		}
		began++
		if st.Mixed() {
			mixed++
		}
		if st.Whole() {
			whole++
		} else {
			s.t.Logf("not whole: %v %+v", st.Versions, st.Tries)
		}
	}
	s.t.Logf("%d of %d streams whole, %d of two versions", whole, began, mixed)
	assert.Equal(s.t, mixed, 0, "streams of two versions")
	return whole, began
}

func (s *twoVersions) router(i int) *fleet.Router { return s.Routers[i%len(s.Routers)] }

// readAll has twelve callers read some streams each, without leaving.
func (s *twoVersions) readAll(each int) []*routesite.Stream {
	const callers = 12
	streams := make([]*routesite.Stream, callers*each)
	var g errgroup.Group
	for c := range callers {
		g.Go(func() error {
			for n := range each {
				st := s.NewStream(resumablePath, routeKey)
				st.Try(s.router(c).Caller, nil)
				streams[c*each+n] = st
			}
			return nil
		})
	}
	assert.NilError(s.t, g.Wait())
	return streams
}

// TestBrokenStreamIsNotResumedAtAnotherVersion has engines break off streams, which the routers
// resume.
func TestBrokenStreamIsNotResumedAtAnotherVersion(t *testing.T) {
	const rounds, minResumed = 8, 16
	s := newTwoVersions(t)
	s.readAll(5) // they fill the budget of retries
	var streams []*routesite.Stream
	for range rounds {
		for _, w := range s.Workers {
			assert.NilError(t, fleet.SetFaults(w.Address, fault.Fault{Step: "run", Mode: fault.Cut, After: 5, Count: 1}))
		}
		streams = append(streams, s.readAll(2)...)
	}
	s.count(streams)
	resumed := 0.0
	for _, r := range s.Routers {
		values, err := r.MetricValues()
		assert.NilError(t, err)
		resumed += values["zinccove_streams_resumed"]
	}
	assert.Assert(t, resumed >= minResumed, "%v streams were resumed", resumed)
}

// TestCallerIsNotResumedAtAnotherVersion has callers resume their streams at other routers, while
// the engine that began a third of them takes nothing new.
func TestCallerIsNotResumedAtAnotherVersion(t *testing.T) {
	const callers = 24
	s := newTwoVersions(t)
	restart := func(routers ...int) {
		for _, i := range routers {
			assert.NilError(t, s.router(i).Restart(s.router(0).Peer))
		}
		assert.NilError(t, s.AwaitReady(routeWait))
	}
	kill := func(routers ...int) {
		for _, i := range routers {
			s.router(i).Kill()
		}
	}
	signal := func(sig syscall.Signal, routers ...int) {
		for _, i := range routers {
			assert.NilError(t, s.router(i).Signal(sig))
		}
	}
	nothing := func() {}
	for _, c := range []struct {
		name string
		// first is the router that begins the streams, next are those at which they are resumed.
		first          int
		next           []int
		between, after func()
	}{
		{"another router", 0, []int{1, 2, 3, 4, 5}, nothing, nothing},
		{"killed", 1, []int{0, 2, 3, 4, 5}, func() { kill(1) }, func() { restart(1) }},
		{"restarted", 2, []int{2}, func() { kill(2); restart(2) }, nothing},
		{"paused", 3, []int{0, 1, 2, 4, 5}, func() { signal(syscall.SIGSTOP, 3) }, func() { signal(syscall.SIGCONT, 3) }},
		{"killed with another", 4, []int{0, 1, 2, 3}, func() { kill(4, 5) }, func() { restart(4, 5) }},
		// Router 3 is in the data centre of router 0; the others do not respond.
		{"data centre left alone", 0, []int{3}, func() { signal(syscall.SIGSTOP, 1, 2, 4, 5) }, func() { signal(syscall.SIGCONT, 1, 2, 4, 5) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s.t = t
			drained := s.replaceEngines()
			streams := s.beginAndResume(callers, func(int) *fleet.Router { return s.router(c.first) }, func() {
				for _, w := range drained {
					assert.NilError(t, w.Signal(syscall.SIGTERM))
				}
				time.Sleep(drainKnown)
				c.between()
			}, func(i int) *fleet.Router { return s.router(c.next[i%len(c.next)]) })
			c.after()
			whole, began := s.count(streams)
			assert.Assert(t, began >= callers*3/4, "%d of %d streams began", began, callers)
			assert.Assert(t, whole*4 >= began*3, "%d of %d streams were resumed", whole, began)
		})
	}
}

// drainKnown is the time until all routers know that a target drains.
const drainKnown = 500 * time.Millisecond

// replaceEngines adds an engine of each version and returns those that they replace, which serve
// on for some time once they are told to stop.
func (s *twoVersions) replaceEngines() []*fleet.Target {
	s.t.Helper()
	n := len(s.Workers)
	dc := n % 3
	drained := []*fleet.Target{s.old[0], s.new[0]}
	s.old = append(s.old[1:], s.addEngine(fmt.Sprint("old", n, "-"), dc, "v1"))
	s.new = append(s.new[1:], s.addEngine(fmt.Sprint("new", n, "-"), dc, "v2"))
	s.awaitVersions("v1", "v2")
	return drained
}

// TestStreamWhoseVersionHasGoneIsRefusedQuickly ends all engines of a version while callers hold
// streams of both.
func TestStreamWhoseVersionHasGoneIsRefusedQuickly(t *testing.T) {
	s := newTwoVersions(t)
	streams := s.beginAndResume(24, s.router, func() {
		for _, w := range s.old {
			w.Kill()
		}
	}, func(i int) *fleet.Router { return s.router(i + 1) })
	s.count(streams)
	kept := 0
	for _, st := range streams {
		switch last := st.Last(); {
		case len(st.Versions) == 0:
		case st.Versions[0] == "v2":
			assert.Assert(t, st.Whole(), "%+v", st.Tries)
			kept++
		default:
			assert.Equal(t, last.Status, http.StatusServiceUnavailable)
			assert.Assert(t, last.Took < quickly, "refused after %s", last.Took)
		}
	}
	assert.Assert(t, kept > 0, "no stream of the version that was left")
}

// TestStreamIsResumedOnceItsVersionIsBack ends all engines of a version and starts them again, while
// callers whose streams were refused wait.
func TestStreamIsResumedOnceItsVersionIsBack(t *testing.T) {
	s := newTwoVersions(t)
	streams := s.beginAndResume(24, s.router, func() {
		for _, w := range s.old {
			w.Kill()
		}
	}, func(i int) *fleet.Router { return s.router(i + 1) })
	for i, w := range s.old {
		s.addEngine("back", i, "v1", "--listen", w.Address.String())
	}
	s.awaitVersions("v1", "v2")
	for i, st := range streams {
		if len(st.Versions) > 0 && !st.Whole() {
			st.Try(s.router(i+2).Caller, nil)
		}
	}
	whole, began := s.count(streams)
	assert.Assert(t, whole*4 >= began*3, "%d of %d streams were resumed", whole, began)
}

// TestStreamsKeepTheirVersionDuringARollout has callers resume streams while operators move the
// service to the new version, which draws versions for new requests.
func TestStreamsKeepTheirVersionDuringARollout(t *testing.T) {
	s := newTwoVersions(t)
	order := fmt.Sprintf(`{"service":%q,"targetVersion":"v2","durationS":%v}`, routesite.Model, moveTime.Seconds())
	assert.NilError(t, s.PutRow(wire.TableOperator, wire.RolloutPrefix+routesite.Model, []byte(order)))
	var streams []*routesite.Stream
	for ordered := time.Now(); time.Since(ordered) < moveTime; {
		streams = append(streams, s.beginAndResume(12, s.router, func() {}, func(i int) *fleet.Router { return s.router(i + 1) })...)
	}
	whole, began := s.count(streams)
	assert.Assert(t, whole*4 >= began*3, "%d of %d streams were resumed", whole, began)
}

// TestStreamIsNotResumedAtVersionThatCameLater has the engines of the second version start while
// callers hold streams of the first.
func TestStreamIsNotResumedAtVersionThatCameLater(t *testing.T) {
	s := newOneVersion(t)
	streams := s.beginAndResume(24, s.router, func() {
		s.addNew()
		s.awaitVersions("v1", "v2")
	}, func(i int) *fleet.Router { return s.router(i + 1) })
	whole, began := s.count(streams)
	assert.Assert(t, whole*4 >= began*3, "%d of %d streams were resumed", whole, began)
}

// TestStreamIsNotResumedAtItsAddressUnderAnotherVersion starts engines again, at their addresses,
// with another version.
func TestStreamIsNotResumedAtItsAddressUnderAnotherVersion(t *testing.T) {
	s := newOneVersion(t)
	streams := s.beginAndResume(24, s.router, func() {
		for i, w := range s.old[:2] {
			w.Kill()
			s.addEngine("again", i, "v2", "--listen", w.Address.String())
		}
	}, func(i int) *fleet.Router { return s.router(i + 1) })
	s.count(streams)
}

// TestStreamsOfOneVersionAreResumedAnywhere guards what a single version allows.
func TestStreamsOfOneVersionAreResumedAnywhere(t *testing.T) {
	s := newOneVersion(t)
	streams := s.beginAndResume(24, s.router, func() {}, func(i int) *fleet.Router { return s.router(i + 1) })
	whole, began := s.count(streams)
	assert.Equal(t, whole, began)
}

// TestVersionThatJoinsUnnoticedIsNotMixed has engines of a second version start while a router is out
// of step. Streams begin at the other routers meanwhile and go on at that one.
func TestVersionThatJoinsUnnoticedIsNotMixed(t *testing.T) {
	nothing := func(*twoVersions, *fleet.Router) error { return nil }
	isolate := func(s *twoVersions, r *fleet.Router) error { return s.Isolate(r) }
	heal := func(s *twoVersions, _ *fleet.Router) error { return s.Heal() }
	signal := func(sig syscall.Signal) func(*twoVersions, *fleet.Router) error {
		return func(_ *twoVersions, r *fleet.Router) error { return r.Signal(sig) }
	}
	for _, c := range []struct {
		name string
		// lose puts the router out of step; regain ends that just before callers go on there.
		lose, regain func(*twoVersions, *fleet.Router) error
	}{
		{"cut off", isolate, nothing},
		{"cut that heals", isolate, heal},
		{"paused", signal(syscall.SIGSTOP), signal(syscall.SIGCONT)},
		{"cut off and paused", func(s *twoVersions, r *fleet.Router) error {
			return errors.Join(s.Isolate(r), r.Signal(syscall.SIGSTOP))
		}, signal(syscall.SIGCONT)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newOneVersionOf(t, fleet.TestRouter)
			time.Sleep(streamLife)
			r := s.router(0)
			awaitListRead(t, r)
			assert.NilError(t, c.lose(s, r))
			s.addNew()
			time.Sleep(joinKnown)
			streams := s.beginAndResume(48, func(i int) *fleet.Router { return s.router(1 + i%5) },
				func() { assert.NilError(t, c.regain(s, r)) }, func(int) *fleet.Router { return r })
			assert.NilError(t, s.Heal())
			var callers sync.WaitGroup
			for i, st := range streams {
				if len(st.Versions) > 0 && !st.Whole() {
					callers.Go(func() { st.Try(s.router(1+i%5).Caller, nil) })
					time.Sleep(spacing)
				}
			}
			callers.Wait()
			began := 0
			for _, st := range streams {
				if len(st.Versions) > 0 && st.Versions[0] == "v2" {
					began++
				}
			}
			whole, all := s.count(streams)
			assert.Assert(t, began >= 4, "%d streams began at the new version", began)
			assert.Assert(t, whole*4 >= all*3, "%d of %d streams were resumed", whole, all)
		})
	}
}

const (
	// streamLife is longer than a stream may last, so that a service's only version may be trusted.
	streamLife = 12 * time.Second
	// joinKnown is the time in which routers use targets that joined.
	joinKnown = 400 * time.Millisecond
	// recently bounds the age of a list that was just read.
	recently = 0.4
)

// awaitListRead waits until a router reads the list of targets.
func awaitListRead(t *testing.T, r *fleet.Router) {
	t.Helper()
	for deadline := time.Now().Add(routeWait); ; time.Sleep(10 * time.Millisecond) {
		values, err := r.MetricValues()
		assert.NilError(t, err)
		if age, ok := values["zinccove_targets_age_seconds"]; ok && age < recently {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "%v", values["zinccove_targets_age_seconds"])
	}
}

// TestVersionThatALeftBehindRouterStillUsesIsNotMixed cuts a router off while a second version replaces
// the first. Targets of the first serve on after their entries went, and that router still uses them.
func TestVersionThatALeftBehindRouterStillUsesIsNotMixed(t *testing.T) {
	s := newOneVersionOf(t, fleet.TestRouter)
	r := s.router(0)
	assert.NilError(t, s.Isolate(r))
	s.addNew()
	for _, w := range s.old {
		assert.NilError(t, s.RemoveRow(wire.TableTargets, w.Name))
	}
	time.Sleep(streamLife)
	streams := s.beginAndResume(24, func(int) *fleet.Router { return r }, func() {},
		func(i int) *fleet.Router { return s.router(1 + i%5) })
	assert.NilError(t, s.Heal())
	for i, st := range streams {
		if len(st.Versions) > 0 && !st.Whole() {
			assert.Equal(t, st.Last().Status, http.StatusServiceUnavailable, "stream %d", i)
			assert.Assert(t, st.Last().Took < quickly, "refused after %s", st.Last().Took)
		}
	}
	_, began := s.count(streams)
	assert.Assert(t, began > 0, "no stream began at the router that was left behind")
}
