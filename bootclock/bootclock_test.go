package bootclock

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// host is a host whose clocks a test moves.
type host struct {
	clock             *clockwork.FakeClock
	began             time.Time
	stepped, away     time.Duration
	pause             time.Duration
	readings, refused int
}

func newHost() (*host, *Clock) {
	h := &host{clock: clockwork.NewFakeClock()}
	h.began = h.clock.Now()
	steady := func(now time.Time) time.Duration { return now.Sub(h.began) }
	return h, &Clock{
		Clock:  h.clock,
		steady: steady,
		day:    func(now time.Time) time.Duration { return steady(now) + h.stepped + h.away },
		boot: func() (time.Duration, error) {
			h.readings++
			if h.refused > 0 {
				return 0, errors.New("no such clock")
			}
			boot := steady(h.clock.Now()) + h.away
			h.clock.Advance(h.pause)
			h.pause = 0
			return boot, nil
		},
	}
}

// TestSuspensionCounts has the host suspended twice. Go's clock counts nothing of it: a
// lease of six seconds was held after ten.
func TestSuspensionCounts(t *testing.T) {
	h, c := newHost()
	began := c.Now()
	h.clock.Advance(time.Second)
	assert.Equal(t, c.Since(began), time.Second)
	assert.Equal(t, h.readings, 0, "no call of the kernel while the clocks agree")
	h.away += 5 * time.Second
	assert.Equal(t, c.Since(began), 6*time.Second, "at once, before any timer")
	h.clock.Advance(time.Second)
	h.away += 4 * time.Second
	assert.Equal(t, c.Since(began), 11*time.Second)
	assert.Equal(t, c.Away(), 9*time.Second)
	assert.Equal(t, h.readings, 2)
	assert.Equal(t, c.Until(began.Add(12*time.Second)), time.Second)
	assert.Equal(t, Steady(c, c.Now()), h.clock.Now(), "timers do not count it")
	w := Watch{Clock: c}
	assert.Equal(t, w.Suspended(), 9*time.Second)
	assert.Equal(t, w.Suspended(), time.Duration(0), "told once")
}

func TestStepsOfTheTimeOfDayDoNotCount(t *testing.T) {
	h, c := newHost()
	began := c.Now()
	for _, step := range []time.Duration{2 * time.Second, -7 * time.Second, 5 * time.Second} {
		h.stepped += step
		h.clock.Advance(time.Second)
		c.Now()
	}
	assert.Equal(t, c.Since(began), 3*time.Second)
	assert.Equal(t, c.Away(), time.Duration(0))
	// Both at once.
	h.stepped -= 3 * time.Second
	h.away += 10 * time.Second
	assert.Equal(t, c.Since(began), 13*time.Second)
}

// TestPauseOfTheProcessDoesNotCount has the process stand still while it reads the clocks.
func TestPauseOfTheProcessDoesNotCount(t *testing.T) {
	h, c := newHost()
	h.stepped += time.Second
	h.pause = 300 * time.Millisecond
	c.Now()
	assert.Equal(t, c.Away(), time.Duration(0))
	h.away += 2 * time.Second
	h.pause = 300 * time.Millisecond
	c.Now()
	assert.Equal(t, c.Away(), 2*time.Second)
}

func TestKernelWithoutTheClock(t *testing.T) {
	h, c := newHost()
	h.refused = 1
	began := c.Now()
	h.away += time.Second
	h.clock.Advance(time.Second)
	assert.Equal(t, c.Since(began), time.Second)
	assert.Equal(t, h.readings, 1, "and not asked again and again")
}

func TestRealClockAgreesWithGos(t *testing.T) {
	c := New()
	began, real := c.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, (c.Since(began)-time.Since(real)).Abs() < 5*time.Millisecond)
	booted, err := c.boot()
	assert.NilError(t, err)
	assert.Assert(t, booted >= 20*time.Millisecond)
	other := clockwork.NewFakeClock()
	assert.Equal(t, Steady(other, other.Now()), other.Now())
	w := Watch{Clock: other}
	assert.Equal(t, w.Suspended(), time.Duration(0))
}

// BenchmarkNow: 88 ns; Go's own clock takes 60 ns, a call of the kernel 190 ns.
func BenchmarkNow(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Now()
	}
}

func BenchmarkGosNow(b *testing.B) {
	for b.Loop() {
		time.Now()
	}
}

func BenchmarkSinceBoot(b *testing.B) {
	for b.Loop() {
		sinceBoot() //nolint:errcheck // measured only
	}
}
