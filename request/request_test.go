package request

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"zinccove.example/zinccove/target"
)

var (
	start    = time.Unix(1000, 0)
	deadline = start.Add(time.Minute)
)

func always() bool { return true }
func never() bool  { return false }

func TestFail(t *testing.T) {
	tests := []struct {
		name       string
		kind       target.Kind
		repeatable bool
		now        time.Time
		budget     func() bool
		want       Decision
		outcome    Outcome
	}{
		{"not sent, once", target.NotSent, false, start, always, Retry, NotRun},
		{"refused, once", target.Refused, false, start, always, Retry, NotRun},
		{"broken, once", target.Broken, false, start, always, End, Unknown},
		{"crossed, once", target.Mismatched, false, start, always, End, Unknown},
		{"broken, repeatable", target.Broken, true, start, always, Retry, Unknown},
		{"crossed, repeatable", target.Mismatched, true, start, always, Retry, Unknown},
		{"rejected", target.Rejected, true, start, always, End, Unknown},
		{"deadline passed", target.NotSent, true, deadline, always, End, NotRun},
		{"budget spent", target.Refused, true, start, never, End, NotRun},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := New(Options{ID: "r", Repeatable: tc.repeatable, Deadline: deadline, MaxAttempts: 3})
			r.Queue()
			r.Dispatch()
			assert.Equal(t, r.Fail(tc.kind, tc.now, tc.budget), tc.want)
			assert.Equal(t, r.Outcome(), tc.outcome)
		})
	}
}

func TestAttemptsAreBoundedAndDistinct(t *testing.T) {
	r := New(Options{ID: "r", Repeatable: true, Deadline: deadline, MaxAttempts: 2})
	r.Queue()
	assert.Equal(t, r.Dispatch(), "r-1")
	assert.Equal(t, r.Fail(target.Broken, start, always), Retry)
	r.Queue()
	assert.Equal(t, r.Dispatch(), "r-2")
	assert.Equal(t, r.Fail(target.Broken, start, always), End)
}

// TestContinuedRunIsNotFollowedByAnother has a request that may not be repeated go on at another target,
// which says that it did not run it.
func TestContinuedRunIsNotFollowedByAnother(t *testing.T) {
	r := New(Options{ID: "r", Deadline: deadline, MaxAttempts: 3})
	assert.Assert(t, !r.LastAttempt())
	r.Queue()
	r.Dispatch()
	r.Stream()
	assert.Assert(t, r.MayContinue(start) && !r.MayContinue(deadline))
	r.Continue()
	r.Queue()
	r.Dispatch()
	assert.Assert(t, r.LastAttempt())
	assert.Equal(t, r.Fail(target.Refused, start, always), End)
	assert.Equal(t, r.Outcome(), Unknown)
	last := New(Options{ID: "r", Deadline: deadline, MaxAttempts: 1})
	last.Queue()
	last.Dispatch()
	assert.Assert(t, !last.MayContinue(start), "the attempts of the route bound continuations too")
}

// TestOutcomeNotRunOnlyIfNoAttemptMayHaveRun runs random sequences of attempts. It
// checks that the outcome is not NotRun if an attempt may have run, and that at most
// one attempt of a request that is not repeatable may have run.
func TestOutcomeNotRunOnlyIfNoAttemptMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeatable := rapid.Bool().Draw(t, "repeatable")
		r := New(Options{ID: "r", Repeatable: repeatable, Deadline: deadline, MaxAttempts: 5})
		mayHaveRun := 0
		for r.State() != Ended {
			r.Queue()
			r.Dispatch()
			if rapid.Bool().Draw(t, "answered") {
				mayHaveRun++
				r.Stream()
				r.Answer()
				break
			}
			kind := target.Kind(rapid.IntRange(0, int(target.Rejected)).Draw(t, "kind"))
			if kind != target.NotSent && kind != target.Refused {
				mayHaveRun++
			}
			budget := rapid.Bool().Draw(t, "budget")
			r.Fail(kind, start, func() bool { return budget })
		}
		if r.Outcome() == NotRun && mayHaveRun > 0 {
			t.Fatalf("outcome is not run after %d attempts that may have run", mayHaveRun)
		}
		if !repeatable && mayHaveRun > 1 {
			t.Fatalf("%d attempts of a request that is not repeatable may have run", mayHaveRun)
		}
	})
}

func TestBudgetBoundsRetriesToItsRatio(t *testing.T) {
	b := NewBudget(0.1, 2)
	taken := 0
	for range 100 {
		b.Deposit()
		if b.TryWithdraw() {
			taken++
		}
	}
	assert.Equal(t, taken, 11)
}

func TestFreeUnsentAttemptsAreNotCounted(t *testing.T) {
	always := func() bool { return true }
	deadline := time.Now().Add(time.Minute)
	r := New(Options{ID: "r", Deadline: deadline, MaxAttempts: 1, FreeUnsent: 1})
	r.Queue()
	r.Dispatch()
	assert.Equal(t, r.Fail(target.NotSent, time.Now(), always), Retry)
	r.Queue()
	r.Dispatch()
	assert.Equal(t, r.Fail(target.NotSent, time.Now(), always), End, "only one unsent attempt is not counted")
	assert.Equal(t, r.Outcome(), NotRun)
	sent := New(Options{ID: "s", Deadline: deadline, MaxAttempts: 1, FreeUnsent: 1})
	sent.Queue()
	sent.Dispatch()
	assert.Equal(t, sent.Fail(target.Refused, time.Now(), always), End, "an attempt that a target refused is counted")
}

func TestSetBurstLimitsRetriesAtOnce(t *testing.T) {
	b := NewBudget(0, 40)
	b.SetBurst(2)
	taken := 0
	for b.TryWithdraw() {
		taken++
	}
	assert.Equal(t, taken, 2)
}
