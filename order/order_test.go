package order

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/lease"
	"zinccove.example/zinccove/platform/platformtest"
)

const ttl = 6 * time.Second

// engine is a target that loads versions at once.
type engine struct {
	checksFence bool
	fence       uint64
	version     string
	// accepted are the numbers of the orders that took effect.
	accepted []uint64
}

func (e *engine) order(o Order) error {
	if e.checksFence && o.Fence < e.fence {
		return ErrFenced
	}
	e.fence = max(e.fence, o.Fence)
	e.version = o.ModelVersion
	e.accepted = append(e.accepted, o.Fence)
	return nil
}

// sender is a router that sends orders to one engine. Orders stay in flight until the test
// delivers them.
type sender struct {
	*Reconciler
	lease  *lease.Lease
	flight []Order
}

func newSender(m *platformtest.Memory, clock clockwork.Clock, name string, e *engine) *sender {
	l := lease.New(lease.Options{Table: m.Table(), Clock: clock, Name: "orders/dc1", Holder: name, TTL: ttl, OrderTimeout: Timeout})
	g := &sender{Reconciler: New(Options{Lease: l, Clock: clock}), lease: l}
	g.state = func(netip.AddrPort) (State, error) { return State{ModelVersion: e.version}, nil }
	g.send = func(_ netip.AddrPort, o Order) error {
		g.flight = append(g.flight, o)
		return nil
	}
	return g
}

// deliver delivers the oldest order in flight to the engine.
func (g *sender) deliver(e *engine) error {
	if len(g.flight) == 0 {
		return nil
	}
	o := g.flight[0]
	g.flight = g.flight[1:]
	return e.order(o)
}

func declared(version string) []config.Target {
	return []config.Target{{Name: "e", ModelVersion: version, TakesOrders: true}}
}

func TestOrdersAreSentUntilTheStateIsAsDeclared(t *testing.T) {
	e := &engine{version: "v1"}
	g := newSender(platformtest.New(), clockwork.NewFakeClock(), "a", e)
	assert.Equal(t, g.Reconcile(declared("v2")), Result{}, "no orders without the lease")
	assert.NilError(t, g.lease.Step(context.Background()))
	assert.Equal(t, g.Reconcile(declared("v2")), Result{Sent: 1})
	assert.NilError(t, g.deliver(e))
	assert.Equal(t, g.Reconcile(declared("v2")), Result{})
	assert.Equal(t, g.Reconcile([]config.Target{{Name: "other", ModelVersion: "v9"}}), Result{})
}

// TestOrdersOfAnOldHolderAreUndone pauses a holder with an order in flight, lets another take
// over, and delivers the old order at the worst time.
func TestOrdersOfAnOldHolderAreUndone(t *testing.T) {
	for _, checks := range []bool{true, false} {
		m, clock := platformtest.New(), clockwork.NewFakeClock()
		e := &engine{version: "v1", checksFence: checks}
		a, b := newSender(m, clock, "a", e), newSender(m, clock, "b", e)
		ctx := context.Background()
		assert.NilError(t, a.lease.Step(ctx))
		a.Reconcile(declared("old"))
		for range 9 {
			clock.Advance(time.Second)
			assert.NilError(t, b.lease.Step(ctx))
		}
		assert.Equal(t, b.Reconcile(declared("new")), Result{Sent: 1})
		assert.NilError(t, b.deliver(e))
		assert.Equal(t, a.Reconcile(declared("old")), Result{}, "a holder whose lease expired during a pause sends no orders")

		err := a.deliver(e)
		assert.Equal(t, errors.Is(err, ErrFenced), checks)
		b.Reconcile(declared("new"))
		assert.NilError(t, b.deliver(e))
		assert.Equal(t, e.version, "new")
	}
}

// TestNumbersNeverGoBackAtCheckingTargets runs random steps, pauses, delays and failures with two
// routers.
func TestNumbersNeverGoBackAtCheckingTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, clock := platformtest.New(), clockwork.NewFakeClock()
		e := &engine{version: "v0", checksFence: true}
		senders := []*sender{newSender(m, clock, "a", e), newSender(m, clock, "b", e)}
		want := "v0"
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			g := senders[rapid.IntRange(0, 1).Draw(t, "router")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				g.lease.Step(context.Background()) //nolint:errcheck // failures are part of the test
			case 2:
				g.Reconcile(declared(want))
			case 3:
				g.deliver(e) //nolint:errcheck // so are refusals
			case 4:
				want = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "want")
			}
			clock.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		for i := 1; i < len(e.accepted); i++ {
			if e.accepted[i] < e.accepted[i-1] {
				t.Fatalf("orders took effect with numbers %v", e.accepted)
			}
		}
	})
}
