package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// firstHomeReply returns the reply of a router about the first home of a request.
func firstHomeReply(p *Placer, r Request) Reply {
	a, _ := p.Reply(p.Queries(r)[0])
	return a
}

// TestRepliesOverrideOwnEstimates has another router place most of the pending tokens.
func TestRepliesOverrideOwnEstimates(t *testing.T) {
	p, _ := newTestPlacer(t)
	r := promptRequest(call("part", 1000, 10), "c")
	q := p.Queries(r)
	assert.Equal(t, len(q), maxHomes)
	assert.Assert(t, q[0].FirstHome && !q[1].FirstHome)
	d := p.Place(r, Reply{Target: q[0].Target, PendingTokens: 300, Requests: 3, PrefillTokens: 10, Slowness: 1}, Reply{Target: q[1].Target, PrefillTokens: 1010, Slowness: 1})
	assert.Equal(t, d.Replies, 2)
	assert.Equal(t, d.Backlog, 300)
	assert.Equal(t, d.Outstanding, 3)
	assert.Equal(t, d.PrefillTokens, 10, "the shared part was prefilled for another router's prompt")
	slow := p.Place(r, Reply{Target: q[0].Target, Slowness: 6, PrefillTokens: 10}, Reply{Target: q[1].Target, PrefillTokens: 1010, Slowness: 1})
	assert.Equal(t, slow.Rank, 1, "the home is slow according to its owner")
}

// TestOwnerLearnsFromOthersFirstEvents checks that the owner knows the pending tokens without a
// request of its own while engines prefill slower than it assumes.
func TestOwnerLearnsFromOthersFirstEvents(t *testing.T) {
	owner, clock := newTestPlacer(t)
	other, _ := newTestPlacer(t)
	other.clock = clock
	r := promptRequest(call("part", 0, 5_000), "c")
	r.Objective = time.Minute
	var runs []*Run
	for range 2 {
		runs = append(runs, other.Place(r).Run)
	}
	owner.ApplyReport("other", Report{Update: other.TakeUpdate()})
	before := firstHomeReply(owner, r)
	assert.Equal(t, before.Requests, 2)
	clock.Advance(250 * time.Millisecond)
	assert.Equal(t, firstHomeReply(owner, r).PendingTokens, 0, "the owner assumes that all tokens were prefilled")
	runs[0].FirstEvent(true)
	owner.ApplyReport("other", Report{Update: other.TakeUpdate()})
	after := firstHomeReply(owner, r)
	assert.Assert(t, after.PendingTokens > 1_000, "the second prompt is still waiting: %d", after.PendingTokens)
	assert.Assert(t, after.Slowness != before.Slowness)
	for _, run := range runs {
		run.End(Answered)
	}
	owner.ApplyReport("other", Report{Update: other.TakeUpdate()})
	assert.Equal(t, firstHomeReply(owner, r).Requests, 0)
}

// TestTimesOfALateRouterAreIgnored has a router that is running late receive every first event
// late.
func TestTimesOfALateRouterAreIgnored(t *testing.T) {
	p, clock := newTestPlacer(t)
	r := promptRequest(call("part", 0, 100), "c")
	for range 20 {
		run := p.Place(r).Run
		clock.Advance(700 * time.Millisecond)
		run.FirstEvent(false)
		run.End(Answered)
	}
	news := p.TakeUpdate()
	assert.Equal(t, len(news.FirstEvents), 0)
	assert.Equal(t, p.Place(r).Slowness, 1.0)
}

// TestLoadsAreRepeatedAndExpire loses the update about the end of a request.
func TestLoadsAreRepeatedAndExpire(t *testing.T) {
	owner, clock := newTestPlacer(t)
	other, _ := newTestPlacer(t)
	other.clock = clock
	r := promptRequest(call("part", 0, 100), "c")
	run := other.Place(r).Run
	owner.ApplyReport("other", Report{Update: other.TakeUpdate()})
	first := other.TakeUpdate()
	assert.Equal(t, len(first.Loads), 0)
	clock.Advance(loadRepeatInterval)
	again := other.TakeUpdate()
	assert.Equal(t, len(again.Loads), 1)
	owner.ApplyReport("other", Report{Update: again})
	owner.ExpireLoads()
	assert.Equal(t, firstHomeReply(owner, r).Requests, 1)
	run.End(Answered)
	other.TakeUpdate() // lost in transit
	clock.Advance(loadTTL)
	owner.ExpireLoads()
	assert.Equal(t, firstHomeReply(owner, r).Requests, 0)
}

// TestNewlyOwnedTargetsCountAsCached has a router become the owner of a target in a running
// fleet.
func TestNewlyOwnedTargetsCountAsCached(t *testing.T) {
	for _, warm := range []bool{true, false} {
		p, clock := newTestPlacer(t)
		p.firstStart = !warm
		r := promptRequest(call("part", 5000, 10), "c")
		q := p.Queries(r)[0]
		p.SetOwned(map[Hash]bool{q.Target: true})
		want := 5010
		if warm {
			want = 10
		}
		a, _ := p.Reply(q)
		assert.Equal(t, a.PrefillTokens, want)
		clock.Advance(assumeCachedTTL)
		a, _ = p.Reply(q)
		assert.Equal(t, a.PrefillTokens, 5010)
	}
}

// TestPlainTargetsAreChosenByReplies fills one of the two queried targets with requests of other
// routers.
func TestPlainTargetsAreChosenByReplies(t *testing.T) {
	p, _ := newTestPlacer(t)
	for range 50 {
		r := Request{Service: "plain"}
		q := p.Queries(r)
		assert.Equal(t, len(q), plainChoices)
		d := p.Place(r, Reply{Target: q[0].Target, Requests: 64}, Reply{Target: q[1].Target, Requests: 2})
		assert.Equal(t, HashOf(d.Run.Target.ID), q[1].Target)
		d.Run.End(Answered)
	}
}

// newTwelveSlotPlacer returns a placer for engines with 12 slots.
func newTwelveSlotPlacer(t *testing.T) *Placer {
	t.Helper()
	p, _ := newTestPlacer(t)
	list := targets("model", 9)
	for _, x := range list {
		x.Slots = 12
	}
	p.SetTargets(append(list, targets("plain", 3)...), table(t))
	return p
}

// TestFullEngineAdmitsWhatMeetsTheObjective replays frequent prompts on engines with 12 slots:
// all slots of a home are taken while it has no pending tokens. When such homes refused every
// request, they caused half of all refusals.
func TestFullEngineAdmitsWhatMeetsTheObjective(t *testing.T) {
	p := newTwelveSlotPlacer(t)
	r := promptRequest(call("hot", 1000, 10), "c")
	q := p.Queries(r)
	at := func(requests int) Decision {
		d := p.Place(r, Reply{Target: q[0].Target, Requests: requests, PrefillTokens: 10, Slowness: 1}, Reply{Target: q[1].Target, Requests: 60, PrefillTokens: 1010, Slowness: 1})
		if d.Run != nil {
			d.Run.End(Cancelled)
		}
		return d
	}
	free := at(11)
	assert.Assert(t, free.Run != nil && free.Wait == 0)
	full := at(12)
	assert.Assert(t, full.Run != nil, "one of twelve requests of a second each ends soon")
	assert.Assert(t, full.Wait >= 50*time.Millisecond && full.Wait < 150*time.Millisecond, full.Wait)
	far := at(24)
	assert.Equal(t, far.Reason, Overloaded, "thirteen requests have to end first")
	assert.Assert(t, far.RetryAfter > minRetryAfter, "the caller may retry when a slot is free: %v", far.RetryAfter)
}

// TestManySlotsDoNotLimit checks that slots do not limit engines that have many of them; pending
// tokens do.
func TestManySlotsDoNotLimit(t *testing.T) {
	for _, slots := range []int{32, 64, 128} {
		h := newSlotTime()
		assert.Equal(t, h.untilFree(slots-1, slots), time.Duration(0))
		assert.Assert(t, h.untilFree(slots, slots) <= time.Second/32, fmt.Sprint(slots))
	}
}

func TestSlotTimeIsLearned(t *testing.T) {
	h := newSlotTime()
	for range 100 {
		h.learn(300 * time.Millisecond)
	}
	assert.Assert(t, h.mean < 320*time.Millisecond, h.mean)
}

// TestOldRepliesExpire has the owner of full homes stop replying.
func TestOldRepliesExpire(t *testing.T) {
	p, clock := newTestPlacer(t)
	r := promptRequest(call("hot", 1000, 10), "c")
	q := p.Queries(r)
	full := func(x Query) Reply { return Reply{Target: x.Target, Requests: 200, PrefillTokens: 10, Slowness: 1} }
	assert.Equal(t, p.Place(r, full(q[0]), full(q[1])).Reason, Overloaded)
	assert.Equal(t, p.Place(r).Reason, Overloaded, "no router replies")
	clock.Advance(replyTTL)
	assert.Assert(t, p.Place(r).Run != nil)
}
