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

// orderOf returns a rollout order in the format that operators write.
func orderOf(service string, version uint64, text string) platform.Change {
	return platform.Change{Key: "rollout/" + service, Revision: revision.Revision{Count: version}, Value: []byte(text)}
}

// applyOrders applies rows of operators.
func applyOrders(l *loop, complete bool, changes ...platform.Change) {
	l.applyOperatorRows(platform.Batch{Revision: revision.Revision{Count: 100}, Changes: changes}, complete)
}

const goodOrder = `{"service":"m","targetVersion":"v2","durationS":12}`

// TestInvalidRolloutOrdersAreRejected has operators write invalid orders, and withdraw a valid
// one.
func TestInvalidRolloutOrdersAreRejected(t *testing.T) {
	l, _ := newTargetLoop(t)
	for i, text := range []string{"", "{", `{"service":"m","targetVersion":"","durationS":12}`, `{"service":"m","targetVersion":"v2","durationS":0}`, `{"service":"m","targetVersion":7,"durationS":1}`} {
		applyOrders(l, false, orderOf("m", uint64(i+1), text))
		assert.Assert(t, !l.gateway.rollouts.Active(), text)
	}
	applyOrders(l, false, orderOf("m", 20, goodOrder))
	assert.Equal(t, l.gateway.rollouts.Choose("m", 0).Only, "v2")
	applyOrders(l, true, orderOf("m", 20, goodOrder))
	assert.Assert(t, l.gateway.rollouts.Active(), "the complete table names it")
	applyOrders(l, true)
	assert.Assert(t, !l.gateway.rollouts.Active(), "the complete table does not name it any more")
	applyOrders(l, false, orderOf("m", 30, goodOrder))
	withdrawn := orderOf("m", 31, "")
	withdrawn.Removed = true
	applyOrders(l, false, withdrawn)
	assert.Assert(t, !l.gateway.rollouts.Active())
}

// noteAnswers records responses of the new version, of which the given number are bad.
func noteAnswers(l *loop, good, bad int) {
	for i := range good + bad {
		l.gateway.rollouts.Record("m", "r", "v2", rollout.Outcome{Failed: i < bad, Duration: time.Millisecond, Size: 1})
	}
}

// TestRolloutCountsFollowReportPaths has members, relays and leaders report their counts. Each
// response must count once, however many routers report it, and routers that receive the state of
// a rolled-back version must avoid that version.
func TestRolloutCountsFollowReportPaths(t *testing.T) {
	newLoop := func() *loop {
		l, _ := newTargetLoop(t)
		l.gateway.settings.DataCentre = "dc-0"
		applyOrders(l, false, orderOf("m", 20, goodOrder))
		return l
	}
	sum := func(l *loop) rollout.Tally { return l.gateway.rollouts.Evaluate()[0].New }
	send := func(from, to *loop, host, dataCentre string, scope presence.Kind) {
		hb := roundTrip(t, &zinccovev1.Heartbeat{Rollouts: from.rolloutsOf(scope), Report: &zinccovev1.Report{Scope: scopes[scope]}})
		to.handleRollouts(host, dataCentre, hb)
	}
	relays := []*loop{newLoop(), newLoop(), newLoop()}
	leader, elsewhere := newLoop(), newLoop()
	var names []string // routers of one cell that is not the leader's
	for i := range 200 {
		leader.receiveHost(fmt.Sprint("r", i), "dc-0", uint64(i+1))
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
				send(member, relay, fmt.Sprint("member", i), "dc-0", presence.Heartbeat)
			}
		}
	}
	for _, relay := range relays {
		assert.Equal(t, sum(relay).Requests, 15)
	}
	for i, relay := range relays {
		send(relay, leader, names[i], "dc-0", presence.CellReport)
	}
	for i := range 200 {
		if name := fmt.Sprint("r", i); leader.groupOf(name) == leader.ownGroup() {
			send(relays[0], leader, name, "dc-0", presence.CellReport) // a relay of the leader's own cell
		}
	}
	assert.Equal(t, sum(leader).Requests, 15)
	for range 3 {
		send(leader, elsewhere, "leader", "dc-0", presence.DataCentreReport)
	}
	assert.Equal(t, sum(elsewhere).Requests, 15)

	noteAnswers(elsewhere, 0, 20)
	assert.Equal(t, elsewhere.gateway.rollouts.Evaluate()[0].State, rollout.RolledBack)
	send(elsewhere, relays[0], "leader-elsewhere", "dc-1", presence.FleetReport)
	assert.Equal(t, relays[0].gateway.rollouts.Choose("m", 0), rollout.Choice{Exclude: "v2", Strict: true})
	assert.Equal(t, sum(relays[0]).Requests, 15, "messages down carry the state alone")
}
