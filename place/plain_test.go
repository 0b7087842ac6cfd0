package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/notice"
	"zinccove.example/zinccove/roster"
)

const (
	// plainRouters is the number of routers of the simulation.
	plainRouters = 16
	// plainSlots is the number of slots of a target, plainQueue the number of calls in its queue,
	// plainWork the mean time for which a call holds a slot.
	plainSlots = 6
	plainQueue = 24
	plainWork  = 60 * time.Millisecond
	// plainRate is in calls a second. Four targets can serve 400, two can serve 200.
	plainRate      = 241.0
	plainObjective = 300 * time.Millisecond
	plainDeadline  = 1500 * time.Millisecond
)

// plainCall is a call at a target or one that will be retried.
type plainCall struct {
	customer string
	asked    time.Time
	// retried reports whether the call was refused before.
	retried bool
	run     *Run
	ends    time.Time
}

// plainTarget serves calls in order of arrival.
type plainTarget struct {
	running, waiting []*plainCall
}

// plainTally counts the outcomes of calls.
type plainTally struct {
	asked, inTime, late, shed, refusedForGood int
	returned, returnedInTime                  int
	admitted                                  int
}

// plainFleet drives routers for targets of a plain service.
type plainFleet struct {
	routers
	servers map[string]*plainTarget
	// retrying holds the calls that will be retried, with the time of the retry.
	retrying map[*plainCall]time.Time
	tallies  map[string]*plainTally
	total    plainTally
}

func newPlainFleet(t *testing.T, seed uint64) *plainFleet {
	t.Helper()
	f := &plainFleet{
		routers: routers{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 3)), usageInterval: defaultUsageInterval},
		servers: make(map[string]*plainTarget), retrying: make(map[*plainCall]time.Time), tallies: make(map[string]*plainTally),
	}
	for range plainRouters {
		f.placers = append(f.placers, New(Options{Clock: f.clock}))
	}
	f.setTargets(t, 4)
	return f
}

// setTargets makes the first n targets the only ones.
func (f *plainFleet) setTargets(t *testing.T, n int) {
	t.Helper()
	list := targets("plain", n)
	for _, x := range list {
		x.Slots = plainSlots
		if f.servers[x.ID] == nil {
			f.servers[x.ID] = new(plainTarget)
		}
	}
	for _, p := range f.placers {
		p.SetTargets(slices.Clone(list), table(t))
	}
	for id := range f.servers {
		if !slices.ContainsFunc(list, func(x *roster.Target) bool { return x.ID == id }) {
			delete(f.servers, id)
		}
	}
}

// tally counts an outcome for a customer and for all customers.
func (f *plainFleet) tally(customer string, count func(*plainTally)) {
	if f.tallies[customer] == nil {
		f.tallies[customer] = new(plainTally)
	}
	count(f.tallies[customer])
	count(&f.total)
}

// run simulates traffic with the given rates in calls a second by customer.
func (f *plainFleet) run(d time.Duration, rates map[string]float64) {
	names := make([]string, 0, len(rates))
	for name := range rates {
		names = append(names, name)
	}
	slices.Sort(names)
	for ms := range d.Milliseconds() {
		for _, name := range names {
			if f.random.Float64() < rates[name]/1000 {
				f.tally(name, func(t *plainTally) { t.asked++ })
				f.place(&plainCall{customer: name, asked: f.clock.Now()})
			}
		}
		f.retry()
		f.serve()
		f.exchange(time.Duration(ms) * time.Millisecond)
		f.clock.Advance(time.Millisecond)
	}
}

// retry places the calls whose retry is due.
func (f *plainFleet) retry() {
	for c, at := range f.retrying {
		if !at.After(f.clock.Now()) {
			delete(f.retrying, c)
			f.place(c)
		}
	}
}

func (f *plainFleet) place(c *plainCall) {
	router := f.random.IntN(len(f.placers))
	r := Request{Service: "plain", Customer: c.customer, Objective: plainObjective, Call: new(message.RequestInfo)}
	d := f.placers[router].Place(r, f.replies(router, r)...)
	switch {
	case d.Run != nil:
		f.send(c, d.Run)
	case c.retried:
		f.tally(c.customer, func(t *plainTally) { t.refusedForGood++ })
	default:
		c.retried = true
		f.tally(c.customer, func(t *plainTally) { t.returned++ })
		f.retrying[c] = f.clock.Now().Add(min(d.RetryAfter, plainDeadline/3))
	}
}

// send sends a call to its target, which refuses it if its queue is full.
func (f *plainFleet) send(c *plainCall, run *Run) {
	f.tally(c.customer, func(t *plainTally) { t.admitted++ })
	server := f.servers[run.Target.ID]
	if server == nil || len(server.waiting) >= plainQueue {
		f.tally(c.customer, func(t *plainTally) { t.shed++ })
		run.End(Refused)
		return
	}
	c.run = run
	server.waiting = append(server.waiting, c)
}

func (f *plainFleet) serve() {
	now := f.clock.Now()
	for _, server := range f.servers {
		server.running = slices.DeleteFunc(server.running, func(c *plainCall) bool {
			if c.ends.After(now) {
				return false
			}
			f.answered(c, now)
			return true
		})
		for len(server.waiting) > 0 && len(server.running) < plainSlots {
			c := server.waiting[0]
			server.waiting = server.waiting[1:]
			c.ends = now.Add(time.Duration(float64(plainWork) * (0.5 + f.random.Float64())))
			server.running = append(server.running, c)
		}
	}
}

func (f *plainFleet) answered(c *plainCall, now time.Time) {
	c.run.End(Answered)
	f.tally(c.customer, func(t *plainTally) {
		switch {
		case now.Sub(c.asked) > plainObjective:
			t.late++
		case c.retried:
			t.returnedInTime++
			fallthrough
		default:
			t.inTime++
		}
	})
}

// TestHalfOfThePlainTargetsLeave replays the worst load of plain services: two of four targets
// leave, 241 calls a second are requested, and 12 slots of 60 ms can serve 200. Without a limit
// 64 of 100 calls were answered within their objective, and targets refused 16.
func TestHalfOfThePlainTargetsLeave(t *testing.T) {
	for seed := range uint64(3) {
		f := newPlainFleet(t, seed)
		rates := make(map[string]float64)
		for i := range 10 {
			rates[fmt.Sprint(i)] = plainRate / 10
		}
		f.run(5*time.Second, rates)
		assert.Assert(t, f.total.inTime > f.total.asked*95/100, "all calls are served while all targets run: %+v", f.total)
		f.setTargets(t, 2)
		f.run(2*time.Second, rates)
		f.total = plainTally{}
		f.run(10*time.Second, rates)
		t.Logf("seed %d: %+v", seed, f.total)
		assert.Assert(t, f.total.inTime > f.total.asked*70/100, "%+v", f.total)
		assert.Assert(t, f.total.late < f.total.admitted*5/100, "admitted calls are answered in time: %+v", f.total)
		assert.Assert(t, f.total.shed < f.total.admitted*2/100, "targets refuse few calls: %+v", f.total)
		f.setTargets(t, 4)
		f.run(time.Second, rates)
		f.total = plainTally{}
		f.run(3*time.Second, rates)
		assert.Assert(t, f.total.inTime > f.total.asked*95/100, "refusals end soon after the targets return: %+v", f.total)
	}
}

// TestFloodOfPlainCallsDoesNotStarveOthers has one customer request as many calls as all targets
// can serve, beside ten customers with their usual load. When all were refused alike, these ten
// lost as many of their calls as the flood did.
func TestFloodOfPlainCallsDoesNotStarveOthers(t *testing.T) {
	for seed := range uint64(3) {
		f := newPlainFleet(t, seed)
		rates := map[string]float64{"flood": 400}
		for i := range 10 {
			rates[fmt.Sprint(i)] = 16
		}
		f.run(4*time.Second, rates)
		f.total, f.tallies = plainTally{}, make(map[string]*plainTally)
		f.run(8*time.Second, rates)
		flood := f.tallies["flood"]
		t.Logf("seed %d: flood %+v, all %+v", seed, flood, f.total)
		others := f.total.inTime - flood.inTime
		asked := f.total.asked - flood.asked
		assert.Assert(t, others > asked*97/100, "%d of %d", others, asked)
		assert.Assert(t, f.total.inTime > 8*400*90/100, "no slot is idle: %+v", f.total)
	}
}

// TestPlainLoadsAreSignalled checks that changes of load are sent without waiting for the next
// tick: a call holds a slot for about as long as that takes.
func TestPlainLoadsAreSignalled(t *testing.T) {
	p, _ := newTestPlacer(t)
	reported := func() int {
		select {
		case <-p.UpdateReady():
		default:
			t.Fatal("the update is not signalled")
		}
		news := p.TakeUpdate()
		requests := 0
		for _, load := range news.Loads {
			requests += load.Requests
		}
		return requests
	}
	run := p.Place(Request{Service: "plain", Objective: plainObjective, Call: new(message.RequestInfo)}).Run
	assert.Equal(t, reported(), 1)
	run.End(Answered)
	assert.Equal(t, reported(), 0)
}

// TestLimitOfPlainCallsIsLearned uses a service whose slot time is not known at first, and then
// is longer than before.
func TestLimitOfPlainCallsIsLearned(t *testing.T) {
	p, clock := newTestPlacer(t)
	r := Request{Service: "plain", Objective: plainObjective, Call: new(message.RequestInfo)}
	var runs []*Run
	for range 3 * 64 * 4 {
		d := p.Place(r)
		assert.Assert(t, d.Run != nil, "no call is refused before the slot time is known")
		runs = append(runs, d.Run)
	}
	clock.Advance(4 * plainWork)
	for _, run := range runs {
		run.End(Answered)
	}
	hold := p.service("plain").slotTime.mean
	assert.Assert(t, hold > plainWork/2 && hold < 2*plainWork, "%v", hold)
	p.service("plain").slotTime.mean = time.Second
	assert.Assert(t, p.Place(r).Run != nil, "a free slot is used whatever the prediction")
	for range 3 * 64 {
		p.Place(r)
	}
	d := p.Place(r)
	assert.Equal(t, d.Reason, Overloaded)
	assert.Assert(t, d.RetryAfter >= 500*time.Millisecond && d.RetryAfter <= maxRetryAfter)
}

// TestOtherTargetsAreUsedIfQueriedOnesBecomeUnusable has the two queried targets send a notice
// before their owners reply: the call was refused with no_target although a third target was
// idle.
func TestOtherTargetsAreUsedIfQueriedOnesBecomeUnusable(t *testing.T) {
	for name, n := range map[string]notice.Notice{"backoff": {Backoff: time.Second}, "leaving": {Draining: true}} {
		t.Run(name, func(t *testing.T) {
			p, _ := newTestPlacer(t)
			r := promptRequest(call("some", 1000, 10), "c")
			r.Service = "plain"
			asked := p.Queries(r)
			assert.Equal(t, len(asked), plainChoices)
			var answers []Reply
			for _, q := range asked {
				answers = append(answers, Reply{Target: q.Target, Slowness: 1})
				p.applyNotice(q.Target, n)
			}
			d := p.Place(r, answers...)
			assert.Assert(t, d.Run != nil, d.Reason)
			for _, q := range asked {
				assert.Assert(t, d.Run.state.hash != q.Target)
			}
		})
	}
}
