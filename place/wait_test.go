package place

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
)

// waveRequest is a request of a wave.
type waveRequest struct {
	request  Request
	arrived  time.Time
	number   uint64
	finished bool
	// returned is set once the caller has returned after a refusal.
	returned bool
	// first is when its first event arrived; zero if it was not served.
	first time.Time
}

// wave drives a placer that owns all targets with a load that callers repeat once, after Retry-After, if
// their deadline allows.
type wave struct {
	*fleet
	t     *testing.T
	waits bool
	// number is that of the last request.
	number  uint64
	all     []*waveRequest
	retries map[*waveRequest]time.Time
	waiting map[uint64]*waveRequest
	// kept is the number of targets at which each request waits.
	kept map[uint64]int
}

const (
	// waveDeadline is how long callers of a wave wait, wavePerToken makes nine engines serve 53
	// requests a second.
	waveDeadline = 3 * time.Second
	wavePerToken = 100 * time.Microsecond
	waveCapacity = 53.0
)

func newWave(t *testing.T, seed uint64, waits bool) *wave {
	t.Helper()
	f := newFleet(t)
	f.random = rand.New(rand.NewPCG(seed, 1))
	for _, e := range f.engines {
		e.perToken = wavePerToken
	}
	f.placer.services["model"].latency.LatencyModel = LatencyModel{Base: 50, PerToken: 0.1, Samples: 100}
	f.placer.services["model"].slotTime.mean = 200 * time.Millisecond
	return &wave{fleet: f, t: t, waits: waits, retries: make(map[*waveRequest]time.Time), waiting: make(map[uint64]*waveRequest), kept: make(map[uint64]int)}
}

// run sends a load, of which one customer sends four of five requests.
func (w *wave) run(d time.Duration, load float64) {
	for range d.Milliseconds() {
		if w.random.Float64() < load*waveCapacity/1000 {
			customer := "large"
			if n := w.random.IntN(20); n < 4 {
				customer = fmt.Sprint("small", n)
			}
			w.number++
			r := &waveRequest{request: promptRequest(call(fmt.Sprint(w.random.IntN(40)), 0, 200+w.random.IntN(3000)), customer), arrived: w.clock.Now(), number: w.number}
			w.all = append(w.all, r)
			w.try(r, nil)
		}
		w.step()
	}
}

func (w *wave) step() {
	now := w.clock.Now()
	for r, at := range w.retries {
		if !now.Before(at) {
			delete(w.retries, r)
			w.try(r, nil)
		}
	}
	w.events()
	w.checkWaits()
	w.clock.Advance(time.Millisecond)
}

// try places a request, or has it wait or return later.
func (w *wave) try(r *waveRequest, g *Grant) {
	now := w.clock.Now()
	q := r.request
	q.Elapsed, q.MayWait, q.Grant = now.Sub(r.arrived), w.waits, g
	q.Left = waveDeadline - q.Elapsed
	d := w.placer.Place(q)
	switch {
	case d.Run != nil:
		if _, pending := w.pending[d.Run]; pending || r.finished {
			w.t.Fatal("placed twice")
		}
		r.finished = true
		r.first = w.engines[d.Run.Target.ID].firstEvent(now, d.PrefillTokens)
		w.pending[d.Run] = r.first
	case d.Waiting != nil:
		w.wait(r, d.Waiting)
	default:
		w.retry(r, d.RetryAfter)
	}
}

// retry has the caller of a refused request return.
func (w *wave) retry(r *waveRequest, after time.Duration) {
	if at := w.clock.Now().Add(after); at.Sub(r.arrived) < waveDeadline && !r.returned {
		r.returned = true
		w.retries[r] = at
	}
}

func (w *wave) wait(r *waveRequest, wait *Wait) {
	for _, q := range wait.Queries {
		if w.placer.AddWait(WaitKey{Number: r.number}, wait, q) {
			w.waiting[r.number] = r
			w.kept[r.number]++
		}
	}
	if w.kept[r.number] == 0 {
		w.retry(r, minRetryAfter)
	}
}

// checkWaits looks at waits until nothing signals another look, as the control loop does: a grant that is not
// used frees a place.
func (w *wave) checkWaits() {
	const maxLooks = 100
	for signalled, looks := true, 0; signalled; looks++ {
		assert.Assert(w.t, looks < maxLooks, "looks at waits never end")
		w.checkOnce()
		select {
		case <-w.placer.WaitsChanged():
		default:
			signalled = false
		}
	}
	w.assertNoneIdle()
}

func (w *wave) checkOnce() {
	grants, ended, _ := w.placer.CheckWaits()
	for _, e := range ended {
		n := e.Key.Number
		w.kept[n]--
		if r := w.waiting[n]; r != nil && w.kept[n] == 0 {
			delete(w.waiting, n)
			w.retry(r, minRetryAfter)
		}
	}
	for _, g := range grants {
		r := w.waiting[g.Key.Number]
		if r == nil {
			w.placer.EndWait(g.Key, g.Reply.Target) // another target was first
			continue
		}
		delete(w.waiting, g.Key.Number)
		delete(w.kept, g.Key.Number)
		for _, t := range w.placer.targets {
			if t.hash != g.Reply.Target {
				w.placer.EndWait(g.Key, t.hash)
			}
		}
		w.try(r, &g)
	}
}

// assertNoneIdle asserts that no target is idle beside a request that it may run. A look at the target
// may be minWaitCheck away.
func (w *wave) assertNoneIdle() {
	now := w.clock.Now()
	s := w.placer.services["model"]
	for _, t := range w.placer.waiting {
		state, _ := w.placer.waitState(s, t, now)
		if !state.Idle || t.waits.checkAt.After(now) && t.waits.checkAt.Sub(now) <= minWaitCheck {
			continue
		}
		list := t.waits.list
		e, ok := list.Next(state, now)
		assert.Assert(w.t, !ok, "%v idle beside %v", t.ID, e.Value.key)
	}
}

// waveResult counts the requests served before their deadline, and those within their objective of
// the customers within their share.
type waveResult struct{ served, inTime, smallInTime int }

func runWave(t *testing.T, seed uint64, waits bool) (r waveResult) {
	t.Helper()
	w := newWave(t, seed, waits)
	w.run(2*time.Second, 0.5)
	w.all = nil
	w.run(3*time.Second, 1.4)
	wave := w.all
	w.run(4*time.Second, 0.5)
	for _, q := range wave {
		if q.first.IsZero() || q.first.Sub(q.arrived) > waveDeadline {
			continue
		}
		r.served++
		if q.first.Sub(q.arrived) > objective {
			continue
		}
		r.inTime++
		if q.request.Customer != "large" {
			r.smallInTime++
		}
	}
	return r
}

// TestWaveIsServedByWaiting sends 1.4 times what engines read for three seconds, then half of it.
func TestWaveIsServedByWaiting(t *testing.T) {
	var with, without waveResult
	for seed := range uint64(40) {
		a, b := runWave(t, seed, true), runWave(t, seed, false)
		with.served, with.inTime, with.smallInTime = with.served+a.served, with.inTime+a.inTime, with.smallInTime+a.smallInTime
		without.served, without.inTime, without.smallInTime = without.served+b.served, without.inTime+b.inTime, without.smallInTime+b.smallInTime
	}
	t.Logf("waiting %+v, refused at once %+v", with, without)
	assert.Assert(t, 100*with.served > 105*without.served, "a twentieth more is served")
	assert.Assert(t, with.inTime >= without.inTime)
	assert.Assert(t, with.smallInTime >= without.smallInTime, "customers within their share are in time as before")
}

func TestWhichRequestsWait(t *testing.T) {
	second := time.Second
	busy := waitInputs{predicted: second, pause: 900 * time.Millisecond, limit: 700 * time.Millisecond, inTime: 700 * time.Millisecond, left: 3 * second, answer: second}
	for _, c := range []struct {
		name   string
		change func(*waitInputs)
		want   time.Duration
	}{
		{"late, with time for the answer", func(*waitInputs) {}, 1900 * time.Millisecond},
		{"no time for the answer", func(in *waitInputs) { in.answer = 2700 * time.Millisecond }, 0},
		{"deadline before a place", func(in *waitInputs) { in.left = 1300 * time.Millisecond }, 0},
		{"no credit", func(in *waitInputs) { in.held = true }, 0},
		{"within its limit only, a place in time", func(in *waitInputs) { in.limitOnly = true }, 600 * time.Millisecond},
		{"within its limit only, no place in time", func(in *waitInputs) { in.limitOnly, in.inTime = true, 300*time.Millisecond }, 0},
		{"never within its limit", func(in *waitInputs) { in.limitOnly, in.limit = true, 50*time.Millisecond }, 0},
	} {
		in := busy
		c.change(&in)
		assert.Equal(t, mayWait(in), c.want, c.name)
	}
}

// waitingTarget returns a placer with one busy target, for which a request waits, and its wait.
func waitingTarget(t *testing.T) (*wave, *target, *Wait) {
	t.Helper()
	w := newWave(t, 1, true)
	q := promptRequest(call("hot", 0, 3000), "c")
	q.MayWait, q.Left = true, waveDeadline
	for range 100 {
		d := w.placer.Place(q)
		if d.Run != nil {
			w.pending[d.Run] = w.engines[d.Run.Target.ID].firstEvent(w.clock.Now(), d.PrefillTokens)
			continue
		}
		assert.Assert(t, d.Waiting != nil)
		return w, w.placer.byHash[d.Waiting.Queries[0].Target], d.Waiting
	}
	t.Fatal("all placed")
	return nil, nil, nil
}

// nextGrants returns the first grants within two seconds.
func (w *wave) nextGrants() []Grant {
	for range 2000 {
		if grants, _, _ := w.placer.CheckWaits(); len(grants) > 0 {
			return grants
		}
		w.events()
		w.clock.Advance(time.Millisecond)
	}
	return nil
}

var remote = netip.MustParseAddrPort("127.0.0.2:7000")

// TestUnusedGrantGoesToTheNext covers a lost grant, a lost end of a wait and a router that died.
func TestUnusedGrantGoesToTheNext(t *testing.T) {
	w, target, wait := waitingTarget(t)
	for n := range uint64(2) {
		assert.Assert(t, w.placer.AddWait(WaitKey{remote, n}, wait, wait.Queries[0]))
	}
	grants := w.nextGrants()
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].Key.Number, uint64(0))
	before := w.clock.Now()
	second := w.nextGrants()
	assert.Equal(t, second[0].Key.Number, uint64(1))
	assert.Assert(t, w.clock.Since(before) <= grantTTL+maxWaitCheck, w.clock.Since(before))
	assert.Equal(t, target.waits.reserved(), 1, "the first place is not reserved any more")
}

func TestUnusedGrantIsReported(t *testing.T) {
	w, target, wait := waitingTarget(t)
	w.placer.AddWait(WaitKey{remote, 7}, wait, wait.Queries[0])
	w.nextGrants()
	w.clock.Advance(grantTTL)
	_, ended, next := w.placer.CheckWaits()
	assert.DeepEqual(t, ended, []EndedWait{{WaitKey{remote, 7}, target.hash}}, cmpopts.EquateComparable(netip.AddrPort{}))
	assert.Equal(t, next, time.Duration(0))
}

// TestReturnedGrantGoesToTheNext covers callers that leave and requests that got another place.
func TestReturnedGrantGoesToTheNext(t *testing.T) {
	w, target, wait := waitingTarget(t)
	for n := range uint64(2) {
		w.placer.AddWait(WaitKey{remote, n}, wait, wait.Queries[0])
	}
	w.nextGrants()
	w.placer.EndWait(WaitKey{remote, 0}, target.hash)
	grants, _, _ := w.placer.CheckWaits()
	assert.Equal(t, grants[0].Key.Number, uint64(1))
}

func TestGrantReservesUntilThePlacementIsReported(t *testing.T) {
	w, target, wait := waitingTarget(t)
	w.placer.AddWait(WaitKey{remote, 1}, wait, wait.Queries[0])
	g := w.nextGrants()[0]
	s, now := w.placer.services["model"], w.clock.Now()
	pending, outstanding := s.backlog(target, 1, now), target.outstanding()
	report := Report{Update: Update{Prefills: []Prefill{{Target: target.hash, Number: 1, Tokens: g.Reply.PrefillTokens}}, Loads: map[Hash]Load{target.hash: {Requests: 1}}}}
	w.placer.ApplyReport("other", report)
	assert.Equal(t, s.backlog(target, 1, now), pending, "counted once")
	assert.Equal(t, target.outstanding(), outstanding)
	assert.Equal(t, len(target.waits.reservations), 0)
}

func TestWaitsEndWithTheirTarget(t *testing.T) {
	for name, leave := range map[string]func(*wave, *target){
		"removed":   func(w *wave, t *target) { w.placer.ChangeTargets(nil, []string{t.incarnation}, nil) },
		"evacuated": func(w *wave, t *target) { w.placer.SetEvacuated(map[string]bool{t.DataCentre: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			w, target, wait := waitingTarget(t)
			w.placer.AddWait(WaitKey{remote, 1}, wait, wait.Queries[0])
			leave(w, target)
			w.clock.Advance(maxWaitCheck)
			grants, ended, _ := w.placer.CheckWaits()
			assert.Equal(t, len(grants), 0)
			assert.DeepEqual(t, ended, []EndedWait{{WaitKey{remote, 1}, target.hash}}, cmpopts.EquateComparable(netip.AddrPort{}))
			assert.Assert(t, !w.placer.AddWait(WaitKey{remote, 2}, wait, wait.Queries[0]))
		})
	}
}

func TestWaitsEndWithTheirTime(t *testing.T) {
	w, target, wait := waitingTarget(t)
	w.placer.AddWait(WaitKey{remote, 1}, wait, wait.Queries[0])
	w.clock.Advance(wait.Left)
	grants, ended, _ := w.placer.CheckWaits()
	assert.Equal(t, len(grants), 0)
	assert.Assert(t, slices.Contains(ended, EndedWait{WaitKey{remote, 1}, target.hash}))
}
