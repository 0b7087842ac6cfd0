package relay

import (
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStreamsReadAtCommonTicks(t *testing.T) {
	const interval = 80 * time.Millisecond
	for _, since := range []time.Duration{0, 10, 79, 80, 200} {
		since *= time.Millisecond
		d := untilTick(since, interval)
		assert.Assert(t, d > 0 && d <= interval && (since+d)%interval == 0, "%v after %v", d, since)
	}
}

// TestBusyRouterPassesEventsOnTogether has a target that makes 40 events in 400 ms, and a router
// with little and with much processor time left.
func TestBusyRouterPassesEventsOnTogether(t *testing.T) {
	const events = 40
	target := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		for n := range events {
			event(c, n+1)
			time.Sleep(10 * time.Millisecond)
		}
		return endStream(c)
	})
	s := newTestServer(t, target)
	for _, tc := range []struct {
		load        float64
		least, most int
	}{
		{0.2, events / 2, events},
		{0.9, 3, 12},
	} {
		s.use(t, tc.load)
		c := s.dial(t)
		c.send("POST", "/model/", "r", "body")
		began := time.Now()
		var all strings.Builder
		buffer := make([]byte, 1<<16)
		reads, first, pause := 0, time.Duration(0), time.Duration(0)
		for last := began; !strings.HasSuffix(all.String(), "0\r\n\r\n"); last = time.Now() {
			n, err := c.Read(buffer)
			assert.NilError(t, err)
			all.Write(buffer[:n])
			reads++
			if first == 0 {
				first = time.Since(began)
			}
			pause = max(pause, time.Since(last))
		}
		assert.Equal(t, strings.Count(all.String(), "data: piece"), events)
		assert.Assert(t, reads >= tc.least && reads <= tc.most+2, "%d reads at load %v", reads, tc.load)
		assert.Assert(t, first < 80*time.Millisecond && pause < 200*time.Millisecond, "first after %v, pause %v", first, pause)
	}
}
