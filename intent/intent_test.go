package intent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/platform/platformtest"
)

var ctx = context.Background()

func newStore(m *platformtest.Memory) *Store {
	return New(Options{Table: m.Table(), Clock: clockwork.NewFakeClock()})
}

func customer(name string, weight uint32) config.Change {
	return config.Put(config.Customer{Name: name, Weight: weight})
}

func mustPlan(t *testing.T, s *Store, changes ...config.Change) Plan {
	t.Helper()
	p, err := s.Plan(ctx, "anna", changes)
	assert.NilError(t, err)
	return p
}

// inForce returns the configuration that the head names.
func inForce(t interface{ Fatal(...any) }, s *Store) *config.Config {
	h, err := s.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := s.config(ctx, h)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func TestNothingChangesUntilConfirmed(t *testing.T) {
	s := newStore(platformtest.New())
	p := mustPlan(t, s, customer("school", 2))
	assert.Equal(t, inForce(t, s).Version, uint64(0))
	assert.DeepEqual(t, p.Consequences, []string{`customer "school" has no key: it cannot call`})
	v, err := s.Confirm(ctx, "bert", p.ID)
	assert.NilError(t, err)
	assert.Equal(t, v, uint64(1))
	assert.Equal(t, inForce(t, s).Customers[0].Weight, uint32(2))

	audits, err := s.Audits(ctx, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(audits), 1)
	assert.Equal(t, audits[0].Operator, "bert")
	assert.Equal(t, audits[0].Plan, p.ID)
}

func TestConfirmIsIdempotent(t *testing.T) {
	s := newStore(platformtest.New())
	p := mustPlan(t, s, customer("school", 2))
	for range 3 {
		v, err := s.Confirm(ctx, "anna", p.ID)
		assert.NilError(t, err)
		assert.Equal(t, v, uint64(1))
	}
}

func TestDisjointPlansAreBothConfirmed(t *testing.T) {
	s := newStore(platformtest.New())
	a, b := mustPlan(t, s, customer("a", 1)), mustPlan(t, s, customer("b", 1))
	for _, p := range []Plan{a, b} {
		_, err := s.Confirm(ctx, "anna", p.ID)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(inForce(t, s).Customers), 2)
}

func TestOverlappingPlanGetsAConflict(t *testing.T) {
	s := newStore(platformtest.New())
	a, b := mustPlan(t, s, customer("x", 1)), mustPlan(t, s, customer("x", 9))
	_, err := s.Confirm(ctx, "anna", a.ID)
	assert.NilError(t, err)
	_, err = s.Confirm(ctx, "bert", b.ID)
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Plan, a.ID)
	assert.Equal(t, conflict.Operator, "anna")
	assert.Equal(t, inForce(t, s).Customers[0].Weight, uint32(1))
}

func TestRollbackIsANewVersion(t *testing.T) {
	s := newStore(platformtest.New())
	for _, w := range []uint32{1, 2} {
		p := mustPlan(t, s, customer("a", w))
		_, err := s.Confirm(ctx, "anna", p.ID)
		assert.NilError(t, err)
	}
	p, err := s.Rollback(ctx, "bert", 1)
	assert.NilError(t, err)
	assert.Equal(t, inForce(t, s).Customers[0].Weight, uint32(2))
	v, err := s.Confirm(ctx, "bert", p.ID)
	assert.NilError(t, err)
	assert.Equal(t, v, uint64(3))
	assert.Equal(t, inForce(t, s).Customers[0].Weight, uint32(1))
	_, err = s.Rollback(ctx, "bert", 99)
	assert.ErrorIs(t, err, platform.ErrNotFound)
	_, err = s.Rollback(ctx, "bert", 3)
	assert.ErrorContains(t, err, "must not be empty")
}

func TestEndedPlansCannotBeConfirmed(t *testing.T) {
	m := platformtest.New()
	clock := clockwork.NewFakeClock()
	s := New(Options{Table: m.Table(), Clock: clock})
	discarded, expired := mustPlan(t, s, customer("a", 1)), mustPlan(t, s, customer("b", 1))
	assert.NilError(t, s.Discard(ctx, discarded.ID))
	assert.NilError(t, s.Discard(ctx, discarded.ID))
	_, err := s.Confirm(ctx, "anna", discarded.ID)
	assert.ErrorIs(t, err, ErrNotProposed)
	clock.Advance(planLifetime + time.Second)
	_, err = s.Confirm(ctx, "anna", expired.ID)
	assert.ErrorIs(t, err, ErrNotProposed)
	_, err = s.Confirm(ctx, "anna", "none")
	assert.ErrorIs(t, err, ErrNoPlan)
}

// TestFaultsAtEveryCall injects each fault at each call that a confirmation
// makes, and at each pair of calls. A success must match the configuration in
// force, and confirming again must succeed without a second version.
func TestFaultsAtEveryCall(t *testing.T) {
	faults := []platformtest.Failure{platformtest.Down, platformtest.LostRequest, platformtest.LostResponse}
	const calls = 9
	for first := 1; first <= calls; first++ {
		for second := first; second <= calls; second++ {
			for _, firstFault := range faults {
				for _, secondFault := range faults {
					m := platformtest.New()
					s := newStore(m)
					p := mustPlan(t, s, customer("school", 2))
					before := m.Calls()
					m.Fail = func(call int, _ bool) platformtest.Failure {
						switch call - before {
						case first:
							return firstFault
						case second:
							return secondFault
						}
						return platformtest.None
					}
					v, err := s.Confirm(ctx, "anna", p.ID)
					m.Fail = nil
					name := fmt.Sprintf("faults %d %d at calls %d %d", firstFault, secondFault, first, second)
					if err == nil {
						assert.Equal(t, inForce(t, s).Version, v, name)
					}
					again, err := s.Confirm(ctx, "anna", p.ID)
					assert.NilError(t, err, name)
					assert.Equal(t, again, uint64(1), name)
					audits, err := s.Audits(ctx, 10)
					assert.NilError(t, err)
					assert.Equal(t, len(audits), 1, name)
				}
			}
		}
	}
}

// confirmInput is the confirmation of a plan for an object; weight
// distinguishes the plans of one object.
type confirmInput struct {
	object string
	weight uint32
}

// confirmOutput is the result of a confirmation.
type confirmOutput int

const (
	confirmedOutput confirmOutput = iota
	conflictOutput
	undecidedOutput
)

// confirmModel models one object, which only the first confirmed plan changes:
// all plans have the same base, so every later one conflicts.
var confirmModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint32(0)} },
	Step: func(state, input, output any) []any {
		winner, in := state.(uint32), input.(confirmInput)
		switch output.(confirmOutput) {
		case confirmedOutput:
			if winner == 0 || winner == in.weight {
				return []any{in.weight}
			}
		case conflictOutput:
			if winner != 0 && winner != in.weight {
				return []any{winner}
			}
		case undecidedOutput:
			if winner == 0 {
				return []any{uint32(0), in.weight}
			}
			return []any{winner}
		}
		return nil
	},
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range history {
			object := op.Input.(confirmInput).object
			parts[object] = append(parts[object], op)
		}
		var list [][]porcupine.Operation
		for _, p := range parts {
			list = append(list, p)
		}
		return list
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestRacingConfirmationsAreLinearizable confirms plans for the same and for
// different objects concurrently through several routers, with random failures
// of the table. There must be no gap between versions, and no confirmation may
// take effect twice or be lost.
func TestRacingConfirmationsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fails := rapid.SliceOfN(rapid.IntRange(0, 30), 64, 64).Draw(t, "failures")
		m := platformtest.New()
		s := newStore(m)
		var inputs []confirmInput
		var plans []Plan
		for i := range 8 {
			in := confirmInput{object: fmt.Sprint("c", i%3), weight: uint32(i + 1)}
			p, err := s.Plan(ctx, "anna", []config.Change{customer(in.object, in.weight)})
			if err != nil {
				t.Fatal(err)
			}
			inputs, plans = append(inputs, in), append(plans, p)
		}
		m.Fail = func(call int, _ bool) platformtest.Failure {
			if f := fails[call%len(fails)]; f <= int(platformtest.LostResponse) {
				return platformtest.Failure(f)
			}
			return platformtest.None
		}
		var clock atomic.Int64
		history := make([]porcupine.Operation, len(plans))
		var g errgroup.Group
		for i := range plans {
			g.Go(func() error {
				op := porcupine.Operation{ClientId: i, Input: inputs[i], Call: clock.Add(1)}
				_, err := newStore(m).Confirm(ctx, fmt.Sprint("op", i), plans[i].ID)
				op.Return, op.Output = clock.Add(1), outputOf(err)
				history[i] = op
				return nil
			})
		}
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
		if !porcupine.CheckOperations(confirmModel.ToModel(), history) {
			t.Fatalf("history is not linearizable: %+v", history)
		}
		m.Fail = nil
		checkAuditTrail(t, s)
	})
}

func outputOf(err error) confirmOutput {
	var conflict *ConflictError
	switch {
	case err == nil:
		return confirmedOutput
	case errors.As(err, &conflict):
		return conflictOutput
	default:
		return undecidedOutput
	}
}

// checkAuditTrail checks that the audit trail contains every version once and
// ends at the head.
func checkAuditTrail(t *rapid.T, s *Store) {
	audits, err := s.Audits(ctx, 100)
	if err != nil {
		t.Fatal(err)
	}
	slices.Reverse(audits)
	for i, a := range audits {
		if a.Version != uint64(i+1) || a.FromVersion != uint64(i) {
			t.Fatalf("audit row %d is of version %d from %d", i, a.Version, a.FromVersion)
		}
	}
	cfg := inForce(t, s)
	if cfg.Version != uint64(len(audits)) {
		t.Fatalf("head is version %d, the trail has %d", cfg.Version, len(audits))
	}
}
