package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

func TestQueueDrains(t *testing.T) {
	start := time.Now()
	var q prefillQueue
	q.advance(start, 50)
	q.add(10_000)
	q.advance(start.Add(100*time.Millisecond), 50)
	assert.Equal(t, q.pending, 5000.0)
	q.advance(start, 50)
	assert.Equal(t, q.pending, 5000.0, "nothing is prefilled if the time does not advance")
	q.advance(start.Add(time.Second), 50)
	assert.Equal(t, q.pending, 0.0)
}

func TestFirstEventCorrectsTheQueue(t *testing.T) {
	var q prefillQueue
	place := q.add(4000)
	q.add(9000)
	now := time.Now()
	q.reached(place, 2000, now)
	assert.Equal(t, q.pending, 7000.0, "tokens sent later are pending, less what was prefilled meanwhile")
	q.reached(q.sent, 2000, now)
	assert.Equal(t, q.pending, 0.0)
}

func TestUnprefilledRunsLeaveTheQueue(t *testing.T) {
	p, _ := newTestPlacer(t)
	c := call("part", 0, 5000)
	p.Place(promptRequest(c, "c")).Run.End(Refused)
	assert.Equal(t, p.Place(promptRequest(c, "c")).Backlog, 0)
}

// engine is a target that prefills prompts in order of arrival.
type engine struct {
	base, perToken time.Duration
	free           time.Time
}

// firstEvent returns the time of the first event of a prompt that arrives now.
func (e *engine) firstEvent(now time.Time, unread int) time.Time {
	if e.free.Before(now) {
		e.free = now
	}
	e.free = e.free.Add(time.Duration(unread) * e.perToken)
	return e.free.Add(e.base)
}

// fleet drives a placer with requests to engines.
type fleet struct {
	placer  *Placer
	clock   *clockwork.FakeClock
	engines map[string]*engine
	random  *rand.Rand
	pending map[*Run]time.Time
	// off sums the differences between predicted and actual times.
	off  time.Duration
	seen int
}

const engineBase, enginePerToken = 50 * time.Millisecond, 14 * time.Microsecond

func newFleet(t *testing.T) *fleet {
	t.Helper()
	p, clock := newTestPlacer(t)
	f := &fleet{placer: p, clock: clock, engines: make(map[string]*engine), random: rand.New(rand.NewPCG(1, 2)), pending: make(map[*Run]time.Time)}
	for _, target := range targets("model", 9) {
		f.engines[target.ID] = &engine{base: engineBase, perToken: enginePerToken}
	}
	return f
}

// run simulates a request every 20 ms, and returns the mean difference between predicted and
// actual times of first events.
func (f *fleet) run(d time.Duration) time.Duration {
	f.off, f.seen = 0, 0
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); f.clock.Advance(time.Millisecond) {
		if f.clock.Now().UnixMilli()%20 == 0 {
			f.place()
		}
		f.events()
	}
	return f.off / time.Duration(max(f.seen, 1))
}

func (f *fleet) place() {
	r := promptRequest(call(fmt.Sprint(f.random.IntN(40)), 0, 200+f.random.IntN(3000)), "c")
	r.Objective = 10 * time.Second
	d := f.placer.Place(r)
	if d.Run != nil {
		f.pending[d.Run] = f.engines[d.Run.Target.ID].firstEvent(f.clock.Now(), d.PrefillTokens)
	}
}

func (f *fleet) events() {
	for run, at := range f.pending {
		if at.After(f.clock.Now()) {
			continue
		}
		if off, known := run.FirstEvent(true); known {
			f.off += off
			f.seen++
		}
		run.End(Answered)
		delete(f.pending, run)
	}
}

func TestFirstEventsArePredicted(t *testing.T) {
	f := newFleet(t)
	f.run(3 * time.Second)
	off := f.run(3 * time.Second)
	assert.Assert(t, off < 15*time.Millisecond, "mean error %v of %d", off, f.seen)
}

// TestModelAdaptsToOtherSpeeds makes all engines five times slower at once, then as fast as
// before. After two seconds of traffic the router's predictions must be right again.
func TestModelAdaptsToOtherSpeeds(t *testing.T) {
	f := newFleet(t)
	f.run(3 * time.Second)
	for _, factor := range []time.Duration{5, 1} {
		for _, e := range f.engines {
			e.base, e.perToken = factor*engineBase, factor*enginePerToken
		}
		before := f.run(200 * time.Millisecond)
		f.run(2 * time.Second)
		after := f.run(2 * time.Second)
		assert.Assert(t, after < factor*40*time.Millisecond, "%dx: mean error %v, immediately after the change %v", factor, after, before)
	}
}

// TestSlowTargetIsPredictedToBeSlow makes one of nine engines four times slower. The predictions
// for the others must not change.
func TestSlowTargetIsPredictedToBeSlow(t *testing.T) {
	f := newFleet(t)
	f.run(3 * time.Second)
	slow := f.engines["model-3"]
	slow.base, slow.perToken = 4*engineBase, 4*enginePerToken
	f.run(2 * time.Second)
	now := f.clock.Now()
	s := f.placer.services["model"]
	factor := f.placer.targets["model-3"].slow.factor(now)
	assert.Assert(t, factor > 2, factor)
	for id, target := range f.placer.targets {
		if target.Service == "model" && id != "model-3" {
			assert.Assert(t, target.slow.factor(now) < 1.5, id)
		}
	}
	idle := s.latency.predict(0)
	assert.Assert(t, idle < 70*time.Millisecond, idle)
}

func TestSlownessDecays(t *testing.T) {
	now := time.Now()
	var s slowness
	assert.Equal(t, s.factor(now), 1.0)
	for range 20 {
		s.record(4*time.Second, time.Second, now)
	}
	assert.Assert(t, s.factor(now) > 3.9 && s.factor(now) < 4.1)
	now = now.Add(slownessHalfLife)
	assert.Assert(t, s.factor(now) > 1.9 && s.factor(now) < 2.1, s.factor(now))
	s.record(time.Hour, time.Second, now)
	assert.Assert(t, s.factor(now) <= maxSlowness)
}

// TestHiddenQueuesDoNotMoveTheModelMuch uses first events that are late for reasons unknown to
// the router, as after a restart of all routers.
func TestHiddenQueuesDoNotMoveTheModelMuch(t *testing.T) {
	s := newLatencyEstimator()
	s.setStatedSpeed(47_000)
	before := s.predict(0)
	for range 40 {
		s.learn(2000, 900*time.Millisecond)
	}
	assert.Assert(t, s.predict(0)-before <= 10*time.Millisecond, s.predict(0))
	assert.Assert(t, s.predict(2000) < 100*time.Millisecond, s.predict(2000))
}
