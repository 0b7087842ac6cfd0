package dispatch

import (
	"time"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/notice"
)

// Ticket is a place in the queue. Either its slot is taken from Granted and
// released, or the ticket is abandoned.
type Ticket struct {
	pool    *pool
	request Request
	granted chan *Slot
	// slot is set once the ticket has left the queue.
	slot *Slot
	done bool
	// refusal is why there will be no slot, set before granted is closed.
	refusal *RefusedError
}

// Granted delivers the slot once the request may run. It is closed without a
// slot when the request is refused after all; Refusal says why.
func (t *Ticket) Granted() <-chan *Slot { return t.granted }

// Refusal is why there will be no slot, once Granted is closed without one.
func (t *Ticket) Refusal() *RefusedError { return t.refusal }

// refuse ends the wait for a slot.
func (t *Ticket) refuse(r *RefusedError) {
	t.done, t.refusal = true, r
	close(t.granted)
}

// Abandon gives up the place in the queue, or the slot if it was granted but
// not released yet. It may be called more than once.
func (t *Ticket) Abandon() { t.pool.abandon(t) }

// Result says how a request ended at its target.
type Result int

// The results of a request at its target.
const (
	// Completed means that the target did its work.
	Completed Result = iota
	// Cancelled means that the caller or the router ended it.
	Cancelled
	// Refused means that the target does not take new requests.
	Refused
	// Failed means that the target or the way to it broke.
	Failed
)

// Slot is a request's place at a target. Its methods are safe for concurrent
// use; Release takes effect once.
type Slot struct {
	pool     *pool
	target   *target
	request  Request
	started  time.Time
	reserved float64
	cost     uint64
	released bool
	// Level is the customer's level when the slot was granted. Targets that
	// order their own queue take it as the priority, lowest first.
	Level float64
}

// Target returns the target to send the request to.
func (s *Slot) Target() config.Target { return s.target.config }

// Charge adds service delivered to the request's customer.
func (s *Slot) Charge(cost uint64) { s.pool.charge(s, cost) }

// Notice takes what the target said of itself in an answer.
func (s *Slot) Notice(n notice.Notice) { s.pool.notice(s.target, n) }

// Release gives the slot back.
func (s *Slot) Release(r Result) { s.pool.release(s, r) }
