package roster

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/revision"
)

const (
	back    = 2 * time.Second
	renewal = time.Second
)

func newTestRoster() (*Roster, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	r := New(Options{Clock: clock, ReturnTimeout: back, RenewalInterval: renewal})
	r.Replace([]Target{{ID: "a", Revision: at(1)}, {ID: "b", Revision: at(2)}}, at(2))
	return r, clock
}

// at is a revision of the first era.
func at(count uint64) revision.Revision { return revision.Revision{Count: count} }

func expired(r *Roster) []Termination {
	gone, _ := r.Expire()
	return gone
}

func ids(r *Roster) []string {
	var list []string
	for _, t := range r.Targets() {
		list = append(list, t.ID)
	}
	return list
}

// removed reports whether a target is gone whose entry went.
func removed(r *Roster, id string, version uint64) bool {
	_, left := r.Remove(id, at(version), 0)
	return left
}

func TestRemovedEntryIsGoneUnlessItComesBack(t *testing.T) {
	r, clock := newTestRoster()
	assert.Assert(t, !removed(r, "a", 3))
	assert.Assert(t, !removed(r, "b", 4))
	assert.DeepEqual(t, ids(r), []string{"a", "b"})
	clock.Advance(renewal / 2)
	r.Put(Target{ID: "b", Revision: at(7)})
	clock.Advance(renewal / 2)
	assert.DeepEqual(t, expired(r), []Termination{{ID: "a", Incarnation: "a", Revision: at(3)}})
	assert.DeepEqual(t, ids(r), []string{"b"})
}

func TestEntryThatLapsedInAnOutageMayComeBack(t *testing.T) {
	r, clock := newTestRoster()
	r.MarkDisconnected()
	r.MarkReconnected()
	r.Replace([]Target{{ID: "b", Revision: at(2)}}, at(8))
	clock.Advance(back - time.Millisecond)
	assert.Equal(t, len(expired(r)), 0)
	assert.DeepEqual(t, ids(r), []string{"a", "b"})
	r.Put(Target{ID: "a", Revision: at(9)})
	clock.Advance(time.Second)
	assert.Equal(t, len(expired(r)), 0)
	assert.DeepEqual(t, ids(r), []string{"a", "b"})
}

func TestEntryStillMissingAfterAnOutageIsGone(t *testing.T) {
	r, clock := newTestRoster()
	r.MarkDisconnected()
	clock.Advance(time.Minute)
	r.MarkReconnected()
	r.Replace([]Target{{ID: "b", Revision: at(2)}}, at(8))
	assert.Equal(t, len(expired(r)), 0)
	clock.Advance(back)
	assert.DeepEqual(t, expired(r), []Termination{{ID: "a", Incarnation: "a", Revision: at(8)}})
	assert.DeepEqual(t, ids(r), []string{"b"})
}

func TestOlderEntryDoesNotReplaceANewerOne(t *testing.T) {
	r, _ := newTestRoster()
	r.Put(Target{ID: "a", Revision: at(5), Draining: true})
	r.Put(Target{ID: "a", Revision: at(4)})
	assert.Assert(t, r.Targets()[0].Draining)
}

// TestEntryThatGoesAfterAnOutageIsGoneSoon is the case of a hunted day: a router
// that the store had turned away kept a target for two seconds that had left
// after it was back.
func TestEntryThatGoesAfterAnOutageIsGoneSoon(t *testing.T) {
	r, clock := newTestRoster()
	r.MarkDisconnected()
	r.MarkReconnected()
	r.MarkSynced()
	clock.Advance(700 * time.Millisecond)
	assert.Assert(t, !removed(r, "a", 3))
	clock.Advance(renewal)
	assert.DeepEqual(t, expired(r), []Termination{{ID: "a", Incarnation: "a", Revision: at(3)}})
}

func TestDrainingEntryThatGoesIsGoneAtOnce(t *testing.T) {
	r, _ := newTestRoster()
	r.Put(Target{ID: "a", Revision: at(3), Draining: true})
	r.MarkDisconnected()
	r.MarkReconnected()
	assert.Assert(t, removed(r, "a", 3))
	assert.DeepEqual(t, ids(r), []string{"b"})
}

// TestOtherRoutersWordIsTakenUntilTheEntryChanges holds the case of an own day:
// all entries lapsed in an outage that nobody noticed, and routers went on to
// tell each other that the targets were leaving when they were back.
func TestOtherRoutersWordIsTakenUntilTheEntryChanges(t *testing.T) {
	r, _ := newTestRoster()
	assert.Assert(t, !r.MarkDraining("a", at(1)), "the entry is not older")
	assert.Assert(t, r.MarkDraining("a", at(5)))
	assert.Assert(t, !r.MarkDraining("a", at(5)) && !r.MarkDraining("unknown", at(5)))
	assert.Assert(t, r.Targets()[0].Draining)
	r.Put(Target{ID: "a", Revision: at(9)})
	assert.Assert(t, !r.Targets()[0].Draining)
	assert.Assert(t, !r.MarkDraining("a", at(5)))
}

// run returns the entry of a run of a target that started some seconds after the first.
func run(id string, started int64, version uint64) Target {
	return Target{ID: id, Started: time.Unix(1_000_000+started, 0), Revision: at(version)}
}

// TestTargetStartsAgainUnderItsID has a target crash and start again before its entry
// went.
func TestTargetStartsAgainUnderItsID(t *testing.T) {
	r, clock := newTestRoster()
	first, second := run("c", 1, 5), run("c", 2, 9)
	_, ended := r.Put(first)
	assert.Assert(t, !ended)
	assert.Assert(t, first.Incarnation() != second.Incarnation())
	_, left := r.Remove("c", at(7), 0)
	assert.Assert(t, !left)
	gone, ended := r.Put(second)
	assert.Assert(t, ended)
	assert.Equal(t, gone, Termination{ID: "c", Incarnation: first.Incarnation(), Revision: at(9)})
	clock.Advance(renewal)
	assert.Equal(t, len(expired(r)), 0, "the entry of the second run stands")
	_, ended = r.Put(run("c", 2, 12))
	assert.Assert(t, !ended, "the same run wrote again")
}

// TestLateEntryOfAnEarlierRunIsIgnored has a write of a run that crashed take effect
// after the next one wrote its own.
func TestLateEntryOfAnEarlierRunIsIgnored(t *testing.T) {
	for _, draining := range []bool{false, true} {
		r, _ := newTestRoster()
		r.Put(run("c", 2, 9))
		late := run("c", 1, 11)
		late.Draining = draining
		_, ended := r.Put(late)
		assert.Assert(t, !ended)
		now := r.Targets()[2]
		assert.Assert(t, !now.Draining && now.Started.Equal(run("c", 2, 0).Started))
	}
}

// TestTableNamesTheNextRun has a router read the whole table after a target started
// again.
func TestTableNamesTheNextRun(t *testing.T) {
	r, _ := newTestRoster()
	first := run("c", 1, 5)
	r.Put(first)
	gone := r.Replace([]Target{{ID: "a", Revision: at(1)}, {ID: "b", Revision: at(2)}, run("c", 2, 9)}, at(9))
	assert.DeepEqual(t, gone, []Termination{{ID: "c", Incarnation: first.Incarnation(), Revision: at(9)}})
	assert.Equal(t, len(r.Targets()), 3)
}

// TestUnreadableEntryNamesNoTarget has somebody else write over an entry, in a single
// change or found in the whole table.
func TestUnreadableEntryNamesNoTarget(t *testing.T) {
	odd := Target{ID: "a", Revision: at(5), Unreadable: true}
	takes := map[string]func(*Roster){
		"change": func(r *Roster) { r.Put(odd) },
		"table":  func(r *Roster) { r.Replace([]Target{odd, {ID: "b", Revision: at(2)}}, at(5)) },
	}
	for name, take := range takes {
		t.Run(name, func(t *testing.T) {
			r, clock := newTestRoster()
			take(r)
			assert.Assert(t, r.Targets()[0].Unreadable && !r.Targets()[1].Unreadable)
			clock.Advance(time.Minute)
			assert.Equal(t, len(expired(r)), 0)
			_, ended := r.Put(Target{ID: "a", Revision: at(6)})
			assert.Assert(t, !ended && !r.Targets()[0].Unreadable, "the good entry that follows is used at once")
		})
	}
	r, _ := newTestRoster()
	r.Put(Target{ID: "new", Revision: at(5), Unreadable: true})
	assert.DeepEqual(t, ids(r), []string{"a", "b"})
}

// inEra is a revision of a later era.
func inEra(era, count uint64) revision.Revision { return revision.Revision{Era: era, Count: count} }

// TestCopyOfTheTableTakesNothingBack has the table come back from a copy in which a target
// that is leaving is not, one that is gone is there, and one that came is missing.
func TestCopyOfTheTableTakesNothingBack(t *testing.T) {
	r, clock := newTestRoster()
	r.Put(Target{ID: "gone", Revision: at(3)})
	r.Put(Target{ID: "gone", Revision: at(4), Draining: true})
	assert.Assert(t, removed(r, "gone", 5))
	r.Put(Target{ID: "a", Revision: at(6), Draining: true})
	r.Put(Target{ID: "new", Revision: at(7)})
	// Counts go back: those of the copy are below what is known.
	r.Replace([]Target{{ID: "a", Revision: inEra(1, 1)}, {ID: "b", Revision: inEra(1, 2)}, {ID: "gone", Revision: inEra(1, 3)}}, inEra(1, 3))
	assert.DeepEqual(t, ids(r), []string{"a", "b", "new"})
	assert.Assert(t, r.Get("a").Draining && !r.Get("b").Draining)
	clock.Advance(back - time.Millisecond)
	assert.Equal(t, len(expired(r)), 0, "the target that came has time to write its entry again")
	assert.DeepEqual(t, ids(r), []string{"a", "b", "new"})
	r.Put(Target{ID: "new", Revision: inEra(1, 4)})
	clock.Advance(time.Second)
	assert.Equal(t, len(expired(r)), 0)
	// What is written after that counts, although counts are below those of before.
	r.Put(Target{ID: "b", Revision: inEra(1, 5), Draining: true})
	assert.Assert(t, r.Get("b").Draining)
	r.Put(Target{ID: "a", Revision: inEra(1, 6)})
	assert.Assert(t, !r.Get("a").Draining, "its owner wrote so")
}

// TestTargetThatACopyNamesForLongCountsAgain has a target that lapsed in the outage before
// the table came back, and lives.
func TestTargetThatACopyNamesForLongCountsAgain(t *testing.T) {
	r, clock := newTestRoster()
	assert.Assert(t, !removed(r, "a", 3))
	clock.Advance(renewal)
	assert.Equal(t, len(expired(r)), 1)
	r.Replace([]Target{{ID: "a", Revision: inEra(1, 1)}, {ID: "b", Revision: inEra(1, 2)}}, inEra(1, 2))
	assert.DeepEqual(t, ids(r), []string{"b"})
	clock.Advance(goneFor)
	_, back := r.Expire()
	assert.Assert(t, back)
	assert.DeepEqual(t, ids(r), []string{"a", "b"})
}

// TestWordFromBeforeTheCopyCounts has other routers tell of a target that leaves: one that
// has not seen the new era, and one that has.
func TestWordFromBeforeTheCopyCounts(t *testing.T) {
	r, _ := newTestRoster()
	r.Replace([]Target{{ID: "a", Revision: inEra(1, 1)}, {ID: "b", Revision: inEra(1, 2)}}, inEra(1, 2))
	assert.Assert(t, r.MarkDraining("a", at(50)), "the copy lacks it")
	assert.Assert(t, r.MarkDraining("b", inEra(1, 3)))
	r.Put(Target{ID: "a", Revision: inEra(1, 4)})
	assert.Assert(t, !r.MarkDraining("a", at(50)), "the target wrote since")
}
