package relay

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// newTestLag returns a lag whose next tick is due now.
func newTestLag() (*lag, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	l := &lag{clock: clock}
	l.expectTick(clock.Now())
	return l, clock
}

func TestLagRefusesInProportion(t *testing.T) {
	for _, tc := range []struct {
		late        time.Duration
		least, most int
	}{
		{0, 0, 0},
		{minLag, 0, 0},
		{(minLag + maxLag) / 2, 400, 600},
		{maxLag, 1000, 1000},
		{time.Minute, 1000, 1000},
	} {
		l, clock := newTestLag()
		clock.Advance(tc.late)
		refused := int(1000 * l.excess())
		assert.Assert(t, refused >= tc.least && refused <= tc.most, "%v late: %d of 1000 refused", tc.late, refused)
	}
}

func TestLagDecays(t *testing.T) {
	l, clock := newTestLag()
	clock.Advance(maxLag)
	assert.Equal(t, l.recordTick(), maxLag)
	l.expectTick(clock.Now())
	assert.Equal(t, l.recordTick(), time.Duration(0))
	assert.Assert(t, l.current() > minLag)
	for range 10 {
		l.recordTick()
	}
	assert.Equal(t, l.excess(), 0.0)
}

// TestOverdueTickCountsAsLag has a process that does not run its next tick.
func TestOverdueTickCountsAsLag(t *testing.T) {
	l, clock := newTestLag()
	clock.Advance(time.Minute)
	assert.Equal(t, l.current(), time.Minute)
}

// TestBusyRouterRefusesStreamsOnly has a router that is far behind: streams are refused as not
// run, with a Retry-After; plain requests need little processor time and are still served.
func TestBusyRouterRefusesStreamsOnly(t *testing.T) {
	f := newTarget(t, "t", respondOK)
	s := newTestServer(t, f)
	s.lag.measured.Store(int64(time.Minute))
	s.throttle.adjust(s.excess(), s.options.Clock.Now())
	s.throttle.tokens = 0
	res := s.do(t, "POST", "/model/", "r", "b")
	assert.Equal(t, res.header.StatusCode(), 503)
	assert.Assert(t, len(res.header.Peek("Retry-After")) > 0)
	assert.Equal(t, s.do(t, "POST", "/once/", "r", "b").header.StatusCode(), 200)
	assert.Equal(t, len(f.received()), 1)
}
