// Package waitlist orders the requests that wait for a place at one target.
//
// Requests that can still meet their objective come before those that will be late. Within each
// kind the priority of the customer decides, then that of the route, then what the customer got of
// what it is owed, then how soon the wait ends.
//
// The package has no I/O.
//
// # Usage
//
//	var l waitlist.List[request]
//	l.Add(waitlist.Entry[request]{...}, now)
//	if e, ok := l.Next(state, now); ok {
//		// e has a place now and is no longer in the list
//	}
package waitlist

import (
	"cmp"
	"slices"
	"time"
)

// MaxEntries is the largest number of requests in a list: an engine reads fewer prompts within the
// longest time that callers wait.
const MaxEntries = 512

// Entry is a request that waits.
type Entry[T any] struct {
	// CustomerPriority and RoutePriority are the priorities of the customer and the route; 0 is the
	// highest.
	CustomerPriority, RoutePriority int
	// Share is what the customer was served over what it is owed.
	Share float64
	// Limit is the longest expected time to the first event with which the request is placed.
	Limit time.Duration
	// LimitOnly is set if the request is placed within the limit only, not whenever the target is
	// idle.
	LimitOnly bool
	// InTimeUntil is when the first event has to arrive to meet the objective, Expires when the
	// request cannot be placed any more.
	InTimeUntil time.Time
	Expires     time.Time
	// Tokens is the number of tokens that the target has to prefill for the request.
	Tokens int
	Value  T
}

// compare orders entries of one kind.
func compare[T any](a, b *Entry[T]) int {
	return cmp.Or(
		cmp.Compare(a.CustomerPriority, b.CustomerPriority),
		cmp.Compare(a.RoutePriority, b.RoutePriority),
		cmp.Compare(a.Share, b.Share),
		a.Expires.Compare(b.Expires),
	)
}

// State is the state of the target.
type State struct {
	// FirstEvent returns the expected time to the first event of a prompt of which a number of tokens
	// has to be prefilled.
	FirstEvent func(tokens int) time.Duration
	// Idle reports that nothing is pending and a slot is free. Requests that will be late are placed
	// only then, so that they delay nothing that can be in time.
	Idle bool
}

// List holds the requests that wait for one target. It is not safe for concurrent use.
type List[T any] struct {
	// entries are in the order of compare.
	entries []Entry[T]
}

// Len returns the number of requests that wait.
func (l *List[T]) Len() int { return len(l.entries) }

// Add adds a request, unless the list is full or the request has expired.
func (l *List[T]) Add(e Entry[T], now time.Time) bool {
	if len(l.entries) >= MaxEntries || !now.Before(e.Expires) {
		return false
	}
	at, _ := slices.BinarySearchFunc(l.entries, e, func(a, b Entry[T]) int {
		return cmp.Or(compare(&a, &b), -1) // behind its equals
	})
	l.entries = slices.Insert(l.entries, at, e)
	return true
}

// Ahead returns the number of tokens of the requests that come before one.
func (l *List[T]) Ahead(e *Entry[T]) int {
	tokens := 0
	for i := range l.entries {
		if compare(&l.entries[i], e) > 0 {
			break
		}
		tokens += l.entries[i].Tokens
	}
	return tokens
}

// Remove removes the requests for which match returns true.
func (l *List[T]) Remove(match func(T) bool) {
	l.entries = slices.DeleteFunc(l.entries, func(e Entry[T]) bool { return match(e.Value) })
}

// Expire removes and returns the requests that cannot be placed any more.
func (l *List[T]) Expire(now time.Time) []T {
	var expired []T
	l.entries = slices.DeleteFunc(l.entries, func(e Entry[T]) bool {
		if now.Before(e.Expires) {
			return false
		}
		expired = append(expired, e.Value)
		return true
	})
	return expired
}

// Next removes and returns the request that may be placed now.
func (l *List[T]) Next(s State, now time.Time) (Entry[T], bool) {
	late := -1
	for i := range l.entries {
		e := &l.entries[i]
		if !now.Before(e.Expires) {
			continue
		}
		expected := s.FirstEvent(e.Tokens)
		if e.inTime(expected, now) {
			if expected <= e.Limit || s.Idle && !e.LimitOnly {
				return l.take(i), true
			}
			continue
		}
		if late < 0 && !e.LimitOnly {
			late = i
		}
	}
	if late < 0 || !s.Idle {
		return Entry[T]{}, false
	}
	return l.take(late), true
}

// inTime reports whether an expected time to the first event meets the objective.
func (e *Entry[T]) inTime(expected time.Duration, now time.Time) bool {
	return !now.Add(expected).After(e.InTimeUntil)
}

func (l *List[T]) take(i int) Entry[T] {
	e := l.entries[i]
	l.entries = slices.Delete(l.entries, i, i+1)
	return e
}

// Due returns the time after which a request may be placed if nothing but prefills changes. Idle is
// the time after which nothing is pending.
func (l *List[T]) Due(s State, idle time.Duration, now time.Time) time.Duration {
	due := idle
	for i := range l.entries {
		e := &l.entries[i]
		if expected := s.FirstEvent(e.Tokens); e.inTime(expected, now) {
			due = min(due, expected-e.Limit)
		}
	}
	return max(due, 0)
}
