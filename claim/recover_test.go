package claim

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/platform/platformtest"
)

// TestClaimLostByTheTableIsNotGrantedTwice restores the table from a backup without the claim of a
// running request. Another router must not claim the key, whether it knows of the new era before
// it writes or learns of it from the response.
func TestClaimLostByTheTableIsNotGrantedTwice(t *testing.T) {
	ctx := context.Background()
	for _, knows := range []bool{true, false} {
		m, clock := platformtest.New(), clockwork.NewFakeClock()
		table := m.Table()
		first, second := New(Options{Table: table, Clock: clock}), New(Options{Table: table, Clock: clock})
		restore := m.Backup()
		held, _, err := first.Claim(ctx, testKey, "one")
		assert.NilError(t, err)
		assert.Assert(t, held != nil)
		if !knows {
			// The router learns of the era with its own write.
			era := uint64(0)
			second.table.Era = func() uint64 { return era }
			second.batcher.close()
			second.batcher = newBatcher(func(ctx context.Context, txn platform.Txn) error {
				defer func() { era = table.Era() }()
				return table.Commit(ctx, txn)
			})
		}
		restore()
		two, earlier, err := second.Claim(ctx, testKey, "two")
		assert.Assert(t, errs.Is(err, platform.ErrUnavailable), "%v", err)
		assert.Assert(t, two == nil && earlier == nil)
		first.Recover()
		assert.NilError(t, first.recovery.group.Wait())
		clock.Advance(recoveryTime + time.Millisecond)
		two, earlier, err = second.Claim(ctx, testKey, "two")
		assert.NilError(t, err)
		assert.Assert(t, two == nil && earlier != nil, "the key was claimed twice, router knows the era: %v", knows)
		first.Close()
		second.Close()
	}
}

// TestRecordLostByTheTableIsRewritten restores a backup that has the claim, but not its outcome.
func TestRecordLostByTheTableIsRewritten(t *testing.T) {
	ctx := context.Background()
	m, clock := platformtest.New(), clockwork.NewFakeClock()
	s := New(Options{Table: m.Table(), Clock: clock})
	defer s.Close()
	held, _, err := s.Claim(ctx, testKey, "one")
	assert.NilError(t, err)
	restore := m.Backup()
	assert.NilError(t, s.Finish(ctx, held, Record{State: Answered, Status: 200}))
	restore()
	assert.Assert(t, !s.Recover())
	assert.NilError(t, s.recovery.group.Wait())
	rec, err := s.Get(ctx, testKey)
	assert.NilError(t, err)
	assert.Equal(t, rec.State, Answered)
}

// TestRequestRunningDuringARestoreIsFinished restores a backup without the claim of a request.
func TestRequestRunningDuringARestoreIsFinished(t *testing.T) {
	ctx := context.Background()
	m := platformtest.New()
	s := newStore(m)
	defer s.Close()
	restore := m.Backup()
	held, _, err := s.Claim(ctx, testKey, "one")
	assert.NilError(t, err)
	restore()
	assert.NilError(t, s.Finish(ctx, held, Record{State: Answered, Status: 200}))
	rec, err := s.Get(ctx, testKey)
	assert.NilError(t, err)
	assert.Equal(t, rec.State, Answered)
}
