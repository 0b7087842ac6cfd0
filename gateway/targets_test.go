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

// newTargetLoop returns a control loop that takes entries of targets.
func newTargetLoop(t *testing.T) (*loop, *clockwork.FakeClock) {
	t.Helper()
	m, err := metric.New()
	assert.NilError(t, err)
	clock := clockwork.NewFakeClock()
	return newLoop(&Gateway{
		settings: &settings.Settings{Host: "a", TargetDrain: 2 * time.Second, TargetHeartbeat: time.Second},
		clock:    clock, metrics: m, rollouts: newRollouts(clock), log: zerolog.Nop(), placer: newEmptyPlacer(t), transport: listenForPeers(t, nobody),
	}), clock
}

// entry returns the entry of a run of a target that started at a time in Unix
// milliseconds.
func entry(id string, version uint64, started int64) platform.Change {
	return platform.Change{Key: id, Revision: revision.Revision{Count: version}, Value: fmt.Appendf(nil,
		`{"service":"m","address":"127.0.0.1:1","zone":"x","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":1,"born":%d}`, started)}
}

// ways are those by which changes of entries reach a router.
var ways = map[string]func(l *loop, changes ...platform.Change){
	"change": func(l *loop, changes ...platform.Change) {
		l.takeTargets(platform.Batch{Revision: changes[0].Revision, Changes: changes}, false)
	},
	"whole table": func(l *loop, changes ...platform.Change) {
		l.takeTargets(platform.Batch{Revision: changes[0].Revision, Changes: append(changes, entry("other", 1, 0))}, true)
	},
	"handed on": func(l *loop, changes ...platform.Change) {
		log := feed.NewLog(feed.Options[platform.Change]{Clock: l.gateway.clock, Encode: packRows, MaxBytes: usualLog})
		log.SetRetainRows(true)
		log.Reset(changes[0].Revision, rowsOf(platform.Batch{Changes: append(changes, entry("other", 1, 0))})...)
		news, _, err := log.Since(revision.Revision{})
		if err == nil {
			for _, msg := range encodeTableNews(news, l.gateway.clock.Now()) {
				if b, err := decodeTableNews(msg); err == nil {
					l.takeTargets(b, news.Complete)
				}
			}
		}
	},
}

// placed reports whether a request is placed at one of the targets that are named.
func placed(l *loop, ids ...string) bool {
	d := l.gateway.placer.Place(ask("x"))
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

// TestOddEntryNamesNoTargetHoweverItArrives has somebody write odd entries where a good
// one stood, and where none did.
func TestOddEntryNamesNoTargetHoweverItArrives(t *testing.T) {
	for name, take := range ways {
		for _, text := range []string{"", "{", `{"service":"m"}`, `{"service":"m","address":"0.0.0.0:0","zone":"x","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":1}`} {
			t.Run(name+" "+text, func(t *testing.T) {
				l, clock := newTargetLoop(t)
				l.takeTargets(platform.Batch{Revision: revision.Revision{Count: 2}, Changes: []platform.Change{entry("other", 1, 0), entry("odd", 2, 0)}}, true)
				for range 20 {
					assert.Assert(t, placed(l, "odd", "other"))
				}
				take(l, platform.Change{Key: "odd", Revision: revision.Revision{Count: 5}, Value: []byte(text)}, platform.Change{Key: "never-good", Revision: revision.Revision{Count: 5}, Value: []byte(text)})
				clock.Advance(time.Minute)
				l.expireTargets()
				for range 20 {
					assert.Assert(t, placed(l, "other"), "the others hold")
				}
				assert.Equal(t, len(l.leavingTargets()), 0, "an odd entry says nothing to tell others")
				ways["change"](l, entry("odd", 7, 0))
				ways["change"](l, platform.Change{Key: "other", Revision: revision.Revision{Count: 8}, Value: []byte(text)})
				for range 20 {
					assert.Assert(t, placed(l, "odd"), "the good entry that follows is used at once")
				}
			})
		}
	}
}

// TestWordOnARunThatEndedDoesNotTouchTheNext has a target start again under its id. What
// other routers say of the run that ended comes before and after its entry.
func TestWordOnARunThatEndedDoesNotTouchTheNext(t *testing.T) {
	for name, take := range ways {
		t.Run(name, func(t *testing.T) {
			l, _ := newTargetLoop(t)
			l.takeTargets(platform.Batch{Revision: revision.Revision{Count: 2}, Changes: []platform.Change{entry("again", 2, 1000)}}, true)
			first, second := uint64(place.HashOf("again@1000")), uint64(place.HashOf("again@2000"))
			leaves := func(run uint64) {
				l.hearLeaving("b", []*zinccovev1.LeavingTarget{{Target: run, Version: 100}})
			}
			leaves(second)
			assert.Assert(t, placed(l, "again"), "the word on the next run does not touch this one")
			take(l, entry("again", 5, 2000))
			told := l.leavingTargets()
			assert.Equal(t, len(told), 1, "others are told that the run ended")
			assert.Equal(t, told[0].Target, first)
			leaves(first)
			l.gateway.placer.ApplyReport("b", place.Report{Update: place.Update{
				Prefills: []place.Prefill{{Target: place.Hash(first), Number: 1, Tokens: 1 << 20}},
				Loads:    map[place.Hash]place.Load{place.Hash(first): {Requests: 1000}},
			}})
			assert.Assert(t, placed(l, "again"))
			d := l.gateway.placer.Place(ask("x"), place.Reply{Target: place.Hash(first), PendingTokens: 1 << 20, Requests: 1000, Slowness: 8})
			assert.Assert(t, d.Run != nil)
			assert.Equal(t, d.Replies, 0)
			ways["change"](l, entry("again", 9, 1000))
			assert.Assert(t, !d.Run.Unavailable(), "a late entry of the run that ended")
		})
	}
}

// TestOwnWordOfATargetOutranksTheStore has a target say in an answer that it leaves, here or
// at another router, while its entry goes on to say that it is ready, in each way in which
// entries come. Other routers are told as long as the store does not tell them.
func TestOwnWordOfATargetOutranksTheStore(t *testing.T) {
	for name, take := range ways {
		t.Run(name, func(t *testing.T) {
			l, clock := newTargetLoop(t)
			l.takeTargets(platform.Batch{Revision: revision.Revision{Count: 2}, Changes: []platform.Change{entry("leaves", 2, 1000), entry("other", 1, 0)}}, true)
			run := place.HashOf("leaves@1000")
			l.hearLeaving("b", []*zinccovev1.LeavingTarget{{Target: uint64(run), Said: true}})
			for i := range 3 {
				take(l, entry("leaves", uint64(10+i), 1000))
				clock.Advance(leavingFor)
				for range 20 {
					assert.Assert(t, placed(l, "other"))
				}
				told := l.leavingTargets()
				assert.Equal(t, len(told), 1)
				assert.Assert(t, told[0].Said && told[0].Target == uint64(run))
			}
			other, _ := newTargetLoop(t)
			other.hearLeaving("a", l.leavingTargets())
			other.takeTargets(platform.Batch{Revision: revision.Revision{Count: 20}, Changes: []platform.Change{entry("leaves", 20, 1000), entry("other", 1, 0)}}, true)
			for range 20 {
				assert.Assert(t, placed(other, "other"), "a router that starts hears it before the table")
			}
			take(l, entry("leaves", 30, 2000))
			assert.Assert(t, !slices.ContainsFunc(l.leavingTargets(), func(t *zinccovev1.LeavingTarget) bool { return t.Said }))
			used := false
			for range 50 {
				used = used || placed(l, "leaves")
			}
			assert.Assert(t, used, "the next run is used")
		})
	}
}
