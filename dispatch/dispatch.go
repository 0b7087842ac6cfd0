// Package dispatch queues the requests of one router and gives them slots at
// targets.
//
// Each model and each service is a pool with a fair queue of its own. A
// request is granted a slot when it is first in the order of the queue, the
// router's window is not exhausted and a target has room. The window is this
// router's part of the pool's slots, computed by package share from the demand
// of all routers, plus its part of the slots for which there is no demand.
//
// # Usage
//
//	d := dispatch.New(dispatch.Options{Clock: clock, Queue: limits})
//	d.Configure(cfg)                       // each accepted configuration
//	ticket, err := d.Submit(req)           // *RefusedError when not queued
//	select {
//	case slot := <-ticket.Granted():
//		slot.Charge(tokens)
//		slot.Release(dispatch.Completed)
//	case <-callerClosed:
//		ticket.Abandon()
//	}
//	d.Observe(observations)                // service delivered by other routers
//	d.Balance(view)                        // demand of other routers
//
// # Limits
//
// Different routers compute their windows from counters of different age. Until
// the next exchange of counters the sum of the windows may exceed the slots; the
// excess requests wait inside the targets. Overcommit bounds the excess for each
// target and router.
package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/exchange"
	"zinccove.example/zinccove/fair"
	"zinccove.example/zinccove/notice"
	"zinccove.example/zinccove/share"
)

// Options configure a dispatcher.
type Options struct {
	Clock clockwork.Clock
	// Host and DataCentre are the names of this router's host and data centre.
	Host       string
	DataCentre string
	Queue      fair.Limits
	// DebtRequests bounds by how much the level of a waiting customer may exceed the
	// lowest level, in requests of the largest recent cost.
	DebtRequests int
	// CatchUpLag is the lag in cost per unit of weight that doubles a customer's
	// part of the slots.
	CatchUpLag float64
	// Overcommit is the number of requests beyond the free slots of a target that
	// this router may send to it. Which slots are free is an estimate: it counts the
	// requests that the other routers reported.
	Overcommit int
	// Window returns the number of requests that a router may have at the targets of
	// a pool, and the slots of each router, from which its quota at each target is
	// computed. If the slots are nil, there are no quotas and targets are chosen by
	// their free slots. Self is the router's index in the input, or -1 if it has no
	// demand. Routers is the number of live routers. The default is computedWindow;
	// experiments replace it.
	Window func(in share.Input, self, routers int) (window int, slots []int)
	// OnBackoff is called with the target and its notice when a target starts a backoff that
	// it requested itself or that follows from its draining; it must not block. It may be nil.
	OnBackoff func(config.Target, notice.Notice)
	// Isolated makes the dispatcher ignore all other routers, as the baseline of
	// experiments.
	Isolated bool
}

// Request is the part of a caller's request that the dispatcher needs.
type Request struct {
	// Pool is the number of a model or service.
	Pool     uint32
	Customer fair.Customer
	Class    fair.Class
	// Hint is the cost that the caller expects; 0 when unknown. It is only used
	// as a reservation and is never charged.
	Hint uint64
	// Avoid is the number of a target at which this request failed before; that
	// target is chosen only when no other has room. 0 avoids none.
	Avoid uint32
	// Deadline is when the caller gives up; zero if the caller set none.
	Deadline time.Time
}

// Cause is the reason why a request was refused.
type Cause string

// The causes of refusals.
const (
	QueueFull   Cause = "queue_full"
	NoTarget    Cause = "no_target"
	BackingOff  Cause = "targets_back_off"
	UnknownPool Cause = "unknown_pool"
)

// RefusedError means that a request was not queued and did not run.
type RefusedError struct {
	Cause Cause
	// RetryAfter is the time until the queue is expected to have room.
	RetryAfter time.Duration
}

// Error returns the cause and the time after which to retry.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, retry after %s", e.Cause, e.RetryAfter)
}

// Dispatcher holds the pools of one router. It is safe for concurrent use.
type Dispatcher struct {
	options Options

	mu    sync.RWMutex
	pools map[uint32]*pool
	// draining holds the names of the targets that the platform is about to remove.
	draining map[string]bool
}

// New returns a dispatcher without pools.
func New(o Options) *Dispatcher {
	if o.Window == nil {
		o.Window = computedWindow
	}
	return &Dispatcher{options: o, pools: make(map[uint32]*pool)}
}

// Configure sets the pools, weights and targets to those of a configuration.
// Requests that wait in a pool that no longer exists are refused.
func (d *Dispatcher) Configure(cfg *config.Config) {
	wanted := wantedPools(cfg)
	d.mu.Lock()
	defer d.mu.Unlock()
	for number, p := range d.pools {
		if _, kept := wanted[number]; !kept {
			p.close()
			delete(d.pools, number)
		}
	}
	for number, want := range wanted {
		p := d.pools[number]
		if p == nil {
			p = newPool(number, &d.options)
			d.pools[number] = p
		}
		p.configure(cfg, want)
		p.setDraining(d.draining)
	}
}

// SetDraining replaces the set of targets, by name, that the platform is about to
// remove. They receive no new requests. Names without a target are ignored, and
// targets that are not in the set receive requests as usual.
func (d *Dispatcher) SetDraining(names map[string]bool) {
	d.mu.Lock()
	d.draining = names
	d.mu.Unlock()
	for _, p := range d.poolsByNumber() {
		p.setDraining(names)
	}
}

// poolConfig is the part of a configuration that concerns one pool.
type poolConfig struct {
	name    string
	targets []config.Target
}

func wantedPools(cfg *config.Config) map[uint32]poolConfig {
	numbers := make(map[string]uint32)
	for i := range cfg.Models {
		numbers[cfg.Models[i].Name] = cfg.Models[i].Number
	}
	for i := range cfg.Services {
		numbers[cfg.Services[i].Name] = cfg.Services[i].Number
	}
	wanted := make(map[uint32]poolConfig)
	for name, number := range numbers {
		wanted[number] = poolConfig{name: name}
	}
	for i := range cfg.Targets {
		t := cfg.Targets[i]
		if !cfg.Eligible(&t) {
			continue
		}
		number := numbers[t.Serves]
		w := wanted[number]
		w.targets = append(w.targets, t)
		wanted[number] = w
	}
	return wanted
}

func (d *Dispatcher) pool(number uint32) *pool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.pools[number]
}

// poolsByNumber returns all pools, ordered by number.
func (d *Dispatcher) poolsByNumber() []*pool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.SortedFunc(maps.Values(d.pools), func(a, b *pool) int { return int(a.number) - int(b.number) })
}

// Submit queues a request. The error is a *RefusedError.
func (d *Dispatcher) Submit(r Request) (*Ticket, error) {
	p := d.pool(r.Pool)
	if p == nil {
		return nil, &RefusedError{Cause: UnknownPool, RetryAfter: time.Second}
	}
	return p.submit(r)
}

// Observe charges customers for service that other routers delivered.
func (d *Dispatcher) Observe(observed []exchange.Observation) {
	if d.options.Isolated {
		return
	}
	for _, o := range observed {
		if p := d.pool(o.Key.Pool); p != nil {
			p.observe(o.Key.Customer, o.Cost)
		}
	}
}

// InFlight is a number of requests for each target, by the target's number.
type InFlight map[uint32]int

// View is the state that the routers reported to each other.
type View struct {
	// Demands are the queued and running requests by pool that the routers
	// reported, this one included.
	Demands map[uint32][]exchange.Demand
	// Routers is the number of live routers, this one included.
	Routers int
	// InFlight is the number of requests of the other routers at each target.
	InFlight InFlight
	// DataCentres is the data centre of each router by the router's name.
	DataCentres map[string]string
}

// Balance recomputes the router's windows from the reported state of the other
// routers and grants the slots that the new windows allow.
func (d *Dispatcher) Balance(v View) {
	if d.options.Isolated {
		v = View{}
	}
	for _, p := range d.poolsByNumber() {
		p.balance(&v)
	}
}

// Counters calls yield with the counters of every customer of every pool.
func (d *Dispatcher) Counters(yield func(exchange.Key, exchange.Counters)) {
	for _, p := range d.poolsByNumber() {
		p.counters(yield)
	}
}

// OwnInFlight returns the number of this router's requests at each target that
// runs at least one of them.
func (d *Dispatcher) OwnInFlight() InFlight {
	own := make(InFlight)
	for _, p := range d.poolsByNumber() {
		p.mu.Lock()
		for _, t := range p.targets {
			if t.own > 0 {
				own[t.config.Number] = t.own
			}
		}
		p.mu.Unlock()
	}
	return own
}

// PoolLevels are the levels of all customers of a pool.
type PoolLevels struct {
	Pool   uint32
	Levels []fair.Level
}

// Levels returns the levels of all pools.
func (d *Dispatcher) Levels() []PoolLevels {
	var levels []PoolLevels
	for _, p := range d.poolsByNumber() {
		p.mu.Lock()
		levels = append(levels, PoolLevels{Pool: p.number, Levels: p.queue.Levels()})
		p.mu.Unlock()
	}
	return levels
}

// RaiseLevels raises the levels of a pool to at least the given ones.
func (d *Dispatcher) RaiseLevels(l PoolLevels) {
	p := d.pool(l.Pool)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, level := range l.Levels {
		p.queue.Raise(level)
	}
}

// Status is the state of one pool at this router.
type Status struct {
	Name    string
	Queued  int
	Running int
	// Slots is the number of slots at usable targets.
	Slots int
	// Window is the number of requests that this router may have at targets.
	Window int
}

// Status returns the state of all pools.
func (d *Dispatcher) Status() []Status {
	var all []Status
	for _, p := range d.poolsByNumber() {
		all = append(all, p.status())
	}
	return all
}

// Saturated reports whether requests of any pool wait because its window is exhausted.
func (d *Dispatcher) Saturated() bool {
	return slices.ContainsFunc(d.Status(), func(s Status) bool { return s.Queued > 0 && s.Running >= s.Window })
}

// Idle reports whether no request is queued or running in any pool.
func (d *Dispatcher) Idle() bool {
	return !slices.ContainsFunc(d.Status(), func(s Status) bool { return s.Queued > 0 || s.Running > 0 })
}
