package place

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/roster"
	"zinccove.example/zinccove/route"
)

const objective = 800 * time.Millisecond

func targets(service string, n int) []*roster.Target {
	list := make([]*roster.Target, n)
	for i := range list {
		list[i] = &roster.Target{
			ID: fmt.Sprintf("%s-%d", service, i), Service: service, Slots: 64,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(1 + i>>8), byte(i)}), 80),
		}
	}
	return list
}

func table(t *testing.T) *route.Table {
	t.Helper()
	table, err := route.New(route.Spec{
		Version: 1, Limits: route.Limits{TokensPerSecond: 300_000},
		Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 64, CacheTokens: 500_000}}, {Name: "plain"}},
	})
	assert.NilError(t, err)
	return table
}

func newTestPlacer(t *testing.T) (*Placer, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	p := New(Options{Clock: clock})
	p.SetTargets(append(targets("model", 9), targets("plain", 3)...), table(t))
	return p, clock
}

func call(shared string, sharedTokens, own int) *message.RequestInfo {
	return &message.RequestInfo{
		PrefixParts:  []message.PrefixPart{{ID: shared, Tokens: sharedTokens}, {ID: "own", Tokens: own}},
		PromptTokens: sharedTokens + own, MaxTokens: 100,
	}
}

func promptRequest(c *message.RequestInfo, customer string) Request {
	return Request{Service: "model", Customer: customer, Objective: objective, Call: c}
}

func TestRoutersAgreeOnHomesWithoutAMessage(t *testing.T) {
	a, _ := newTestPlacer(t)
	b, _ := newTestPlacer(t)
	used := make(map[string]int)
	for i := range 100 {
		c := call(fmt.Sprint(i), 1000, 10)
		da, db := a.Place(promptRequest(c, "c")), b.Place(promptRequest(c, "c"))
		assert.Equal(t, da.Run.Target.ID, db.Run.Target.ID)
		used[da.Run.Target.ID]++
		da.Run.End(Answered)
		db.Run.End(Answered)
	}
	assert.Equal(t, len(used), 9, "all targets are homes: %v", used)
}

func TestHomesOutlastTheRestartOfATarget(t *testing.T) {
	p, _ := newTestPlacer(t)
	c := call("part", 1000, 10)
	first := p.Place(promptRequest(c, "c")).Run
	first.End(Answered)
	list := targets("model", 9)
	for _, target := range list {
		target.ID += "-again"
	}
	p.SetTargets(list, table(t))
	assert.Equal(t, p.Place(promptRequest(c, "c")).Run.Target.Address, first.Target.Address)
}

func TestFullHomesOverflowToTheNextThenRefuse(t *testing.T) {
	p, _ := newTestPlacer(t)
	used := make(map[string]int)
	var refused Decision
	for range 200 {
		d := p.Place(promptRequest(call("hot", 2000, 4000), "c"))
		if d.Run == nil {
			refused = d
			break
		}
		used[d.Run.Target.ID]++
	}
	assert.Equal(t, len(used), maxHomes)
	assert.Equal(t, refused.Reason, Overloaded)
	assert.Assert(t, refused.RetryAfter >= minRetryAfter && refused.RetryAfter <= maxRetryAfter)
}

func TestPromptTooLongForAnyTargetIsAdmittedWhereLittleWaits(t *testing.T) {
	p, _ := newTestPlacer(t)
	long := call("long", 100, 90_000)
	assert.Assert(t, p.Place(promptRequest(long, "c")).Run != nil)
	assert.Assert(t, p.Place(promptRequest(long, "c")).Rank == 1, "the second request goes to the next home")
	assert.Equal(t, p.Place(promptRequest(long, "c")).Reason, Overloaded)
}

// TestIdleTargetsAdmitRequestsWhateverThePrediction has every request take far longer than its
// objective. Refusing requests while no tokens are pending at the targets would give the router
// no samples, so that it would never learn that the targets recovered.
func TestIdleTargetsAdmitRequestsWhateverThePrediction(t *testing.T) {
	p, clock := newTestPlacer(t)
	for i := range 100 {
		d := p.Place(promptRequest(call(fmt.Sprint(i), 100*i, 10), "c"))
		assert.Assert(t, d.Run != nil, "request %d, predicted time %v", i, d.Predicted)
		clock.Advance(2*time.Second + time.Duration(2*i)*time.Millisecond)
		d.Run.FirstEvent(true)
		d.Run.End(Answered)
	}
}

func TestWorkOfOtherRoutersCounts(t *testing.T) {
	p, clock := newTestPlacer(t)
	c := call("part", 1000, 10)
	home := p.Place(promptRequest(c, "c")).Run
	home.End(Answered)
	p.ApplyReport("other", Report{Update: Update{Prefills: []Prefill{{Target: HashOf(home.Target.ID), Tokens: 60_000}}}})
	clock.Advance(70 * time.Millisecond)
	d := p.Place(promptRequest(c, "c"))
	assert.Equal(t, d.Rank, 1)
	assert.Equal(t, d.ReportAge, 70*time.Millisecond)
	d.Run.End(Answered)
	p.RemovePeer("other")
	assert.Equal(t, p.Place(promptRequest(c, "c")).Rank, 1, "the tokens that a failed router sent are still pending")
	clock.Advance(2 * time.Second)
	assert.Equal(t, p.Place(promptRequest(c, "c")).Run.Target.ID, home.Target.ID)
}

func TestPartsPrefilledForOtherRoutersAreCached(t *testing.T) {
	p, _ := newTestPlacer(t)
	c := call("part", 20_000, 10)
	d := p.Place(promptRequest(c, "c"))
	assert.Equal(t, d.PrefillTokens, 20_010)
	d.Run.End(Cancelled)
	other, _ := newTestPlacer(t)
	news := p.TakeUpdate()
	assert.Equal(t, len(news.Prefills), 1)
	again := p.TakeUpdate()
	assert.Assert(t, again.Empty(), "the update was returned twice")
	other.ApplyReport("p", Report{Update: news})
	assert.Equal(t, other.Place(promptRequest(c, "c")).PrefillTokens, 10)
}

// TestTargetsFoundAtStartHaveCachedParts starts a router in a running fleet: the targets that it
// finds have prompts cached that it never placed; targets that start later have nothing cached.
func TestTargetsFoundAtStartHaveCachedParts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := New(Options{Clock: clock, AssumeCached: true})
	p.SetTargets(nil, table(t))
	p.SetTargets(targets("model", 1), table(t))
	unread := func(shared string) int {
		d := p.Place(promptRequest(call(shared, 1000, 10), "c"))
		d.Run.End(Answered)
		return d.PrefillTokens
	}
	assert.Equal(t, unread("a"), 10)
	p.SetTargets([]*roster.Target{{ID: "new", Service: "model", Slots: 64}}, table(t))
	assert.Equal(t, unread("b"), 1010)
	p.SetTargets(targets("model", 1), table(t))
	assert.Equal(t, unread("b"), 1010, "the target was removed, so it may have restarted")
}

func TestAssumedCacheExpires(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := New(Options{Clock: clock, AssumeCached: true})
	p.SetTargets(targets("model", 1), table(t))
	clock.Advance(assumeCachedTTL)
	assert.Equal(t, p.Place(promptRequest(call("a", 1000, 10), "c")).PrefillTokens, 1010)
}

func TestPartsAreEvictedWhenMemoryIsRefilled(t *testing.T) {
	var k prefixCache
	k.touch([]Hash{1}, 10)
	assert.Assert(t, k.contains(1, 1000))
	k.touch([]Hash{2}, 700)
	assert.Assert(t, !k.contains(1, 1000))
	assert.Assert(t, k.contains(2, 1000))
}

func TestPlainServicesTakeTheLeastLoadedTarget(t *testing.T) {
	p, _ := newTestPlacer(t)
	counts := make(map[string]int)
	for range 9 {
		d := p.Place(Request{Service: "plain", Call: new(message.RequestInfo)})
		counts[d.Run.Target.ID]++
	}
	for id, n := range counts {
		assert.Equal(t, n, 3, id)
	}
}

func TestDrainingTriedAndFailingTargetsAreAvoided(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := New(Options{Clock: clock})
	list := targets("plain", 3)
	list[0].Draining = true
	p.SetTargets(list, table(t))
	r := Request{Service: "plain", Call: new(message.RequestInfo), Tried: []string{"plain-1"}}
	for range openAfter {
		d := p.Place(r)
		assert.Equal(t, d.Run.Target.ID, "plain-2")
		d.Run.End(Failed)
	}
	list[1].ID, r.Tried = "plain-1-again", nil
	p.SetTargets(list, table(t))
	assert.Equal(t, p.Place(r).Run.Target.ID, "plain-1-again")
	clock.Advance(firstPause)
	assert.Equal(t, p.Place(r).Run.Target.ID, "plain-2", "tried again after the pause")
}

func TestRunReportsUnavailableTarget(t *testing.T) {
	p, _ := newTestPlacer(t)
	c := call("part", 1000, 10)
	replaced, other := p.Place(promptRequest(c, "c")).Run, p.Place(promptRequest(c, "c")).Run
	assert.Equal(t, replaced.Target.ID, other.Target.ID)
	assert.Assert(t, !other.Unavailable())
	replaced.End(Replaced)
	assert.Assert(t, other.Unavailable())
	next := p.Place(promptRequest(c, "c")).Run
	assert.Assert(t, next.Target.ID != replaced.Target.ID)
	p.SetTargets(nil, table(t))
	assert.Assert(t, next.Unavailable())
}

func TestDegradedTargetsAreUsedIfThereAreNoOthers(t *testing.T) {
	p, _ := newTestPlacer(t)
	r := Request{Service: "plain", Call: new(message.RequestInfo)}
	for range 3 * openAfter {
		p.Place(r).Run.End(Failed)
	}
	assert.Assert(t, p.Place(r).Run != nil)
}

func TestGrayFailingTargetIsAvoidedForAWhile(t *testing.T) {
	p, clock := newTestPlacer(t)
	r := Request{Service: "plain", Call: new(message.RequestInfo)}
	place := func() (grey int) {
		for range 90 {
			d := p.Place(r)
			if d.Run.Target.ID == "plain-0" && grey%2 == 0 {
				d.Run.End(ErrorResponse)
			} else {
				d.Run.End(Answered)
			}
			if d.Run.Target.ID == "plain-0" {
				grey++
			}
		}
		return grey
	}
	place()
	assert.Equal(t, place(), 0)
	clock.Advance(2 * failureHalfLife)
	assert.Assert(t, place() > 0, "tried again")
}

func TestAllTargetsAreUsedIfAllFail(t *testing.T) {
	p, _ := newTestPlacer(t)
	used := make(map[string]bool)
	for range 90 {
		d := p.Place(Request{Service: "plain", Call: new(message.RequestInfo)})
		d.Run.End(ErrorResponse)
	}
	for range 30 {
		d := p.Place(Request{Service: "plain", Call: new(message.RequestInfo)})
		used[d.Run.Target.ID] = true
		d.Run.End(ErrorResponse)
	}
	assert.Equal(t, len(used), 3)
}

func TestSilentDataCentreIsAvoided(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := New(Options{Clock: clock})
	list := targets("plain", 2)
	list[0].DataCentre, list[1].DataCentre = "here", "there"
	p.SetTargets(list, table(t))
	beats := map[string]time.Time{"there": clock.Now()}
	r := Request{Service: "plain", Call: new(message.RequestInfo), Tried: []string{"plain-0"}}
	run := p.Place(r).Run
	clock.Advance(MinSilence / 2)
	run.RecordReceived()
	clock.Advance(MinSilence/2 + time.Millisecond)
	assert.Equal(t, len(p.SetHeartbeats(beats, MinSilence)), 0, "data was received from its target")
	clock.Advance(MinSilence)
	assert.DeepEqual(t, p.SetHeartbeats(beats, MinSilence), []string{"there"})
	assert.Assert(t, run.CutOff())
	r.Tried = nil
	for range 5 {
		assert.Equal(t, p.Place(r).Run.Target.ID, "plain-0")
	}
	beats["there"] = clock.Now()
	assert.Equal(t, len(p.SetHeartbeats(beats, MinSilence)), 0)
	assert.Equal(t, p.Place(r).Run.Target.ID, "plain-1")
}

func TestLatencyModelIsLearned(t *testing.T) {
	s := newLatencyEstimator()
	s.setStatedSpeed(30_000)
	for i := range 200 {
		tokens := i * 100
		s.learn(tokens, 40*time.Millisecond+time.Duration(tokens)*20*time.Microsecond)
	}
	got := s.predict(10_000)
	assert.Assert(t, got > 230*time.Millisecond && got < 250*time.Millisecond, got)
}

func TestRankingKeepsTheGreatest(t *testing.T) {
	var r ranking
	for _, w := range []uint64{3, 9, 1, 7, 9, 8} {
		r.add(&target{seed: w}, w)
	}
	assert.Equal(t, r.n, maxHomes)
	assert.Equal(t, r.list()[0].seed, uint64(9))
	assert.Equal(t, r.list()[1].seed, uint64(9))
}

func BenchmarkPlaceAmong140(b *testing.B) { benchmarkPlace(b, 140) }

func BenchmarkPlaceAmong320(b *testing.B) { benchmarkPlace(b, 320) }

func BenchmarkPlaceAmong10000(b *testing.B) { benchmarkPlace(b, 10_000) }

func BenchmarkPlaceAmong20000(b *testing.B) { benchmarkPlace(b, 20_000) }

func benchmarkPlace(b *testing.B, n int) {
	clock := clockwork.NewFakeClock()
	p := New(Options{Clock: clock})
	table, err := route.New(route.Spec{Version: 1, Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 64, CacheTokens: 500_000}}}})
	if err != nil {
		b.Fatal(err)
	}
	p.SetTargets(targets("model", n), table)
	c := call("part", 2000, 100)
	for b.Loop() {
		if d := p.Place(promptRequest(c, "c")); d.Run != nil {
			d.Run.End(Answered)
		}
	}
}

// TestEvacuatedDataCentreGetsNoRequests evacuates the data centre of most targets, including one
// that was chosen before.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	p, _ := newTestPlacer(t)
	list := targets("model", 9)
	for i, target := range list {
		target.DataCentre = "evacuated"
		if i == 4 {
			target.DataCentre = "other"
		}
	}
	p.SetTargets(list, table(t))
	p.SetEvacuated(map[string]bool{"other": true})
	before := p.Place(promptRequest(call("part", 500, 100), "c")).Run
	assert.Equal(t, before.Target.DataCentre, "evacuated")
	assert.Assert(t, !before.Unavailable())
	p.SetEvacuated(map[string]bool{"evacuated": true})
	assert.Assert(t, before.Unavailable())
	for i := range 20 {
		d := p.Place(promptRequest(call(fmt.Sprint("part", i), 500, 100), "c"))
		assert.Equal(t, d.Run.Target.DataCentre, "other")
	}
	p.SetEvacuated(map[string]bool{"evacuated": true, "other": true})
	assert.Equal(t, p.Place(promptRequest(call("part", 500, 100), "c")).Reason, NoTarget)
}

// TestTargetsWarmingUpAreAvoided has half of the targets warm up for a second.
func TestTargetsWarmingUpAreAvoided(t *testing.T) {
	p, clock := newTestPlacer(t)
	tab := table(t)
	tab.Services[0].WarmUpRate = 6
	list := targets("model", 8)
	cold := make(map[string]bool)
	for i, target := range list {
		target.Revision.Count = 1
		if i%2 == 0 {
			target.WarmUpRemaining = time.Second
			cold[target.ID] = true
		}
	}
	placedAtWarmingUp := func() int {
		n := 0
		for i := range 40 {
			if d := p.Place(promptRequest(call(fmt.Sprint("part", i), 500, 100), "c")); cold[d.Run.Target.ID] {
				n++
			}
		}
		return n
	}
	p.SetTargets(list, tab)
	assert.Equal(t, placedAtWarmingUp(), 0)
	clock.Advance(time.Second)
	p.SetTargets(list, tab)
	assert.Assert(t, placedAtWarmingUp() > 0, "an unchanged entry does not start another warm-up")
}
