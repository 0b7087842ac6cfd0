// Package fair decides which customer's request is served next in one pool. A pool
// is the set of targets of one model or one service.
//
// Each customer has a level: the service it received across the whole fleet
// divided by its weight. Next returns the first request of the customer with
// the lowest level. Service is charged as it is delivered, so a request whose
// total cost is known only at its end raises the level of its customer while it
// runs. Until its cost is charged an estimate is reserved, which prevents one
// customer from taking all free slots before the first charge.
//
// The package does no I/O and uses no clock or randomness; the caller serializes access.
//
// # Usage
//
//	q := fair.New[*Request](fair.Limits{PerCustomer: 256})
//	q.SetWeight(customer, 3)
//	err := q.Push(customer, fair.Normal, req) // *FullError at the limit
//	grant, ok := q.Next()                     // lowest level first
//	q.Charge(customer, tokens)                // as tokens stream
//	q.Observe(customer, remoteTokens)         // service delivered by other routers
//
// # Rules
//
// A customer that becomes backlogged after an idle time starts at least at the lowest
// level of the backlogged customers, so idle time earns no credit. A customer counts
// as backlogged while one of its requests waits at any router.
//
// BoundDebt keeps the levels of backlogged customers within a limit above the lowest
// one. Otherwise the counters, which jump when a partition ends, would starve the
// customers that were served well on the other side.
//
// # Limits
//
// Levels of different pools are not compared: a customer that is backlogged in the
// pools of two models has a separate level in each.
package fair

import "fmt"

// Customer is the number that the configuration gives to a customer.
type Customer uint32

// Class is the priority of a request among those of its customer. It does not affect
// the order of customers.
type Class uint8

// The classes in the order in which they are served.
const (
	Urgent Class = iota
	Normal
	numClasses
)

// Limits bound a queue.
type Limits struct {
	// PerCustomer is the maximum number of waiting requests of one customer.
	PerCustomer int
}

// FullError reports that the number of a customer's waiting requests is at its limit.
type FullError struct {
	Customer Customer
	// Waiting is the number of the customer's waiting requests.
	Waiting int
}

// Error returns the customer's number and the number of its waiting requests.
func (e *FullError) Error() string {
	return fmt.Sprintf("customer %d has %d waiting requests, which is the limit", e.Customer, e.Waiting)
}

// Grant is a request that was removed from the queue to be served now.
type Grant[T any] struct {
	Customer Customer
	Item     T
}

// Queue holds the waiting requests of one pool at one router and the levels
// of all customers. The zero value is not usable; call New.
type Queue[T any] struct {
	limits   Limits
	accounts map[Customer]*account[T]
	// local holds the accounts with requests that wait at this router, fleet those
	// with requests that wait at any router. Both are ordered by level.
	local levelHeap[T]
	fleet levelHeap[T]
	// floor is the highest value that the lowest level of the backlogged customers has
	// had. A customer that becomes backlogged when no other is starts at least there.
	floor   float64
	waiting int
}

// account is one customer's state in the pool.
type account[T any] struct {
	customer Customer
	weight   float64
	// level is the service delivered by the whole fleet, divided by the weight.
	level float64
	// reserved is the estimated cost, not charged yet, of the requests that this
	// router runs.
	reserved float64
	queues   [numClasses]fifo[T]
	// remote is set while requests of the customer wait at other routers.
	remote bool
	pos    [numHeaps]int
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
		a = &account[T]{customer: c, weight: 1, level: q.floor, pos: [numHeaps]int{notInHeap, notInHeap}}
		q.accounts[c] = a
	}
	return a
}

// SetWeight sets a customer's weight, at least 1. The level that follows from earlier
// service is unchanged.
func (q *Queue[T]) SetWeight(c Customer, weight uint32) {
	q.account(c).weight = float64(max(weight, 1))
}

// Push adds a waiting request. It returns a *FullError if the number of the
// customer's waiting requests is at its limit.
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

// Next removes and returns the first request of the customer with the lowest level,
// reservations included. It reports false if no request waits.
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

// Remove removes the waiting requests of a customer for which drop returns true and
// returns their number.
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

// Reserve adds a cost to the reservation for a customer's running requests; a
// negative cost reduces the reservation.
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

// SetRemoteBacklog sets whether requests of a customer wait at other routers.
func (q *Queue[T]) SetRemoteBacklog(c Customer, backlogged bool) {
	a := q.account(c)
	a.remote = backlogged
	q.update(a)
}

// Forget removes a customer that has no waiting requests at any router and no reservation
// at this one. It reports whether the customer is not in the queue any more.
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

// Raise raises a customer to at least the given level. A router that has just started
// uses it to adopt the levels of its peers.
func (q *Queue[T]) Raise(l Level) {
	a := q.account(l.Customer)
	a.level = max(a.level, l.Level)
	q.update(a)
}

// Waiting returns the number of waiting requests of all customers.
func (q *Queue[T]) Waiting() int { return q.waiting }

// WaitingOf returns the number of waiting requests of one customer.
func (q *Queue[T]) WaitingOf(c Customer) int { return q.account(c).waiting() }

// MinLevel returns the lowest level, reservations included, among the customers with
// requests that wait at this router, and whether there is such a customer.
func (q *Queue[T]) MinLevel() (float64, bool) {
	lowest := q.local.min()
	if lowest == nil {
		return 0, false
	}
	return lowest.key(localHeap), true
}

// BoundDebt lowers the level of every backlogged customer to at most limit, in cost
// per unit of weight, above the lowest one. Call it after merging the counters of
// other routers.
func (q *Queue[T]) BoundDebt(limit float64) {
	lowest := q.fleet.min()
	if lowest == nil {
		return
	}
	bound := lowest.level + limit
	for _, a := range q.accounts {
		if a.pos[fleetHeap] != notInHeap && a.level > bound {
			a.level = bound
			q.update(a)
		}
	}
}

// update restores the order of the heaps after a's level, reservation or backlog changed.
func (q *Queue[T]) update(a *account[T]) {
	queued := a.waiting() > 0
	backlogged := queued || a.remote
	if backlogged && a.pos[fleetHeap] == notInHeap {
		q.removeIdleCredit(a)
	}
	q.fleet.set(a, backlogged)
	q.local.set(a, queued)
	if lowest := q.fleet.min(); lowest != nil {
		q.floor = max(q.floor, lowest.level)
	}
}

// removeIdleCredit raises the level of a customer that becomes backlogged to the lowest level of
// the backlogged customers, or to the floor if there are none, so that idle time earns no credit.
func (q *Queue[T]) removeIdleCredit(a *account[T]) {
	if lowest := q.fleet.min(); lowest != nil {
		a.level = max(a.level, lowest.level)
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
