package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

// silent is the loss of a target that had not begun to answer.
func silent(t IncarnationHash) Loss { return Loss{Target: t} }

func of(body string) *Content { return &Content{Customer: "c", Body: []byte(body)} }

// exchange has each list tell all others, as one heartbeat of each does.
func exchange(lists ...*List) {
	for _, from := range lists {
		told := from.NextHeartbeat()
		for _, to := range lists {
			if to != from {
				to.Merge(told.GetSuspects())
			}
		}
	}
}

func newLists(n int) ([]*List, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	lists := make([]*List, n)
	for i := range lists {
		lists[i] = New(clock)
	}
	return lists, clock
}

func TestLossesOfAllRoutersBarARequest(t *testing.T) {
	lists, _ := newLists(3)
	f := of("ends")
	assert.Assert(t, !lists[0].any())
	assert.Assert(t, !lists[0].RecordLoss(f, silent(1)))
	exchange(lists...)
	for _, l := range lists {
		assert.Assert(t, l.any() && !l.Barred(f))
	}
	assert.Assert(t, !lists[1].RecordLoss(f, silent(1)), "the same run of a target counts once")
	assert.Assert(t, lists[1].RecordLoss(f, silent(2)))
	<-lists[1].Changed()
	exchange(lists...)
	for _, l := range lists {
		assert.Assert(t, l.Barred(f))
		assert.Assert(t, !l.Barred(of("another")))
	}
}

// TestRouterThatStartsLearnsWhatIsBarred also has the router that saw the losses gone.
func TestRouterThatStartsLearnsWhatIsBarred(t *testing.T) {
	lists, clock := newLists(3)
	for n := range 2 * repeatCount {
		for loss := range 2 {
			lists[0].RecordLoss(of(fmt.Sprint(n)), silent(IncarnationHash(loss)))
		}
	}
	for range tellTimes {
		exchange(lists...)
	}
	clock.Advance(time.Minute)
	starts := New(clock)
	for range 4 * repeatEvery {
		exchange(lists[1], lists[2], starts)
	}
	for n := range 2 * repeatCount {
		assert.Assert(t, starts.Barred(of(fmt.Sprint(n))), "request %d", n)
	}
}

func TestNothingIsToldWhileNothingIsSuspected(t *testing.T) {
	lists, _ := newLists(1)
	lists[0].RecordResponse(of("fine"))
	for range 2 * repeatEvery {
		assert.Assert(t, lists[0].NextHeartbeat() == nil)
	}
}

// TestRequestOfManyCallersIsNotBarredByTargetsThatEnd has three of nine targets end at
// once, with the same request of many callers at each, from all routers. It is answered
// elsewhere before and after, and must not be shut out there. A router that did not serve
// it lately learns from the others that it was answered, once they are asked.
func TestRequestOfManyCallersIsNotBarredByTargetsThatEnd(t *testing.T) {
	lists, clock := newLists(4)
	f := of("popular")
	for range 3 {
		for _, l := range lists[:3] {
			l.RecordResponse(f)
		}
		clock.Advance(3 * time.Second)
		for target := range IncarnationHash(3) {
			for _, l := range lists {
				l.RecordLoss(f, silent(target))
			}
		}
		exchange(lists...)
		for i, l := range lists[:3] {
			assert.Assert(t, !l.Barred(f), "router %d", i)
		}
		exchange(lists...)
		assert.Assert(t, !lists[3].Barred(f))
	}
}

func TestAnswerEndsASuspicionEverywhere(t *testing.T) {
	lists, clock := newLists(3)
	f := of("unlucky")
	lists[0].RecordLoss(f, silent(1))
	exchange(lists...)
	lists[2].RecordResponse(f)
	exchange(lists...)
	for _, l := range lists {
		assert.Assert(t, !l.any())
	}
	clock.Advance(2 * answeredFor)
	assert.Assert(t, !lists[1].RecordLoss(f, silent(2)), "losses before the answer are forgotten")
}

func TestWhatIsToldLateDoesNotAgeAnew(t *testing.T) {
	lists, clock := newLists(2)
	f := of("ends")
	for target := range IncarnationHash(2) {
		lists[0].RecordLoss(f, silent(target))
	}
	clock.Advance(keepFor - time.Second)
	lists[1].Merge(lists[0].NextHeartbeat().GetSuspects())
	assert.Assert(t, lists[1].Barred(f))
	clock.Advance(time.Second)
	for _, l := range lists {
		assert.Assert(t, !l.Barred(f))
		l.NextHeartbeat()
		assert.Assert(t, !l.any())
	}
}

// TestCallerWithManySuspectsPushesOutNothingBarred fills a list.
func TestCallerWithManySuspectsPushesOutNothingBarred(t *testing.T) {
	lists, _ := newLists(1)
	l, f := lists[0], of("ends")
	for target := range IncarnationHash(2) {
		l.RecordLoss(f, silent(target))
	}
	for n := range 2 * mostSuspects {
		l.RecordLoss(of(fmt.Sprint(n)), silent(1))
	}
	assert.Assert(t, l.Barred(f))
	suspected, barred := l.Counts()
	assert.Equal(t, suspected, mostSuspects)
	assert.Equal(t, barred, 1)
	for n := range mostAnswered * 2 {
		l.RecordResponse(of(fmt.Sprint("answer", n)))
	}
	assert.Assert(t, len(l.answers) <= mostAnswered)
}

func TestOddWordsOfOthersAreTaken(t *testing.T) {
	lists, _ := newLists(1)
	l := lists[0]
	c := of("x")
	f := c.Fingerprint()
	many := make([]uint32, 100)
	for i := range many {
		many[i] = uint32(i)
	}
	l.Merge([]*zinccovev1.Suspect{
		{}, {Fingerprint: []byte("short")}, {Fingerprint: make([]byte, 100), Targets: many},
		{Fingerprint: f[:], Targets: many[:1], AgeMs: 1 << 63},
	})
	assert.Assert(t, !l.any())
	l.Merge([]*zinccovev1.Suspect{{Fingerprint: f[:], Targets: many}})
	assert.Assert(t, l.Barred(c))
	assert.Equal(t, len(l.suspects[f].losses), mostLosses)
}

// fleetOf plays a request that ends each target against routers that tell each other with
// each heartbeat, some of whose datagrams are lost. Callers send it at any router ten
// times between two heartbeats. It returns how often it reached a target in all, and later
// than two heartbeats after the third loss.
func fleetOf(routers int, lists []*List, random *rand.Rand) (all, late int) {
	f := of("ends")
	third := -1
	for beat := range 60 {
		for range 10 {
			l := lists[random.IntN(routers)]
			if l.Barred(f) {
				continue
			}
			all++
			if third >= 0 && beat > third+2 {
				late++
			}
			l.RecordLoss(f, silent(IncarnationHash(all)))
		}
		if all >= 3 && third < 0 {
			third = beat
		}
		for _, from := range lists {
			told := from.NextHeartbeat()
			for _, to := range lists {
				if to != from && random.Float64() > 0.3 {
					to.Merge(told.GetSuspects())
				}
			}
		}
	}
	return all, late
}

// TestFleetBoundsARequestThatEndsItsTargets holds for few and many routers, with three of
// ten datagrams lost. Routers that do not tell each other are the way that was not taken:
// each of them has its own losses, and 64 routers lose 128 targets.
func TestFleetBoundsARequestThatEndsItsTargets(t *testing.T) {
	for _, routers := range []int{3, 9, 64, 295} {
		random := rand.New(rand.NewPCG(1, uint64(routers)))
		lists, _ := newLists(routers)
		all, late := fleetOf(routers, lists, random)
		assert.Assert(t, late <= 3, "%d routers: %d in all, %d late", routers, all, late)
	}
}

// BenchmarkBarred: 100 ns for a request that was hashed before; while there are no suspects,
// 1 ns.
func BenchmarkBarred(b *testing.B) {
	l := New(clockwork.NewRealClock())
	for n := range 100 {
		l.RecordLoss(of(fmt.Sprint(n)), silent(1))
	}
	f := of("5")
	for b.Loop() {
		l.Barred(f)
	}
}

// BenchmarkAnswered: 2.2 µs with 17 KB; 13 µs when each answered request had a fingerprint.
func BenchmarkAnswered(b *testing.B) {
	l := New(clockwork.NewRealClock())
	c := &Content{Customer: "customer", URI: []byte("/drafts/1/2"), Body: make([]byte, 17_000)}
	for b.Loop() {
		l.RecordResponse(c)
	}
}

// TestTargetsThatHadBegunToAnswerSpeakLess has a stream cut at three targets in the middle,
// which a fourth one goes on with, and a request that ends each target without a word.
func TestTargetsThatHadBegunToAnswerSpeakLess(t *testing.T) {
	lists, _ := newLists(2)
	stream := of("stream")
	for target := range IncarnationHash(3) {
		assert.Assert(t, !lists[0].RecordLoss(stream, Loss{Target: target, Partial: true}))
	}
	exchange(lists...)
	assert.Assert(t, !lists[1].Barred(stream))
	assert.Assert(t, lists[1].RecordLoss(stream, Loss{Target: 3, Partial: true}), "the fourth one")
	mixed := of("mixed")
	assert.Assert(t, !lists[0].RecordLoss(mixed, Loss{Target: 1, Partial: true}))
	assert.Assert(t, !lists[0].RecordLoss(mixed, silent(1)), "the heavier word on one run counts")
	assert.Assert(t, lists[0].RecordLoss(mixed, silent(2)))
}
