// Package fair decides whose request is served next in one pool, which is all
// the targets of one model or one service.
//
// Each customer has a level: the service it received across the whole fleet
// divided by its weight. Next returns the first request of the customer with
// the lowest level. Service is charged as it is delivered, so a request whose
// cost is only known at its end still moves its customer while it runs. Until
// then an estimate is reserved, which stops one customer from taking all free
// slots before the first charge arrives.
//
// The package has no I/O, clock or randomness; the caller serializes access.
//
// # Usage
//
//	q := fair.New[*Request](fair.Limits{PerCustomer: 256})
//	q.SetWeight(customer, 3)
//	err := q.Push(customer, fair.Normal, req) // *FullError when over the bound
//	grant, ok := q.Next()                     // lowest level first
//	q.Charge(customer, tokens)                // as tokens stream
//	q.Observe(customer, remoteTokens)         // service other routers gave
//
// # Rules
//
// A customer that returns from idle starts level with the least served
// backlogged customer, so idle time earns no credit. A customer counts as
// backlogged while any router has a request of it waiting.
//
// BoundDebt keeps the levels of backlogged customers within a bound of the
// lowest one. Counters that jump when a partition heals would otherwise starve
// whoever was served well on the other side.
//
// # Limits
//
// Levels of different pools are not compared: a customer backlogged at two
// models has one level at each.
package fair

import "fmt"

// Customer is the configuration's number of a customer.
type Customer uint32

// Class orders the requests of one customer. It never moves a customer ahead
// of another.
type Class uint8

// Classes, the first served first.
const (
	Urgent Class = iota
	Normal
	classes
)

// Limits bound a queue.
type Limits struct {
	// PerCustomer is the number of requests of one customer that may wait.
	PerCustomer int
}

// FullError reports that a customer's queue is at its bound.
type FullError struct {
	Customer Customer
	// Waiting is the number of requests that wait.
	Waiting int
}

// Error returns the customer's number and its bound.
func (e *FullError) Error() string {
	return fmt.Sprintf("customer %d has %d requests waiting, the bound", e.Customer, e.Waiting)
}

// Grant is a request that is to be served now.
type Grant[T any] struct {
	Customer Customer
	Item     T
}

// Queue holds the waiting requests of one pool at one router and the levels
// of all customers. The zero value is not usable; call New.
type Queue[T any] struct {
	limits   Limits
	accounts map[Customer]*account[T]
	// local holds accounts with requests waiting here, fleet those with
	// requests waiting anywhere. Both are ordered by level.
	local levelHeap[T]
	fleet levelHeap[T]
	// floor is the lowest level of a backlogged customer when there last was
	// one.
	floor   float64
	waiting int
}

// account is one customer's state in the pool.
type account[T any] struct {
	customer Customer
	weight   float64
	// level is the fleet's service divided by the weight.
	level float64
	// reserved is the estimated cost of requests running here that has not
	// been charged yet.
	reserved float64
	queues   [classes]fifo[T]
	// remote is set while other routers have requests of the customer waiting.
	remote bool
	pos    [heaps]int
}

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] {
	return &Queue[T]{
		limits:   limits,
		accounts: make(map[Customer]*account[T]),
		local:    levelHeap[T]{id: localHeap},
		fleet:    levelHeap[T]{id: fleetHeap},
	}
}

func (q *Queue[T]) account(c Customer) *account[T] {
	a := q.accounts[c]
	if a == nil {
		a = &account[T]{customer: c, weight: 1, level: q.floor, pos: [heaps]int{absent, absent}}
		q.accounts[c] = a
	}
	return a
}

// SetWeight sets a customer's part, at least 1. Service received earlier keeps
// the level it made.
func (q *Queue[T]) SetWeight(c Customer, weight uint32) {
	q.account(c).weight = float64(max(weight, 1))
}

// Push adds a waiting request. It returns a *FullError when the customer's
// queue is at its bound.
func (q *Queue[T]) Push(c Customer, class Class, item T) error {
	a := q.account(c)
	if n := a.waiting(); n >= q.limits.PerCustomer {
		return &FullError{Customer: c, Waiting: n}
	}
	a.queues[class].push(item)
	q.waiting++
	q.update(a)
	return nil
}

// Next removes and returns the first request of the least served customer. It
// reports false when nothing waits.
func (q *Queue[T]) Next() (Grant[T], bool) {
	a := q.local.min()
	if a == nil {
		return Grant[T]{}, false
	}
	item := a.pop()
	q.waiting--
	q.update(a)
	return Grant[T]{Customer: a.customer, Item: item}, true
}

// Remove takes out the waiting requests of a customer for which drop returns
// true and returns their number.
func (q *Queue[T]) Remove(c Customer, drop func(T) bool) int {
	a := q.account(c)
	n := 0
	for i := range a.queues {
		n += a.queues[i].remove(drop)
	}
	q.waiting -= n
	q.update(a)
	return n
}

// Reserve adds to the estimated cost of a customer's running requests; a
// negative cost takes it back.
func (q *Queue[T]) Reserve(c Customer, cost float64) {
	a := q.account(c)
	a.reserved = max(a.reserved+cost, 0)
	q.update(a)
}

// Charge adds service that this router delivered, in the pool's unit.
func (q *Queue[T]) Charge(c Customer, cost uint64) {
	a := q.account(c)
	a.level += float64(cost) / a.weight
	q.update(a)
}

// Observe adds service that other routers delivered, in the pool's unit.
func (q *Queue[T]) Observe(c Customer, cost uint64) { q.Charge(c, cost) }

// SetRemoteBacklog tells whether other routers have requests of a customer
// waiting.
func (q *Queue[T]) SetRemoteBacklog(c Customer, backlogged bool) {
	a := q.account(c)
	a.remote = backlogged
	q.update(a)
}

// Forget removes a customer that has nothing waiting or running here and
// reports whether it did.
func (q *Queue[T]) Forget(c Customer) bool {
	a := q.accounts[c]
	if a == nil {
		return true
	}
	if a.waiting() > 0 || a.remote || a.reserved > 0 {
		return false
	}
	delete(q.accounts, c)
	return true
}

// Level returns a customer's service per unit of weight.
func (q *Queue[T]) Level(c Customer) float64 { return q.account(c).level }

// Levels returns the level of every known customer, in no particular order.
func (q *Queue[T]) Levels() []Level {
	levels := make([]Level, 0, len(q.accounts))
	for _, a := range q.accounts {
		levels = append(levels, Level{Customer: a.customer, Level: a.level})
	}
	return levels
}

// Level is the service per unit of weight of one customer.
type Level struct {
	Customer Customer
	Level    float64
}

// Raise lifts a customer to at least the given level. A router that has just
// started takes the levels of its peers with it.
func (q *Queue[T]) Raise(l Level) {
	a := q.account(l.Customer)
	a.level = max(a.level, l.Level)
	q.update(a)
}

// Waiting returns the number of waiting requests of all customers.
func (q *Queue[T]) Waiting() int { return q.waiting }

// WaitingOf returns the number of waiting requests of one customer.
func (q *Queue[T]) WaitingOf(c Customer) int { return q.account(c).waiting() }

// LeastLevel returns the lowest level among customers with requests waiting
// here, reservations included, and whether there is one.
func (q *Queue[T]) LeastLevel() (float64, bool) {
	a := q.local.min()
	if a == nil {
		return 0, false
	}
	return a.key(localHeap), true
}

// BoundDebt lowers every backlogged customer to at most limit, in cost per unit
// of weight, above the lowest one. Call it after merging the counters of other
// routers.
func (q *Queue[T]) BoundDebt(limit float64) {
	least := q.fleet.min()
	if least == nil {
		return
	}
	bound := least.level + limit
	for _, a := range q.accounts {
		if a.pos[fleetHeap] != absent && a.level > bound {
			a.level = bound
			q.update(a)
		}
	}
}

// update restores the order after a's level, reservation or backlog changed.
func (q *Queue[T]) update(a *account[T]) {
	queued := a.waiting() > 0
	backlogged := queued || a.remote
	if backlogged && a.pos[fleetHeap] == absent {
		q.lift(a)
	}
	q.fleet.set(a, backlogged)
	q.local.set(a, queued)
	if least := q.fleet.min(); least != nil {
		q.floor = max(q.floor, least.level)
	}
}

// lift takes the credit of idle time from a customer that becomes backlogged.
func (q *Queue[T]) lift(a *account[T]) {
	if least := q.fleet.min(); least != nil {
		a.level = max(a.level, least.level)
		return
	}
	a.level = max(a.level, q.floor)
}

func (a *account[T]) waiting() int {
	n := 0
	for i := range a.queues {
		n += a.queues[i].len()
	}
	return n
}

func (a *account[T]) pop() T {
	for i := range a.queues {
		if a.queues[i].len() > 0 {
			return a.queues[i].pop()
		}
	}
	panic("fair: account in the local heap has no waiting request")
}
