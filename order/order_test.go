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
	checks  bool
	fence   uint64
	version string
	// taken are the numbers of the orders that took effect.
	taken []uint64
}

func (e *engine) order(o Order) error {
	if e.checks && o.Fence < e.fence {
		return ErrFenced
	}
	e.fence = max(e.fence, o.Fence)
	e.version = o.ModelVersion
	e.taken = append(e.taken, o.Fence)
	return nil
}

// giver is a router that gives orders to one engine. Orders wait in flight
// until the test delivers them.
type giver struct {
	*Reconciler
	lease  *lease.Lease
	flight []Order
}

func newGiver(m *platformtest.Memory, clock clockwork.Clock, name string, e *engine) *giver {
	l := lease.New(lease.Options{Table: m.Table(), Clock: clock, Name: "orders/dc1", Holder: name, TTL: ttl, OrderTimeout: Timeout})
	g := &giver{Reconciler: New(Options{Lease: l, Clock: clock}), lease: l}
	g.state = func(netip.AddrPort) (State, error) { return State{ModelVersion: e.version}, nil }
	g.send = func(_ netip.AddrPort, o Order) error {
		g.flight = append(g.flight, o)
		return nil
	}
	return g
}

// deliver lets the oldest order in flight reach the engine.
func (g *giver) deliver(e *engine) error {
	if len(g.flight) == 0 {
		return nil
	}
	o := g.flight[0]
	g.flight = g.flight[1:]
	return e.order(o)
}

func wanted(version string) []config.Target {
	return []config.Target{{Name: "e", ModelVersion: version, TakesOrders: true}}
}

func TestOrdersAreGivenUntilTheStateIsWanted(t *testing.T) {
	e := &engine{version: "v1"}
	g := newGiver(platformtest.New(), clockwork.NewFakeClock(), "a", e)
	assert.Equal(t, g.Reconcile(wanted("v2")), Result{}, "no lease, no order")
	assert.NilError(t, g.lease.Step(context.Background()))
	assert.Equal(t, g.Reconcile(wanted("v2")), Result{Sent: 1})
	assert.NilError(t, g.deliver(e))
	assert.Equal(t, g.Reconcile(wanted("v2")), Result{})
	assert.Equal(t, g.Reconcile([]config.Target{{Name: "other", ModelVersion: "v9"}}), Result{})
}

// TestOldHoldersOrdersDoNotStand lets a holder freeze with an order in flight,
// another take over, and the old order arrive at the worst time.
func TestOldHoldersOrdersDoNotStand(t *testing.T) {
	for _, checks := range []bool{true, false} {
		m, clock := platformtest.New(), clockwork.NewFakeClock()
		e := &engine{version: "v1", checks: checks}
		a, b := newGiver(m, clock, "a", e), newGiver(m, clock, "b", e)
		ctx := context.Background()
		assert.NilError(t, a.lease.Step(ctx))
		a.Reconcile(wanted("old"))
		for range 9 {
			clock.Advance(time.Second)
			assert.NilError(t, b.lease.Step(ctx))
		}
		assert.Equal(t, b.Reconcile(wanted("new")), Result{Sent: 1})
		assert.NilError(t, b.deliver(e))
		assert.Equal(t, a.Reconcile(wanted("old")), Result{}, "a holder that wakes late orders nothing")

		err := a.deliver(e)
		assert.Equal(t, errors.Is(err, ErrFenced), checks)
		b.Reconcile(wanted("new"))
		assert.NilError(t, b.deliver(e))
		assert.Equal(t, e.version, "new")
	}
}

// TestNumbersNeverGoBackAtCheckingTargets runs random steps, pauses, flights
// and failures with two routers.
func TestNumbersNeverGoBackAtCheckingTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, clock := platformtest.New(), clockwork.NewFakeClock()
		e := &engine{version: "v0", checks: true}
		givers := []*giver{newGiver(m, clock, "a", e), newGiver(m, clock, "b", e)}
		want := "v0"
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			g := givers[rapid.IntRange(0, 1).Draw(t, "router")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				g.lease.Step(context.Background()) //nolint:errcheck // failures are part of the test
			case 2:
				g.Reconcile(wanted(want))
			case 3:
				g.deliver(e) //nolint:errcheck // so are refusals
			case 4:
				want = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "want")
			}
			clock.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		for i := 1; i < len(e.taken); i++ {
			if e.taken[i] < e.taken[i-1] {
				t.Fatalf("orders took effect with numbers %v", e.taken)
			}
		}
	})
}
