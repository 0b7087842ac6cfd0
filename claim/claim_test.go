package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/platform/platformtest"
)

var testKey = Key{Customer: 1, Text: "fare-17"}

func newStore(m *platformtest.Memory) *Store {
	return New(Options{Table: m.Table(), Clock: clockwork.NewFakeClock()})
}

func TestDuplicateReturnsTheFirstRecord(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx := context.Background()
	m := platformtest.New()
	s := newStore(m)
	defer s.Close()
	held, earlier, err := s.Claim(ctx, testKey, "first")
	assert.NilError(t, err)
	assert.Assert(t, held != nil && earlier == nil)

	_, earlier, err = s.Claim(ctx, testKey, "second")
	assert.NilError(t, err)
	assert.Equal(t, earlier.State, Running)
	assert.Equal(t, earlier.Request, "first")

	assert.NilError(t, s.Finish(ctx, held, Record{State: Answered, Status: 201, Body: []byte("done")}))
	_, earlier, err = s.Claim(ctx, testKey, "third")
	assert.NilError(t, err)
	assert.Equal(t, earlier.State, Answered)
	assert.Equal(t, string(earlier.Body), "done")
}

func TestKeyOfARequestThatDidNotRunCanBeReused(t *testing.T) {
	ctx := context.Background()
	s := newStore(platformtest.New())
	defer s.Close()
	held, _, err := s.Claim(ctx, testKey, "first")
	assert.NilError(t, err)
	assert.NilError(t, s.Finish(ctx, held, Record{State: NotRun}))
	again, earlier, err := s.Claim(ctx, testKey, "second")
	assert.NilError(t, err)
	assert.Assert(t, again != nil && earlier == nil)
}

func TestKeysOfCustomersAreSeparate(t *testing.T) {
	ctx := context.Background()
	s := newStore(platformtest.New())
	defer s.Close()
	for c := range uint32(3) {
		held, _, err := s.Claim(ctx, Key{Customer: c, Text: "same"}, fmt.Sprint("r", c))
		assert.NilError(t, err)
		assert.Assert(t, held != nil)
	}
}

func TestLargeBodyIsOmitted(t *testing.T) {
	ctx := context.Background()
	s := newStore(platformtest.New())
	defer s.Close()
	held, _, err := s.Claim(ctx, testKey, "first")
	assert.NilError(t, err)
	assert.NilError(t, s.Finish(ctx, held, Record{State: Answered, Body: make([]byte, MaxBody+1)}))
	rec, err := s.Get(ctx, testKey)
	assert.NilError(t, err)
	assert.Assert(t, rec.BodyOmitted && rec.Body == nil)
}

// TestFaultsAtEveryCall injects each kind of failure into each call to the table, and into each
// pair of calls, and checks that at most one of two claims is held.
func TestFaultsAtEveryCall(t *testing.T) {
	ctx := context.Background()
	faults := []platformtest.Failure{platformtest.Down, platformtest.LostRequest, platformtest.LostResponse}
	const calls = 7
	for first := range calls {
		for second := first; second < calls; second++ {
			for _, fa := range faults {
				for _, fb := range faults {
					m := platformtest.New()
					m.Fail = func(call int, _ bool) platformtest.Failure {
						switch call - 1 {
						case first:
							return fa
						case second:
							return fb
						}
						return platformtest.None
					}
					s := newStore(m)
					one, _, _ := s.Claim(ctx, testKey, "one")
					two, _, _ := s.Claim(ctx, testKey, "two")
					s.Close()
					assert.Assert(t, one == nil || two == nil, "both hold: faults %d %d at calls %d %d", fa, fb, first+1, second+1)
				}
			}
		}
	}
}

// claimInput and claimOutput are operations on one key in a history.
type claimInput struct{ request string }

type claimOutput struct {
	held    bool
	unknown bool
	earlier string
}

// claimModel is a register that only the first claim sets. A claim that ended with an error may or
// may not have set it.
var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		holder, in, out := state.(string), input.(claimInput), output.(claimOutput)
		switch {
		case out.unknown && holder == "":
			return []any{"", in.request}
		case out.unknown:
			return []any{holder}
		case out.held && (holder == "" || holder == in.request):
			return []any{in.request}
		case !out.held && holder == out.earlier && holder != "":
			return []any{holder}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestConcurrentClaimsAreLinearizable runs claims of one key from several
// routers with random failures of the table and checks the history.
func TestConcurrentClaimsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fails := rapid.SliceOfN(rapid.IntRange(0, 8), 40, 40).Draw(t, "failures")
		m := platformtest.New()
		m.Fail = func(call int, _ bool) platformtest.Failure {
			if f := fails[call%len(fails)]; f <= int(platformtest.LostResponse) {
				return platformtest.Failure(f)
			}
			return platformtest.None
		}
		var clock atomic.Int64
		history := make([]porcupine.Operation, 6)
		var g errgroup.Group
		for i := range history {
			g.Go(func() error {
				s := newStore(m)
				defer s.Close()
				in := claimInput{request: fmt.Sprint("r", i)}
				op := porcupine.Operation{ClientId: i, Input: in, Call: clock.Add(1)}
				held, earlier, err := s.Claim(context.Background(), testKey, in.request)
				op.Return = clock.Add(1)
				out := claimOutput{held: held != nil, unknown: err != nil}
				if earlier != nil {
					out.earlier = earlier.Request
				}
				op.Output = out
				history[i] = op
				return nil
			})
		}
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
		if !porcupine.CheckOperations(claimModel.ToModel(), history) {
			t.Fatalf("history is not linearizable: %+v", history)
		}
	})
}

func TestWritesAreBatched(t *testing.T) {
	m := platformtest.New()
	entered, release := make(chan struct{}), make(chan struct{})
	table := m.Table()
	commit := table.Commit
	var first atomic.Bool
	table.Commit = func(ctx context.Context, txn platform.Txn) error {
		if first.CompareAndSwap(false, true) {
			close(entered)
			<-release
		}
		return commit(ctx, txn)
	}
	s := New(Options{Table: table, Clock: clockwork.NewFakeClock()})
	defer s.Close()
	var g errgroup.Group
	claim := func(i int) {
		g.Go(func() error {
			_, _, err := s.Claim(context.Background(), Key{Text: fmt.Sprint(i)}, fmt.Sprint("r", i))
			return err
		})
	}
	claim(0)
	<-entered
	for i := range maxBatch {
		claim(i + 1)
	}
	for len(s.batcher.queue) < maxBatch {
	}
	close(release)
	assert.NilError(t, g.Wait())
	assert.Equal(t, m.Writes(), 2)
}
