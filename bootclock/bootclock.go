// Package bootclock provides a clock that includes the time for which the host was suspended.
//
// Go's monotonic clock stops while a host is suspended. After the host resumes, a process
// would therefore treat its state as no older than before: a lease as still held, a target
// as still reachable, a key as still valid. This clock is based on the kernel's
// CLOCK_BOOTTIME. On a host that was suspended for five seconds, the first reading after the
// resumption already makes all state five seconds older.
//
// Reading CLOCK_BOOTTIME takes a system call. It is read only when the difference between the
// time of day and the monotonic clock has changed since the last reading, which happens after
// a suspension and after a step of the time of day.
//
// # Limits
//
// Timers are those of Go: they do not fire while the host is suspended and are late by that
// time, so code that runs on a timer has to read the clock. Deadlines of connections are on
// the clock of these timers; ToMonotonic converts to it. The time of day that Now returns is
// ahead by the time for which the host was suspended since the process started.
//
// # Usage
//
//	clock := bootclock.New()
//	age := clock.Since(t)                                 // includes suspension
//	conn.SetDeadline(bootclock.ToMonotonic(clock, until)) // on the clock of Go's timers
//	total := clock.TotalSuspended()                       // total suspension since the start
//
//	w := bootclock.Watch{Clock: clock}
//	if d := w.Suspended(); d > 0 { ... } // call periodically
package bootclock

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is the host's clock. It is safe for concurrent use.
type Clock struct {
	clockwork.Clock

	// monotonic returns the monotonic clock and wall the time of day at now; boot reads the
	// clock that includes suspension. Each is a time since the start. Tests replace them.
	monotonic func(now time.Time) time.Duration
	wall      func(now time.Time) time.Duration
	boot      func() (time.Duration, error)
	// toTimerTime converts a time of the monotonic clock to the clock of Go's timers; nil if
	// they are the same.
	toTimerTime func(time.Time) time.Time

	// wallOffset is by how much the time of day was ahead of the monotonic clock when boot was
	// last read; suspended is the total time for which the host was suspended.
	wallOffset atomic.Int64
	suspended  atomic.Int64
}

const (
	// clockTolerance is the change of the difference between the two clocks above which boot is
	// read. It is shorter than any suspension that matters and longer than what adjusting the
	// time of day changes in a minute.
	clockTolerance = 5 * time.Millisecond
	// maxReadTime is the longest time that a reading of boot may take and still be used: this
	// process may be paused between the readings of two clocks. maxReads bounds the number of
	// readings.
	maxReadTime = time.Millisecond
	maxReads    = 5
)

// New returns the clock of this host.
func New() *Clock {
	monotonic := clockwork.NewRealClock()
	wallAtStart := monotonic.Now().Round(0)
	bootAtStart, err := sinceBoot()
	return NewFromSources(Sources{
		Monotonic: monotonic,
		Wall:      func(now time.Time) time.Duration { return now.Round(0).Sub(wallAtStart) },
		Boot: func() (time.Duration, error) {
			if err != nil {
				return 0, err
			}
			now, err := sinceBoot()
			return now - bootAtStart, err
		},
	})
}

// Sources are the clocks of a host that a Clock is based on. All but Timers are required.
type Sources struct {
	// Monotonic stops while the host is suspended.
	Monotonic clockwork.Clock
	// Wall returns the time of day at a time of Monotonic; Boot returns a time that includes
	// suspension. Both are times since the start.
	Wall func(now time.Time) time.Duration
	Boot func() (time.Duration, error)
	// Timers converts a time of Monotonic to the clock of Go's timers, if these do not stop
	// with it.
	Timers func(time.Time) time.Time
}

// NewFromSources returns a clock that is based on the clocks of s, for hosts whose suspension
// is simulated.
func NewFromSources(s Sources) *Clock {
	start := s.Monotonic.Now()
	return &Clock{
		Clock: s.Monotonic, monotonic: func(now time.Time) time.Duration { return now.Sub(start) }, wall: s.Wall, boot: s.Boot, toTimerTime: s.Timers,
	}
}

// sinceBoot reads CLOCK_BOOTTIME.
func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the current time. The difference between two such times includes suspension.
func (c *Clock) Now() time.Time {
	now := c.Clock.Now()
	wallOffset := c.wall(now) - c.monotonic(now)
	if (wallOffset - time.Duration(c.wallOffset.Load())).Abs() > clockTolerance {
		c.checkSuspension(wallOffset)
	}
	return now.Add(c.TotalSuspended())
}

// checkSuspension reads the boot clock, adds a new suspension of the host to the total and
// records the offset of the time of day.
func (c *Clock) checkSuspension(wallOffset time.Duration) {
	for range maxReads {
		before := c.monotonic(c.Clock.Now())
		boot, err := c.boot()
		after := c.monotonic(c.Clock.Now())
		if err != nil {
			break // the kernel lacks CLOCK_BOOTTIME; Go's clock is the best available
		}
		if after-before > maxReadTime {
			continue
		}
		// The monotonic time after the reading is subtracted, so that a pause of this process
		// during the reading is not counted as suspension.
		if suspended := boot - after; suspended > c.TotalSuspended()+clockTolerance {
			c.suspended.Store(int64(suspended))
		}
		break
	}
	c.wallOffset.Store(int64(wallOffset))
}

// TotalSuspended returns the total time for which the host was suspended since the start, as
// of the last call of Now.
func (c *Clock) TotalSuspended() time.Duration { return time.Duration(c.suspended.Load()) }

// Since returns the time elapsed since t, including suspension.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// ToMonotonic converts a time of clock to the clock of Go's timers and of the deadlines of
// connections. Times of clocks of other packages are returned unchanged.
func ToMonotonic(clock clockwork.Clock, t time.Time) time.Time {
	c, ok := clock.(*Clock)
	if !ok {
		return t
	}
	t = t.Add(-c.TotalSuspended())
	if c.toTimerTime != nil {
		return c.toTimerTime(t)
	}
	return t
}

// Watch detects suspensions for a control loop.
type Watch struct {
	Clock clockwork.Clock

	reported time.Duration
}

// minReported is the shortest suspension that is reported. Shorter ones are like pauses of a
// process, which other bounds allow for.
const minReported = 200 * time.Millisecond

// Suspended returns for how long the host was suspended since the last call, 0 if it was not.
// For clocks of other packages it always returns 0.
func (w *Watch) Suspended() time.Duration {
	c, ok := w.Clock.(interface{ TotalSuspended() time.Duration })
	if !ok {
		return 0
	}
	d := c.TotalSuspended() - w.reported
	if d < minReported {
		return 0
	}
	w.reported += d
	return d
}
