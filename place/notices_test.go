package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/notice"
	"zinccove.example/zinccove/roster"
)

// placedAt counts where requests of many prompts are placed.
func placedAt(p *Placer, service string) map[string]int {
	used := make(map[string]int)
	for i := range 60 {
		r := ask(call(fmt.Sprint(i), 1000, 10), "c")
		r.Service = service
		d := p.Place(r)
		if d.Run == nil {
			used[string(d.Reason)]++
			continue
		}
		used[d.Run.Target.ID]++
		d.Run.End(Answered)
	}
	return used
}

// runAt returns a run at some target of a service.
func runAt(t *testing.T, p *Placer, service string) *Run {
	t.Helper()
	r := ask(call("some", 1000, 10), "c")
	r.Service = service
	d := p.Place(r)
	assert.Assert(t, d.Run != nil, d.Reason)
	return d.Run
}

// TestOwnWordOfLeavingIsNotTakenBack has the store go on saying that a target is ready after
// it said that it leaves, in all ways in which it can. Another run of it is used.
func TestOwnWordOfLeavingIsNotTakenBack(t *testing.T) {
	for _, service := range []string{"model", "plain"} {
		t.Run(service, func(t *testing.T) {
			p, clock := newTestPlacer(t)
			run := runAt(t, p, service)
			id := run.Target.ID
			assert.Assert(t, run.Notice(notice.Notice{Leaving: true}))
			assert.Assert(t, !run.Notice(notice.Notice{Leaving: true}), "told twice")
			assert.Assert(t, run.Leaving(), "it may have been placed before, and not sent yet")
			run.End(Answered)
			all := append(targets("model", 9), targets("plain", 3)...)
			without := make([]*roster.Target, 0, len(all))
			for _, target := range all {
				target.Revision.Count = 99
				if target.ID != id {
					without = append(without, target)
				}
			}
			lists := []struct {
				name string
				list []*roster.Target
			}{{"a newer entry", all}, {"no entry", without}, {"an entry again", all}}
			for _, l := range lists {
				clock.Advance(time.Minute)
				p.SetTargets(l.list, table(t))
				assert.Equal(t, placedAt(p, service)[id], 0, l.name)
			}
			assert.Equal(t, len(p.SaidLeaving()), 1)
			for _, target := range all {
				if target.ID == id {
					target.Started = clock.Now()
				}
			}
			p.SetTargets(all, table(t))
			assert.Assert(t, placedAt(p, service)[id] > 0, "another run is not used")
			assert.Equal(t, len(p.SaidLeaving()), 0)
		})
	}
}

// TestWordsOfLeavingMayComeBeforeTheTable has another router tell of a target that is not
// known yet, as it does to a router that starts.
func TestWordsOfLeavingMayComeBeforeTheTable(t *testing.T) {
	p, _ := newTestPlacer(t)
	p.SetTargets(nil, table(t))
	assert.Assert(t, p.HearLeaving(HashOf("plain-1")))
	assert.Assert(t, !p.HearLeaving(HashOf("plain-1")))
	p.SetTargets(targets("plain", 3), table(t))
	used := placedAt(p, "plain")
	assert.Equal(t, used["plain-1"], 0)
	assert.Assert(t, used["plain-0"] > 0 && used["plain-2"] > 0, used)
}

func TestNoticesOfRunsThatAreGoneAreForgotten(t *testing.T) {
	p, clock := newTestPlacer(t)
	for i := range mostNotices + 10 {
		p.HearLeaving(HashOf(fmt.Sprint(i)))
	}
	assert.Equal(t, len(p.notices), mostNotices)
	clock.Advance(noticesFor)
	p.SetTargets(targets("plain", 3), table(t))
	assert.Equal(t, len(p.notices), 0)
}

// TestLastTargetThatLeavesIsNotUsed holds that callers are told at once.
func TestLastTargetThatLeavesIsNotUsed(t *testing.T) {
	p, _ := newTestPlacer(t)
	for _, target := range targets("plain", 3) {
		p.HearLeaving(HashOf(target.Incarnation()))
	}
	assert.Equal(t, placedAt(p, "plain")[string(NoTarget)], 60)
}
