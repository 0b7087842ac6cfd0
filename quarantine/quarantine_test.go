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

// lossWithoutResponse is the loss of a target that had not begun to respond.
func lossWithoutResponse(t IncarnationHash) Loss { return Loss{Target: t} }

func contentOf(body string) *Content { return &Content{Customer: "c", Body: []byte(body)} }

// exchangeHeartbeats sends one heartbeat of each list to all others.
func exchangeHeartbeats(lists ...*List) {
	for _, from := range lists {
		heartbeat := from.NextHeartbeat()
		for _, to := range lists {
			if to != from {
				to.Merge(heartbeat.GetSuspects())
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
	f := contentOf("ends")
	assert.Assert(t, !lists[0].any())
	assert.Assert(t, !lists[0].RecordLoss(f, lossWithoutResponse(1)))
	exchangeHeartbeats(lists...)
	for _, l := range lists {
		assert.Assert(t, l.any() && !l.Barred(f))
	}
	assert.Assert(t, !lists[1].RecordLoss(f, lossWithoutResponse(1)), "the same incarnation of a target counts once")
	assert.Assert(t, lists[1].RecordLoss(f, lossWithoutResponse(2)))
	<-lists[1].Changed()
	exchangeHeartbeats(lists...)
	for _, l := range lists {
		assert.Assert(t, l.Barred(f))
		assert.Assert(t, !l.Barred(contentOf("another")))
	}
}

// TestStartingRouterReceivesBarredRequests has the router that recorded the losses fail before
// another one starts.
func TestStartingRouterReceivesBarredRequests(t *testing.T) {
	lists, clock := newLists(3)
	for n := range 2 * repeatCount {
		for loss := range 2 {
			lists[0].RecordLoss(contentOf(fmt.Sprint(n)), lossWithoutResponse(IncarnationHash(loss)))
		}
	}
	for range announceCount {
		exchangeHeartbeats(lists...)
	}
	clock.Advance(time.Minute)
	starts := New(clock)
	for range 4 * repeatEvery {
		exchangeHeartbeats(lists[1], lists[2], starts)
	}
	for n := range 2 * repeatCount {
		assert.Assert(t, starts.Barred(contentOf(fmt.Sprint(n))), "request %d", n)
	}
}

func TestNoHeartbeatWithoutSuspects(t *testing.T) {
	lists, _ := newLists(1)
	lists[0].RecordResponse(contentOf("fine"))
	for range 2 * repeatEvery {
		assert.Assert(t, lists[0].NextHeartbeat() == nil)
	}
}

// TestPopularRequestIsNotBarred has three of nine targets end at once, with the same request of
// many callers at each, from all routers. Other targets respond to it before and after, so it
// must not be barred there. A router that did not serve it recently is notified by the others
// of the response after they check the request again.
func TestPopularRequestIsNotBarred(t *testing.T) {
	lists, clock := newLists(4)
	f := contentOf("popular")
	for range 3 {
		for _, l := range lists[:3] {
			l.RecordResponse(f)
		}
		clock.Advance(3 * time.Second)
		for target := range IncarnationHash(3) {
			for _, l := range lists {
				l.RecordLoss(f, lossWithoutResponse(target))
			}
		}
		exchangeHeartbeats(lists...)
		for i, l := range lists[:3] {
			assert.Assert(t, !l.Barred(f), "router %d", i)
		}
		exchangeHeartbeats(lists...)
		assert.Assert(t, !lists[3].Barred(f))
	}
}

func TestResponseClearsSuspectEverywhere(t *testing.T) {
	lists, clock := newLists(3)
	f := contentOf("unlucky")
	lists[0].RecordLoss(f, lossWithoutResponse(1))
	exchangeHeartbeats(lists...)
	lists[2].RecordResponse(f)
	exchangeHeartbeats(lists...)
	for _, l := range lists {
		assert.Assert(t, !l.any())
	}
	clock.Advance(2 * clearedTTL)
	assert.Assert(t, !lists[1].RecordLoss(f, lossWithoutResponse(2)), "losses before the response do not count")
}

func TestLateReportKeepsAge(t *testing.T) {
	lists, clock := newLists(2)
	f := contentOf("ends")
	for target := range IncarnationHash(2) {
		lists[0].RecordLoss(f, lossWithoutResponse(target))
	}
	clock.Advance(suspectTTL - time.Second)
	lists[1].Merge(lists[0].NextHeartbeat().GetSuspects())
	assert.Assert(t, lists[1].Barred(f))
	clock.Advance(time.Second)
	for _, l := range lists {
		assert.Assert(t, !l.Barred(f))
		l.NextHeartbeat()
		assert.Assert(t, !l.any())
	}
}

// TestManySuspectsDisplaceNoBarredRequest fills a list.
func TestManySuspectsDisplaceNoBarredRequest(t *testing.T) {
	lists, _ := newLists(1)
	l, f := lists[0], contentOf("ends")
	for target := range IncarnationHash(2) {
		l.RecordLoss(f, lossWithoutResponse(target))
	}
	for n := range 2 * maxSuspects {
		l.RecordLoss(contentOf(fmt.Sprint(n)), lossWithoutResponse(1))
	}
	assert.Assert(t, l.Barred(f))
	suspected, barred := l.Counts()
	assert.Equal(t, suspected, maxSuspects)
	assert.Equal(t, barred, 1)
	for n := range maxAnswered * 2 {
		l.RecordResponse(contentOf(fmt.Sprint("answer", n)))
	}
	assert.Assert(t, len(l.answers) <= maxAnswered)
}

func TestInvalidSuspectsAreHandled(t *testing.T) {
	lists, _ := newLists(1)
	l := lists[0]
	c := contentOf("x")
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
	assert.Equal(t, len(l.suspects[f].losses), maxLosses)
}

// simulateFleet simulates a request that ends each target, with routers that exchange
// heartbeats, some of which are lost. Callers send the request to random routers ten times
// between two heartbeats. It returns how often the request reached a target in all, and how
// often later than two heartbeats after the third loss.
func simulateFleet(routers int, lists []*List, random *rand.Rand) (all, late int) {
	f := contentOf("ends")
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
			l.RecordLoss(f, lossWithoutResponse(IncarnationHash(all)))
		}
		if all >= 3 && third < 0 {
			third = beat
		}
		for _, from := range lists {
			suspects := from.NextHeartbeat()
			for _, to := range lists {
				if to != from && random.Float64() > 0.3 {
					to.Merge(suspects.GetSuspects())
				}
			}
		}
	}
	return all, late
}

// TestFleetBoundsLossesOfOneRequest covers few and many routers, with three of ten datagrams
// lost. Without an exchange of suspects each router counts only its own losses, and 64 routers
// lose 128 targets.
func TestFleetBoundsLossesOfOneRequest(t *testing.T) {
	for _, routers := range []int{3, 9, 64, 295} {
		random := rand.New(rand.NewPCG(1, uint64(routers)))
		lists, _ := newLists(routers)
		all, late := simulateFleet(routers, lists, random)
		assert.Assert(t, late <= 3, "%d routers: %d in all, %d late", routers, all, late)
	}
}

// BenchmarkBarred: 100 ns for a request that was hashed before; while there are no suspects, 1
// ns.
func BenchmarkBarred(b *testing.B) {
	l := New(clockwork.NewRealClock())
	for n := range 100 {
		l.RecordLoss(contentOf(fmt.Sprint(n)), lossWithoutResponse(1))
	}
	f := contentOf("5")
	for b.Loop() {
		l.Barred(f)
	}
}

// BenchmarkAnswered: 2.2 µs with 17 KB; 13 µs with a fingerprint of each request with a
// response.
func BenchmarkAnswered(b *testing.B) {
	l := New(clockwork.NewRealClock())
	c := &Content{Customer: "customer", URI: []byte("/drafts/1/2"), Body: make([]byte, 17_000)}
	for b.Loop() {
		l.RecordResponse(c)
	}
}

// TestPartialLossesWeighLess has a stream cut at three targets in the middle, which is resumed
// at a fourth one, and a request that ends each target before its response.
func TestPartialLossesWeighLess(t *testing.T) {
	lists, _ := newLists(2)
	stream := contentOf("stream")
	for target := range IncarnationHash(3) {
		assert.Assert(t, !lists[0].RecordLoss(stream, Loss{Target: target, Partial: true}))
	}
	exchangeHeartbeats(lists...)
	assert.Assert(t, !lists[1].Barred(stream))
	assert.Assert(t, lists[1].RecordLoss(stream, Loss{Target: 3, Partial: true}), "the fourth one")
	mixed := contentOf("mixed")
	assert.Assert(t, !lists[0].RecordLoss(mixed, Loss{Target: 1, Partial: true}))
	assert.Assert(t, !lists[0].RecordLoss(mixed, lossWithoutResponse(1)), "of two reports on one incarnation the one with the greater weight counts")
	assert.Assert(t, lists[0].RecordLoss(mixed, lossWithoutResponse(2)))
}
