package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/feed"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/revision"
	"zinccove.example/zinccove/settings"
)

// newTargetLoop returns a control loop for entries of targets.
func newTargetLoop(t *testing.T) (*loop, *clockwork.FakeClock) {
	t.Helper()
	m, err := metric.New()
	assert.NilError(t, err)
	clock := clockwork.NewFakeClock()
	return newLoop(&Gateway{
		settings: &settings.Settings{Host: "a", TargetDrain: 2 * time.Second, TargetHeartbeat: time.Second},
		clock:    clock, metrics: m, rollouts: newRollouts(clock), log: zerolog.Nop(), placer: newEmptyPlacer(t), transport: listenForPeers(t, discardDatagrams),
	}), clock
}

// entry returns the entry of an incarnation of a target that started at a time in Unix
// milliseconds.
func entry(id string, version uint64, started int64) platform.Change {
	return platform.Change{Key: id, Revision: revision.Revision{Count: version}, Value: fmt.Appendf(nil,
		`{"service":"m","address":"127.0.0.1:1","zone":"x","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":1,"born":%d}`, started)}
}

// deliveries are the ways by which changes of entries reach a router.
var deliveries = map[string]func(l *loop, changes ...platform.Change){
	"change": func(l *loop, changes ...platform.Change) {
		l.applyTargets(platform.Batch{Revision: changes[0].Revision, Changes: changes}, false)
	},
	"complete table": func(l *loop, changes ...platform.Change) {
		l.applyTargets(platform.Batch{Revision: changes[0].Revision, Changes: append(changes, entry("other", 1, 0))}, true)
	},
	"through a leader": func(l *loop, changes ...platform.Change) {
		log := feed.NewLog(feed.Options[platform.Change]{Clock: l.gateway.clock, Encode: packRows, MaxBytes: defaultLogLimit})
		log.SetRetainRows(true)
		log.Reset(changes[0].Revision, rowsOf(platform.Batch{Changes: append(changes, entry("other", 1, 0))})...)
		news, _, err := log.Since(revision.Revision{})
		if err == nil {
			for _, msg := range encodeTableUpdate(news, l.gateway.clock.Now()) {
				if b, err := decodeTableUpdate(msg); err == nil {
					l.applyTargets(b, news.Complete)
				}
			}
		}
	},
}

// placedAt reports whether a request is placed at one of the named targets.
func placedAt(l *loop, ids ...string) bool {
	d := l.gateway.placer.Place(newRequest("x"))
	if d.Run == nil {
		return false
	}
	d.Run.End(place.Cancelled)
	for _, id := range ids {
		if d.Run.Target.ID == id {
			return true
		}
	}
	return false
}

// TestInvalidEntryNamesNoTarget has invalid entries written where a valid one was, and where there
// was none, for each way in which entries arrive.
func TestInvalidEntryNamesNoTarget(t *testing.T) {
	for name, take := range deliveries {
		for _, text := range []string{"", "{", `{"service":"m"}`, `{"service":"m","address":"0.0.0.0:0","zone":"x","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":1}`} {
			t.Run(name+" "+text, func(t *testing.T) {
				l, clock := newTargetLoop(t)
				l.applyTargets(platform.Batch{Revision: revision.Revision{Count: 2}, Changes: []platform.Change{entry("other", 1, 0), entry("odd", 2, 0)}}, true)
				for range 20 {
					assert.Assert(t, placedAt(l, "odd", "other"))
				}
				take(l, platform.Change{Key: "odd", Revision: revision.Revision{Count: 5}, Value: []byte(text)}, platform.Change{Key: "never-good", Revision: revision.Revision{Count: 5}, Value: []byte(text)})
				clock.Advance(time.Minute)
				l.expireTargets()
				for range 20 {
					assert.Assert(t, placedAt(l, "other"), "other targets stay in use")
				}
				assert.Equal(t, len(l.leavingTargets()), 0, "an invalid entry is not reported to others as leaving")
				deliveries["change"](l, entry("odd", 7, 0))
				deliveries["change"](l, platform.Change{Key: "other", Revision: revision.Revision{Count: 8}, Value: []byte(text)})
				for range 20 {
					assert.Assert(t, placedAt(l, "odd"), "the valid entry that follows is used at once")
				}
			})
		}
	}
}

// TestReportOnEndedIncarnationDoesNotAffectNext restarts a target under its id. Reports of other
// routers on the incarnation that ended arrive before and after the new entry.
func TestReportOnEndedIncarnationDoesNotAffectNext(t *testing.T) {
	for name, take := range deliveries {
		t.Run(name, func(t *testing.T) {
			l, _ := newTargetLoop(t)
			l.applyTargets(platform.Batch{Revision: revision.Revision{Count: 2}, Changes: []platform.Change{entry("again", 2, 1000)}}, true)
			first, second := uint64(place.HashOf("again@1000")), uint64(place.HashOf("again@2000"))
			reportLeaving := func(incarnation uint64) {
				l.handleLeaving("b", []*zinccovev1.LeavingTarget{{Target: incarnation, Version: 100}})
			}
			reportLeaving(second)
			assert.Assert(t, placedAt(l, "again"), "a report on the next incarnation does not affect this one")
			take(l, entry("again", 5, 2000))
			reported := l.leavingTargets()
			assert.Equal(t, len(reported), 1, "the end of the first incarnation is reported to others")
			assert.Equal(t, reported[0].Target, first)
			reportLeaving(first)
			l.gateway.placer.ApplyReport("b", place.Report{Update: place.Update{
				Prefills: []place.Prefill{{Target: place.Hash(first), Number: 1, Tokens: 1 << 20}},
				Loads:    map[place.Hash]place.Load{place.Hash(first): {Requests: 1000}},
			}})
			assert.Assert(t, placedAt(l, "again"))
			d := l.gateway.placer.Place(newRequest("x"), place.Reply{Target: place.Hash(first), PendingTokens: 1 << 20, Requests: 1000, Slowness: 8})
			assert.Assert(t, d.Run != nil)
			assert.Equal(t, d.Replies, 0)
			deliveries["change"](l, entry("again", 9, 1000))
			assert.Assert(t, !d.Run.Unavailable(), "a late entry of the ended incarnation is ignored")
		})
	}
}

// TestTargetOwnLeavingOverridesStore has a target announce in a response that it leaves, here or
// at another router, while its entry still states that it is ready, for each way in which entries
// arrive. Other routers are notified as long as the store does not have it.
func TestTargetOwnLeavingOverridesStore(t *testing.T) {
	for name, take := range deliveries {
		t.Run(name, func(t *testing.T) {
			l, clock := newTargetLoop(t)
			l.applyTargets(platform.Batch{Revision: revision.Revision{Count: 2}, Changes: []platform.Change{entry("leaves", 2, 1000), entry("other", 1, 0)}}, true)
			incarnation := place.HashOf("leaves@1000")
			l.handleLeaving("b", []*zinccovev1.LeavingTarget{{Target: uint64(incarnation), Said: true}})
			for i := range 3 {
				take(l, entry("leaves", uint64(10+i), 1000))
				clock.Advance(leavingTTL)
				for range 20 {
					assert.Assert(t, placedAt(l, "other"))
				}
				reported := l.leavingTargets()
				assert.Equal(t, len(reported), 1)
				assert.Assert(t, reported[0].Said && reported[0].Target == uint64(incarnation))
			}
			other, _ := newTargetLoop(t)
			other.handleLeaving("a", l.leavingTargets())
			other.applyTargets(platform.Batch{Revision: revision.Revision{Count: 20}, Changes: []platform.Change{entry("leaves", 20, 1000), entry("other", 1, 0)}}, true)
			for range 20 {
				assert.Assert(t, placedAt(other, "other"), "a router that starts receives the report before the table")
			}
			take(l, entry("leaves", 30, 2000))
			assert.Assert(t, !slices.ContainsFunc(l.leavingTargets(), func(t *zinccovev1.LeavingTarget) bool { return t.Said }))
			used := false
			for range 50 {
				used = used || placedAt(l, "leaves")
			}
			assert.Assert(t, used, "the next incarnation is used")
		})
	}
}

// TestVersionsMayHaveComeAndGoneUnnoticed covers what a router reads after which it does not know
// which versions a service had.
func TestVersionsMayHaveComeAndGoneUnnoticed(t *testing.T) {
	const lifetime = 7 * time.Second
	for _, c := range []struct {
		name     string
		changes  []platform.Change
		complete bool
		want     bool
	}{
		{"another target", []platform.Change{entry("b", 2, 0)}, false, true},
		{"known target removed", []platform.Change{{Key: "a", Removed: true, Revision: revision.Revision{Count: 2}}}, false, true},
		{"unknown target removed", []platform.Change{{Key: "x", Removed: true, Revision: revision.Revision{Count: 2}}}, false, false},
		{"complete table", []platform.Change{entry("a", 1, 0), entry("b", 2, 0)}, true, false},
	} {
		l, clock := newTargetLoop(t)
		l.gateway.placer = place.New(place.Options{Clock: clock})
		only := func() bool {
			_, ok := l.gateway.placer.OnlyVersion("m", lifetime, 0)
			return ok
		}
		l.applyTargets(platform.Batch{Revision: revision.Revision{Count: 1}, Changes: []platform.Change{entry("a", 1, 0), entry("c", 1, 0)}}, true)
		clock.Advance(lifetime)
		assert.Assert(t, only(), c.name)
		l.applyTargets(platform.Batch{Revision: revision.Revision{Count: 2}, Changes: c.changes}, c.complete)
		assert.Equal(t, only(), c.want, c.name)
		clock.Advance(lifetime)
		assert.Assert(t, only(), c.name)
	}
}
