// Package request implements the life cycle of a caller's request.
//
// A Request moves through explicit states. It alone decides whether a failed
// attempt is repeated and which outcome the caller receives: the request was
// answered, it did not run, or its outcome is unknown.
//
// The package does no I/O and uses no clock.
//
// # Usage
//
//	r := request.New(request.Options{ID: id, Repeatable: true, Deadline: deadline})
//	r.Queue()
//	attempt := r.Dispatch(number)
//	switch r.Fail(failure.Kind, now, budget.Take) {
//	case request.Retry: // queue again
//	case request.End:   // return r.Outcome() to the caller
//	}
//
// # Rules
//
// The outcome is "not run" only if every attempt provably did not run: it did not
// reach a target, or was refused by the target or by another incarnation of it. A
// request that may not be repeated is sent again only after such an attempt. If an
// attempt fails in another way, the outcome is unknown.
package request

import (
	"fmt"
	"strconv"
	"time"

	"zinccove.example/zinccove/target"
)

// State is a step of the life cycle.
type State int

// The states in order. Queued, Dispatched and Streaming may recur when an
// attempt is repeated.
const (
	Received State = iota
	Claimed
	Queued
	Dispatched
	Streaming
	Ended
)

var stateNames = [...]string{"received", "claimed", "queued", "dispatched", "streaming", "ended"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Outcome is the result of a request that is reported to the caller.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
)

// Decision is the next step after a failed attempt.
type Decision int

// The decisions.
const (
	// End means that the caller gets its final response now.
	End Decision = iota
	// Retry means that the request is queued again.
	Retry
)

// Options describe a request.
type Options struct {
	ID string
	// Repeatable means that the request may be sent again after an attempt that may have run.
	Repeatable bool
	Deadline   time.Time
	// MaxAttempts is the maximum number of attempts, at least 1.
	MaxAttempts int
	// FreeUnsent is the maximum number of attempts that do not count towards MaxAttempts
	// because they did not reach the incarnation of the target that they were meant for.
	FreeUnsent int
}

// Request is one caller's request. It is not safe for concurrent use.
type Request struct {
	options  Options
	state    State
	attempts int
	// unsent is the number of attempts that did not reach the incarnation of the target
	// that they were meant for.
	unsent int
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
	outcome    Outcome
}

// New returns a request in the state Received.
func New(o Options) *Request { return &Request{options: o} }

// ID returns the id of the request, which the caller and the targets receive.
func (r *Request) ID() string { return r.options.ID }

// State returns the current state.
func (r *Request) State() State { return r.state }

// Attempts returns the number of attempts so far.
func (r *Request) Attempts() int { return r.attempts }

// Outcome returns the outcome of the request. Before the request has ended it is the
// outcome that the request would have if it ended now without an answer.
func (r *Request) Outcome() Outcome {
	switch {
	case r.state == Ended:
		return r.outcome
	case r.mayHaveRun:
		return Unknown
	default:
		return NotRun
	}
}

// transitions lists the states that may follow each state.
var transitions = map[State][]State{
	Received:   {Claimed, Queued, Ended},
	Claimed:    {Queued, Ended},
	Queued:     {Dispatched, Ended},
	Dispatched: {Queued, Streaming, Ended},
	Streaming:  {Queued, Ended},
}

// transitionTo changes the state. It panics if the transition is not in the table,
// which is a defect of the calling code.
func (r *Request) transitionTo(s State) {
	for _, next := range transitions[r.state] {
		if next == s {
			r.state = s
			return
		}
	}
	panic(fmt.Sprintf("request %s: no transition from %s to %s", r.options.ID, r.state, s))
}

// Claim records that the request, which may run only once, has been claimed.
func (r *Request) Claim() { r.transitionTo(Claimed) }

// Queue records that the request waits for a slot.
func (r *Request) Queue() { r.transitionTo(Queued) }

// Dispatch records that an attempt is about to be sent and returns the attempt's id.
func (r *Request) Dispatch() string {
	r.transitionTo(Dispatched)
	r.attempts++
	return r.options.ID + "-" + strconv.Itoa(r.attempts)
}

// Stream records that a part of the response was received.
func (r *Request) Stream() {
	r.mayHaveRun = true
	if r.state != Streaming {
		r.transitionTo(Streaming)
	}
}

// Answer records that the complete response was received.
func (r *Request) Answer() {
	r.transitionTo(Ended)
	r.outcome = Answered
}

// GiveUp ends a request that was not answered because it was refused, its deadline
// passed or its caller closed the connection. Running reports whether an attempt is
// at a target now.
func (r *Request) GiveUp(running bool) {
	r.mayHaveRun = r.mayHaveRun || running
	outcome := r.Outcome()
	r.transitionTo(Ended)
	r.outcome = outcome
}

// Fail records a failed attempt and decides the next step. WithdrawRetry removes one
// retry from the budget and reports whether one was available.
func (r *Request) Fail(kind target.Kind, now time.Time, withdrawRetry func() bool) Decision {
	r.mayHaveRun = r.mayHaveRun || !kind.NotRun()
	if kind == target.NotSent || kind == target.Replaced {
		r.unsent++
	}
	if r.MayRetry(kind, now) && withdrawRetry() {
		return Retry
	}
	r.GiveUp(false)
	return End
}

// MayContinue reports whether a run that failed may go on at another target now. It is the same run, so
// it does not matter whether the request may be repeated.
func (r *Request) MayContinue(now time.Time) bool {
	return r.attemptsLeft() && now.Before(r.options.Deadline)
}

// LastAttempt reports whether the next attempt is the last one, however it fails.
func (r *Request) LastAttempt() bool {
	return r.attempts+1-min(r.unsent, r.options.FreeUnsent) >= r.options.MaxAttempts
}

// Continue records that a run that failed goes on at another target.
func (r *Request) Continue() { r.mayHaveRun = true }

// attemptsLeft reports whether the request may be sent once more.
func (r *Request) attemptsLeft() bool {
	return r.attempts-min(r.unsent, r.options.FreeUnsent) < r.options.MaxAttempts
}

// MayRetry reports whether the request may be sent again now after an attempt that
// failed with the given kind. It does not consider the budget.
func (r *Request) MayRetry(kind target.Kind, now time.Time) bool {
	switch {
	case kind == target.Rejected:
		return false
	case !r.MayContinue(now):
		return false
	default:
		return kind.NotRun() && !r.mayHaveRun || r.options.Repeatable
	}
}
