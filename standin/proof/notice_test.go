package proof

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/fault"
	"zinccove.example/standin/fleet"
	"zinccove.example/standin/routesite"
	"zinccove.example/standin/worker"
)

const (
	// noticeDrain is the time after which a target that leaves gets nothing new.
	noticeDrain = 2 * time.Second
	// backoff is what targets ask for; what was on its way may still come for
	// backoffGrace, and backoffAllowed requests of each router after that.
	backoff        = 3 * time.Second
	backoffGrace   = 500 * time.Millisecond
	backoffAllowed = 2
	// loadPeriod is the time between two requests to a router on each route.
	loadPeriod = 60 * time.Millisecond
	// loadSlots are enough for the load at any single target.
	loadSlots = "48"
)

// load is requests that go to all routers on all routes until it is ended.
type load struct {
	stop    chan struct{}
	group   errgroup.Group
	mu      sync.Mutex
	answers []*routesite.Answer
	// routers are those that requests were sent to, by id.
	routers map[string]*fleet.Router
}

func startLoad(t *testing.T, s *routesite.Site) *load {
	t.Helper()
	l := &load{stop: make(chan struct{}), routers: make(map[string]*fleet.Router)}
	for _, r := range s.Routers {
		for _, path := range routesite.Paths {
			l.group.Go(func() error { l.send(s, r, path); return nil })
		}
	}
	t.Cleanup(l.end)
	return l
}

// send sends requests until the load ends, whether they are answered or not.
func (l *load) send(s *routesite.Site, r *fleet.Router, path string) {
	tick := time.NewTicker(loadPeriod)
	defer tick.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-tick.C:
		}
		l.group.Go(func() error {
			a := s.Call(r.Caller, "POST", path, routeKey)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.answers = append(l.answers, a)
			l.routers[a.ID] = r
			return nil
		})
	}
}

// end ends the load and waits for its answers.
func (l *load) end() {
	select {
	case <-l.stop:
		return
	default:
	}
	close(l.stop)
	l.group.Wait() //nolint:errcheck // returns none
}

// story returns what the router of a request logged of it.
func (l *load) story(id string) string {
	var b strings.Builder
	for line := range strings.Lines(l.routers[id].Output()) {
		if strings.Contains(line, `"request":"`+id+`"`) {
			b.WriteString(line)
		}
	}
	return b.String()
}

// assertServed holds that all requests sent since a time were answered whole.
func (l *load) assertServed(t *testing.T, since time.Time) {
	t.Helper()
	for _, a := range l.answers {
		if a.Sent.After(since) {
			assert.Assert(t, a.Whole(a.Path), "%s %s sent %v later: %d %v %q\n%s", a.ID, a.Path, a.Sent.Sub(since), a.Status, a.Err, a.Body, l.story(a.ID))
		}
	}
}

func arrivalsAt(t *testing.T, w *fleet.Target) []worker.Arrival {
	t.Helper()
	var list []worker.Arrival
	assert.NilError(t, fleet.GetJSON(w.Address, "/arrivals", &list))
	return list
}

// busiest returns the target of each service that got most requests. Engines get those of
// the prompts that are at home there, which differ from run to run.
func busiest(t *testing.T, s *routesite.Site) []*fleet.Target {
	t.Helper()
	var engine, plain *fleet.Target
	most := make(map[*fleet.Target]int)
	for i, w := range s.Workers {
		most[w] = len(arrivalsAt(t, w))
		of := &engine
		if i%2 == 1 {
			of = &plain
		}
		if *of == nil || most[w] > most[*of] {
			*of = w
		}
	}
	return []*fleet.Target{engine, plain}
}

// newLoadedSite is a site of three routers under load.
func newLoadedSite(t *testing.T) (*routesite.Site, *load) {
	t.Helper()
	s := newRouteSite(t, 3, "--slots", loadSlots)
	configure(t, s, routesite.Config(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	assert.NilError(t, s.AwaitMembers(routeWait))
	for _, r := range s.Routers {
		for _, path := range routesite.Paths {
			awaitStatus(t, s, r, path, routeKey, 200)
		}
	}
	l := startLoad(t, s)
	time.Sleep(time.Second)
	return s, l
}

// TestTargetThatSaysItLeavesGetsNothingNew was a fault that callers saw as requests lost
// with targets that had long said they would end. The store was silent, so it went on
// saying that they were ready; they said in each answer that they leave, and no router read
// it. 35 requests were placed at one of them in the seven seconds after, by all routers:
//
//	store lost table=servers waited_ms=2501 unheard_ms=2894
//	request placed target_version=13 targets_age_ms=9203
//
// A request that was sent later than the drain after a target's word must not reach it, and
// there are other targets, so all are answered.
func TestTargetThatSaysItLeavesGetsNothingNew(t *testing.T) {
	s, l := newLoadedSite(t)
	leaving := busiest(t, s)
	said := time.Now()
	for _, w := range leaving {
		assert.NilError(t, fleet.SetFaults(w.Address, fault.Fault{Step: "say", Mode: fault.Leaving}))
	}
	time.Sleep(noticeDrain + backoffGrace)
	late := time.Now()
	time.Sleep(2 * time.Second)
	l.end()
	for _, w := range leaving {
		n := 0
		for _, a := range arrivalsAt(t, w) {
			if a.At.After(late) {
				n++
			}
		}
		assert.Equal(t, n, 0, "%s: requests later than %v after it said that it leaves", w.Name, late.Sub(said))
	}
	l.assertServed(t, said)
}

// TestTargetThatWantsABackoffGetsIt was a fault that callers saw as refusals while other
// targets had room. Three of nine engines turned requests away and asked each router for
// three seconds without any; routers read only that the requests had not run, took the
// refusal for a sign of life, and went on: 195 requests in eight seconds, all turned away.
//
//	attempt failed failure=refused_by_target status=503 attempt=1
//	attempt failed failure=refused_by_target status=503 attempt=2
//	request refused reason=refused_by_target retry_after_ms=150
//
// Half a second after a target asked a router for a backoff, two more requests of that
// router may reach it until the backoff is over. Others have room, so all are answered.
func TestTargetThatWantsABackoffGetsIt(t *testing.T) {
	s, l := newLoadedSite(t)
	resting := busiest(t, s)
	said := time.Now()
	for _, w := range resting {
		assert.NilError(t, fleet.SetFaults(w.Address, fault.Fault{Step: "run", Mode: fault.Backoff, Delay: backoff}))
	}
	time.Sleep(2 * backoff)
	for _, w := range resting {
		assert.NilError(t, fleet.SetFaults(w.Address))
	}
	time.Sleep(backoff + time.Second)
	l.end()
	for _, w := range resting {
		assertBackoff(t, l, w)
		list := arrivalsAt(t, w)
		assert.Assert(t, !list[len(list)-1].Refused, "%s does not run requests again", w.Name)
	}
	l.assertServed(t, said)
}

// assertBackoff holds that each router kept to what the target asked of it.
func assertBackoff(t *testing.T, l *load, w *fleet.Target) {
	t.Helper()
	list := arrivalsAt(t, w)
	for i, asked := range list {
		if !asked.Refused {
			continue
		}
		router, n := l.routers[asked.ID], 0
		for _, a := range list[i+1:] {
			after := a.At.Sub(asked.At)
			if l.routers[a.ID] == router && after > backoffGrace && after < backoff {
				n++
			}
		}
		assert.Assert(t, n <= backoffAllowed, "%s: %d requests of %s while it had asked for a backoff", w.Name, n, router.Name)
	}
}

// TestCallersAreToldWhenTargetsWantABackoff has all targets ask for a backoff. What cannot
// be served is refused at once as not run, and callers are asked back when the first target
// takes requests again, not before.
func TestCallersAreToldWhenTargetsWantABackoff(t *testing.T) {
	const soon = 300 * time.Millisecond
	s, l := newLoadedSite(t)
	for _, w := range s.Workers {
		assert.NilError(t, fleet.SetFaults(w.Address, fault.Fault{Step: "run", Mode: fault.Backoff, Delay: backoff}))
	}
	asked := time.Now()
	time.Sleep(time.Second)
	for _, path := range routesite.Paths {
		for _, r := range s.Routers {
			began := time.Now()
			a := s.Call(r.Caller, "POST", path, routeKey)
			took := time.Since(began)
			assert.Equal(t, a.Status, 503, fmt.Sprint(a.Err))
			assert.Assert(t, took < soon, "%s held for %v", path, took)
			told, err := time.ParseDuration(a.Header.Get("Retry-After") + "s")
			assert.NilError(t, err)
			left := asked.Add(backoff).Sub(began)
			assert.Assert(t, told >= left-soon, "%s: told %v, %v are left", path, told, left)
		}
	}
	time.Sleep(backoff)
	l.end()
	for _, w := range s.Workers {
		assertBackoff(t, l, w)
	}
}
