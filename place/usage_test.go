package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/notice"
)

func TestShareLevelIsMaxMin(t *testing.T) {
	uses := map[Hash]Usage{1: {Requested: 100, Served: 100}, 2: {Requested: 1000, Served: 300}, 3: {Requested: 5000, Served: 1500}}
	s := computeShares(uses, 0)
	assert.Assert(t, s.oversubscribed)
	assert.Equal(t, s.evenLevel, 900)
	assert.Equal(t, s.owedLevel, 900)
	s = computeShares(uses, 1100)
	assert.Equal(t, s.evenLevel, 900)
	assert.Equal(t, s.owedLevel, 500)
	assert.Equal(t, computeShares(uses, 5000).owedLevel, 900, "the owed level does not exceed what is served")
	calm := computeShares(map[Hash]Usage{1: {Requested: 100, Served: 100}, 2: {Requested: 5000, Served: 5000}}, 1000)
	assert.Assert(t, !calm.oversubscribed)
}

// TestLimitShrinksFromTheOwedLevelOn has three customers that send floods of requests: one within
// what it is owed, one above it, and one that is also far ahead of the others.
func TestLimitShrinksFromTheOwedLevelOn(t *testing.T) {
	s := computeShares(map[Hash]Usage{
		HashOf("within"): {Requested: 5000, Served: 450}, HashOf("above"): {Requested: 5000, Served: 800}, HashOf("ahead"): {Requested: 5000, Served: 1450},
	}, 1500)
	assert.Equal(t, s.owedLevel, 500)
	assert.Equal(t, s.evenLevel, 900)
	assert.Equal(t, s.standing("within"), standing{limitFactor: 1})
	above, ahead := s.standing("above"), s.standing("ahead")
	assert.Assert(t, above.above && !above.ahead && ahead.above && ahead.ahead)
	assert.Assert(t, above.limitFactor < 0.5 && above.limitFactor >= minFactor, "%v", above)
	assert.Assert(t, ahead.limitFactor < minFactor && ahead.limitFactor > minFactor/4, "%v", ahead)
	assert.Equal(t, s.standing("new").limitFactor, lightFactor)
}

// TestFloodThatIsAheadLeavesIdleTargetsToOthers has two customers that send floods of requests,
// one of which was served three times as much.
func TestFloodThatIsAheadLeavesIdleTargetsToOthers(t *testing.T) {
	p, _ := newTestPlacer(t)
	p.ApplyReport("other", Report{Usage: map[Hash]Usage{
		HashOf("ahead"): {Requested: 9_000_000, Served: 3_000_000}, HashOf("behind"): {Requested: 9_000_000, Served: 1_000_000},
	}})
	c := call("part", 500, 9000)
	assert.Equal(t, p.Place(promptRequest(c, "ahead")).Reason, Overloaded)
	assert.Assert(t, p.Place(promptRequest(c, "behind")).Run != nil)
}

func TestCustomerAboveItsShareIsRefusedFirst(t *testing.T) {
	p, _ := newTestPlacer(t)
	p.ApplyReport("other", Report{Usage: map[Hash]Usage{
		HashOf("flood"): {Requested: 10_000_000, Served: 1_000_000}, HashOf("small"): {Requested: 500_000, Served: 10_000},
	}})
	c := call("part", 500, 3000)
	home := p.Place(promptRequest(c, "small")).Run
	for _, target := range p.targets {
		target.queue.add(10_000)
	}
	assert.Equal(t, p.Place(promptRequest(c, "flood")).Reason, Overloaded)
	d := p.Place(promptRequest(c, "small"))
	assert.Equal(t, d.Share, lightFactor)
	assert.Assert(t, d.Run != nil, "capacity is left for customers below their share")
	home.End(Answered)
}

func TestUsageLeavesTheWindow(t *testing.T) {
	p, clock := newTestPlacer(t)
	p.recordUsage("c", Usage{Requested: 10, Served: 5}, clock.Now())
	clock.Advance((usageSlots - 1) * usageSlot)
	assert.Equal(t, p.Usage()[HashOf("c")], Usage{Requested: 10, Served: 5})
	clock.Advance(2 * usageSlot)
	assert.Equal(t, len(p.Usage()), 0)
}

// TestUsageIsRefundedForWhatDidNotRun ends runs with every result.
func TestUsageIsRefundedForWhatDidNotRun(t *testing.T) {
	tests := []struct {
		result Result
		counts bool
	}{
		{Answered, true}, {ErrorResponse, true}, {Failed, true}, {Cancelled, true},
		{Refused, false}, {Unreachable, false}, {Replaced, false}, {NotSent, false},
	}
	for _, tc := range tests {
		p, clock := newTestPlacer(t)
		c := call("part", 900, 100)
		cost := costOf(c)
		run := p.Place(promptRequest(c, "c")).Run
		clock.Advance(usageSlot)
		run.End(tc.result)
		run.End(tc.result)
		want := Usage{Requested: cost}
		if tc.counts {
			want.Served = cost
		}
		assert.Equal(t, p.Usage()[HashOf("c")], want, "result %d", tc.result)
	}
}

func TestExpiredUsageIsNotRefunded(t *testing.T) {
	p, clock := newTestPlacer(t)
	c := call("part", 900, 100)
	run := p.Place(promptRequest(c, "c")).Run
	clock.Advance(usageWindow)
	assert.Equal(t, len(p.Usage()), 0)
	p.Place(promptRequest(c, "c"))
	run.End(Refused)
	assert.Equal(t, p.Usage()[HashOf("c")].Served, costOf(c))
}

func TestSecondAttemptAddsNoRequestedUsage(t *testing.T) {
	p, _ := newTestPlacer(t)
	c := call("part", 900, 100)
	r := promptRequest(c, "c")
	run := p.Place(r).Run
	run.End(Refused)
	r.Tried = []string{run.Target.ID}
	assert.Assert(t, p.Place(r).Run != nil)
	assert.Equal(t, p.Usage()[HashOf("c")], Usage{Requested: costOf(c), Served: costOf(c)})
}

func TestHeavyCustomerLeavesCapacityForOthers(t *testing.T) {
	uses := map[Hash]Usage{HashOf("heavy"): {Requested: 800, Served: 800}}
	for i := range 9 {
		uses[HashOf(fmt.Sprint(i))] = Usage{Requested: 20, Served: 20}
	}
	s := computeShares(uses, 0)
	assert.Assert(t, !s.oversubscribed)
	assert.Equal(t, s.standing("heavy"), standing{limitFactor: heavyFactor})
	assert.Equal(t, s.standing("3"), standing{limitFactor: lightFactor})
	assert.Equal(t, s.standing("new"), standing{limitFactor: lightFactor})
	even := computeShares(map[Hash]Usage{HashOf("a"): {Requested: 90, Served: 90}, HashOf("b"): {Requested: 100, Served: 100}}, 0)
	assert.Equal(t, even.standing("a").limitFactor, 1.0)
}

// TestSumsOfOthersUsageFollowReports checks that the sums kept up to date equal those of the
// reports.
func TestSumsOfOthersUsageFollowReports(t *testing.T) {
	p, _ := newTestPlacer(t)
	c := HashOf("c")
	p.ApplyReport("a", Report{Usage: map[Hash]Usage{c: {Requested: 5, Served: 3}}})
	p.ApplyReport("b", Report{Usage: map[Hash]Usage{c: {Requested: 7, Served: 7}}})
	assert.Equal(t, p.othersUsage[c], Usage{Requested: 12, Served: 10})
	p.ApplyReport("a", Report{})
	assert.Equal(t, p.othersUsage[c], Usage{Requested: 12, Served: 10}, "a report without uses leaves them")
	p.ApplyReport("a", Report{Usage: map[Hash]Usage{c: {Requested: 1, Served: 1}}})
	assert.Equal(t, p.othersUsage[c], Usage{Requested: 8, Served: 8})
	p.RemovePeer("b")
	assert.Equal(t, p.othersUsage[c], Usage{Requested: 1, Served: 1})
	p.RemovePeer("a")
	assert.Equal(t, len(p.othersUsage), 0)
}

// TestRefusalsWithoutTargetCountAsRequested guards against demand that a backoff of all targets hides.
func TestRefusalsWithoutTargetCountAsRequested(t *testing.T) {
	want := map[string]Usage{"model": {Requested: costOf(call("a", 100, 10))}, "plain": {CallsRequested: 1}}
	for service, size := range want {
		p, _ := newTestPlacer(t)
		for _, target := range p.services[service].targets {
			p.applyNotice(target.hash, notice.Notice{Backoff: time.Minute})
		}
		r := promptRequest(call("a", 100, 10), "c")
		r.Service = service
		assert.Equal(t, p.Place(r).Reason, BackingOff)
		assert.Equal(t, p.Usage()[HashOf("c")], size)
	}
}
