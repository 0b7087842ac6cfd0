package relay

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// newTestLag returns a lag whose next look is due now.
func newTestLag() (*lag, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	l := &lag{clock: clock}
	l.expect(clock.Now())
	return l, clock
}

func TestLagRefusesInProportion(t *testing.T) {
	for _, tc := range []struct {
		late        time.Duration
		least, most int
	}{
		{0, 0, 0},
		{leastLag, 0, 0},
		{(leastLag + mostLag) / 2, 400, 600},
		{mostLag, 1000, 1000},
		{time.Minute, 1000, 1000},
	} {
		l, clock := newTestLag()
		clock.Advance(tc.late)
		refused := int(1000 * l.excess())
		assert.Assert(t, refused >= tc.least && refused <= tc.most, "%v late: %d of 1000 refused", tc.late, refused)
	}
}

func TestLagIsForgottenByAndBy(t *testing.T) {
	l, clock := newTestLag()
	clock.Advance(mostLag)
	assert.Equal(t, l.looked(), mostLag)
	l.expect(clock.Now())
	assert.Equal(t, l.looked(), time.Duration(0))
	assert.Assert(t, l.current() > leastLag)
	for range 10 {
		l.looked()
	}
	assert.Equal(t, l.excess(), 0.0)
}

// TestLagCountsBeforeTheLateLook has a process that does not come to look at all.
func TestLagCountsBeforeTheLateLook(t *testing.T) {
	l, clock := newTestLag()
	clock.Advance(time.Minute)
	assert.Equal(t, l.current(), time.Minute)
}

// TestBusyRouterRefusesStreamsOnly has a router that is far behind: streams are
// refused, not run, with when to come back; plain calls cost little and go on.
func TestBusyRouterRefusesStreamsOnly(t *testing.T) {
	f := newTarget(t, "t", answers)
	s := newSite(t, f)
	s.lag.last.Store(int64(time.Minute))
	s.throttle.look(s.excess(), s.options.Clock.Now())
	s.throttle.tokens = 0
	res := s.ask(t, "POST", "/model/", "r", "b")
	assert.Equal(t, res.header.StatusCode(), 503)
	assert.Assert(t, len(res.header.Peek("Retry-After")) > 0)
	assert.Equal(t, s.ask(t, "POST", "/once/", "r", "b").header.StatusCode(), 200)
	assert.Equal(t, len(f.seen()), 1)
}
