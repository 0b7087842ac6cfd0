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

// TestDrainingAnnouncementOverridesEntries has the store list a target as ready, in every
// possible way, after the target announced that it is draining. A new incarnation of the target
// is used.
func TestDrainingAnnouncementOverridesEntries(t *testing.T) {
	for _, service := range []string{"model", "plain"} {
		t.Run(service, func(t *testing.T) {
			p, clock := newTestPlacer(t)
			run := runAt(t, p, service)
			id := run.Target.ID
			assert.Equal(t, run.ApplyNotice(notice.Notice{Draining: true}), notice.Notice{Draining: true})
			assert.Equal(t, run.ApplyNotice(notice.Notice{Draining: true}), notice.Notice{}, "the announcement was reported as new twice")
			assert.Assert(t, run.Unavailable(), "a request may have been placed before and not be sent yet")
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
			assert.Assert(t, placements(p, service)[id] > 0, "the new incarnation is not used")
			assert.Equal(t, len(p.AnnouncedDraining()), 0)
		})
	}
}

// TestDrainingMayBeReportedBeforeTheTargetIsListed has another router report that a target is
// draining before the target is listed, as happens to a router that starts.
func TestDrainingMayBeReportedBeforeTheTargetIsListed(t *testing.T) {
	p, _ := newTestPlacer(t)
	p.SetTargets(nil, table(t))
	assert.Assert(t, p.MarkDraining(HashOf("plain-1")))
	assert.Assert(t, !p.MarkDraining(HashOf("plain-1")))
	p.SetTargets(targets("plain", 3), table(t))
	used := placements(p, "plain")
	assert.Equal(t, used["plain-1"], 0)
	assert.Assert(t, used["plain-0"] > 0 && used["plain-2"] > 0, used)
}

func TestAnnouncementsExpire(t *testing.T) {
	p, clock := newTestPlacer(t)
	for i := range maxAnnouncements + 10 {
		p.MarkDraining(HashOf(fmt.Sprint(i)))
	}
	assert.Equal(t, len(p.announcements), maxAnnouncements)
	clock.Advance(announcementTTL)
	p.SetTargets(targets("plain", 3), table(t))
	assert.Equal(t, len(p.announcements), 0)
}

// TestLastDrainingTargetIsNotUsed checks that callers are refused immediately if all targets are
// draining.
func TestLastDrainingTargetIsNotUsed(t *testing.T) {
	p, _ := newTestPlacer(t)
	for _, target := range targets("plain", 3) {
		p.MarkDraining(HashOf(target.Incarnation()))
	}
	assert.Equal(t, placements(p, "plain")[string(NoTarget)], 60)
}

// TestTargetInBackoffGetsNoRequests checks the times just before and at the end of a backoff,
// with other targets available.
func TestTargetInBackoffGetsNoRequests(t *testing.T) {
	const backoff = 3 * time.Second
	for _, service := range []string{"model", "plain"} {
		t.Run(service, func(t *testing.T) {
			p, clock := newTestPlacer(t)
			run := runAt(t, p, service)
			id := run.Target.ID
			assert.Equal(t, run.ApplyNotice(notice.Notice{Backoff: backoff}), notice.Notice{Backoff: backoff})
			assert.Assert(t, run.Unavailable(), "a request may have been placed before and not be sent yet")
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

// TestRetryAfterIsTheEndOfTheFirstBackoff has all targets of a service ask for backoffs of
// different lengths; one of them is draining.
func TestRetryAfterIsTheEndOfTheFirstBackoff(t *testing.T) {
	p, clock := newTestPlacer(t)
	for i, backoff := range []time.Duration{4 * time.Second, 2 * time.Second, time.Second} {
		p.applyNotice(HashOf(fmt.Sprint("plain-", i)), notice.Notice{Backoff: backoff, Draining: i == 2})
	}
	r := promptRequest(call("some", 1000, 10), "c")
	r.Service = "plain"
	clock.Advance(500 * time.Millisecond)
	delays := make(map[time.Duration]bool)
	for range 50 {
		d := p.Place(r)
		assert.Equal(t, d.Reason, BackingOff)
		assert.Equal(t, d.FirstAvailable, "plain-1")
		assert.Assert(t, d.RetryAfter >= 1500*time.Millisecond && d.RetryAfter <= 2*time.Second, d.RetryAfter)
		delays[d.RetryAfter] = true
	}
	assert.Assert(t, len(delays) > 10, "all callers get the same retry delay")
	assert.Equal(t, p.Backoff("plain"), 1500*time.Millisecond)
	assert.Equal(t, p.Backoff("model"), time.Duration(0))
	clock.Advance(1500 * time.Millisecond)
	assert.Equal(t, p.Place(r).Run.Target.ID, "plain-1")
	assert.Equal(t, p.Backoff("plain"), time.Duration(0))
	for _, target := range targets("plain", 3) {
		p.MarkDraining(HashOf(target.ID))
	}
	assert.Equal(t, p.Place(r).Reason, NoTarget, "no target will accept requests again")
	assert.Equal(t, p.Backoff("plain"), time.Duration(0))
}

// TestLoadGrowsGraduallyAfterABackoff has an engine serve long streams after a backoff.
func TestLoadGrowsGraduallyAfterABackoff(t *testing.T) {
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

// TestTargetWithoutStatedSlotsIsUsedAfterABackoff uses an entry that states no slots.
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
