// Package dispatch queues the requests of one router and gives them slots at
// targets.
//
// Each model and each service is a pool with a fair queue of its own. A
// request gets a slot when it is first in the queue's order, the router's
// window is not used up and a target has room. The window is this router's
// part of the pool's slots, computed by package share from the demand of all
// routers, plus the slots that nobody wants.
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
//	case <-gone:
//		ticket.Abandon()
//	}
//	d.Observe(observations)                // service of other routers
//	d.Balance(view)                        // demand of other routers
//
// # Limits
//
// Windows of different routers come from counters of different age. Until the
// next exchange their sum may exceed the slots; the excess waits inside the
// targets. Overcommit bounds it for each target and router.
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
	// Host and DataCentre are this router's.
	Host       string
	DataCentre string
	Queue      fair.Limits
	// DebtRequests is the most that a waiting customer's level may exceed the
	// lowest one, in requests of the largest recent cost.
	DebtRequests int
	// Catchup is the lag in cost per unit of weight that doubles a customer's
	// part of the slots.
	Catchup float64
	// Overcommit is the number of requests above its slots that this router
	// may place at a target whose other slots other routers seem to use.
	Overcommit int
	// Window returns the number of requests that the router self, an index of
	// the input or -1 if it wants nothing, may have at the targets of a pool, and
	// the slots of all routers, from which its places at the targets follow; nil
	// leaves them to what seems free. Routers is the number of those alive. The
	// default is computedWindow. Experiments replace it.
	Window func(in share.Input, self, routers int) (window int, slots []int)
	// Noticed is told when a target gets nothing for a while, as it said itself; it must not
	// block. Nil tells nobody.
	Noticed func(config.Target, notice.Notice)
	// Isolated makes the dispatcher ignore all other routers, which is the
	// baseline of experiments.
	Isolated bool
}

// Request is what the dispatcher needs to know of a caller's request.
type Request struct {
	// Pool is the number of a model or service.
	Pool     uint32
	Customer fair.Customer
	Class    fair.Class
	// Hint is the cost that the caller expects; 0 when unknown. It only
	// reserves, it is never charged.
	Hint uint64
	// Avoid is the number of a target that failed this request before; it is
	// used only when no other has room. 0 avoids none.
	Avoid uint32
	// Deadline is when the caller gives up; zero if it does not say.
	Deadline time.Time
}

// Cause says why a request was refused.
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
	// RetryAfter is when room is expected.
	RetryAfter time.Duration
}

// Error returns the cause and when to come back.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, retry after %s", e.Cause, e.RetryAfter)
}

// Dispatcher holds the pools of one router. It is safe for concurrent use.
type Dispatcher struct {
	options Options

	mu    sync.RWMutex
	pools map[uint32]*pool
	// leaving are the names of targets that the platform says are leaving.
	leaving map[string]bool
}

// New returns a dispatcher without pools.
func New(o Options) *Dispatcher {
	if o.Window == nil {
		o.Window = computedWindow
	}
	return &Dispatcher{options: o, pools: make(map[uint32]*pool)}
}

// Configure makes the pools, weights and targets those of a configuration.
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
		p.setLeaving(d.leaving)
	}
}

// SetLeaving tells which targets the platform takes away. They receive no new
// requests; a target of another name does not exist or stays.
func (d *Dispatcher) SetLeaving(names map[string]bool) {
	d.mu.Lock()
	d.leaving = names
	d.mu.Unlock()
	for _, p := range d.all() {
		p.setLeaving(names)
	}
}

// poolConfig is what a configuration says of one pool.
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

// all returns the pools by number.
func (d *Dispatcher) all() []*pool {
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

// Observe charges service that other routers delivered.
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

// InFlight is the number of requests of other routers at each target.
type InFlight map[uint32]int

// View is what the routers told each other.
type View struct {
	// Demands are the queued and running requests by pool that the routers
	// announced, this one included.
	Demands map[uint32][]exchange.Demand
	// Routers is the number of routers that are alive, this one included.
	Routers int
	// InFlight are their requests at each target.
	InFlight InFlight
	// DataCentres are those of the routers by name.
	DataCentres map[string]string
}

// Balance computes the router's windows anew from what is known of the other
// routers and grants what they allow.
func (d *Dispatcher) Balance(v View) {
	if d.options.Isolated {
		v = View{}
	}
	for _, p := range d.all() {
		p.balance(&v)
	}
}

// Counters calls yield with the counters of every customer of every pool.
func (d *Dispatcher) Counters(yield func(exchange.Key, exchange.Counters)) {
	for _, p := range d.all() {
		p.counters(yield)
	}
}

// OwnInFlight returns the number of this router's requests at each target
// that has some.
func (d *Dispatcher) OwnInFlight() InFlight {
	own := make(InFlight)
	for _, p := range d.all() {
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
	for _, p := range d.all() {
		p.mu.Lock()
		levels = append(levels, PoolLevels{Pool: p.number, Levels: p.queue.Levels()})
		p.mu.Unlock()
	}
	return levels
}

// Raise lifts the levels of a pool to at least the given ones.
func (d *Dispatcher) Raise(l PoolLevels) {
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

// Status is the work of one pool at this router.
type Status struct {
	Name    string
	Queued  int
	Running int
	// Slots is the number of slots at usable targets.
	Slots int
	// Window is the number of requests this router may have at targets.
	Window int
}

// Status returns the work of all pools.
func (d *Dispatcher) Status() []Status {
	var all []Status
	for _, p := range d.all() {
		all = append(all, p.status())
	}
	return all
}

// Pressed reports whether requests wait for a larger window.
func (d *Dispatcher) Pressed() bool {
	return slices.ContainsFunc(d.Status(), func(s Status) bool { return s.Queued > 0 && s.Running >= s.Window })
}

// Idle reports whether no request waits or runs.
func (d *Dispatcher) Idle() bool {
	return !slices.ContainsFunc(d.Status(), func(s Status) bool { return s.Queued > 0 || s.Running > 0 })
}
