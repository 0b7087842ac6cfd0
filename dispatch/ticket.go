package dispatch

import (
	"time"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/notice"
)

// Ticket is a place in the queue. The holder either receives the slot from Granted
// and releases it, or abandons the ticket.
type Ticket struct {
	pool    *pool
	request Request
	granted chan *Slot
	// slot is set once the slot was granted and the ticket is out of the queue.
	slot *Slot
	done bool
	// refusal is the reason why no slot will be granted, set before granted is closed.
	refusal *RefusedError
}

// Granted returns the channel that delivers the slot once the request may run. It is
// closed without a slot if the request is refused while it waits; Refusal then
// returns the reason.
func (t *Ticket) Granted() <-chan *Slot { return t.granted }

// Refusal returns the reason why no slot was granted, once Granted is closed without one.
func (t *Ticket) Refusal() *RefusedError { return t.refusal }

// refuse ends the wait for a slot with a refusal.
func (t *Ticket) refuse(r *RefusedError) {
	t.done, t.refusal = true, r
	close(t.granted)
}

// Abandon gives up the place in the queue, or releases the slot if it was granted
// and not released yet. It may be called more than once.
func (t *Ticket) Abandon() { t.pool.abandon(t) }

// Result is the way in which a request ended at its target.
type Result int

// The results of a request at its target.
const (
	// Completed means that the target processed the request.
	Completed Result = iota
	// Cancelled means that the caller or the router ended it.
	Cancelled
	// Refused means that the target does not accept new requests.
	Refused
	// Failed means that the target or the connection to it failed.
	Failed
)

// Slot is a request's place at a target. Its methods are safe for concurrent
// use; Release takes effect once.
type Slot struct {
	pool   *pool
	target *target
	// config is the configuration of the target as of the grant. That of target belongs to the
	// pool, which replaces it.
	config   config.Target
	request  Request
	started  time.Time
	reserved float64
	cost     uint64
	released bool
	// Level is the customer's level when the slot was granted. Targets that
	// order their own queue use it as the priority, lowest first.
	Level float64
}

// Target returns the target to send the request to, as it was configured when the slot was granted.
func (s *Slot) Target() config.Target { return s.config }

// Charge adds the cost of delivered service to the request's customer.
func (s *Slot) Charge(cost uint64) { s.pool.charge(s, cost) }

// HandleNotice applies the notice that the target sent in a response.
func (s *Slot) HandleNotice(n notice.Notice) { s.pool.handleNotice(s.target, n) }

// Release frees the slot and records how the request ended. Calls after the first have no
// effect.
func (s *Slot) Release(r Result) { s.pool.release(s, r) }
