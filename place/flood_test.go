package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// traffic is the traffic of one customer.
type traffic struct {
	customer string
	// rate is in requests a second; router is where all of them arrive, all routers if negative.
	rate   float64
	router int
	// capacity is the number of requests a second that the router places, 0 for all; credit is what
	// is left of it.
	capacity, credit float64
	// requested and served are in tokens, by which customers are compared.
	requested, served int
}

// floodPerToken is the prefill time per token of engines that two floods overload several times
// over.
const floodPerToken = 24 * time.Microsecond

// routers drives several placers that exchange reports, and the engines that they share.
type routers struct {
	clock   *clockwork.FakeClock
	elapsed time.Duration
	random  *rand.Rand
	placers []*Placer
	fleets  []*fleet
	// engines are by the ID of their target.
	engines map[string]*engine
	// usageInterval is the interval at which routers report the customers' usage.
	usageInterval time.Duration
}

func newRouters(t *testing.T, n int, seed uint64) *routers {
	t.Helper()
	r := &routers{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 2)), engines: make(map[string]*engine), usageInterval: defaultUsageInterval}
	for _, target := range targets("model", 9) {
		r.engines[target.ID] = &engine{base: engineBase, perToken: floodPerToken}
	}
	for range n {
		p := New(Options{Clock: r.clock})
		p.SetTargets(targets("model", 9), table(t))
		r.placers = append(r.placers, p)
		r.fleets = append(r.fleets, &fleet{placer: p, clock: r.clock, engines: r.engines, random: r.random, pending: make(map[*Run]time.Time)})
	}
	return r
}

// setCapacities sets the prefill time per token of the engines, and their stated capacity in the
// window of usage.
func (r *routers) setCapacities(perToken time.Duration, stated int) {
	for _, e := range r.engines {
		e.perToken = perToken
	}
	for _, p := range r.placers {
		p.statedCapacity = stated
	}
}

const (
	// prefillsInterval and defaultUsageInterval are the intervals at which routers report placed
	// prompts and the customers' usage.
	prefillsInterval     = 5 * time.Millisecond
	defaultUsageInterval = 400 * time.Millisecond
)

// run simulates the customers' traffic.
func (r *routers) run(d time.Duration, customers ...*traffic) {
	for range d.Milliseconds() {
		for _, c := range customers {
			if r.random.Float64() < c.rate/1000 {
				r.place(c)
			}
		}
		for _, f := range r.fleets {
			f.events()
		}
		r.exchange(r.elapsed)
		r.elapsed += time.Millisecond
		r.clock.Advance(time.Millisecond)
	}
}

func (r *routers) place(c *traffic) {
	router := c.router
	if router < 0 {
		router = r.random.IntN(len(r.fleets))
	}
	f := r.fleets[router]
	q := promptRequest(call(fmt.Sprint(r.random.IntN(40)), 4000, 500+r.random.IntN(4000)), c.customer)
	c.requested += costOf(q.Call)
	if !c.admitted() {
		f.placer.RecordRefusal(q)
		return
	}
	d := f.placer.Place(q, r.replies(router, q)...)
	if d.Run == nil {
		return
	}
	c.served += costOf(q.Call)
	f.pending[d.Run] = f.engines[d.Run.Target.ID].firstEvent(r.clock.Now(), d.PrefillTokens)
}

// admitted reports whether the router has the capacity to place one more request.
func (c *traffic) admitted() bool {
	if c.capacity == 0 {
		return true
	}
	c.credit = min(c.credit+c.capacity/c.rate, 4)
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}

// owner returns the index of the router that owns a target.
func (r *routers) owner(target Hash) int { return int(uint64(target) % uint64(len(r.placers))) }

// replies returns the replies of the owners of a request's targets.
func (r *routers) replies(router int, q Request) []Reply {
	var list []Reply
	for _, question := range r.placers[router].Queries(q) {
		owner := r.owner(question.Target)
		if a, ok := r.placers[owner].Reply(question); ok && owner != router {
			list = append(list, a)
		}
	}
	return list
}

// updateFor returns the part of a router's update that concerns the targets of an owner.
func (r *routers) updateFor(owner int, n Update) Update {
	part := Update{Loads: make(map[Hash]Load)}
	for _, x := range n.Prefills {
		if r.owner(x.Target) == owner {
			part.Prefills = append(part.Prefills, x)
		}
	}
	for _, x := range n.FirstEvents {
		if r.owner(x.Target) == owner {
			part.FirstEvents = append(part.FirstEvents, x)
		}
	}
	for h, load := range n.Loads {
		if r.owner(h) == owner {
			part.Loads[h] = load
		}
	}
	return part
}

func (r *routers) exchange(now time.Duration) {
	if now%prefillsInterval != 0 {
		return
	}
	for i, p := range r.placers {
		news := p.TakeUpdate()
		var report Report
		if now%r.usageInterval == 0 {
			report.Usage = p.Usage()
		}
		for j, other := range r.placers {
			if i != j {
				report.Update = r.updateFor(j, news)
				other.ApplyReport(fmt.Sprint(i), report)
			}
		}
	}
}

// runFloods has two customers send floods and eight others their usual load to nine routers, and
// returns the others. The counts are of the last six seconds.
func runFloods(t *testing.T, seed uint64, wide, narrow *traffic) (others []*traffic) {
	t.Helper()
	for i := range 8 {
		others = append(others, &traffic{customer: fmt.Sprint("small", i), rate: 4, router: -1})
	}
	customers := append([]*traffic{wide, narrow}, others...)
	r := newRouters(t, 9, seed)
	r.run(5*time.Second, customers...)
	for _, c := range customers {
		c.requested, c.served = 0, 0
	}
	r.run(6*time.Second, customers...)
	t.Logf("seed %d: wide requested %d, served %d; narrow requested %d, served %d", seed, wide.requested, wide.served, narrow.requested, narrow.served)
	return others
}

// assertFair fails the test if a flood gets less than half of what it may get, or another customer
// little of what it requests.
func assertFair(t *testing.T, wide, narrow *traffic, others []*traffic) {
	t.Helper()
	assert.Assert(t, 2*narrow.served > min(narrow.requested, wide.served))
	for _, c := range others {
		assert.Assert(t, c.served > c.requested*8/10, "%s requested %d, was served %d", c.customer, c.requested, c.served)
	}
}

// TestFloodsAreServedEquallyAtAnyNumberOfRouters has two customers send floods of requests. One
// of them has connections to all routers and requests 3.6 times as often, the other has all of
// its connections at one router. Both are far above what they are owed. When both had the same
// minimum limit, the capacity that fitted it went to whoever requested more often: a customer
// that requested 2.2 million tokens in six seconds got 0.9 million, and another one 2.5 million.
func TestFloodsAreServedEquallyAtAnyNumberOfRouters(t *testing.T) {
	for seed := range uint64(3) {
		wide := &traffic{customer: "wide", rate: 260, router: -1}
		narrow := &traffic{customer: "narrow", rate: 72, router: 3}
		assertFair(t, wide, narrow, runFloods(t, seed, wide, narrow))
	}
}

// TestIdleEnginesServeCustomerFarAheadOfOneBehindFullRouter guards against unbounded use of idle engines.
func TestIdleEnginesServeCustomerFarAheadOfOneBehindFullRouter(t *testing.T) {
	for seed := range uint64(3) {
		wide := &traffic{customer: "wide", rate: 260, router: -1}
		narrow := &traffic{customer: "narrow", rate: 130, router: 3, capacity: 36}
		assertFair(t, wide, narrow, runFloods(t, seed, wide, narrow))
	}
}

// TestIdleEnginesServeFloodInBursts guards against limits that follow only what all routers report.
func TestIdleEnginesServeFloodInBursts(t *testing.T) {
	testBurstsOfFlood(t, func(time.Duration) int { return 3 })
}

// TestCallersThatMoveLoseTheirCredit guards against parts of the routers that follow callers late.
func TestCallersThatMoveLoseTheirCredit(t *testing.T) {
	testBurstsOfFlood(t, func(now time.Duration) int { return int(now/(2*time.Second)) % 9 })
}

// testBurstsOfFlood has two customers send floods that engines could serve. One comes over all
// routers, the other over one at a time, which serves a part of it.
func testBurstsOfFlood(t *testing.T, router func(time.Duration) int) {
	t.Helper()
	const step, window = 500 * time.Millisecond, 6 * time.Second
	for seed := range uint64(3) {
		wide := &traffic{customer: "wide", rate: 300, router: -1}
		narrow := &traffic{customer: "narrow", rate: 130, capacity: 36}
		r := newRouters(t, 9, seed)
		r.usageInterval = time.Second
		r.setCapacities(floodPerToken/12, 400_000)
		var served [][2]int
		for now := time.Duration(0); now < 4*window; now += step {
			narrow.router = router(now)
			r.run(step, wide, narrow)
			served = append(served, [2]int{wide.served, narrow.served})
			if len(served) <= int(window/step) {
				continue
			}
			before := served[len(served)-1-int(window/step)]
			w, n := wide.served-before[0], narrow.served-before[1]
			assert.Assert(t, 2*n > w, "seed %d, until %v: wide was served %d, narrow %d", seed, now, w, n)
		}
	}
}
