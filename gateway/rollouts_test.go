package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/presence"
	"zinccove.example/zinccove/revision"
	"zinccove.example/zinccove/rollout"
)

// orderOf is an order as operators write it.
func orderOf(service string, version uint64, text string) platform.Change {
	return platform.Change{Key: "rollout/" + service, Revision: revision.Revision{Count: version}, Value: []byte(text)}
}

// takeOrders has a control loop read rows of operators.
func takeOrders(l *loop, whole bool, changes ...platform.Change) {
	l.takeOperators(platform.Batch{Revision: revision.Revision{Count: 100}, Changes: changes}, whole)
}

const goodOrder = `{"service":"m","targetVersion":"v2","durationS":12}`

// TestOrdersThatCannotBeReadMoveNothing has operators write odd orders, and take one back.
func TestOrdersThatCannotBeReadMoveNothing(t *testing.T) {
	l, _ := newTargetLoop(t)
	for i, text := range []string{"", "{", `{"service":"m","targetVersion":"","durationS":12}`, `{"service":"m","targetVersion":"v2","durationS":0}`, `{"service":"m","targetVersion":7,"durationS":1}`} {
		takeOrders(l, false, orderOf("m", uint64(i+1), text))
		assert.Assert(t, !l.gateway.rollouts.Active(), text)
	}
	takeOrders(l, false, orderOf("m", 20, goodOrder))
	assert.Equal(t, l.gateway.rollouts.Choose("m", 0).Only, "v2")
	takeOrders(l, true, orderOf("m", 20, goodOrder))
	assert.Assert(t, l.gateway.rollouts.Active(), "the whole table names it")
	takeOrders(l, true)
	assert.Assert(t, !l.gateway.rollouts.Active(), "the whole table does not name it any more")
	takeOrders(l, false, orderOf("m", 30, goodOrder))
	gone := orderOf("m", 31, "")
	gone.Removed = true
	takeOrders(l, false, gone)
	assert.Assert(t, !l.gateway.rollouts.Active())
}

// answered has a router see answers of the new version, so many of them bad.
func noteAnswers(l *loop, good, bad int) {
	for i := range good + bad {
		l.gateway.rollouts.Record("m", "r", "v2", rollout.Outcome{Failed: i < bad, Duration: time.Millisecond, Size: 1})
	}
}

// TestCountsOfServicesThatMoveTakeTheWayOfReports has members, relays and leaders tell what
// they saw: each answer counts once, however many tell it, and a version that is bad is bad for
// those that hear it.
func TestCountsOfServicesThatMoveTakeTheWayOfReports(t *testing.T) {
	newLoop := func() *loop {
		l, _ := newTargetLoop(t)
		l.gateway.settings.DataCentre = "dc-0"
		takeOrders(l, false, orderOf("m", 20, goodOrder))
		return l
	}
	sum := func(l *loop) rollout.Tally { return l.gateway.rollouts.Evaluate()[0].New }
	tell := func(from, to *loop, host, dataCentre string, scope presence.Kind) {
		hb := crosses(t, &zinccovev1.Heartbeat{Rollouts: from.rolloutsOf(scope), Report: &zinccovev1.Report{Scope: scopes[scope]}})
		to.hearRollouts(host, dataCentre, hb)
	}
	relays := []*loop{newLoop(), newLoop(), newLoop()}
	leader, elsewhere := newLoop(), newLoop()
	var names []string // of relays of one cell that is not the leader's
	for i := range 200 {
		leader.hearHost(fmt.Sprint("r", i), "dc-0", uint64(i+1))
	}
	for i := range 200 {
		name := fmt.Sprint("r", i)
		if g := leader.groupOf(name); g != leader.ownGroup() && (len(names) == 0 || g == leader.groupOf(names[0])) {
			names = append(names, name)
		}
	}
	for i := range 5 {
		member := newLoop()
		noteAnswers(member, 3, 0)
		for _, relay := range relays {
			for range 2 {
				tell(member, relay, fmt.Sprint("member", i), "dc-0", presence.Heartbeat)
			}
		}
	}
	for _, relay := range relays {
		assert.Equal(t, sum(relay).Requests, 15)
	}
	for i, relay := range relays {
		tell(relay, leader, names[i], "dc-0", presence.CellReport)
	}
	for i := range 200 {
		if name := fmt.Sprint("r", i); leader.groupOf(name) == leader.ownGroup() {
			tell(relays[0], leader, name, "dc-0", presence.CellReport) // a relay of its own cell
		}
	}
	assert.Equal(t, sum(leader).Requests, 15)
	for range 3 {
		tell(leader, elsewhere, "leader", "dc-0", presence.DataCentreReport)
	}
	assert.Equal(t, sum(elsewhere).Requests, 15)

	noteAnswers(elsewhere, 0, 20)
	assert.Equal(t, elsewhere.gateway.rollouts.Evaluate()[0].State, rollout.RolledBack)
	tell(elsewhere, relays[0], "leader-elsewhere", "dc-1", presence.FleetReport)
	assert.Equal(t, relays[0].gateway.rollouts.Choose("m", 0), rollout.Choice{Exclude: "v2", Strict: true})
	assert.Equal(t, sum(relays[0]).Requests, 15, "what comes down is the state alone")
}
