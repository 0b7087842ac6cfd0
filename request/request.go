// Package request is the life cycle of a caller's request.
//
// A Request moves through explicit states and is the one place that decides
// whether a failed attempt is repeated and what the caller is told in the end:
// that it was answered, that it did not run, or that its outcome is unknown.
//
// The package has no I/O and no clock.
//
// # Usage
//
//	r := request.New(request.Options{ID: id, Repeatable: true, Deadline: deadline})
//	r.Queue()
//	attempt := r.Dispatch(number)
//	switch r.Fail(failure.Kind, now, budget.Take) {
//	case request.Retry: // queue again
//	case request.End:   // tell the caller r.Outcome()
//	}
//
// # Rules
//
// A request is told not run only if every attempt provably did not run: it did
// not reach a target, or was refused by it or by another run of it. A request
// that may not be repeated is sent once more only after such an attempt.
// Attempts that end otherwise leave the outcome unknown.
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

// Outcome is what the caller is told about its request.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
)

// Decision is what follows a failed attempt.
type Decision int

// The decisions.
const (
	// End: the caller gets its final answer now.
	End Decision = iota
	// Retry: the request goes back into the queue.
	Retry
)

// Options describe a request.
type Options struct {
	ID string
	// Repeatable requests may be sent again after an attempt that may have run.
	Repeatable bool
	Deadline   time.Time
	// MaxAttempts bounds the attempts; at least 1.
	MaxAttempts int
	// FreeUnsent is the number of attempts that did not reach the target they were
	// meant for and do not count as attempts.
	FreeUnsent int
}

// Request is one caller's request. It is not safe for concurrent use.
type Request struct {
	options  Options
	state    State
	attempts int
	// unsent is the number of attempts that did not reach their target.
	unsent int
	// exposed is set once an attempt may have run.
	exposed bool
	outcome Outcome
}

// New returns a request that was received.
func New(o Options) *Request { return &Request{options: o} }

// ID returns the id that the caller and the targets see.
func (r *Request) ID() string { return r.options.ID }

// State returns the current state.
func (r *Request) State() State { return r.state }

// Attempts returns the number of attempts so far.
func (r *Request) Attempts() int { return r.attempts }

// Outcome returns what the caller is told. Before the end it is what the
// caller would be told if the request ended now.
func (r *Request) Outcome() Outcome {
	switch {
	case r.state == Ended:
		return r.outcome
	case r.exposed:
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

// to moves to a state. A transition that is not in the table is a defect of
// the caller.
func (r *Request) to(s State) {
	for _, next := range transitions[r.state] {
		if next == s {
			r.state = s
			return
		}
	}
	panic(fmt.Sprintf("request %s: no transition from %s to %s", r.options.ID, r.state, s))
}

// Claim records that the request may run once and was claimed for it.
func (r *Request) Claim() { r.to(Claimed) }

// Queue records that the request waits for a slot.
func (r *Request) Queue() { r.to(Queued) }

// Dispatch records that an attempt is about to be sent and returns its id.
func (r *Request) Dispatch() string {
	r.to(Dispatched)
	r.attempts++
	return r.options.ID + "-" + strconv.Itoa(r.attempts)
}

// Stream records that a part of the answer arrived.
func (r *Request) Stream() {
	r.exposed = true
	if r.state != Streaming {
		r.to(Streaming)
	}
}

// Answer records that the whole answer arrived.
func (r *Request) Answer() {
	r.to(Ended)
	r.outcome = Answered
}

// GiveUp ends a request that was not answered, because it was refused, its
// deadline passed or its caller went away. Running says that an attempt is at
// a target now.
func (r *Request) GiveUp(running bool) {
	r.exposed = r.exposed || running
	outcome := r.Outcome()
	r.to(Ended)
	r.outcome = outcome
}

// Fail records a failed attempt and decides what follows. TakeRetry takes one
// retry from the budget and reports whether there was one.
func (r *Request) Fail(kind target.Kind, now time.Time, takeRetry func() bool) Decision {
	r.exposed = r.exposed || !kind.NotRun()
	if kind == target.NotSent || kind == target.Replaced {
		r.unsent++
	}
	if r.MayRetry(kind, now) && takeRetry() {
		return Retry
	}
	r.GiveUp(false)
	return End
}

// MayRetry reports whether a failed attempt of a kind could be repeated now,
// budget apart.
func (r *Request) MayRetry(kind target.Kind, now time.Time) bool {
	switch {
	case kind == target.Rejected:
		return false
	case r.attempts-min(r.unsent, r.options.FreeUnsent) >= r.options.MaxAttempts:
		return false
	case !now.Before(r.options.Deadline):
		return false
	default:
		return kind.NotRun() || r.options.Repeatable
	}
}
