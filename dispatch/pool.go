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
	// window is the number of requests this router may have at targets.
	window  int
	running int
	// largest is the largest cost of a recent request.
	largest float64
	// hold is the mean time that a request keeps its slot.
	hold time.Duration
	// remote are the customers that other routers have requests waiting for.
	remote map[fair.Customer]bool
}

// customer is this router's account of one customer in a pool.
type customer struct {
	weight  uint32
	served  uint64
	running int
	// cost is the mean cost of the customer's requests.
	cost float64
}

// smoothing is the part of a new sample in the running means.
const smoothing = 0.2

// minWindow lets every router start one request without knowing of others.
const minWindow = 1

// lookAhead is the number of requests above its part that a router keeps at
// the targets while there are no spare slots, so that a slot that becomes free
// finds the next request inside the target.
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
	p.pump()
}

// setCustomers sets the weights and forgets customers that were removed, once
// they have no work left here.
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

// setTargets keeps the state of targets that stay. Requests at targets that
// go end there; their slots are released into the old entry.
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

func (p *pool) setLeaving(names map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		t.leaving = names[t.config.Name]
	}
	p.pump()
}

func (p *pool) customer(c fair.Customer) *customer {
	cu := p.customers[c]
	if cu == nil {
		cu = &customer{weight: 1}
		p.customers[c] = cu
	}
	return cu
}

// close refuses all that waits, because the pool was removed.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for {
		g, ok := p.queue.Next()
		if !ok {
			return
		}
		g.Item.refuse(&RefusedError{Cause: NoTarget, RetryAfter: shortestRetry})
	}
}

func (p *pool) submit(r Request) (*Ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.targets) == 0 {
		return nil, &RefusedError{Cause: NoTarget, RetryAfter: shortestRetry}
	}
	now := p.options.Clock.Now()
	if left := p.quiet(now); r.late(left, now) {
		return nil, &RefusedError{Cause: BackingOff, RetryAfter: left}
	}
	t := &Ticket{pool: p, request: r, granted: make(chan *Slot, 1)}
	if err := p.queue.Push(r.Customer, r.Class, t); err != nil {
		return nil, &RefusedError{Cause: QueueFull, RetryAfter: p.retryAfter()}
	}
	p.pump()
	return t, nil
}

// Bounds of the time after which refused callers are asked to come back.
const (
	shortestRetry = time.Second
	longestRetry  = time.Minute
)

// retryAfter is the time in which this router's window works off its queue.
func (p *pool) retryAfter() time.Duration {
	wait := p.hold * time.Duration(p.queue.Waiting()) / time.Duration(max(p.window, 1))
	return min(max(wait.Round(time.Second), shortestRetry), longestRetry)
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

// pump grants slots while the queue, the window and the targets allow it.
func (p *pool) pump() {
	now := p.options.Clock.Now()
	for p.queue.Waiting() > 0 && p.running < p.window {
		if p.choose(0, now) == nil {
			return
		}
		g, _ := p.queue.Next()
		p.grant(g, now)
	}
}

func (p *pool) grant(g fair.Grant[*Ticket], now time.Time) {
	t := g.Item
	cu := p.customer(g.Customer)
	s := &Slot{
		pool:     p,
		target:   p.choose(t.request.Avoid, now),
		request:  t.request,
		started:  now,
		reserved: p.estimate(cu, t.request),
		Level:    p.queue.Level(g.Customer),
	}
	s.target.take()
	p.running++
	cu.running++
	p.queue.Reserve(g.Customer, s.reserved)
	t.slot = s
	t.granted <- s
}

// maxHint bounds what a caller's hint reserves: callers ask for far more
// tokens than they take, and a large reservation keeps a customer from its
// second slot.
const maxHint = 256

// estimate is the cost that a request is expected to have.
func (p *pool) estimate(cu *customer, r Request) float64 {
	if cu.cost > 0 {
		return cu.cost
	}
	return float64(min(r.Hint, maxHint))
}

// choose returns the target for the next request: one at which this router
// has not used its quota, else the usable one with the most room. It returns
// nil when every target is full.
func (p *pool) choose(avoid uint32, now time.Time) *target {
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
	back := min(s.reserved, float64(cost))
	s.reserved -= back
	p.queue.Reserve(c, -back)
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
		cu.cost = mean(cu.cost, float64(s.cost))
		p.largest = max(p.largest*largestKept, float64(s.cost))
		p.hold = time.Duration(mean(float64(p.hold), float64(now.Sub(s.started))))
	}
	s.target.give(r, now)
	p.running--
	cu.running--
	p.pump()
}

func mean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothing*(sample-old)
}

// balance takes what is known of the other routers.
func (p *pool) balance(v *View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		t.others = v.InFlight[t.config.Number]
	}
	p.setRemote(v.Demands[p.number])
	p.queue.BoundDebt(p.debt())
	p.setWindow(v)
	p.pump()
}

const (
	// largestKept is the part of the largest cost that is kept with each
	// request that ends; it halves in about 700 requests.
	largestKept = 0.999
	// leastDebt is the bound until a request has ended.
	leastDebt = 1000
)

// debt is the most that a waiting customer may be ahead.
func (p *pool) debt() float64 {
	return max(float64(p.options.DebtRequests)*p.largest, leastDebt)
}

func (p *pool) setRemote(demand []exchange.Demand) {
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
// target. All demand, its own too, is what the routers announced, so that all
// compute from the same.
func (p *pool) setWindow(v *View) {
	b := newSplit(p)
	for _, d := range v.Demands[p.number] {
		b.add(d.Host, d.Customer, int(d.Queued), int(d.Running))
	}
	in := b.input()
	self, wants := b.routers[p.options.Host]
	if !wants {
		self = -1
	}
	window, slots := p.options.Window(in, self, max(v.Routers, 1))
	p.window = max(window, minWindow)
	p.setQuotas(nil)
	if wants && slots != nil {
		p.setQuotas(b.place(v.DataCentres, slots, self))
	}
}

// computedWindow is the router's part of the slots. Of spare slots it may use
// an equal part at once; more once the others have heard of its demand.
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

// setQuotas sets the quota of each usable target, in order; nil is none.
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

// slots returns the slots of usable targets.
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
