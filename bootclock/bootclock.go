// Package bootclock is a clock that counts the time for which the host was suspended.
//
// Go's monotonic clock stands still while a host is suspended, so that whoever wakes takes
// what it knows for as young as it was: a lease for held, a target for there, a key for
// good. This clock goes by the kernel's CLOCK_BOOTTIME. A router that was away for five
// seconds finds everything five seconds older before it does anything else.
//
// Reading CLOCK_BOOTTIME costs a call of the kernel. It is read only when the time of day
// and the monotonic clock came apart since the last reading, which a suspension does, and
// a step of the time of day.
//
// # Limits
//
// Timers are those of Go: they do not fire while the host is suspended and are late by that
// time. What acts on them has to ask the clock. Deadlines of connections are on the clock
// of these timers; Steady translates. The time of day that Now tells is ahead by the time for
// which the host was suspended since the process started.
//
// # Usage
//
//	clock := bootclock.New()
//	age := clock.Since(t)                            // with the time that the host was suspended
//	conn.SetDeadline(bootclock.Steady(clock, until)) // on the clock of Go's timers
//	total := clock.Away()                            // suspended since the start
//
//	w := bootclock.Watch{Clock: clock}
//	if d := w.Suspended(); d > 0 { ... } // from time to time
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

	// steady reads the monotonic clock, day the time of day and boot the clock that counts
	// suspension, each as a time since the start. Tests replace them.
	steady func(now time.Time) time.Duration
	day    func(now time.Time) time.Duration
	boot   func() (time.Duration, error)
	// timers translates a time of the steady clock to that of Go's timers; nil where they
	// are the same.
	timers func(time.Time) time.Time

	// ahead is by how much the time of day was ahead of the monotonic clock when boot was
	// read last, away the time for which the host was suspended.
	ahead atomic.Int64
	away  atomic.Int64
}

const (
	// apart is how far the two clocks come apart before boot is read: less than is worth
	// a thought, more than an adjustment of the time of day makes in a minute.
	apart = 5 * time.Millisecond
	// mostUnsure is how long reading boot may take to count: this process may stand still
	// between two clocks. Tries bounds the readings.
	mostUnsure = time.Millisecond
	tries      = 5
)

// New returns the clock of this host.
func New() *Clock {
	steady := clockwork.NewRealClock()
	wall := steady.Now().Round(0)
	booted, err := sinceBoot()
	return NewOf(Sources{
		Steady: steady,
		Day:    func(now time.Time) time.Duration { return now.Round(0).Sub(wall) },
		Boot: func() (time.Duration, error) {
			if err != nil {
				return 0, err
			}
			now, err := sinceBoot()
			return now - booted, err
		},
	})
}

// Sources are the clocks of a host that a Clock goes by. All but Timers are required.
type Sources struct {
	// Steady stands still while the host is suspended.
	Steady clockwork.Clock
	// Day is the time of day at a time of Steady, Boot counts suspension. Both are times
	// since the start.
	Day  func(now time.Time) time.Duration
	Boot func() (time.Duration, error)
	// Timers translates a time of Steady to that of Go's timers, where these do not stand
	// still with it.
	Timers func(time.Time) time.Time
}

// NewOf returns a clock that goes by others, for hosts whose suspension is only played.
func NewOf(s Sources) *Clock {
	began := s.Steady.Now()
	return &Clock{
		Clock: s.Steady, steady: func(now time.Time) time.Duration { return now.Sub(began) }, day: s.Day, boot: s.Boot, timers: s.Timers,
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

// Now returns the time. Differences between two times count suspension.
func (c *Clock) Now() time.Time {
	now := c.Clock.Now()
	ahead := c.day(now) - c.steady(now)
	if (ahead - time.Duration(c.ahead.Load())).Abs() > apart {
		c.look(ahead)
	}
	return now.Add(c.Away())
}

// look finds out whether the host was suspended.
func (c *Clock) look(ahead time.Duration) {
	for range tries {
		before := c.steady(c.Clock.Now())
		boot, err := c.boot()
		after := c.steady(c.Clock.Now())
		if err != nil {
			break // the kernel has no such clock: Go's is as good as there is
		}
		if after-before > mostUnsure {
			continue
		}
		// Before the reading took place, so that a pause of this process is not counted.
		if away := boot - after; away > c.Away()+apart {
			c.away.Store(int64(away))
		}
		break
	}
	c.ahead.Store(int64(ahead))
}

// Away returns the time for which the host was suspended since the start, as of the last Now.
func (c *Clock) Away() time.Duration { return time.Duration(c.away.Load()) }

// Since returns the time since t, with the time that the host was suspended.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Steady translates a time of a clock to the clock by which Go's timers and the deadlines of
// connections run. Times of other clocks than those of this package stay as they are.
func Steady(clock clockwork.Clock, t time.Time) time.Time {
	c, ok := clock.(*Clock)
	if !ok {
		return t
	}
	t = t.Add(-c.Away())
	if c.timers != nil {
		return c.timers(t)
	}
	return t
}

// Watch notices suspensions for a control loop.
type Watch struct {
	Clock clockwork.Clock

	noted time.Duration
}

// worthNoting is the least suspension that is told: shorter ones are as pauses of a process
// that other bounds allow for.
const worthNoting = 200 * time.Millisecond

// Suspended returns for how long the host was suspended since the last call, 0 if it was not.
// Clocks of other packages know of none.
func (w *Watch) Suspended() time.Duration {
	c, ok := w.Clock.(interface{ Away() time.Duration })
	if !ok {
		return 0
	}
	d := c.Away() - w.noted
	if d < worthNoting {
		return 0
	}
	w.noted += d
	return d
}
