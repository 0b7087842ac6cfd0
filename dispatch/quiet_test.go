package dispatch

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/fair"
	"zinccove.example/zinccove/notice"
)

// submitUntil queues a request with a deadline.
func (f *fixture) submitUntil(d time.Duration) (*Ticket, error) {
	return f.Submit(Request{Pool: f.pool, Customer: fair.Customer(1), Deadline: f.clock.Now().Add(d)})
}

// TestTargetGetsNothingInItsBackoff has one of two targets want a backoff, then the other
// one. What waits and cannot be served in time is refused at once, the rest waits.
func TestTargetGetsNothingInItsBackoff(t *testing.T) {
	const backoff = 3 * time.Second
	for name, n := range map[string]notice.Notice{"backoff": {Backoff: backoff}, "leaving": {Draining: true}} {
		t.Run(name, func(t *testing.T) {
			pause := max(n.Backoff, map[bool]time.Duration{true: leavingPause}[n.Draining])
			f := newFixture(t, 1, 1)
			slot := <-f.submit(t, 1).Granted()
			quiet := slot.Target().Number
			slot.Notice(n)
			slot.Release(Refused)
			f.clock.Advance(pause - time.Millisecond)
			f.balance()
			other := <-f.submit(t, 1).Granted()
			assert.Assert(t, other.Target().Number != quiet)
			var waiting []*Ticket
			for range 3 {
				ticket, err := f.submitUntil(pause / 2)
				assert.NilError(t, err)
				waiting = append(waiting, ticket)
			}
			patient, err := f.submitUntil(2 * pause)
			assert.NilError(t, err)
			f.clock.Advance(time.Millisecond) // the first one's pause ends
			other.Notice(n)
			other.Release(Refused)
			f.balance()
			first := <-waiting[0].Granted()
			assert.Assert(t, first != nil)
			assert.Equal(t, first.Target().Number, quiet)
			first.Notice(n)
			first.Release(Refused)
			for _, ticket := range waiting[1:] {
				_, ok := <-ticket.Granted()
				assert.Assert(t, !ok)
				assert.Equal(t, ticket.Refusal().Cause, BackingOff)
				assert.Equal(t, ticket.Refusal().RetryAfter, pause)
			}
			_, err = f.submitUntil(pause / 2)
			var refused *RefusedError
			assert.Assert(t, errors.As(err, &refused))
			assert.Equal(t, refused.Cause, BackingOff)
			f.clock.Advance(pause)
			f.balance()
			assert.Assert(t, <-patient.Granted() != nil, "waited for the end")
		})
	}
}
