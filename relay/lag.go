package relay

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// lag is how late this process does what is due, as of the last looks at what
// runs. A host that gets more requests than its processor can carry falls
// seconds behind: events reach callers late, requests are sent to targets that
// left meanwhile, heartbeats are not read. Streams are refused before that
// (throttle.go); a stream costs many times what a refusal does.
type lag struct {
	clock clockwork.Clock
	// last is the lag as of the last look in nanoseconds.
	last atomic.Int64
	// due is when the next look is due, nil before the first. A process that is
	// far behind may not look for seconds.
	due atomic.Pointer[time.Time]
}

const (
	// leastLag is the lag from which on the rate of streams falls: timers of a process
	// that has time fire within some milliseconds.
	leastLag = 40 * time.Millisecond
	// mostLag is the lag from which on it falls most: operators want events passed on
	// within 120 ms.
	mostLag = 120 * time.Millisecond
	// lagForget is the part of the lag that is kept when the next look is in time,
	// so that a short pause does not let everything in again.
	lagForget = 0.5
)

// looked notes that a look at what runs begins, and returns how late it is.
func (l *lag) looked() time.Duration {
	late := l.overdue()
	kept := time.Duration(lagForget * float64(l.last.Load()))
	l.last.Store(int64(max(late, kept)))
	return late
}

// expect notes when the next look is due.
func (l *lag) expect(next time.Time) { l.due.Store(&next) }

// overdue is how late the next look is by now.
func (l *lag) overdue() time.Duration {
	due := l.due.Load()
	if due == nil {
		return 0
	}
	return l.clock.Since(*due)
}

// current returns the lag: as of the last look, or that of a look which is due
// and does not come.
func (l *lag) current() time.Duration { return max(time.Duration(l.last.Load()), l.overdue()) }

// excess is the part of streams that this router cannot take by its lag: 0 up to
// leastLag, 1 from mostLag on.
func (l *lag) excess() float64 { return excess(l.current(), leastLag, mostLag) }
