package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/roster"
)

// restarted returns the list of targets in which all targets of a service have restarted under
// their ids.
func restarted(list []*roster.Target) []*roster.Target {
	var again []*roster.Target
	for _, t := range list {
		next := *t
		next.Started = t.Started.Add(time.Hour)
		next.Revision.Count++
		again = append(again, &next)
	}
	return again
}

// TestRestartedTargetHasNoEarlierState puts one incarnation of a target into every possible state
// and restarts the target under its id. None of the state may apply to the new incarnation.
func TestRestartedTargetHasNoEarlierState(t *testing.T) {
	p, clock := newTestPlacer(t)
	list := targets("model", 1)
	list[0].Started = time.Unix(1, 0)
	p.SetTargets(list, table(t))
	r := promptRequest(call("part", 5_000, 10), "c")
	before := p.Place(r)
	sent := p.Place(r)
	clock.Advance(10 * time.Second)
	for range openAfter {
		p.Place(r).Run.End(Failed)
	}
	p.Place(r).Run.End(Replaced)
	assert.Equal(t, p.Place(r).Reason, NoTarget)
	p.SetTargets(restarted(list), table(t))
	assert.Assert(t, before.Run.Unavailable(), "a request that is not sent yet must not go to another incarnation")
	r.Tried = []string{before.Run.Target.Incarnation()}
	after := p.Place(r)
	assert.Assert(t, after.Run != nil)
	assert.Equal(t, after.Outstanding, 0)
	assert.Equal(t, after.Backlog, 0)
	assert.Equal(t, after.PrefillTokens, 5_010, "the new incarnation has nothing cached")
	assert.Equal(t, after.Slowness, 1.0)
	// The runs at the earlier incarnation end late.
	before.Run.FirstEvent(true)
	before.Run.End(Failed)
	sent.Run.End(Replaced)
	next := p.Place(r)
	assert.Assert(t, next.Run != nil)
	assert.Equal(t, next.Outstanding, 1)
	assert.Equal(t, next.Backlog, 5_010)
}

// TestOwnerTreatsNewIncarnationAsEmpty restarts a target in a running fleet. Its owner must not
// assume that the new incarnation has all prompts cached.
func TestOwnerTreatsNewIncarnationAsEmpty(t *testing.T) {
	p, clock := newTestPlacer(t)
	p.firstStart = false
	list := targets("model", 1)
	list[0].Started = time.Unix(1, 0)
	p.SetTargets(list, table(t))
	clock.Advance(time.Minute)
	again := restarted(list)
	p.SetTargets(again, table(t))
	p.SetOwned(map[Hash]bool{HashOf(again[0].Incarnation()): true})
	q := p.Queries(promptRequest(call("part", 5_000, 10), "c"))[0]
	a, ok := p.Reply(q)
	assert.Assert(t, ok)
	assert.Equal(t, a.PrefillTokens, 5_010)
}
