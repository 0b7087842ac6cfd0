package member

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

const timeout = 2 * time.Second

func newTable() (*Table, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(Options{Self: "self", Clock: clock, Timeout: timeout}), clock
}

func beat(name string, run, sequence uint64, started int64) *zinccovev1.Heartbeat {
	return &zinccovev1.Heartbeat{Incarnation: run, Sequence: sequence,
		Host: &zinccovev1.HostInfo{Name: name, Peer: "127.0.0.1:7", StartedUnixMs: started}}
}

func TestRecordHeartbeat(t *testing.T) {
	anonymous := &zinccovev1.Heartbeat{Incarnation: 1, Sequence: 9}
	tests := []struct {
		name  string
		beats []*zinccovev1.Heartbeat
		want  Outcome
	}{
		{"first", []*zinccovev1.Heartbeat{beat("a", 1, 1, 10)}, Restarted},
		{"next", []*zinccovev1.Heartbeat{beat("a", 1, 1, 10), beat("a", 1, 2, 10)}, Current},
		{"duplicate", []*zinccovev1.Heartbeat{beat("a", 1, 2, 10), beat("a", 1, 2, 10)}, Ignored},
		{"late", []*zinccovev1.Heartbeat{beat("a", 1, 3, 10), beat("a", 1, 2, 10)}, Ignored},
		{"unknown run", []*zinccovev1.Heartbeat{anonymous}, Ignored},
		{"known run without name", []*zinccovev1.Heartbeat{beat("a", 1, 1, 10), anonymous}, Current},
		{"restart", []*zinccovev1.Heartbeat{beat("a", 1, 9, 10), beat("a", 2, 1, 20)}, Restarted},
		{"replaced run", []*zinccovev1.Heartbeat{beat("a", 2, 1, 20), beat("a", 1, 9, 10)}, Ignored},
		{"self", []*zinccovev1.Heartbeat{beat("self", 1, 1, 10)}, Ignored},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			table, _ := newTable()
			var got Outcome
			for _, hb := range tc.beats {
				_, got = table.RecordHeartbeat(hb)
			}
			assert.Equal(t, got, tc.want)
		})
	}
}

func TestRestartWithAnEarlierClockIsAcceptedAfterTimeout(t *testing.T) {
	table, clock := newTable()
	table.RecordHeartbeat(beat("a", 2, 1, 20))
	for range 5 {
		clock.Advance(timeout / 4)
		table.Expire()
	}
	_, outcome := table.RecordHeartbeat(beat("a", 1, 1, 10))
	assert.Equal(t, outcome, Restarted)
}

func TestSilentHostExpires(t *testing.T) {
	table, clock := newTable()
	table.RecordHeartbeat(beat("a", 1, 1, 10))
	var failed []*Host
	for range 5 {
		clock.Advance(timeout / 4)
		failed = append(failed, table.Expire()...)
	}
	assert.Equal(t, len(failed), 1)
	assert.Assert(t, !failed[0].Reachable)
}

func TestOwnPauseDoesNotExpireOthers(t *testing.T) {
	table, clock := newTable()
	table.RecordHeartbeat(beat("a", 1, 1, 10))
	clock.Advance(time.Hour)
	assert.Equal(t, len(table.Expire()), 0)
	clock.Advance(timeout / 4)
	assert.Equal(t, len(table.Expire()), 0)
	assert.Assert(t, table.Hosts()[0].Reachable)
}

func TestEarliestLeavingWins(t *testing.T) {
	table, _ := newTable()
	table.RecordHeartbeat(beat("a", 1, 1, 10))
	table.Upsert(Address{Name: "a", Leaving: true})
	table.Upsert(Address{Name: "a"})
	table.RecordHeartbeat(beat("a", 1, 2, 10))
	assert.Assert(t, table.Hosts()[0].Leaving)
	table.RecordHeartbeat(beat("a", 2, 1, 20))
	assert.Assert(t, !table.Hosts()[0].Leaving)
}

func TestForgetRemovesOnlyLongUnreachable(t *testing.T) {
	table, clock := newTable()
	table.Upsert(Address{Name: "never", Peer: netip.MustParseAddrPort("127.0.0.1:9")})
	table.RecordHeartbeat(beat("a", 1, 1, 10))
	for range 5 {
		clock.Advance(timeout / 4)
		table.Expire()
	}
	removed := table.Forget(clock.Now())
	assert.Equal(t, len(removed), 1)
	assert.Equal(t, len(table.Hosts()), 1)
}
