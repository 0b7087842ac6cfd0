package place

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/roster"
	"zinccove.example/zinccove/route"
)

const (
	copiedTokens = 13_000
	ownTokens    = 3_000
	// testCopyRate is in tokens a second, six times the speed of prefill.
	testCopyRate = 420_000
)

// copyFixture is a placer for engines that copy, and a prompt whose first home has its shared
// part cached.
type copyFixture struct {
	*Placer
	clock *clockwork.FakeClock
	list  []*roster.Target
	table *route.Table
	// first is the home, second the next one.
	first, second *target
	request       Request
}

func newCopyFixture(t *testing.T, rate float64) *copyFixture {
	t.Helper()
	p, clock := newTestPlacer(t)
	s := &copyFixture{Placer: p, clock: clock, list: targets("model", 9), table: table(t), request: promptRequest(call("part", copiedTokens, ownTokens), "c")}
	for i, x := range s.list {
		x.DataCentre = []string{"x", "y", "z"}[i%3]
	}
	s.table.Services[0].Engine.CopyRate = rate
	s.update()
	run := p.Place(s.request).Run
	clock.Advance(2 * time.Second)
	run.FirstEvent(false)
	run.End(Answered)
	homes := p.homes(p.service("model"), s.request, clock.Now()).homes
	s.first, s.second = homes[0], homes[1]
	assert.Equal(t, s.first.ID, run.Target.ID)
	return s
}

// update applies changes of the list.
func (s *copyFixture) update() { s.SetTargets(s.list, s.table) }

// entry changes the entry of the first home.
func (s *copyFixture) entry(change func(*roster.Target)) {
	for i, x := range s.list {
		if x.ID == s.first.ID {
			changed := *x
			changed.Revision.Count++
			change(&changed)
			s.list[i] = &changed
		}
	}
	s.update()
}

// overloadFirst adds so many pending tokens to the first home that prompts move to the second.
func (s *copyFixture) overloadFirst() { s.first.queue.add(300_000) }

// TestNextHomeCopiesFromFullHome replays a home that is full for a while: prompts move, and
// without copies their shared parts are prefilled again.
func TestNextHomeCopiesFromFullHome(t *testing.T) {
	s := newCopyFixture(t, testCopyRate)
	s.overloadFirst()
	d := s.Place(s.request)
	assert.Equal(t, d.Rank, 1)
	assert.Equal(t, d.CopyFrom, s.first.Address)
	assert.Equal(t, d.CopiedTokens, copiedTokens)
	assert.Equal(t, d.PrefillTokens, ownTokens)
	assert.Equal(t, d.SharedTokens, 0)
	news := s.TakeUpdate()
	assert.Equal(t, news.Prefills[len(news.Prefills)-1].CopiedTokens, copiedTokens)
	again := s.Place(s.request)
	assert.Equal(t, again.Rank, 1)
	assert.Equal(t, again.CopiedTokens, 0, "the target has them cached now")
}

// TestCopyTimeIsPredicted compares the predicted times of a home that copies and of one that has
// the parts cached.
func TestCopyTimeIsPredicted(t *testing.T) {
	s := newCopyFixture(t, testCopyRate)
	kept := s.Place(s.request)
	s.overloadFirst()
	copies := s.Place(s.request)
	least := copySetup + time.Duration(copiedTokens*int64(time.Second)/testCopyRate)
	assert.Equal(t, copies.Predicted-kept.Predicted, least)
	slow := newCopyFixture(t, 1000)
	slow.overloadFirst()
	d := slow.Place(slow.request)
	assert.Equal(t, d.CopiedTokens, 0, "copies that take longer than prefill are not made")
}

// TestCopyTimeDoesNotCountAsSlowness has a copy take as long as predicted.
func TestCopyTimeDoesNotCountAsSlowness(t *testing.T) {
	s := newCopyFixture(t, testCopyRate)
	s.overloadFirst()
	d := s.Place(s.request)
	s.clock.Advance(d.Predicted)
	d.Run.FirstEvent(true)
	factor := d.Run.state.slow.factor(s.clock.Now())
	assert.Assert(t, factor > 0.95 && factor < 1.05, "%v", factor)
}

// TestDrainingHomesAreCopiedFrom replays planned departures. The next homes of the prompts
// prefilled all shared parts again while the engines that had them cached were still running.
func TestDrainingHomesAreCopiedFrom(t *testing.T) {
	leave := map[string]func(s *copyFixture){
		"drains":       func(s *copyFixture) { s.entry(func(x *roster.Target) { x.Draining = true }) },
		"is evacuated": func(s *copyFixture) { s.SetEvacuated(map[string]bool{s.first.DataCentre: true}) },
	}
	for name, change := range leave {
		t.Run(name, func(t *testing.T) {
			s := newCopyFixture(t, testCopyRate)
			change(s)
			questions := s.Queries(s.request)
			assert.Equal(t, questions[len(questions)-1].Target, s.first.hash)
			d := s.Place(s.request)
			assert.Assert(t, d.Run.Target.ID != s.first.ID)
			assert.Equal(t, d.CopyFrom, s.first.Address)
			assert.Equal(t, d.PrefillTokens, ownTokens)
		})
	}
}

// TestUnsuitableHomesAreNotCopiedFrom makes the home that has the shared part cached unusable in
// every way.
func TestUnsuitableHomesAreNotCopiedFrom(t *testing.T) {
	bad := map[string]func(s *copyFixture){
		"ended": func(s *copyFixture) { s.list = without(s.list, s.first.ID); s.update() },
		"restarted": func(s *copyFixture) {
			s.entry(func(x *roster.Target) { x.Started = time.Unix(1, 0) })
			s.first.queue.add(1)
		},
		"replaced":   func(s *copyFixture) { s.first.replaced = true },
		"unreadable": func(s *copyFixture) { s.entry(func(x *roster.Target) { x.Unreadable = true }) },
		"fails and drains": func(s *copyFixture) {
			s.entry(func(x *roster.Target) { x.Draining = true })
			for range openAfter {
				s.first.circuit.record(Failed, s.clock.Now())
			}
		},
		"cut off": func(s *copyFixture) { s.cutOff[s.first.DataCentre] = true },
		"has evicted the part": func(s *copyFixture) {
			s.first.cache.touch(nil, 500_000)
			s.overloadFirst()
		},
	}
	for name, change := range bad {
		t.Run(name, func(t *testing.T) {
			s := newCopyFixture(t, testCopyRate)
			change(s)
			d := s.Place(s.request)
			assert.Assert(t, d.Run != nil)
			assert.Equal(t, d.CopiedTokens, 0)
			assert.Assert(t, !d.CopyFrom.IsValid())
			assert.Equal(t, d.PrefillTokens, copiedTokens+ownTokens)
		})
	}
}

func without(list []*roster.Target, id string) []*roster.Target {
	var rest []*roster.Target
	for _, x := range list {
		if x.ID != id {
			rest = append(rest, x)
		}
	}
	return rest
}

func TestEnginesWithoutCopyPrefillAgain(t *testing.T) {
	s := newCopyFixture(t, 0)
	s.overloadFirst()
	d := s.Place(s.request)
	assert.Equal(t, d.Rank, 1)
	assert.Equal(t, d.PrefillTokens, copiedTokens+ownTokens)
	assert.Equal(t, len(s.Queries(s.request)), maxHomes)
}

func TestShortPartsAreNotCopied(t *testing.T) {
	s := newCopyFixture(t, testCopyRate)
	s.request = promptRequest(call("short", minCopiedTokens-1, ownTokens), "c")
	run := s.Place(s.request).Run
	run.End(Answered)
	run.state.queue.add(60_000)
	d := s.Place(s.request)
	assert.Equal(t, d.Rank, 1)
	assert.Equal(t, d.CopiedTokens, 0)
}
