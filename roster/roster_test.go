package roster

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

const (
	back    = 2 * time.Second
	renewal = time.Second
)

func newTestRoster() (*Roster, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	r := New(Options{Clock: clock, Return: back, Renewal: renewal})
	r.Replace([]Target{{ID: "a", Version: 1}, {ID: "b", Version: 2}}, 2)
	return r, clock
}

func ids(r *Roster) []string {
	var list []string
	for _, t := range r.Targets() {
		list = append(list, t.ID)
	}
	return list
}

func TestRemovedEntryIsGoneUnlessItComesBack(t *testing.T) {
	r, clock := newTestRoster()
	assert.Assert(t, !r.Remove("a", 3, 0))
	assert.Assert(t, !r.Remove("b", 4, 0))
	assert.DeepEqual(t, ids(r), []string{"a", "b"})
	clock.Advance(renewal / 2)
	r.Put(Target{ID: "b", Version: 7})
	clock.Advance(renewal / 2)
	assert.DeepEqual(t, r.Expire(), []Departure{{ID: "a", Version: 3}})
	assert.DeepEqual(t, ids(r), []string{"b"})
}

func TestEntryThatLapsedInAnOutageMayComeBack(t *testing.T) {
	r, clock := newTestRoster()
	r.Interrupted()
	r.Resumed()
	r.Replace([]Target{{ID: "b", Version: 2}}, 8)
	clock.Advance(back - time.Millisecond)
	assert.Equal(t, len(r.Expire()), 0)
	assert.DeepEqual(t, ids(r), []string{"a", "b"})
	r.Put(Target{ID: "a", Version: 9})
	clock.Advance(time.Second)
	assert.Equal(t, len(r.Expire()), 0)
	assert.DeepEqual(t, ids(r), []string{"a", "b"})
}

func TestEntryStillMissingAfterAnOutageIsGone(t *testing.T) {
	r, clock := newTestRoster()
	r.Interrupted()
	clock.Advance(time.Minute)
	r.Resumed()
	r.Replace([]Target{{ID: "b", Version: 2}}, 8)
	assert.Equal(t, len(r.Expire()), 0)
	clock.Advance(back)
	assert.DeepEqual(t, r.Expire(), []Departure{{ID: "a", Version: 8}})
	assert.DeepEqual(t, ids(r), []string{"b"})
}

func TestOlderEntryDoesNotReplaceANewerOne(t *testing.T) {
	r, _ := newTestRoster()
	r.Put(Target{ID: "a", Version: 5, Draining: true})
	r.Put(Target{ID: "a", Version: 4})
	assert.Assert(t, r.Targets()[0].Draining)
}

// TestEntryThatGoesAfterAnOutageIsGoneSoon is the case of a hunted day: a router
// that the store had turned away kept a target for two seconds that had left
// after it was back.
func TestEntryThatGoesAfterAnOutageIsGoneSoon(t *testing.T) {
	r, clock := newTestRoster()
	r.Interrupted()
	r.Resumed()
	r.CaughtUp()
	clock.Advance(700 * time.Millisecond)
	assert.Assert(t, !r.Remove("a", 3, 0))
	clock.Advance(renewal)
	assert.DeepEqual(t, r.Expire(), []Departure{{ID: "a", Version: 3}})
}

func TestDrainingEntryThatGoesIsGoneAtOnce(t *testing.T) {
	r, _ := newTestRoster()
	r.Put(Target{ID: "a", Version: 3, Draining: true})
	r.Interrupted()
	r.Resumed()
	assert.Assert(t, r.Remove("a", 3, 0))
	assert.DeepEqual(t, ids(r), []string{"b"})
}

// TestOtherRoutersWordIsTakenUntilTheEntryChanges holds the case of an own day:
// all entries lapsed in an outage that nobody noticed, and routers went on to
// tell each other that the targets were leaving when they were back.
func TestOtherRoutersWordIsTakenUntilTheEntryChanges(t *testing.T) {
	r, _ := newTestRoster()
	assert.Assert(t, !r.Leave("a", 1), "the entry is not older")
	assert.Assert(t, r.Leave("a", 5))
	assert.Assert(t, !r.Leave("a", 5) && !r.Leave("unknown", 5))
	assert.Assert(t, r.Targets()[0].Draining)
	r.Put(Target{ID: "a", Version: 9})
	assert.Assert(t, !r.Targets()[0].Draining)
	assert.Assert(t, !r.Leave("a", 5))
}
