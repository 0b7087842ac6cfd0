package roster

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

const back = 2 * time.Second

func newTestRoster() (*Roster, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	r := New(Options{Clock: clock, Return: back})
	r.Replace([]Target{{ID: "a", Version: 1}, {ID: "b", Version: 2}})
	return r, clock
}

func ids(r *Roster) []string {
	var list []string
	for _, t := range r.Targets() {
		list = append(list, t.ID)
	}
	return list
}

func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	r, _ := newTestRoster()
	r.Remove("a")
	assert.DeepEqual(t, ids(r), []string{"b"})
}

func TestEntryThatLapsedInAnOutageMayComeBack(t *testing.T) {
	r, clock := newTestRoster()
	r.Interrupted()
	r.Resumed()
	r.Replace([]Target{{ID: "b", Version: 2}})
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
	r.Remove("a")
	clock.Advance(time.Minute)
	assert.Equal(t, len(r.Expire()), 0, "the table is still away")
	r.Resumed()
	assert.Equal(t, len(r.Expire()), 0)
	clock.Advance(back)
	assert.DeepEqual(t, r.Expire(), []string{"a"})
	assert.DeepEqual(t, ids(r), []string{"b"})
}

func TestOlderEntryDoesNotReplaceANewerOne(t *testing.T) {
	r, _ := newTestRoster()
	r.Put(Target{ID: "a", Version: 5, Draining: true})
	r.Put(Target{ID: "a", Version: 4})
	assert.Assert(t, r.Targets()[0].Draining)
}
