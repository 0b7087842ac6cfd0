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

// newEraLoop returns a control loop that can process a new era of the store.
func newEraLoop(t *testing.T) (*loop, *clockwork.FakeClock) {
	t.Helper()
	l, clock := newTargetLoop(t)
	l.gateway.quarantine = quarantine.New(clock)
	l.gateway.reannounce = make(chan struct{}, 1)
	return l, clock
}

// TestEvacuationSurvivesStoreRestore restores the store from a copy that lacks the evacuation of a
// data centre. Operators write it again, and withdraw it later.
func TestEvacuationSurvivesStoreRestore(t *testing.T) {
	l, _ := newEraLoop(t)
	batch := func(era, count uint64, changes ...platform.Change) platform.Batch {
		return platform.Batch{Revision: revision.Revision{Era: era, Count: count}, Changes: changes}
	}
	row := platform.Change{Key: "evacuate/x"}
	l.applyOperatorRows(batch(3, 5), true)
	assert.Equal(t, len(l.gateway.reannounce), 0, "the first table does not start a new era")
	l.applyOperatorRows(batch(3, 6, row), false)
	assert.Assert(t, l.evacuated["x"])
	l.applyOperatorRows(batch(4, 5), true)
	assert.Assert(t, l.evacuated["x"])
	assert.Equal(t, len(l.gateway.reannounce), 1, "this router's entry may be lost")
	l.applyOperatorRows(batch(4, 6, row), false)
	assert.Assert(t, l.evacuated["x"])
	l.applyOperatorRows(batch(4, 7, platform.Change{Key: "evacuate/x", Removed: true}), false)
	assert.Assert(t, !l.evacuated["x"])
}

// TestLeavingTargetIsReportedAfterStoreRestore restores the store from a copy in which a draining
// target is ready.
func TestLeavingTargetIsReportedAfterStoreRestore(t *testing.T) {
	l, _ := newEraLoop(t)
	ready := entry("t", 2, 1000)
	draining := ready
	draining.Revision.Count = 9
	draining.Value = []byte(`{"service":"m","address":"127.0.0.1:1","zone":"x","version":"v1","slots":8,"state":"draining","coldLeftMs":0,"seq":2,"born":1000}`)
	take := func(era, count uint64, complete bool, c platform.Change) {
		c.Revision.Era = era
		l.applyTargets(platform.Batch{Revision: revision.Revision{Era: era, Count: count}, Changes: []platform.Change{c}}, complete)
	}
	take(1, 2, true, ready)
	take(1, 9, false, draining)
	assert.Equal(t, len(l.leavingTargets()), 1)
	take(2, 3, true, ready)
	assert.Equal(t, len(l.leavingTargets()), 1)
	assert.Assert(t, !placedAt(l, "t"))
}

// TestStartingRouterAdoptsNewestKnownConfiguration has the store return an older configuration to
// a router that starts than other routers have in force.
func TestStartingRouterAdoptsNewestKnownConfiguration(t *testing.T) {
	body := func(version int) []byte {
		return fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"limits":{},"tenants":[]}`, version)
	}
	receive := func(l *loop, version uint64) {
		l.handleHeartbeat(contact.Received{Heartbeat: &zinccovev1.Heartbeat{Incarnation: 1, Sequence: 1, ConfigVersion: version, Host: &zinccovev1.HostInfo{
			Name: "b", Control: "127.0.0.1:1", Peer: "127.0.0.1:2",
		}}})
	}
	for _, tc := range []struct {
		name     string
		first    bool
		received []uint64
		want     uint64
	}{
		{"first start", true, nil, 5},
		{"no heartbeat received yet", false, nil, 0},
		{"others have it", false, []uint64{5}, 5},
		{"others have none", false, []uint64{0}, 5},
		{"another has a newer one", false, []uint64{9}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, clock := newTargetLoop(t)
			l.gateway.settings.FirstStart = tc.first
			for _, version := range tc.received {
				receive(l, version)
			}
			l.adopt(body(5), "store")
			l.adoptPending()
			assert.Equal(t, l.version(), tc.want)
			clock.Advance(fetchTimeout)
			l.adoptPending()
			assert.Equal(t, l.version(), uint64(5), "it does not wait forever")
		})
	}
}

// TestRouterRejectedByStoreLearnsEvacuationsFromOthers has another router report the evacuations
// that it reads. Without these reports, a router that the store rejects learned of an evacuation
// up to 11 s late.
func TestRouterRejectedByStoreLearnsEvacuationsFromOthers(t *testing.T) {
	reads, clock := newEraLoop(t)
	rejected, _ := newEraLoop(t)
	change := func(count uint64, removed bool) {
		at := revision.Revision{Era: 1, Count: count}
		reads.applyOperatorRows(platform.Batch{Revision: at, Changes: []platform.Change{{Key: "evacuate/x", Revision: at, Removed: removed}}}, false)
	}
	rejected.applyOperatorRows(platform.Batch{Revision: revision.Revision{Era: 1, Count: 3}}, true)
	change(5, false)
	late := reads.recentEvacuations()
	rejected.handleEvacuations("b", late)
	assert.Assert(t, rejected.evacuated["x"])
	assert.Equal(t, len(rejected.recentEvacuations()), 0, "only routers that read it from the store report it")
	change(7, true)
	rejected.handleEvacuations("b", reads.recentEvacuations())
	assert.Assert(t, !rejected.evacuated["x"])
	rejected.handleEvacuations("c", late)
	assert.Assert(t, !rejected.evacuated["x"], "an older report is ignored")
	change(9, false)
	rejected.handleEvacuations("b", reads.recentEvacuations())
	rejected.applyOperatorRows(platform.Batch{Revision: revision.Revision{Era: 1, Count: 8}}, true)
	assert.Assert(t, rejected.evacuated["x"], "an older table is ignored")
	rejected.applyOperatorRows(platform.Batch{Revision: revision.Revision{Era: 1, Count: 12}}, true)
	assert.Assert(t, !rejected.evacuated["x"])
	clock.Advance(leavingTTL)
	assert.Equal(t, len(reads.recentEvacuations()), 0)
}

// TestStartAfterStoreRestoreAvoidsLeavingTargets has a router receive another router's report on a
// leaving target before it reads the restored table, in which the target is ready. The other
// router has read that table too. In such a case a request reached the target when processes were
// slow.
func TestStartAfterStoreRestoreAvoidsLeavingTargets(t *testing.T) {
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
	other.applyTargets(batch(ready), true)
	other.applyTargets(batch(draining), false)
	other.applyTargets(batch(copied), true)
	reported := other.leavingTargets()
	assert.Equal(t, len(reported), 1)
	starts.handleLeaving("b", reported)
	starts.applyTargets(batch(copied), true)
	assert.Assert(t, !placedAt(starts, "t"))
	late, _ := newEraLoop(t)
	late.applyTargets(batch(copied), true)
	late.handleLeaving("b", reported)
	assert.Assert(t, !placedAt(late, "t"), "the report may arrive after the table too")
	// The target writes that it is ready, so it is used again.
	again := copied
	again.Revision.Count = 12
	starts.applyTargets(batch(again), false)
	assert.Assert(t, placedAt(starts, "t"))
}
