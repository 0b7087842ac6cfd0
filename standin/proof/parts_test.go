package proof

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	// endsUntilKnown is the number of targets that may end under a part of a prompt before routers
	// have to bar it; endsAllowed more may end later than contactTime after that.
	endsUntilKnown = 5
	// partDown is how long a target that a part ended is away.
	partDown = time.Second
	// soundPeriod and badPeriod are the times between two requests of the callers.
	soundPeriod = 40 * time.Millisecond
	badPeriod   = 160 * time.Millisecond
	// calmTime is how long only sound callers come; then the others come for badTime.
	calmTime = 4 * time.Second
	badTime  = 14 * time.Second
	// disturbAfter is when routers fail: some engines have ended under the part then.
	disturbAfter = 200 * time.Millisecond
	// minBegun is the share of sound streams that begin at their first attempt, relative to the time
	// before the part came.
	minBegun = 0.95
)

// partFleet is a fleet under which a part of a prompt ends engines while sound callers share its
// customer and the other parts.
type partFleet struct {
	*routesite.Site
	stage worker.Stage
	ends  *endings
	// callers are the addresses of the routers that callers use.
	callers atomic.Pointer[[]netip.AddrPort]

	mu      sync.Mutex
	answers []*routesite.Answer
}

// newPartFleet starts six routers in three data centres and nine engines.
func newPartFleet(t *testing.T, stage worker.Stage, flags ...string) *partFleet {
	t.Helper()
	site, err := routesite.New(bin)
	assert.NilError(t, err)
	site.RouterProgram = fleet.TestRouter
	t.Cleanup(func() {
		site.Close()
		for _, r := range site.Routers {
			assert.Assert(t, !strings.Contains(r.Output(), "DATA RACE"), r.Output())
			assert.Assert(t, !strings.Contains(r.Output(), "panic:"), r.Output())
		}
	})
	for i := range 9 {
		_, err := site.AddWorker(fmt.Sprint("m", i), routesite.Model, dataCentreOf(i), append([]string{"--event-time", "15ms"}, flags...)...)
		assert.NilError(t, err)
	}
	for i := range 6 {
		_, err := site.StartRouter(fmt.Sprint("r", i), dataCentreOf(i))
		assert.NilError(t, err)
	}
	configure(t, site, routesite.Config(1, routeKey))
	assert.NilError(t, site.AwaitReady(routeWait))
	assert.NilError(t, site.AwaitMembers(routeWait))
	for _, r := range site.Routers {
		awaitStatus(t, site, r, "/gloss/", routeKey, 200)
	}
	f := &partFleet{Site: site, stage: stage, ends: revive(t, site, partDown)}
	f.use(site.Routers)
	return f
}

// use has callers use routers.
func (f *partFleet) use(routers []*fleet.Router) {
	var list []netip.AddrPort
	for _, r := range routers {
		list = append(list, r.Caller)
	}
	f.callers.Store(&list)
}

// call sends the n-th request of some callers, to one router after the other. Streams that may be
// resumed and others alternate.
func (f *partFleet) call(n int, parts ...string) *routesite.Answer {
	routers := *f.callers.Load()
	path := []string{"/gloss/", "/draft/"}[n/len(routers)%2]
	return f.CallWithParts(routers[n%len(routers)], "POST", path, routeKey, parts...)
}

// sound sends requests that share all parts but the one that ends engines.
func (f *partFleet) sound(stop time.Time) error {
	return every(soundPeriod, stop, func(n int) {
		a := f.call(n, "a0", fmt.Sprint("b", n%3), fmt.Sprint("c", n%7))
		f.mu.Lock()
		defer f.mu.Unlock()
		f.answers = append(f.answers, a)
	})
}

// bad sends requests with the part that ends engines, at each place but the last.
func (f *partFleet) bad(stop time.Time) error {
	part := worker.PartOf(f.stage, "beef")
	return every(badPeriod, stop, func(n int) {
		parts := slices.Insert([]string{"a0", fmt.Sprint("b", n%3), fmt.Sprint("c", n%7)}, n%4, part)
		f.call(n, parts...)
	})
}

// every calls f with rising numbers, each in a goroutine of its own, until a time.
func every(period time.Duration, stop time.Time, f func(n int)) error {
	var g errgroup.Group
	for n := 0; time.Now().Before(stop); n++ {
		g.Go(func() error { f(n); return nil })
		time.Sleep(period)
	}
	return g.Wait()
}

// begun returns the share of the sound streams sent in a period that began at once.
func (f *partFleet) begun(from, to time.Time) float64 {
	all, begun := 0, 0
	for _, a := range f.answers {
		if a.Sent.Before(from) || a.Sent.After(to) {
			continue
		}
		all++
		if a.Status == 200 && a.Body != "" {
			begun++
		}
	}
	return float64(begun) / float64(max(all, 1))
}

// play has the callers come, and disturb happen once others have come for disturbAfter, and returns the
// number of engines that ended later than contactTime after the fifth, and the shares of sound streams
// that began before and after.
func (f *partFleet) play(t *testing.T, disturb func()) (late int, before, after float64) {
	t.Helper()
	start := time.Now()
	bad, stop := start.Add(calmTime), start.Add(calmTime+badTime)
	var g errgroup.Group
	g.Go(func() error { return f.sound(stop) })
	g.Go(func() error {
		time.Sleep(time.Until(bad))
		return f.bad(stop)
	})
	if disturb != nil {
		g.Go(func() error {
			time.Sleep(time.Until(bad.Add(disturbAfter)))
			disturb()
			return nil
		})
	}
	assert.NilError(t, g.Wait())
	times := f.ends.since(bad)
	assert.Assert(t, len(times) > 0, "the part ends no engine")
	known := times[min(len(times), endsUntilKnown)-1]
	for _, at := range times {
		if len(times) > endsUntilKnown && at.After(known.Add(contactTime)) {
			late++
		}
	}
	before, after = f.begun(start, bad), f.begun(known.Add(2*contactTime), stop)
	t.Logf("stage %s: %d ended, %d late; sound streams begun %.3f before, %.3f after", f.stage, len(times), late, before, after)
	return late, before, after
}

// check plays and checks the bounds.
func (f *partFleet) check(t *testing.T, disturb func()) {
	t.Helper()
	late, before, after := f.play(t, disturb)
	assert.Assert(t, late <= endsAllowed, "%d engines ended later", late)
	assert.Assert(t, after >= minBegun*before, "%.3f of the sound streams began, %.3f before", after, before)
}

// TestPartThatEndsEnginesIsBounded ends engines in each way in which a framed response can break off.
func TestPartThatEndsEnginesIsBounded(t *testing.T) {
	for _, stage := range []worker.Stage{worker.BeforeHead, worker.AfterHead, worker.AfterEvent, worker.WithLength} {
		t.Run(string(stage), func(t *testing.T) {
			t.Parallel()
			newPartFleet(t, stage).check(t, nil)
		})
	}
}

// TestPartThatEndsEnginesWithoutFramingIsBounded ends engines whose responses have neither length nor
// chunks, as have half of the others.
func TestPartThatEndsEnginesWithoutFramingIsBounded(t *testing.T) {
	for _, stage := range []worker.Stage{worker.UnframedHead, worker.InsideEvent, worker.AtBorder} {
		t.Run(string(stage), func(t *testing.T) {
			t.Parallel()
			newPartFleet(t, stage, "--unframed-every", "2").check(t, nil)
		})
	}
}

// TestPartThatEndsEnginesIsBoundedWhileRoutersFail has routers end, start or stand still meanwhile.
func TestPartThatEndsEnginesIsBoundedWhileRoutersFail(t *testing.T) {
	for name, disturb := range map[string]func(t *testing.T, f *partFleet){
		"killed":  func(t *testing.T, f *partFleet) { f.restart(t, 2) },
		"all":     func(t *testing.T, f *partFleet) { f.restart(t, 6) },
		"paused":  func(t *testing.T, f *partFleet) { f.pause(t, 2, 3*time.Second) },
		"started": func(t *testing.T, f *partFleet) { f.add(t) },
		"cut off": func(t *testing.T, f *partFleet) { f.cut(t, 2, 4*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPartFleet(t, worker.AfterHead)
			f.check(t, func() { disturb(t, f) })
		})
	}
}

// restart kills the first routers at once and starts them again. Callers use the others meanwhile.
func (f *partFleet) restart(t *testing.T, n int) {
	t.Helper()
	if n < len(f.Routers) {
		f.use(f.Routers[n:])
	}
	for _, r := range f.Routers[:n] {
		r.Kill()
	}
	for _, r := range f.Routers[:n] {
		assert.Check(t, r.Restart())
	}
	f.use(f.Routers)
}

// pause has the first routers stand still, which callers still use.
func (f *partFleet) pause(t *testing.T, n int, d time.Duration) {
	t.Helper()
	for _, r := range f.Routers[:n] {
		assert.Check(t, r.Signal(syscall.SIGSTOP))
	}
	time.Sleep(d)
	for _, r := range f.Routers[:n] {
		assert.Check(t, r.Signal(syscall.SIGCONT))
	}
}

// cut cuts the first routers off from the others, not from the platform.
func (f *partFleet) cut(t *testing.T, n int, d time.Duration) {
	t.Helper()
	peers := func(routers []*fleet.Router) (list []netip.AddrPort) {
		for _, r := range routers {
			list = append(list, r.Peer)
		}
		return list
	}
	for i, r := range f.Routers {
		away := f.Routers[:n]
		if i < n {
			away = f.Routers[n:]
		}
		assert.Check(t, r.CutFrom(peers(away)...))
	}
	time.Sleep(d)
	assert.Check(t, f.Heal())
}

// add adds a router that callers use at once.
func (f *partFleet) add(t *testing.T) {
	t.Helper()
	_, err := f.StartRouter("new", dataCentreOf(0))
	assert.Check(t, err)
	f.use(f.Routers)
}
