package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/exchange"
	"zinccove.example/zinccove/fair"
)

// Size of the fleet under test. In each step every running request delivers one token.
const (
	fleetRouters  = 6
	fleetTargets  = 4
	fleetSlots    = 6
	fleetPeriod   = 20 // steps between exchanges
	fleetSteps    = 3000
	fleetMaxCost  = 120
	fleetInput    = 20
	fleetCustomer = 8
)

// fakeRouter is a dispatcher with its table of exchanged counters.
type fakeRouter struct {
	*Dispatcher
	name     string
	counters *exchange.Table
}

// fakeRequest runs at a target: its input is charged at once, then one token in each step.
type fakeRequest struct {
	slot     *Slot
	customer fair.Customer
	left     int
	started  bool
}

// fakeWaiting is a request that waits at its router.
type fakeWaiting struct {
	ticket  *Ticket
	request fakeRequest
}

// fakeFleet drives routers and targets without I/O.
type fakeFleet struct {
	rng     *rand.Rand
	clock   *clockwork.FakeClock
	cfg     *config.Config
	routers []*fakeRouter
	// atTarget holds the requests at each target, in order of arrival.
	atTarget map[uint32][]*fakeRequest
	waiting  []fakeWaiting
	service  map[fair.Customer]float64
	// homes holds the routers of each customer, in the order of the configuration.
	homes       [][]int
	partitioned bool

	busy, offered, maxWaiting int
}

func newFakeFleet(t *testing.T, seed uint64) *fakeFleet {
	t.Helper()
	f := &fakeFleet{
		rng: rand.New(rand.NewPCG(seed, 0)), clock: clockwork.NewFakeClock(), atTarget: make(map[uint32][]*fakeRequest),
		service: make(map[fair.Customer]float64),
	}
	changes := []config.Change{config.Put(config.Model{Name: "m", ModelVersion: "v1"})}
	for i := range fleetCustomer {
		changes = append(changes, config.Put(config.Customer{Name: fmt.Sprintf("c%d", i), Weight: uint32(1 + i%3)}))
	}
	for i := range fleetTargets {
		changes = append(changes, config.Put(config.Target{Name: fmt.Sprintf("t%d", i), Serves: "m", ModelVersion: "v1",
			DataCentre: fmt.Sprintf("dc%d", i%2), Slots: fleetSlots, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1))}))
	}
	var err error
	f.cfg, err = new(config.Config).Apply(changes)
	assert.NilError(t, err)
	for i := range fleetRouters {
		r := &fakeRouter{name: fmt.Sprintf("r%d", i), counters: exchange.New(exchange.Options{Repeats: 2, Rotate: 2, MaxEntries: 50})}
		r.Dispatcher = New(Options{Clock: f.clock, Host: r.name, DataCentre: f.dataCentre(i), CatchUpLag: 500, Overcommit: 2,
			DebtRequests: 4, Queue: fair.Limits{PerCustomer: 1000}})
		r.Configure(f.cfg)
		f.routers = append(f.routers, r)
	}
	for _, r := range f.routers {
		for _, other := range f.routers {
			r.counters.ResetHost(other.name, false)
		}
	}
	for i := range f.cfg.Customers {
		f.homes = append(f.homes, []int{i % fleetRouters, (i * 2) % fleetRouters})
	}
	return f
}

func (f *fakeFleet) dataCentre(router int) string { return fmt.Sprintf("dc%d", router%2) }

// connected reports whether two routers receive each other's reports.
func (f *fakeFleet) connected(a, b int) bool {
	return !f.partitioned || f.dataCentre(a) == f.dataCentre(b)
}

// keepBacklogged submits requests until every customer has three waiting at each of its routers.
func (f *fakeFleet) keepBacklogged(t *testing.T) {
	for i, homes := range f.homes {
		c := f.customer(i)
		for _, home := range homes {
			r := f.routers[home]
			for r.pools[f.cfg.Models[0].Number].queue.WaitingOf(c) < 3 {
				ticket, err := r.Submit(Request{Pool: f.cfg.Models[0].Number, Customer: c})
				assert.NilError(t, err)
				f.waiting = append(f.waiting, fakeWaiting{ticket, fakeRequest{customer: c, left: 1 + f.rng.IntN(fleetMaxCost-fleetInput)}})
			}
		}
	}
}

// dispatch moves granted requests to their targets.
func (f *fakeFleet) dispatch() {
	f.waiting = slices.DeleteFunc(f.waiting, func(w fakeWaiting) bool {
		s := granted(w.ticket)
		if s == nil {
			return false
		}
		w.request.slot = s
		number := s.Target().Number
		f.atTarget[number] = append(f.atTarget[number], &w.request)
		return true
	})
}

// customer returns the number of the customer at an index.
func (f *fakeFleet) customer(i int) fair.Customer { return fair.Customer(f.cfg.Customers[i].Number) }

// step advances every target by one step.
func (f *fakeFleet) step() {
	for _, target := range f.cfg.Targets {
		reqs := f.atTarget[target.Number]
		running := min(len(reqs), int(target.Slots))
		f.busy += running
		f.offered += int(target.Slots)
		f.maxWaiting = max(f.maxWaiting, len(reqs)-running)
		var kept []*fakeRequest
		for i, req := range reqs {
			if i >= running || f.token(req) {
				kept = append(kept, req)
			}
		}
		f.atTarget[target.Number] = kept
	}
}

// token delivers a token of a request and reports whether the request is unfinished.
func (f *fakeFleet) token(req *fakeRequest) bool {
	cost := uint64(1)
	if !req.started {
		req.started = true
		cost += fleetInput
	}
	req.slot.Charge(cost)
	f.service[req.customer] += float64(cost) / f.weight(req.customer)
	req.left--
	if req.left > 0 {
		return true
	}
	req.slot.Release(Completed)
	return false
}

func (f *fakeFleet) weight(c fair.Customer) float64 {
	for i := range f.cfg.Customers {
		if f.cfg.Customers[i].Number == uint32(c) {
			return float64(f.cfg.Customers[i].Weight)
		}
	}
	return 1
}

// exchangeReports delivers every router's report to the routers connected with it and then
// balances all routers.
func (f *fakeFleet) exchangeReports() {
	inFlight := make([]InFlight, len(f.routers))
	for i, from := range f.routers {
		from.Counters(from.counters.SetLocal)
		report := from.counters.Report()
		inFlight[i] = from.OwnInFlight()
		for k, to := range f.routers {
			if k == i {
				continue
			}
			if !f.connected(i, k) {
				to.counters.ClearDemand(from.name)
				continue
			}
			to.Observe(to.counters.ApplyReports(from.name, report))
		}
	}
	for i, r := range f.routers {
		v := View{Demands: r.counters.Demands(r.name), InFlight: make(InFlight), DataCentres: make(map[string]string)}
		for k, other := range f.routers {
			v.DataCentres[other.name] = f.dataCentre(k)
			if !f.connected(i, k) {
				continue
			}
			v.Routers++
			for number, n := range inFlight[k] {
				if k != i {
					v.InFlight[number] += n
				}
			}
		}
		r.Balance(v)
	}
}

// drive runs steps and returns the largest change, over the steps, of the difference
// between two customers' service per unit of weight.
func (f *fakeFleet) drive(t *testing.T, steps int) float64 {
	low, high := map[[2]int]float64{}, map[[2]int]float64{}
	worst := 0.0
	for step := range steps {
		f.keepBacklogged(t)
		if step%fleetPeriod == 0 {
			f.exchangeReports()
		}
		f.dispatch()
		f.step()
		f.clock.Advance(10 * time.Millisecond)
		for a := range f.homes {
			for b := range f.homes {
				pair := [2]int{a, b}
				d := f.service[f.customer(a)] - f.service[f.customer(b)]
				if step == 0 {
					low[pair], high[pair] = d, d
				}
				low[pair], high[pair] = min(low[pair], d), max(high[pair], d)
				worst = max(worst, high[pair]-low[pair])
			}
		}
	}
	return worst
}

// TestGapOverRoutersStaysBounded drives a fleet whose customers are spread
// unevenly over the routers. It checks that the difference in service stays within
// a bound that does not grow with time, and that slots are not idle.
func TestGapOverRoutersStaysBounded(t *testing.T) {
	for seed := range uint64(5) {
		f := newFakeFleet(t, seed)
		f.drive(t, fleetSteps/3)
		f.busy, f.offered, f.maxWaiting = 0, 0, 0
		short := f.drive(t, fleetSteps)
		long := f.drive(t, 3*fleetSteps)
		period := float64(fleetPeriod * fleetTargets * fleetSlots)
		bound := 2*fleetMaxCost + period
		t.Logf("seed %d: gap %.0f in %d steps, %.0f in %d, bound %.0f; busy %.3f; at most %d wait inside a target",
			seed, short, fleetSteps, long, 3*fleetSteps, bound, float64(f.busy)/float64(f.offered), f.maxWaiting)
		assert.Assert(t, short <= bound && long <= bound)
		assert.Assert(t, float64(f.busy)/float64(f.offered) >= 0.95)
		assert.Assert(t, f.maxWaiting <= fleetRouters)
	}
}

// TestPartitionedFleetServesBothSidesAndRecovers partitions the fleet in two and ends
// the partition. It checks that both sides continued to serve requests, and that the
// difference in service is within the bound again 5 s after the partition.
func TestPartitionedFleetServesBothSidesAndRecovers(t *testing.T) {
	f := newFakeFleet(t, 1)
	f.drive(t, 1000)
	f.partitioned = true
	before := f.total()
	f.drive(t, 1000)
	rate := (f.total() - before) / 1000
	assert.Assert(t, rate > 0.9*fleetTargets*fleetSlots, "%.1f tokens a step", rate)
	f.partitioned = false
	f.drive(t, 500) // 5 s
	bound := 2*fleetMaxCost + float64(fleetPeriod*fleetTargets*fleetSlots)
	gap := f.drive(t, 2000)
	t.Logf("gap %.0f after the partition ended, bound %.0f", gap, bound)
	assert.Assert(t, gap <= bound)
}

// total returns the service of all customers in tokens.
func (f *fakeFleet) total() float64 {
	sum := 0.0
	for c, s := range f.service {
		sum += s * f.weight(c)
	}
	return math.Round(sum)
}
