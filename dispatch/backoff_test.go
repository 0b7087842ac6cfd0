package dispatch

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/fair"
	"zinccove.example/zinccove/notice"
)

// submitWithTimeout queues a request whose deadline is the timeout from now.
func (f *fixture) submitWithTimeout(timeout time.Duration) (*Ticket, error) {
	return f.Submit(Request{Pool: f.pool, Customer: fair.Customer(1), Deadline: f.clock.Now().Add(timeout)})
}

// TestTargetInBackoffReceivesNoRequests starts a backoff of one of two targets, then one of the
// other. Waiting requests that cannot be served before their deadline must be refused at once
// with the remaining backoff, and the others must keep waiting.
func TestTargetInBackoffReceivesNoRequests(t *testing.T) {
	const backoff = 3 * time.Second
	for name, n := range map[string]notice.Notice{"backoff": {Backoff: backoff}, "leaving": {Draining: true}} {
		t.Run(name, func(t *testing.T) {
			interval := max(n.Backoff, map[bool]time.Duration{true: drainingBackoff}[n.Draining])
			f := newFixture(t, 1, 1)
			slot := <-f.submit(t, 1).Granted()
			backingOff := slot.Target().Number
			slot.HandleNotice(n)
			slot.Release(Refused)
			f.clock.Advance(interval - time.Millisecond)
			f.balance()
			other := <-f.submit(t, 1).Granted()
			assert.Assert(t, other.Target().Number != backingOff)
			var waiting []*Ticket
			for range 3 {
				ticket, err := f.submitWithTimeout(interval / 2)
				assert.NilError(t, err)
				waiting = append(waiting, ticket)
			}
			later, err := f.submitWithTimeout(2 * interval)
			assert.NilError(t, err)
			f.clock.Advance(time.Millisecond) // the first target's backoff ends
			other.HandleNotice(n)
			other.Release(Refused)
			f.balance()
			first := <-waiting[0].Granted()
			assert.Assert(t, first != nil)
			assert.Equal(t, first.Target().Number, backingOff)
			first.HandleNotice(n)
			first.Release(Refused)
			for _, ticket := range waiting[1:] {
				_, ok := <-ticket.Granted()
				assert.Assert(t, !ok)
				assert.Equal(t, ticket.Refusal().Cause, BackingOff)
				assert.Equal(t, ticket.Refusal().RetryAfter, interval)
			}
			_, err = f.submitWithTimeout(interval / 2)
			var refused *RefusedError
			assert.Assert(t, errors.As(err, &refused))
			assert.Equal(t, refused.Cause, BackingOff)
			f.clock.Advance(interval)
			f.balance()
			assert.Assert(t, <-later.Granted() != nil, "a request with a later deadline waits for the end of the backoff")
		})
	}
}
