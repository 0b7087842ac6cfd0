package gateway

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/contact"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/revision"
)

// newEraLoop returns a control loop that may be told of a new era of the store.
func newEraLoop(t *testing.T) (*loop, *clockwork.FakeClock) {
	t.Helper()
	l, clock := newTargetLoop(t)
	l.gateway.quarantine = quarantine.New(clock)
	l.gateway.unannounced = make(chan struct{}, 1)
	return l, clock
}

// TestEvacuationsOutliveACopy has the store come back from a copy that lacks that a data
// centre is to be evacuated. Operators write it again, and take it back later.
func TestEvacuationsOutliveACopy(t *testing.T) {
	l, _ := newEraLoop(t)
	batch := func(era, count uint64, changes ...platform.Change) platform.Batch {
		return platform.Batch{Revision: revision.Revision{Era: era, Count: count}, Changes: changes}
	}
	row := platform.Change{Key: "evacuate/x"}
	l.takeOperators(batch(3, 5), true)
	assert.Equal(t, len(l.gateway.unannounced), 0, "the first table says nothing of the era before")
	l.takeOperators(batch(3, 6, row), false)
	assert.Assert(t, l.evacuated["x"])
	l.takeOperators(batch(4, 5), true)
	assert.Assert(t, l.evacuated["x"])
	assert.Equal(t, len(l.gateway.unannounced), 1, "this router's entry may be lost")
	l.takeOperators(batch(4, 6, row), false)
	assert.Assert(t, l.evacuated["x"])
	l.takeOperators(batch(4, 7, platform.Change{Key: "evacuate/x", Removed: true}), false)
	assert.Assert(t, !l.evacuated["x"])
}

// TestLeavingTargetIsToldOnAfterACopy has the copy say that a target is ready which left.
func TestLeavingTargetIsToldOnAfterACopy(t *testing.T) {
	l, _ := newEraLoop(t)
	ready := entry("t", 2, 1000)
	draining := ready
	draining.Revision.Count = 9
	draining.Value = []byte(`{"service":"m","address":"127.0.0.1:1","zone":"x","version":"v1","slots":8,"state":"draining","coldLeftMs":0,"seq":2,"born":1000}`)
	take := func(era, count uint64, whole bool, c platform.Change) {
		c.Revision.Era = era
		l.takeTargets(platform.Batch{Revision: revision.Revision{Era: era, Count: count}, Changes: []platform.Change{c}}, whole)
	}
	take(1, 2, true, ready)
	take(1, 9, false, draining)
	assert.Equal(t, len(l.leavingTargets()), 1)
	take(2, 3, true, ready)
	assert.Equal(t, len(l.leavingTargets()), 1)
	assert.Assert(t, !placed(l, "t"))
}

// TestRouterThatStartsTakesTheNewestConfigurationThatIsKnown has the store give an older
// configuration to a router that starts than others have in force.
func TestRouterThatStartsTakesTheNewestConfigurationThatIsKnown(t *testing.T) {
	body := func(version int) []byte {
		return fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"limits":{},"tenants":[]}`, version)
	}
	hear := func(l *loop, version uint64) {
		l.hear(contact.Received{Heartbeat: &zinccovev1.Heartbeat{Incarnation: 1, Sequence: 1, ConfigVersion: version, Host: &zinccovev1.HostInfo{
			Name: "b", Control: "127.0.0.1:1", Peer: "127.0.0.1:2",
		}}})
	}
	for _, tc := range []struct {
		name  string
		first bool
		heard []uint64
		want  uint64
	}{
		{"first start", true, nil, 5},
		{"nobody heard yet", false, nil, 0},
		{"others have it", false, []uint64{5}, 5},
		{"others have none", false, []uint64{0}, 5},
		{"another has a newer one", false, []uint64{9}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, clock := newTargetLoop(t)
			l.gateway.settings.FirstStart = tc.first
			for _, version := range tc.heard {
				hear(l, version)
			}
			l.adopt(body(5), "store")
			l.adoptWaiting()
			assert.Equal(t, l.version(), tc.want)
			clock.Advance(fetchTime)
			l.adoptWaiting()
			assert.Equal(t, l.version(), uint64(5), "it does not wait for ever")
		})
	}
}

// TestRouterThatTheStoreTurnsAwayHearsOfEvacuations has another router tell what it reads.
// Before, such a router learned of an evacuation up to 11 s late.
func TestRouterThatTheStoreTurnsAwayHearsOfEvacuations(t *testing.T) {
	reads, clock := newEraLoop(t)
	away, _ := newEraLoop(t)
	change := func(count uint64, removed bool) {
		at := revision.Revision{Era: 1, Count: count}
		reads.takeOperators(platform.Batch{Revision: at, Changes: []platform.Change{{Key: "evacuate/x", Revision: at, Removed: removed}}}, false)
	}
	away.takeOperators(platform.Batch{Revision: revision.Revision{Era: 1, Count: 3}}, true)
	change(5, false)
	late := reads.evacuationsToTell()
	away.hearEvacuations("b", late)
	assert.Assert(t, away.evacuated["x"])
	assert.Equal(t, len(away.evacuationsToTell()), 0, "who read it tells it")
	change(7, true)
	away.hearEvacuations("b", reads.evacuationsToTell())
	assert.Assert(t, !away.evacuated["x"])
	away.hearEvacuations("c", late)
	assert.Assert(t, !away.evacuated["x"], "an older word")
	change(9, false)
	away.hearEvacuations("b", reads.evacuationsToTell())
	away.takeOperators(platform.Batch{Revision: revision.Revision{Era: 1, Count: 8}}, true)
	assert.Assert(t, away.evacuated["x"], "a table that was read before")
	away.takeOperators(platform.Batch{Revision: revision.Revision{Era: 1, Count: 12}}, true)
	assert.Assert(t, !away.evacuated["x"])
	clock.Advance(leavingFor)
	assert.Equal(t, len(reads.evacuationsToTell()), 0)
}

// TestRouterThatStartsAfterTheStoreWentBackLeavesLeavingTargetsAlone has it hear another
// router's word before it reads the copy, in which the target is ready. The other router has
// read the copy too. Found by the proof with slow processes: one request reached the target.
func TestRouterThatStartsAfterTheStoreWentBackLeavesLeavingTargetsAlone(t *testing.T) {
	other, _ := newEraLoop(t)
	starts, _ := newEraLoop(t)
	ready := entry("t", 2, 1000)
	draining := ready
	draining.Revision.Count = 9
	draining.Value = []byte(`{"service":"m","address":"127.0.0.1:1","zone":"x","version":"v1","slots":8,"state":"draining","coldLeftMs":0,"seq":2,"born":1000}`)
	copied := ready
	copied.Revision.Era = 1
	batch := func(c platform.Change) platform.Batch {
		return platform.Batch{Revision: c.Revision, Changes: []platform.Change{c}}
	}
	other.takeTargets(batch(ready), true)
	other.takeTargets(batch(draining), false)
	other.takeTargets(batch(copied), true)
	told := other.leavingTargets()
	assert.Equal(t, len(told), 1)
	starts.hearLeaving("b", told)
	starts.takeTargets(batch(copied), true)
	assert.Assert(t, !placed(starts, "t"))
	late, _ := newEraLoop(t)
	late.takeTargets(batch(copied), true)
	late.hearLeaving("b", told)
	assert.Assert(t, !placed(late, "t"), "the word may come after the table too")
	// The target writes that it is ready: it counts again.
	again := copied
	again.Revision.Count = 12
	starts.takeTargets(batch(again), false)
	assert.Assert(t, placed(starts, "t"))
}
