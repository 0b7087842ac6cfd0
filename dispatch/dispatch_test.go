package dispatch

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/exchange"
	"zinccove.example/zinccove/fair"
)

// fixture is a dispatcher with one model and its targets.
type fixture struct {
	*Dispatcher
	clock *clockwork.FakeClock
	cfg   *config.Config
	pool  uint32
}

func newFixture(t interface{ Fatal(...any) }, slots ...uint32) *fixture {
	clock := clockwork.NewFakeClock()
	d := New(Options{Clock: clock, Host: "r1", DataCentre: "dc1", Queue: fair.Limits{PerCustomer: 100}, Overcommit: 2})
	changes := []config.Change{
		config.Put(config.Customer{Name: "a", Weight: 1}),
		config.Put(config.Customer{Name: "b", Weight: 1}),
		config.Put(config.Model{Name: "m", ModelVersion: "v1"}),
	}
	for i, n := range slots {
		changes = append(changes, config.Put(config.Target{
			Name: "t" + string(rune('1'+i)), Serves: "m", ModelVersion: "v1", DataCentre: "dc" + string(rune('1'+i)), Slots: n,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1)),
		}))
	}
	cfg, err := new(config.Config).Apply(changes)
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{Dispatcher: d, clock: clock, cfg: cfg, pool: cfg.Models[0].Number}
	d.Configure(cfg)
	f.balance()
	return f
}

// balance gives the dispatcher its own demand and that of others, as after a heartbeat.
func (f *fixture) balance(others ...exchange.Demand) {
	demands := others
	f.Counters(func(k exchange.Key, c exchange.Counters) {
		demands = append(demands, exchange.Demand{Host: "r1", Customer: k.Customer, Queued: c.Queued, Running: c.Running})
	})
	f.Balance(View{Demands: map[uint32][]exchange.Demand{f.pool: demands}, Routers: 1})
}

func (f *fixture) submit(t interface{ Fatal(...any) }, customer uint32) *Ticket {
	ticket, err := f.Submit(Request{Pool: f.pool, Customer: fair.Customer(customer)})
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

func granted(t *Ticket) *Slot {
	select {
	case s := <-t.Granted():
		return s
	default:
		return nil
	}
}

func TestSlotsAreGrantedUpToTheWindow(t *testing.T) {
	f := newFixture(t, 2)
	var slots []*Slot
	var waiting []*Ticket
	for range 5 {
		ticket := f.submit(t, 1)
		if s := granted(ticket); s != nil {
			slots = append(slots, s)
		} else {
			waiting = append(waiting, ticket)
		}
	}
	assert.Equal(t, len(slots), 2)
	slots[0].Release(Completed)
	assert.Assert(t, granted(waiting[0]) != nil)
	slots[0].Release(Completed)
	assert.Assert(t, granted(waiting[1]) == nil, "a second release of a slot has no effect")
}

func TestAbandonGivesPlaceOrSlotBack(t *testing.T) {
	f := newFixture(t, 1)
	first, second, third := f.submit(t, 1), f.submit(t, 1), f.submit(t, 1)
	second.Abandon()
	second.Abandon()
	first.Abandon()
	assert.Assert(t, granted(second) == nil)
	s := granted(third)
	assert.Assert(t, s != nil)
	s.Release(Completed)
	assert.Assert(t, f.Idle())
}

func TestDrainingTargetReceivesNoNewRequests(t *testing.T) {
	f := newFixture(t, 1, 1)
	leaving := f.cfg.Targets[0]
	leaving.Leaving = true
	next, err := f.cfg.Apply([]config.Change{config.Put(leaving)})
	assert.NilError(t, err)
	running := granted(f.submit(t, 1))
	assert.Equal(t, running.Target().Name, "t1")
	f.Configure(next)
	f.balance()
	for range 3 {
		if s := granted(f.submit(t, 1)); s != nil {
			assert.Equal(t, s.Target().Name, "t2")
		}
	}
	running.Release(Completed)
	f.balance()
	for _, status := range f.Status() {
		assert.Equal(t, status.Slots, 1)
	}
}

// TestGrantedSlotDoesNotMixConfigurations configures another model version while a slot is held.
func TestGrantedSlotDoesNotMixConfigurations(t *testing.T) {
	f := newFixture(t, 1)
	slot := granted(f.submit(t, 1))
	want := slot.Target()
	changed := f.cfg.Targets[0]
	changed.ModelVersion = "v2"
	cfg, err := f.cfg.Apply([]config.Change{config.Put(config.Model{Name: "m", ModelVersion: "v2"}), config.Put(changed)})
	assert.NilError(t, err)
	var group errgroup.Group
	group.Go(func() error {
		f.Configure(cfg)
		return nil
	})
	for range 1000 {
		assert.Equal(t, slot.Target(), want)
	}
	assert.NilError(t, group.Wait())
	assert.Equal(t, slot.Target(), want)
	slot.Release(Completed)
	assert.Equal(t, granted(f.submit(t, 1)).Target().ModelVersion, "v2")
}

func TestTargetDrainedByPlatformReceivesNoNewRequests(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.SetDraining(map[string]bool{"t1": true, "r9": true})
	f.balance()
	assert.Equal(t, granted(f.submit(t, 1)).Target().Name, "t2")
	f.Configure(f.cfg)
	f.balance()
	for _, status := range f.Status() {
		assert.Equal(t, status.Slots, 1)
	}
	f.SetDraining(nil)
	assert.Equal(t, granted(f.submit(t, 1)).Target().Name, "t1")
}

func TestFailingTargetOpensBreakerAndIsProbed(t *testing.T) {
	f := newFixture(t, 1, 1)
	for range failuresToOpen {
		s := granted(f.submit(t, 1))
		assert.Equal(t, s.Target().Name, "t1")
		s.Release(Failed)
	}
	s := granted(f.submit(t, 1))
	assert.Equal(t, s.Target().Name, "t2")
	f.clock.Advance(minOpenInterval)
	f.balance()
	probe := granted(f.submit(t, 1))
	assert.Equal(t, probe.Target().Name, "t1")
	probe.Release(Failed)
	f.clock.Advance(minOpenInterval)
	after := granted(f.submit(t, 1))
	assert.Assert(t, after == nil || after.Target().Name == "t2", "the open interval doubles")
}

func TestOneRefusalOpensBreaker(t *testing.T) {
	f := newFixture(t, 1, 1)
	granted(f.submit(t, 1)).Release(Refused)
	assert.Equal(t, granted(f.submit(t, 1)).Target().Name, "t2")
}

func TestRefusals(t *testing.T) {
	f := newFixture(t, 1)
	_, err := f.Submit(Request{Pool: 999})
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Cause, UnknownPool)
	for range 101 {
		f.submit(t, 1)
	}
	_, err = f.Submit(Request{Pool: f.pool, Customer: 1})
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Cause, QueueFull)
	assert.Assert(t, refused.RetryAfter >= minRetryAfter && refused.RetryAfter <= maxRetryAfter)
	f.submit(t, 2)

	empty := newFixture(t)
	_, err = empty.Submit(Request{Pool: empty.pool, Customer: 1})
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Cause, NoTarget)
}

func TestRemovedPoolRefusesWaitingRequests(t *testing.T) {
	f := newFixture(t, 1)
	running, waiting := f.submit(t, 1), f.submit(t, 1)
	f.Configure(new(config.Config))
	_, open := <-waiting.Granted()
	assert.Assert(t, !open)
	granted(running).Release(Completed)
}

func TestWindowFollowsTheDemandOfOthers(t *testing.T) {
	f := newFixture(t, 8)
	for range 20 {
		f.submit(t, 1)
	}
	f.balance(exchange.Demand{Host: "r2", Customer: 2, Queued: 20})
	for _, s := range f.Status() {
		assert.Equal(t, s.Window, 4+lookAhead)
	}
	f.balance()
	for _, s := range f.Status() {
		assert.Equal(t, s.Window, 8+lookAhead)
	}
}

// TestNoRequestIsLostOrGrantedTwice runs random sequences of operations and checks
// after every step that the numbers of waiting, running and ended requests add up.
func TestNoRequestIsLostOrGrantedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t, 2, 3)
		var waiting []*Ticket
		var running []*Slot
		ended, submitted := 0, 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				waiting = append(waiting, f.submit(t, uint32(rapid.IntRange(1, 2).Draw(t, "customer"))))
				submitted++
			case 2:
				if len(running) > 0 {
					s := running[len(running)-1]
					running = running[:len(running)-1]
					s.Charge(uint64(rapid.IntRange(0, 9).Draw(t, "cost")))
					s.Release(Result(rapid.IntRange(0, int(Failed)).Draw(t, "result")))
					ended++
				}
			case 3:
				if len(waiting) > 0 {
					waiting[0].Abandon()
					waiting = waiting[1:]
					ended++
				}
			case 4:
				f.clock.Advance(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
				f.balance()
			}
			still := waiting[:0]
			for _, ticket := range waiting {
				if s := granted(ticket); s != nil {
					running = append(running, s)
				} else {
					still = append(still, ticket)
				}
			}
			waiting = still
			if submitted != ended+len(waiting)+len(running) {
				t.Fatalf("%d submitted, %d ended, %d wait, %d run", submitted, ended, len(waiting), len(running))
			}
			status := f.Status()[0]
			if status.Queued != len(waiting) || status.Running != len(running) {
				t.Fatalf("status %+v, but %d wait and %d run", status, len(waiting), len(running))
			}
		}
	})
}

func BenchmarkSubmitChargeRelease(b *testing.B) {
	f := newFixture(b, 8)
	b.ReportAllocs()
	for b.Loop() {
		s := granted(f.submit(b, 1))
		s.Charge(10)
		s.Release(Completed)
	}
}
