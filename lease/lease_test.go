package lease

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"zinccove.example/zinccove/platform/platformtest"
)

const (
	ttl    = 6 * time.Second
	flight = time.Second
)

var ctx = context.Background()

func newLease(m *platformtest.Memory, clock clockwork.Clock, holder string) *Lease {
	return New(Options{Table: m.Table(), Clock: clock, Name: "orders/dc1", Holder: holder, TTL: ttl, OrderTimeout: flight})
}

func TestLeaseIsTakenRenewedAndTakenOver(t *testing.T) {
	m, clock := platformtest.New(), clockwork.NewFakeClock()
	a, b := newLease(m, clock, "a"), newLease(m, clock, "b")
	assert.NilError(t, a.Step(ctx))
	number, ok := a.Held()
	assert.Assert(t, ok)
	assert.Equal(t, number, uint64(1))

	for range 10 {
		clock.Advance(ttl / 3)
		assert.NilError(t, a.Step(ctx))
		assert.NilError(t, b.Step(ctx))
		_, ok = b.Held()
		assert.Assert(t, !ok)
	}
	number, ok = a.Held()
	assert.Assert(t, ok)
	assert.Equal(t, number, uint64(1))

	for range 6 {
		clock.Advance((ttl + flight) / 5)
		assert.NilError(t, b.Step(ctx))
	}
	_, ok = a.Held()
	assert.Assert(t, !ok)
	number, ok = b.Held()
	assert.Assert(t, ok)
	assert.Equal(t, number, uint64(2))
}

func TestPausedHolderLosesItsLease(t *testing.T) {
	m, clock := platformtest.New(), clockwork.NewFakeClock()
	a := newLease(m, clock, "a")
	assert.NilError(t, a.Step(ctx))
	clock.Advance(ttl)
	_, ok := a.Held()
	assert.Assert(t, !ok)
	assert.NilError(t, a.Step(ctx))
	number, ok := a.Held()
	assert.Assert(t, ok)
	assert.Equal(t, number, uint64(2), "an expired lease gets a new number")
}

func TestLostResponseOfTheFirstWriteIsRecovered(t *testing.T) {
	m, clock := platformtest.New(), clockwork.NewFakeClock()
	a := newLease(m, clock, "a")
	m.Fail = func(call int, write bool) platformtest.Failure {
		if write && call < 3 {
			return platformtest.LostResponse
		}
		return platformtest.None
	}
	assert.Assert(t, a.Step(ctx) != nil)
	_, ok := a.Held()
	assert.Assert(t, !ok)
	assert.NilError(t, a.Step(ctx))
	number, ok := a.Held()
	assert.Assert(t, ok)
	assert.Equal(t, number, uint64(2))
}

// TestNeverTwoHolders runs random steps, pauses and failures of the table and checks that at most
// one router holds the lease at any time, that numbers never decrease from one holder to the next,
// and that the lease is taken again when the failures end.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, clock := platformtest.New(), clockwork.NewFakeClock()
		var leases []*Lease
		for i := range 3 {
			leases = append(leases, newLease(m, clock, fmt.Sprint("r", i)))
		}
		failure := platformtest.None
		m.Fail = func(int, bool) platformtest.Failure { return failure }
		var highest uint64
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			failure = platformtest.Failure(rapid.IntRange(0, 12).Draw(t, "failure"))
			if failure > platformtest.LostResponse {
				failure = platformtest.None
			}
			leases[rapid.IntRange(0, 2).Draw(t, "router")].Step(ctx) //nolint:errcheck // failures are part of the test
			clock.Advance(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
			highest = checkHolders(t, leases, highest)
		}
		failure = platformtest.None
		for range 30 {
			for _, l := range leases {
				if err := l.Step(ctx); err != nil {
					t.Fatal(err)
				}
			}
			clock.Advance(time.Second)
		}
		if highest = checkHolders(t, leases, highest); highest == 0 {
			t.Fatal("no router holds the lease after the failures ended")
		}
	})
}

// checkHolders returns the highest number held so far.
func checkHolders(t *rapid.T, leases []*Lease, highest uint64) uint64 {
	holders := 0
	for _, l := range leases {
		number, ok := l.Held()
		if !ok {
			continue
		}
		holders++
		if number < highest {
			t.Fatalf("number %d is held after %d was", number, highest)
		}
		highest = number
	}
	if holders > 1 {
		t.Fatalf("%d routers hold the lease", holders)
	}
	return highest
}

// TestLeaseLostByTheTableIsNotGrantedToAnother restores the table from a backup in which the lease
// is missing, or belongs to the previous holder. The holder writes it again; the others wait, and
// no number is assigned twice.
func TestLeaseLostByTheTableIsNotGrantedToAnother(t *testing.T) {
	for _, before := range []bool{false, true} {
		m, clock := platformtest.New(), clockwork.NewFakeClock()
		a, b := newLease(m, clock, "a"), newLease(m, clock, "b")
		if before {
			assert.NilError(t, b.Step(ctx))
			clock.Advance(ttl + flight)
		}
		restore := m.Backup()
		for range 3 {
			assert.NilError(t, a.Step(ctx))
			clock.Advance(ttl + flight)
		}
		assert.NilError(t, a.Step(ctx))
		number, ok := a.Held()
		assert.Assert(t, ok)
		restore()
		assert.NilError(t, b.Step(ctx))
		_, ok = b.Held()
		assert.Assert(t, !ok, "the holder had no time to write it again")
		assert.NilError(t, a.Step(ctx))
		again, ok := a.Held()
		assert.Assert(t, ok)
		assert.Equal(t, again, number)
		// The holder stops renewing: the other router takes the lease after it expired.
		for range 6 {
			assert.NilError(t, b.Step(ctx))
			clock.Advance((ttl + flight) / 5)
		}
		assert.NilError(t, b.Step(ctx))
		next, ok := b.Held()
		assert.Assert(t, ok)
		assert.Assert(t, next > number, "%d after %d", next, number)
		_, ok = a.Held()
		assert.Assert(t, !ok)
	}
}

// TestNumbersOfANewEraAreAboveThoseThatWereLost has the holder stop in the interval that the
// backup lacks, so that no router can write its number again.
func TestNumbersOfANewEraAreAboveThoseThatWereLost(t *testing.T) {
	m, clock := platformtest.New(), clockwork.NewFakeClock()
	restore := m.Backup()
	lost := uint64(0)
	for n := range 5 {
		l := newLease(m, clock, fmt.Sprint("h", n))
		for range 3 {
			assert.NilError(t, l.Step(ctx))
			clock.Advance(ttl + flight)
		}
		assert.NilError(t, l.Step(ctx))
		lost, _ = l.Held()
	}
	restore()
	l := newLease(m, clock, "after")
	assert.NilError(t, l.Step(ctx))
	clock.Advance(ttl + flight)
	assert.NilError(t, l.Step(ctx))
	number, ok := l.Held()
	assert.Assert(t, ok && number > lost, "%d after %d", number, lost)
}
