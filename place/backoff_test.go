package place

import (
	"container/heap"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/notice"
)

// timedEvents are functions to call at given times, the earliest first.
type timedEvents []timedEvent

type timedEvent struct {
	at time.Time
	do func()
}

func (m timedEvents) Len() int           { return len(m) }
func (m timedEvents) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m timedEvents) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *timedEvents) Push(x any)        { *m = append(*m, x.(timedEvent)) }
func (m *timedEvents) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// TestCallersReturnAfterABackoff replays calls to a plain service all of whose targets ask for
// a backoff of three seconds at once. Refused callers retry after the given delay. Full targets
// refuse calls and ask for another backoff, so that many simultaneous retries at the end of the
// first backoff would start the next one.
func TestCallersReturnAfterABackoff(t *testing.T) {
	const (
		backoff = 3 * time.Second
		hold    = 30 * time.Millisecond
		period  = 4 * time.Millisecond
		length  = 10 * time.Second
		slots   = 6
		// room is the maximum number of calls that a target has running or waiting.
		room = 8
	)
	p, clock := newTestPlacer(t)
	list := targets("plain", 3)
	for _, target := range list {
		target.Slots = slots
	}
	p.SetTargets(list, table(t))
	began := clock.Now()
	var (
		due               timedEvents
		away, served, all int
		come              func(first time.Time)
	)
	at := func(when time.Time, do func()) { heap.Push(&due, timedEvent{when, do}) }
	come = func(first time.Time) {
		r := promptRequest(call("some", 1000, 10), "c")
		r.Service = "plain"
		d := p.Place(r)
		now := clock.Now()
		if d.Run == nil {
			at(now.Add(d.RetryAfter), func() { come(first) })
			return
		}
		if now.Sub(began) < backoff || d.Outstanding >= room {
			if now.Sub(began) >= backoff {
				away++
			}
			d.Run.ApplyNotice(notice.Notice{Backoff: backoff})
			d.Run.End(Refused)
			at(now.Add(minRetryAfter), func() { come(first) })
			return
		}
		at(now.Add(hold), func() {
			d.Run.End(Answered)
			served++
		})
	}
	for when := began; when.Sub(began) < length; when = when.Add(period) {
		all++
		at(when, func() { come(when) })
	}
	for len(due) > 0 && due[0].at.Sub(began) < length {
		m := heap.Pop(&due).(timedEvent)
		clock.Advance(m.at.Sub(clock.Now()))
		m.do()
	}
	t.Logf("of %d calls %d served, %d refused after the backoff", all, served, away)
	assert.Assert(t, served > all*9/10, "%d of %d", served, all)
	assert.Equal(t, away, 0)
}
