package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/platform/platformtest"
)

// prompt returns the content of a request that has no other with the same body.
func prompt(body int, parts ...string) *Content {
	return &Content{Customer: "c", Service: "s", Body: fmt.Append(nil, body), Parts: parts}
}

// losesAtMoments has targets end under different requests with the same parts, one after the other.
func losesAtMoments(l *List, clock *clockwork.FakeClock, n int, parts ...string) {
	for i := range n {
		l.RecordLoss(prompt(i, parts...), IncarnationHash(i), NotBegun)
		clock.Advance(momentSpan)
	}
}

func TestPartThatEndsTargetsIsBarredWhateverElseTheRequestHolds(t *testing.T) {
	lists, clock := newLists(barMoments)
	for i, l := range lists {
		l.RecordWritten(prompt(100+i, "first"))
		barred := l.RecordLoss(prompt(i, "first", "bad", fmt.Sprint("third", i)), IncarnationHash(i), Progress(i%2))
		assert.Equal(t, len(barred) > 0, i == barMoments-1)
		clock.Advance(momentSpan)
		exchangeHeartbeats(lists...)
	}
	for _, l := range lists {
		a := l.Barred(prompt(7, "another", "bad"))
		assert.Assert(t, a != nil && a.Part == "bad")
		assert.Assert(t, !bars(l, prompt(8, "first", "another")))
		assert.Assert(t, !bars(l, prompt(9, "third0")))
	}
}

// TestPartWithResponsesAtAnotherRouterIsNotBarred has a part that ends no target at each target that
// ends. One router received responses to it just before, and one receives one later.
func TestPartWithResponsesAtAnotherRouterIsNotBarred(t *testing.T) {
	for name, respond := range map[string]func(lists []*List){
		"before": func(lists []*List) {},
		"later":  func(lists []*List) { lists[2].RecordWritten(prompt(101, "shared")) },
	} {
		lists, clock := newLists(3)
		if name == "before" {
			lists[2].RecordWritten(prompt(100, "shared"))
		}
		losesAtMoments(lists[0], clock, barMoments, "shared", "bad")
		exchangeHeartbeats(lists...)
		respond(lists)
		exchangeHeartbeats(lists...)
		for i, l := range lists {
			assert.Assert(t, !bars(l, prompt(7, "shared")), "%s: router %d", name, i)
			assert.Assert(t, bars(l, prompt(8, "bad")), "%s: router %d", name, i)
		}
		losesAtMoments(lists[1], clock, barMoments, "shared")
		assert.Assert(t, !bars(lists[1], prompt(9, "shared")), "%s: losses soon after a response", name)
	}
}

// TestTargetsThatEndTogetherDoNotBarAPart has all connections of a router break at once, twice.
func TestTargetsThatEndTogetherDoNotBarAPart(t *testing.T) {
	lists, clock := newLists(1)
	for moment := range barMoments - 1 {
		for target := range 4 {
			lists[0].RecordLoss(prompt(target, "shared"), IncarnationHash(10*moment+target), NotBegun)
			clock.Advance(momentSpan / 10)
		}
		clock.Advance(time.Second)
	}
	assert.Assert(t, !bars(lists[0], prompt(7, "shared")))
}

func TestManyTargetsThatEndTogetherDoNotHideLaterOnes(t *testing.T) {
	lists, clock := newLists(1)
	for target := range 2 * maxLosses {
		lists[0].RecordLoss(prompt(target, "bad"), IncarnationHash(target), NotBegun)
	}
	for moment := range barMoments - 1 {
		assert.Assert(t, !bars(lists[0], prompt(7, "bad")))
		clock.Advance(time.Second)
		lists[0].RecordLoss(prompt(100+moment, "bad"), IncarnationHash(100+moment), NotBegun)
	}
	assert.Assert(t, bars(lists[0], prompt(7, "bad")))
}

func TestTargetsThatEndWhileTheyWriteDoNotBarAPart(t *testing.T) {
	lists, clock := newLists(1)
	for target := range IncarnationHash(2 * barMoments) {
		lists[0].RecordLoss(prompt(int(target), "shared"), target, Advanced)
		clock.Advance(time.Second)
	}
	assert.Assert(t, !bars(lists[0], prompt(7, "shared")))
}

// TestCustomerCannotHaveAPartOfAnotherOneBarred covers one customer whose requests end targets, then a
// second one.
func TestCustomerCannotHaveAPartOfAnotherOneBarred(t *testing.T) {
	lists, clock := newLists(2)
	losesAtMoments(lists[0], clock, barMoments, "bad")
	exchangeHeartbeats(lists...)
	of := func(customer string) *Content {
		return &Content{Customer: customer, Service: "s", Body: []byte(customer), Parts: []string{"bad"}}
	}
	for _, l := range lists {
		assert.Assert(t, bars(l, of("c")) && !bars(l, of("d")) && !bars(l, of("e")))
	}
	lists[1].RecordLoss(of("d"), 100, NotBegun)
	exchangeHeartbeats(lists...)
	for _, l := range lists {
		assert.Assert(t, bars(l, of("c")) && bars(l, of("d")) && bars(l, of("e")))
	}
}

func TestPartOfAnotherServiceIsAnotherPart(t *testing.T) {
	lists, clock := newLists(1)
	losesAtMoments(lists[0], clock, barMoments, "bad")
	c := prompt(7, "bad")
	c.Service = "other"
	assert.Assert(t, !bars(lists[0], c))
}

// TestBarredPartIsAnnouncedBeforeOtherSuspects has a part barred by the losses of another router while
// many suspects wait to be announced.
func TestBarredPartIsAnnouncedBeforeOtherSuspects(t *testing.T) {
	lists, clock := newLists(2)
	for n := range 200 {
		lists[0].RecordLoss(prompt(n, fmt.Sprint("part", n)), 1, NotBegun)
	}
	losesAtMoments(lists[0], clock, barMoments, "bad")
	exchangeHeartbeats(lists...)
	assert.Assert(t, bars(lists[1], prompt(7, "bad")))
}

// TestRouterThatWasCutOffLearnsBarredPartsSoon has one part barred among many suspects before a router is
// reached again: within three seconds of heartbeats.
func TestRouterThatWasCutOffLearnsBarredPartsSoon(t *testing.T) {
	lists, clock := newLists(2)
	for n := range 500 {
		lists[0].RecordLoss(prompt(n, fmt.Sprint("part", n)), 1, NotBegun)
	}
	losesAtMoments(lists[0], clock, barMoments, "bad")
	for range 1000 {
		lists[0].NextHeartbeat()
	}
	for range 30 {
		exchangeHeartbeats(lists...)
	}
	assert.Assert(t, bars(lists[1], prompt(7, "bad")))
}

// TestClearedPartStaysClearedAfterARestartOfAllRouters has a part barred by chance, which gets a
// response then.
func TestClearedPartStaysClearedAfterARestartOfAllRouters(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := platformtest.New()
	l := New(clock)
	k := newPersister(t, l, m.Table(), clock)
	ctx := context.Background()
	saveNext := func() { assert.NilError(t, k.save(ctx, <-l.unsaved)) }
	restarted := func() *List {
		after := New(clock)
		assert.NilError(t, newPersister(t, after, m.Table(), clock).load(ctx))
		return after
	}
	losesAtMoments(l, clock, barMoments, "unlucky")
	saveNext()
	assert.Assert(t, bars(restarted(), prompt(7, "unlucky")))
	l.RecordWritten(prompt(8, "unlucky"))
	saveNext()
	assert.Assert(t, !bars(restarted(), prompt(7, "unlucky")))
	assert.Assert(t, !restarted().any())
}

// partFleet simulates routers that exchange heartbeats, three of ten of which are lost, and engines
// that end under one part while sound requests run beside it.
type partFleet struct {
	random *rand.Rand
	clock  *clockwork.FakeClock
	lists  []*List
	ends   int
	body   int
}

// sound returns a sound request: its parts are shared with many others, some others, few others.
func (f *partFleet) sound() *Content {
	f.body++
	return prompt(f.body, "first", fmt.Sprint("second", f.random.IntN(4)), fmt.Sprint("third", f.random.IntN(200)))
}

func (f *partFleet) router() *List { return f.lists[f.random.IntN(len(f.lists))] }

// end has an engine end under a request, and ten sound ones that run beside it.
func (f *partFleet) end(l *List, c *Content) {
	f.ends++
	l.RecordLoss(c, IncarnationHash(f.ends), NotBegun)
	for range 10 {
		f.router().RecordLoss(f.sound(), IncarnationHash(f.ends), Progress(f.random.IntN(3)))
	}
}

// interval has sound requests answered and others with the part sent within one heartbeat.
func (f *partFleet) interval(bad int) (ended int) {
	for range 5 {
		f.router().RecordWritten(f.sound())
	}
	for range bad {
		c := f.sound()
		c.Parts[f.random.IntN(len(c.Parts))] = "bad"
		if l := f.router(); !bars(l, c) {
			f.end(l, c)
			ended++
		}
	}
	f.clock.Advance(100 * time.Millisecond)
	for _, from := range f.lists {
		heartbeat := from.NextHeartbeat()
		for _, to := range f.lists {
			if to != from && f.random.Float64() > 0.3 {
				to.Merge(heartbeat.GetSuspects())
			}
		}
	}
	return ended
}

// barredSound returns the parts of sound requests that a router bars.
func (f *partFleet) barredSound() (n int) {
	for _, l := range f.lists {
		for i := range 200 {
			if bars(l, prompt(1<<20+i, "first", fmt.Sprint("second", i%4), fmt.Sprint("third", i))) {
				n++
			}
		}
	}
	return n
}

// TestFleetBoundsEndsUnderOnePart plays 30 s in fleets of few and many routers.
func TestFleetBoundsEndsUnderOnePart(t *testing.T) {
	for _, routers := range []int{3, 9, 64} {
		for seed := range uint64(5) {
			lists, clock := newLists(routers)
			f := &partFleet{random: rand.New(rand.NewPCG(seed, uint64(routers))), clock: clock, lists: lists}
			fifth, late := -1, 0
			for beat := range 300 {
				ended := f.interval(beat % 2)
				if fifth >= 0 && beat > fifth+30 {
					late += ended
				}
				if f.ends >= 5 && fifth < 0 {
					fifth = beat
				}
			}
			t.Logf("%d routers, seed %d: %d ended, %d late", routers, seed, f.ends, late)
			assert.Assert(t, late <= 3, "%d routers, seed %d: %d in all, %d late", routers, seed, f.ends, late)
			assert.Equal(t, f.barredSound(), 0, "%d routers, seed %d", routers, seed)
		}
	}
}

// newBusyList returns a list with suspects of which one is barred.
func newBusyList(b *testing.B, suspects int) *List {
	b.Helper()
	clock := clockwork.NewFakeClock()
	l := New(clock)
	for n := range suspects / 2 {
		l.RecordLoss(prompt(n, fmt.Sprint("part", n)), 1, NotBegun)
	}
	losesAtMoments(l, clock, barMoments, "bad")
	return l
}

func BenchmarkPartsOfRequest(b *testing.B) {
	for _, suspects := range []int{0, 100, 1000, 4000} {
		b.Run(fmt.Sprint(suspects), func(b *testing.B) {
			l := newBusyList(b, suspects)
			for n := 0; b.Loop(); n++ {
				c := prompt(n, "first", "second", "third", "fourth")
				l.Barred(c)
				l.RecordWritten(c)
			}
		})
	}
}

// BenchmarkHeartbeat includes the merge of a heartbeat of another router.
func BenchmarkHeartbeat(b *testing.B) {
	for _, suspects := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint(suspects), func(b *testing.B) {
			l, other := newBusyList(b, suspects), newBusyList(b, suspects)
			for b.Loop() {
				l.Merge(other.NextHeartbeat().GetSuspects())
			}
		})
	}
}
