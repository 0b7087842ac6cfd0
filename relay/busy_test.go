package relay

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOverloadedRouterSendsCallersBackToItself covers the time until the balancer has noticed.
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
	s.overload.active.Store(true)
	assert.Equal(t, retryAfter(), 2.0)
}
