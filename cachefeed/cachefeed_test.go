package cachefeed

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

func TestEventsFromTheFirstAreComplete(t *testing.T) {
	var p position
	c, ok := p.advance(Events{Epoch: 7, Next: 2, Parts: []Part{{"a", 10}}})
	assert.Assert(t, ok && c.Known && c.Complete)
	c, ok = p.advance(Events{Epoch: 7, Next: 3, Parts: []Part{{"a", 0}}})
	assert.Assert(t, ok && c.Known && !c.Complete)
	assert.Equal(t, p.since, uint64(3))
}

func TestNoChangeIsNotApplied(t *testing.T) {
	p := position{begun: true, epoch: 7, since: 2}
	_, ok := p.advance(Events{Epoch: 7, Next: 2})
	assert.Assert(t, !ok)
}

func TestRestartedTargetIsReadFromItsFirstEvent(t *testing.T) {
	p := position{begun: true, epoch: 7, since: 200}
	c, ok := p.advance(Events{Epoch: 8, Next: 3, Parts: []Part{{"late", 1}}})
	assert.Assert(t, ok && !c.Known)
	assert.Equal(t, len(c.Parts), 0)
	assert.Equal(t, p.since, uint64(0))
	c, _ = p.advance(Events{Epoch: 8, Next: 3, Parts: []Part{{"a", 1}}})
	assert.Assert(t, c.Known && c.Complete)
}

func TestLostEventsNeedAList(t *testing.T) {
	for name, p := range map[string]position{"first": {}, "later": {begun: true, epoch: 7, since: 2}} {
		t.Run(name, func(t *testing.T) {
			c, ok := p.advance(Events{Epoch: 7, Next: 900, Lost: true, Parts: []Part{{"a", 1}}})
			assert.Assert(t, ok && !c.Known && p.needsList)
			c = p.adopt(List{Epoch: 7, Next: 905, Parts: []Part{{"b", 1}}})
			assert.Assert(t, c.Known && c.Complete && !p.needsList)
			assert.Equal(t, p.since, uint64(905))
		})
	}
}

func TestListOfAnEarlierEpochIsFollowedByARestart(t *testing.T) {
	p := position{needsList: true}
	p.adopt(List{Epoch: 7, Next: 905})
	c, ok := p.advance(Events{Epoch: 8, Next: 1})
	assert.Assert(t, ok && !c.Known)
}

// fakeTarget counts the calls of one target.
type fakeTarget struct {
	calls  chan string
	events func(since uint64) (Events, error)
}

func (f *fakeTarget) open(Target) Source {
	return Source{
		Events: func(since uint64, _ time.Duration) (Events, error) {
			f.calls <- "events"
			return f.events(since)
		},
		List:  func() (List, error) { f.calls <- "list"; return List{Epoch: 1, Next: 5}, nil },
		Close: func() error { return nil },
	}
}

// follow follows one target and returns the times of its first calls.
func follow(t *testing.T, f *fakeTarget, busy func(Target) bool, calls int) (names []string, at []time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	clock := clockwork.NewFakeClock()
	started := clock.Now()
	f.calls = make(chan string, 100)
	set := New(Options{Clock: clock, Open: f.open, Apply: func(Change) {}, Busy: busy})
	set.Follow([]Target{{ID: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")}})
	for len(names) < calls {
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
		for len(f.calls) > 0 {
			names, at = append(names, <-f.calls), append(at, clock.Since(started))
		}
		clock.Advance(50 * time.Millisecond)
	}
	assert.NilError(t, set.Close())
	return names, at
}

func TestCallsThatReturnEarlyAreSpaced(t *testing.T) {
	f := &fakeTarget{events: func(since uint64) (Events, error) {
		return Events{Epoch: 1, Next: since + 1, Parts: []Part{{"a", 1}}}, nil
	}}
	_, at := follow(t, f, nil, 4)
	for i := range at[1:] {
		assert.Assert(t, at[i+1]-at[i] >= minInterval, "%v", at)
	}
}

func TestTargetWithTooManyCallsIsLeftAlone(t *testing.T) {
	f := &fakeTarget{events: func(uint64) (Events, error) { return Events{}, ErrTooManyCalls }}
	_, at := follow(t, f, nil, 3)
	assert.Assert(t, at[1] >= fullBackoff/2 && at[2] >= fullBackoff, "%v", at)
}

func TestListsOfATargetAreRare(t *testing.T) {
	f := &fakeTarget{events: func(uint64) (Events, error) { return Events{Epoch: 1, Lost: true}, nil }}
	names, at := follow(t, f, nil, 6)
	var lists []time.Duration
	for i, name := range names {
		if name == "list" {
			lists = append(lists, at[i])
		}
	}
	assert.Assert(t, len(lists) >= 2, "%v", names)
	for i := range lists[1:] {
		assert.Assert(t, lists[i+1]-lists[i] >= listInterval, "%v", lists)
	}
}

func TestNoListOfATargetThatIsFull(t *testing.T) {
	f := &fakeTarget{events: func(uint64) (Events, error) { return Events{Epoch: 1, Lost: true}, nil }}
	n := 0
	names, _ := follow(t, f, func(Target) bool { n++; return n < 20 }, 2)
	assert.DeepEqual(t, names, []string{"events", "list"})
	assert.Equal(t, n, 20)
}

func TestFollowersStopWithTheirTargets(t *testing.T) {
	closed := make(chan uint64, 10)
	gone := make(chan struct{})
	clock := clockwork.NewFakeClock()
	applied := make(chan Change, 10)
	set := New(Options{Clock: clock, Apply: func(c Change) { applied <- c }, Open: func(t Target) Source {
		return Source{
			Events: func(uint64, time.Duration) (Events, error) { <-gone; return Events{}, context.Canceled },
			Close:  func() error { closed <- t.ID; close(gone); return nil },
		}
	}})
	set.Follow([]Target{{ID: 3}})
	assert.Equal(t, set.Len(), 1)
	set.Follow(nil)
	assert.Equal(t, <-closed, uint64(3))
	assert.Assert(t, !(<-applied).Known)
	assert.Equal(t, set.Len(), 0)
	assert.NilError(t, set.Close())
}

// TestTargetThatIsFollowedAgainStaysKnown has a target followed again before its first follower
// has ended.
func TestTargetThatIsFollowedAgainStaysKnown(t *testing.T) {
	held := make(chan struct{})
	changes := make(chan Change, 10)
	opened := 0
	set := New(Options{Clock: clockwork.NewFakeClock(), Apply: func(c Change) { changes <- c }, Open: func(Target) Source {
		opened++
		first := opened == 1
		return Source{
			Events: func(uint64, time.Duration) (Events, error) {
				if first {
					<-held
				}
				return Events{Epoch: 1, Next: 1}, nil
			},
			Close: func() error { return nil },
		}
	}})
	set.Follow([]Target{{ID: 1}})
	set.Follow(nil)
	set.Follow([]Target{{ID: 1}})
	assert.Assert(t, (<-changes).Known)
	close(held)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, len(changes), 0)
	assert.NilError(t, set.Close())
	assert.Assert(t, !(<-changes).Known)
}

func TestFollowedTargetsAreBounded(t *testing.T) {
	list := make([]Target, MaxTargets+5)
	for i := range list {
		list[i].ID = uint64(i)
	}
	f := &fakeTarget{calls: make(chan string, 1000), events: func(uint64) (Events, error) { return Events{Epoch: 1}, nil }}
	set := New(Options{Clock: clockwork.NewFakeClock(), Open: f.open, Apply: func(Change) {}})
	set.Follow(list)
	assert.Equal(t, set.Len(), MaxTargets)
	assert.NilError(t, set.Close())
}
