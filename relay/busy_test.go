package relay

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOverloadedRouterSendsCallersBackToItself covers the time before and after the balancer has noticed.
func TestOverloadedRouterSendsCallersBackToItself(t *testing.T) {
	s := newTestServer(t)
	s.options.Limits.StopDelay = 2 * time.Second
	s.throttle.rate, s.throttle.at = 1e-9, s.options.Clock.Now()
	retryAfter := func() float64 {
		res := s.do(t, "POST", "/model/", "r", "b")
		assert.Equal(t, res.header.StatusCode(), 503)
		seconds, err := strconv.ParseFloat(string(res.header.Peek("Retry-After")), 64)
		assert.NilError(t, err)
		return seconds
	}
	assert.Equal(t, retryAfter(), routerBusyRetry.Seconds())
	now := s.options.Clock.Now()
	s.overload.activeSince.Store(&now)
	after := retryAfter()
	assert.Assert(t, after > 1.5 && after <= 2, "%v", after)
	past := now.Add(-s.options.Limits.StopDelay)
	s.overload.activeSince.Store(&past)
	assert.Equal(t, retryAfter(), routerBusyRetry.Seconds())
}
