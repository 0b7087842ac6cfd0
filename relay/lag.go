package relay

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// lag is how late this process runs its timers, measured at the ticks of the monitor. A host
// that gets more requests than its processor can serve falls seconds behind: events reach
// callers late, requests are sent to targets that are draining by then, heartbeats are not
// read. Streams are refused before that (throttle.go); a stream costs many times as much as a
// refusal.
type lag struct {
	clock clockwork.Clock
	// measured is the lag as of the last tick in nanoseconds.
	measured atomic.Int64
	// due is when the next tick is due, nil before the first. A process that is far behind may
	// not tick for seconds.
	due atomic.Pointer[time.Time]
}

const (
	// minLag is the lag from which on the rate of streams is reduced: timers of a process that
	// has enough processor time fire within some milliseconds.
	minLag = 40 * time.Millisecond
	// maxLag is the lag at which the reduction is greatest: operators require that events are
	// passed on within 120 ms.
	maxLag = 120 * time.Millisecond
	// lagDecay is the part of the lag that is kept when the next tick is in time, so that a
	// tick in time does not end all refusals at once.
	lagDecay = 0.5
)

// recordTick records that a tick begins, and returns how late it is.
func (l *lag) recordTick() time.Duration {
	late := l.overdue()
	kept := time.Duration(lagDecay * float64(l.measured.Load()))
	l.measured.Store(int64(max(late, kept)))
	return late
}

// expectTick records when the next tick is due.
func (l *lag) expectTick(next time.Time) { l.due.Store(&next) }

// overdue returns how late the next tick is by now.
func (l *lag) overdue() time.Duration {
	due := l.due.Load()
	if due == nil {
		return 0
	}
	return l.clock.Since(*due)
}

// current returns the lag as of the last tick, or that of an overdue tick if it is longer.
func (l *lag) current() time.Duration { return max(time.Duration(l.measured.Load()), l.overdue()) }

// excess returns the share of streams that this router cannot serve in time, estimated from its
// lag: 0 up to minLag, 1 from maxLag on.
func (l *lag) excess() float64 { return excess(l.current(), minLag, maxLag) }
