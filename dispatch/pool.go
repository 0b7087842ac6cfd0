package dispatch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/exchange"
	"zinccove.example/zinccove/fair"
	"zinccove.example/zinccove/share"
)

// pool is the queue and the targets of one model or service.
type pool struct {
	number  uint32
	options *Options

	mu        sync.Mutex
	name      string
	closed    bool
	queue     *fair.Queue[*Ticket]
	targets   []*target
	customers map[fair.Customer]*customer
	// window is the number of requests that this router may have at targets.
	window  int
	running int
	// maxCost is the largest cost of a recent request. It decays by maxCostDecay.
	maxCost float64
	// meanSlotTime is the mean time for which a request occupies its slot.
	meanSlotTime time.Duration
	// remote holds the customers with requests that wait at any router.
	remote map[fair.Customer]bool
}

// customer is this router's account of one customer in a pool.
type customer struct {
	weight  uint32
	served  uint64
	running int
	// meanCost is the mean cost of the customer's requests.
	meanCost float64
}

// smoothing is the weight of a new sample in the moving averages.
const smoothing = 0.2

// minWindow lets every router start one request before it has reports of other routers.
const minWindow = 1

// lookAhead is the number of requests beyond its part of the slots that a router
// keeps at the targets while there are no spare slots, so that a slot that
// becomes free can take the next request from the target's own queue.
const lookAhead = 1

func newPool(number uint32, o *Options) *pool {
	return &pool{
		number:    number,
		options:   o,
		queue:     fair.New[*Ticket](o.Queue),
		customers: make(map[fair.Customer]*customer),
		remote:    make(map[fair.Customer]bool),
	}
}

func (p *pool) configure(cfg *config.Config, want poolConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.name = want.name
	p.setTargets(want.targets)
	p.setCustomers(cfg.Customers)
	p.window = max(p.window, minWindow)
	p.grantWaiting()
}

// setCustomers sets the weights. It deletes the accounts of customers that the
// configuration no longer contains once they have no requests at this router.
func (p *pool) setCustomers(customers []config.Customer) {
	declared := make(map[fair.Customer]bool, len(customers))
	for i := range customers {
		c := fair.Customer(customers[i].Number)
		declared[c] = true
		p.customer(c).weight = customers[i].Weight
		p.queue.SetWeight(c, customers[i].Weight)
	}
	for c, cu := range p.customers {
		if !declared[c] && cu.running == 0 && p.queue.Forget(c) {
			delete(p.customers, c)
		}
	}
}

// setTargets replaces the targets and keeps the state of those that remain at the
// same address. Requests at removed targets finish there, and their slots are
// released into the old entry.
func (p *pool) setTargets(targets []config.Target) {
	known := make(map[uint32]*target)
	for _, t := range p.targets {
		known[t.config.Number] = t
	}
	p.targets = p.targets[:0:0]
	for _, c := range targets {
		t := known[c.Number]
		if t == nil || t.config.Address != c.Address {
			t = new(target)
		}
		t.config = c
		t.local = c.DataCentre == p.options.DataCentre
		p.targets = append(p.targets, t)
	}
}

func (p *pool) setDraining(names map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		t.draining = names[t.config.Name]
	}
	p.grantWaiting()
}

func (p *pool) customer(c fair.Customer) *customer {
	cu := p.customers[c]
	if cu == nil {
		cu = &customer{weight: 1}
		p.customers[c] = cu
	}
	return cu
}

// close refuses all waiting requests, because the pool was removed.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for {
		g, ok := p.queue.Next()
		if !ok {
			return
		}
		g.Item.refuse(&RefusedError{Cause: NoTarget, RetryAfter: minRetryAfter})
	}
}

func (p *pool) submit(r Request) (*Ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.targets) == 0 {
		return nil, &RefusedError{Cause: NoTarget, RetryAfter: minRetryAfter}
	}
	now := p.options.Clock.Now()
	if remaining := p.backoffRemaining(now); r.expiresWithin(remaining, now) {
		return nil, &RefusedError{Cause: BackingOff, RetryAfter: remaining}
	}
	t := &Ticket{pool: p, request: r, granted: make(chan *Slot, 1)}
	if err := p.queue.Push(r.Customer, r.Class, t); err != nil {
		return nil, &RefusedError{Cause: QueueFull, RetryAfter: p.retryAfter()}
	}
	p.grantWaiting()
	return t, nil
}

// Bounds of the time after which refused callers are asked to retry.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// retryAfter returns the expected time until this router's queue is empty at its
// present window.
func (p *pool) retryAfter() time.Duration {
	wait := p.meanSlotTime * time.Duration(p.queue.Waiting()) / time.Duration(max(p.window, 1))
	return min(max(wait.Round(time.Second), minRetryAfter), maxRetryAfter)
}

func (p *pool) abandon(t *Ticket) {
	p.mu.Lock()
	if t.done {
		p.mu.Unlock()
		return
	}
	t.done = true
	slot := t.slot
	if slot == nil {
		p.queue.Remove(t.request.Customer, func(x *Ticket) bool { return x == t })
	}
	p.mu.Unlock()
	if slot != nil {
		slot.Release(Cancelled)
	}
}

func (p *pool) observe(c fair.Customer, cost uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Observe(c, cost)
}

// grantWaiting grants slots to waiting requests while the window is not exhausted and
// a target has room.
func (p *pool) grantWaiting() {
	now := p.options.Clock.Now()
	for p.queue.Waiting() > 0 && p.running < p.window {
		if p.chooseTarget(0, now) == nil {
			return
		}
		g, _ := p.queue.Next()
		p.grant(g, now)
	}
}

func (p *pool) grant(g fair.Grant[*Ticket], now time.Time) {
	t := g.Item
	cu := p.customer(g.Customer)
	chosen := p.chooseTarget(t.request.Avoid, now)
	s := &Slot{
		pool:     p,
		target:   chosen,
		config:   chosen.config,
		request:  t.request,
		started:  now,
		reserved: p.estimate(cu, t.request),
		Level:    p.queue.Level(g.Customer),
	}
	s.target.acquire()
	p.running++
	cu.running++
	p.queue.Reserve(g.Customer, s.reserved)
	t.slot = s
	t.granted <- s
}

// maxHint bounds the reservation made from a caller's hint: callers request far
// more tokens than they use, and a large reservation prevents a customer from
// getting its second slot.
const maxHint = 256

// estimate returns the expected cost of a request: the mean cost of the customer's
// requests, or the bounded hint if none has completed yet.
func (p *pool) estimate(cu *customer, r Request) float64 {
	if cu.meanCost > 0 {
		return cu.meanCost
	}
	return float64(min(r.Hint, maxHint))
}

// chooseTarget returns the target for the next request: the one with the most unused
// quota of this router, else the usable one with the most room, with local targets
// preferred. It returns nil when no usable target has room, overcommit included.
func (p *pool) chooseTarget(avoid uint32, now time.Time) *target {
	var best *target
	for _, t := range p.targets {
		if !t.usable(now) || t.room() <= -p.options.Overcommit {
			continue
		}
		if best == nil || better(t, best, avoid) {
			best = t
		}
	}
	return best
}

func better(t, than *target, avoid uint32) bool {
	if ta, ba := t.config.Number == avoid, than.config.Number == avoid; ta != ba {
		return ba
	}
	if tq, bq := t.quota-t.own, than.quota-than.own; (tq > 0 || bq > 0) && tq != bq {
		return tq > bq
	}
	if tr, br := t.room() > 0, than.room() > 0; tr != br {
		return tr
	}
	if t.local != than.local {
		return t.local
	}
	return t.room() > than.room()
}

func (p *pool) charge(s *Slot, cost uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.released {
		return
	}
	c := s.request.Customer
	s.cost += cost
	p.customer(c).served += cost
	p.queue.Charge(c, cost)
	released := min(s.reserved, float64(cost))
	s.reserved -= released
	p.queue.Reserve(c, -released)
}

func (p *pool) release(s *Slot, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	now := p.options.Clock.Now()
	cu := p.customer(s.request.Customer)
	p.queue.Reserve(s.request.Customer, -s.reserved)
	if r == Completed {
		cu.meanCost = movingAverage(cu.meanCost, float64(s.cost))
		p.maxCost = max(p.maxCost*maxCostDecay, float64(s.cost))
		p.meanSlotTime = time.Duration(movingAverage(float64(p.meanSlotTime), float64(now.Sub(s.started))))
	}
	s.target.release(r, now)
	p.running--
	cu.running--
	p.grantWaiting()
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothing*(sample-old)
}

// balance applies the reported state of the other routers: their requests at the
// targets, their backlogs and their demand.
func (p *pool) balance(v *View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		t.others = v.InFlight[t.config.Number]
	}
	p.setRemoteBacklogs(v.Demands[p.number])
	p.queue.BoundDebt(p.debtBound())
	p.setWindow(v)
	p.grantWaiting()
}

const (
	// maxCostDecay is the factor by which each completed request reduces the
	// largest cost; it halves the cost in about 700 requests.
	maxCostDecay = 0.999
	// minDebtBound is the lowest bound of the debt. It applies until a request has
	// completed, and while the costs are small.
	minDebtBound = 1000
)

// debtBound returns by how much the level of a waiting customer may exceed the lowest one.
func (p *pool) debtBound() float64 {
	return max(float64(p.options.DebtRequests)*p.maxCost, minDebtBound)
}

func (p *pool) setRemoteBacklogs(demand []exchange.Demand) {
	waiting := make(map[fair.Customer]bool)
	for _, d := range demand {
		if d.Queued > 0 {
			waiting[d.Customer] = true
		}
	}
	for c := range p.remote {
		if !waiting[c] {
			p.queue.SetRemoteBacklog(c, false)
		}
	}
	for _, c := range slices.Sorted(maps.Keys(waiting)) {
		p.queue.SetRemoteBacklog(c, true)
	}
	p.remote = waiting
}

// setWindow computes this router's part of the slots and its quota at each
// target. It uses the reported demand of all routers, including its own, so that
// all routers compute from the same figures.
func (p *pool) setWindow(v *View) {
	b := newDemandBuilder(p)
	for _, d := range v.Demands[p.number] {
		b.add(d.Host, d.Customer, int(d.Queued), int(d.Running))
	}
	in := b.input()
	self, hasDemand := b.routers[p.options.Host]
	if !hasDemand {
		self = -1
	}
	window, slots := p.options.Window(in, self, max(v.Routers, 1))
	p.window = max(window, minWindow)
	p.setQuotas(nil)
	if hasDemand && slots != nil {
		p.setQuotas(b.quotas(v.DataCentres, slots, self))
	}
}

// computedWindow returns the router's part of the slots as its window. The router may
// use an equal part of the spare slots immediately, and more of them once the
// other routers have received its demand.
func computedWindow(in share.Input, self, routers int) (window int, slots []int) {
	slots, spare := share.Allocate(in)
	window = (spare + routers - 1) / routers
	if self < 0 {
		return window, slots
	}
	window += slots[self]
	if spare == 0 {
		window += lookAhead
	}
	return window, slots
}

// setQuotas sets the quota of each usable target, in order; nil clears all quotas.
func (p *pool) setQuotas(quotas []int) {
	now := p.options.Clock.Now()
	i := 0
	for _, t := range p.targets {
		t.quota = 0
		if t.usable(now) && i < len(quotas) {
			t.quota = quotas[i]
			i++
		}
	}
}

// slots returns the number of slots at usable targets.
func (p *pool) slots() int {
	now := p.options.Clock.Now()
	n := 0
	for _, t := range p.targets {
		if t.usable(now) {
			n += int(t.config.Slots)
		}
	}
	return n
}

func (p *pool) counters(yield func(exchange.Key, exchange.Counters)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, cu := range p.customers {
		queued := p.queue.WaitingOf(c)
		if cu.served == 0 && cu.running == 0 && queued == 0 {
			continue
		}
		yield(exchange.Key{Pool: p.number, Customer: c},
			exchange.Counters{Served: cu.served, Queued: uint32(queued), Running: uint32(cu.running)})
	}
}

func (p *pool) status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{Name: p.name, Queued: p.queue.Waiting(), Running: p.running, Slots: p.slots(), Window: p.window}
}
