package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/notice"
	"zinccove.example/zinccove/roster"
)

// placements counts where requests of many prompts are placed.
func placements(p *Placer, service string) map[string]int {
	used := make(map[string]int)
	for i := range 60 {
		r := promptRequest(call(fmt.Sprint(i), 1000, 10), "c")
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
	r := promptRequest(call("some", 1000, 10), "c")
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
			assert.Equal(t, run.ApplyNotice(notice.Notice{Leaving: true}), notice.Notice{Leaving: true})
			assert.Equal(t, run.ApplyNotice(notice.Notice{Leaving: true}), notice.Notice{}, "told twice")
			assert.Assert(t, run.Unavailable(), "it may have been placed before, and not sent yet")
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
				assert.Equal(t, placements(p, service)[id], 0, l.name)
			}
			assert.Equal(t, len(p.AnnouncedDraining()), 1)
			for _, target := range all {
				if target.ID == id {
					target.Started = clock.Now()
				}
			}
			p.SetTargets(all, table(t))
			assert.Assert(t, placements(p, service)[id] > 0, "another run is not used")
			assert.Equal(t, len(p.AnnouncedDraining()), 0)
		})
	}
}

// TestWordsOfLeavingMayComeBeforeTheTable has another router tell of a target that is not
// known yet, as it does to a router that starts.
func TestWordsOfLeavingMayComeBeforeTheTable(t *testing.T) {
	p, _ := newTestPlacer(t)
	p.SetTargets(nil, table(t))
	assert.Assert(t, p.MarkDraining(HashOf("plain-1")))
	assert.Assert(t, !p.MarkDraining(HashOf("plain-1")))
	p.SetTargets(targets("plain", 3), table(t))
	used := placements(p, "plain")
	assert.Equal(t, used["plain-1"], 0)
	assert.Assert(t, used["plain-0"] > 0 && used["plain-2"] > 0, used)
}

func TestNoticesOfRunsThatAreGoneAreForgotten(t *testing.T) {
	p, clock := newTestPlacer(t)
	for i := range maxAnnouncements + 10 {
		p.MarkDraining(HashOf(fmt.Sprint(i)))
	}
	assert.Equal(t, len(p.announcements), maxAnnouncements)
	clock.Advance(announcementTTL)
	p.SetTargets(targets("plain", 3), table(t))
	assert.Equal(t, len(p.announcements), 0)
}

// TestLastTargetThatLeavesIsNotUsed holds that callers are told at once.
func TestLastTargetThatLeavesIsNotUsed(t *testing.T) {
	p, _ := newTestPlacer(t)
	for _, target := range targets("plain", 3) {
		p.MarkDraining(HashOf(target.Incarnation()))
	}
	assert.Equal(t, placements(p, "plain")[string(NoTarget)], 60)
}

// TestTargetThatWantsABackoffGetsNothingUntilItsEnd holds it at the moments around the end,
// with other targets and without.
func TestTargetThatWantsABackoffGetsNothingUntilItsEnd(t *testing.T) {
	const backoff = 3 * time.Second
	for _, service := range []string{"model", "plain"} {
		t.Run(service, func(t *testing.T) {
			p, clock := newTestPlacer(t)
			run := runAt(t, p, service)
			id := run.Target.ID
			assert.Equal(t, run.ApplyNotice(notice.Notice{Backoff: backoff}), notice.Notice{Backoff: backoff})
			assert.Assert(t, run.Unavailable(), "it may have been placed before, and not sent yet")
			run.End(Refused)
			clock.Advance(backoff - time.Millisecond)
			p.SetTargets(append(targets("model", 9), targets("plain", 3)...), table(t))
			used := placements(p, service)
			assert.Equal(t, used[id], 0)
			assert.Equal(t, used[string(BackingOff)], 0)
			clock.Advance(time.Millisecond)
			assert.Assert(t, placements(p, service)[id] > 0, "not used after the backoff")
		})
	}
}

// TestCallersAreAskedBackWhenTheFirstTargetTakesRequests has all targets of a service ask for
// backoffs of different length, one of them leave.
func TestCallersAreAskedBackWhenTheFirstTargetTakesRequests(t *testing.T) {
	p, clock := newTestPlacer(t)
	for i, backoff := range []time.Duration{4 * time.Second, 2 * time.Second, time.Second} {
		p.applyNotice(HashOf(fmt.Sprint("plain-", i)), notice.Notice{Backoff: backoff, Leaving: i == 2})
	}
	r := promptRequest(call("some", 1000, 10), "c")
	r.Service = "plain"
	clock.Advance(500 * time.Millisecond)
	told := make(map[time.Duration]bool)
	for range 50 {
		d := p.Place(r)
		assert.Equal(t, d.Reason, BackingOff)
		assert.Equal(t, d.FirstAvailable, "plain-1")
		assert.Assert(t, d.RetryAfter >= 1500*time.Millisecond && d.RetryAfter <= 2*time.Second, d.RetryAfter)
		told[d.RetryAfter] = true
	}
	assert.Assert(t, len(told) > 10, "all are asked back at the same time")
	assert.Equal(t, p.Backoff("plain"), 1500*time.Millisecond)
	assert.Equal(t, p.Backoff("model"), time.Duration(0))
	clock.Advance(1500 * time.Millisecond)
	assert.Equal(t, p.Place(r).Run.Target.ID, "plain-1")
	assert.Equal(t, p.Backoff("plain"), time.Duration(0))
	for _, target := range targets("plain", 3) {
		p.MarkDraining(HashOf(target.ID))
	}
	assert.Equal(t, p.Place(r).Reason, NoTarget, "none of them takes requests again")
	assert.Equal(t, p.Backoff("plain"), time.Duration(0))
}

// TestEngineIsGivenWorkByAndByAfterABackoff has an engine take streams that last.
func TestEngineIsGivenWorkByAndByAfterABackoff(t *testing.T) {
	p, clock := newTestPlacer(t)
	p.SetTargets(targets("model", 1), table(t))
	run := runAt(t, p, "model")
	run.ApplyNotice(notice.Notice{Backoff: time.Second})
	run.End(Refused)
	clock.Advance(time.Second)
	r := promptRequest(call("some", 1000, 10), "c")
	var running []*Run
	for _, most := range []int{1, 3, 7, 15} {
		for range 20 {
			if d := p.Place(r); d.Run != nil {
				running = append(running, d.Run)
			} else {
				assert.Equal(t, d.Reason, BackingOff)
				assert.Assert(t, d.RetryAfter >= minRetryAfter && d.RetryAfter < 2*minRetryAfter, d.RetryAfter)
			}
		}
		assert.Equal(t, len(running), most)
		clock.Advance(50 * time.Millisecond)
		for _, run := range running {
			run.FirstEvent(true)
		}
	}
	clock.Advance(recoveryPeriod)
	assert.Assert(t, p.Place(r).Run != nil)
}

// TestTargetWithoutStatedSlotsIsUsedAfterABackoff has an entry that states no slots.
func TestTargetWithoutStatedSlotsIsUsedAfterABackoff(t *testing.T) {
	p, clock := newTestPlacer(t)
	list := targets("plain", 1)
	list[0].Slots = 0
	p.SetTargets(list, table(t))
	run := runAt(t, p, "plain")
	run.ApplyNotice(notice.Notice{Backoff: time.Second})
	run.End(Refused)
	clock.Advance(time.Second)
	runAt(t, p, "plain").End(Answered)
}
