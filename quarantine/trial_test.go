package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// newTurns returns lists of routers that take turns.
func newTurns(n int) ([]*List, *clockwork.FakeClock) {
	lists, clock := newLists(n)
	for i, l := range lists {
		l.SetTurn(i, n)
	}
	return lists, clock
}

// tryFor has requests come at all routers, and returns how many reached a target.
func tryFor(lists []*List, clock *clockwork.FakeClock, d time.Duration, request func(n int) *Content, reached func(*List, *Content)) (n int) {
	for i := range int(d / (100 * time.Millisecond)) {
		for j, l := range lists {
			if c := request(1000*i + j); !bars(l, c) {
				n++
				reached(l, c)
			}
		}
		clock.Advance(100 * time.Millisecond)
		exchangeHeartbeats(lists...)
	}
	return n
}

// TestSoundPartsThatWereBarredWithABadOneAreUsedAgain covers parts that nobody sent for a while before the
// requests came that share them with the part which ends targets.
func TestSoundPartsThatWereBarredWithABadOneAreUsedAgain(t *testing.T) {
	lists, clock := newTurns(3)
	losesAtMoments(lists[0], clock, barMoments, "first", "second", "bad")
	exchangeHeartbeats(lists...)
	sound := func(n int) *Content { return prompt(n, "first", "second", fmt.Sprint("own", n)) }
	for _, l := range lists {
		assert.Assert(t, bars(l, prompt(-1, "first", "second", "bad")))
	}
	tryFor(lists, clock, 4*trialTurn, sound, func(l *List, c *Content) { l.RecordWritten(c) })
	for _, l := range lists {
		assert.Assert(t, !bars(l, sound(-2)))
		assert.Assert(t, bars(l, prompt(-3, "first", "second", "bad")))
		assert.Assert(t, bars(l, prompt(-4, "another", "bad")))
	}
}

// TestTrialsEndFewTargets has the part that ends targets come with others which were barred together with it,
// with some of them and alone.
func TestTrialsEndFewTargets(t *testing.T) {
	for _, parts := range [][]string{{"first", "second", "bad"}, {"first", "bad"}, {"bad"}} {
		for _, routers := range []int{1, 3, 16} {
			lists, clock := newTurns(routers)
			losesAtMoments(lists[0], clock, barMoments, "first", "second", "bad")
			exchangeHeartbeats(lists...)
			ends := 0
			ended := tryFor(lists, clock, time.Minute, func(n int) *Content { return prompt(n, parts...) }, func(l *List, c *Content) {
				l.RecordLoss(c, IncarnationHash(1000+ends), NotBegun)
				ends++
			})
			assert.Assert(t, ended <= maxUnexplained+1, "%v, %d routers: %d", parts, routers, ended)
		}
	}
}

// TestTrialIsNotRepeatedAfterItEndedItsTarget covers the attempts of one request.
func TestTrialIsNotRepeatedAfterItEndedItsTarget(t *testing.T) {
	lists, clock := newTurns(1)
	losesAtMoments(lists[0], clock, barMoments, "first", "bad")
	clock.Advance(trialTurn - time.Duration(clock.Now().UnixNano()%int64(trialTurn)))
	c := prompt(7, "first")
	assert.Assert(t, !bars(lists[0], c))
	clock.Advance(trialWindow)
	assert.Assert(t, !bars(lists[0], c), "it waited, and was not sent")
	assert.Assert(t, bars(lists[0], prompt(8, "first")), "one at a time")
	lists[0].RecordLoss(c, 100, NotBegun)
	assert.Assert(t, bars(lists[0], c))
}
