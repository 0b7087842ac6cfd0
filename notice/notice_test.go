package notice

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

func TestBackoffIsReadFromRefusals(t *testing.T) {
	const date = "Thu, 03 Dec 2026 06:00:00 GMT"
	tests := []struct {
		name   string
		status int
		value  string
		date   string
		want   time.Duration
	}{
		{"seconds", 503, "3", "", 3 * time.Second},
		{"fraction", 503, "0.25", "", 250 * time.Millisecond},
		{"too many requests", 429, "2", "", 2 * time.Second},
		{"none", 503, "", "", 0},
		{"zero", 503, "0", "", 0},
		{"negative", 503, "-4", "", 0},
		{"not a number", 503, "NaN", "", 0},
		{"words", 503, "soon", "", 0},
		{"huge", 503, "1e300", "", maxBackoff},
		{"infinite", 503, "Inf", "", maxBackoff},
		{"date", 503, "Thu, 03 Dec 2026 06:00:05 GMT", date, 5 * time.Second},
		{"date that has passed", 503, "Thu, 03 Dec 2026 05:59:00 GMT", date, 0},
		{"date without another", 503, "Thu, 03 Dec 2026 06:00:05 GMT", "", 0},
		{"another status", 200, "3", "", 0},
		{"fault of the target", 500, "3", "", 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n", tc.status)
			if tc.value != "" {
				text += "Retry-After: " + tc.value + "\r\n"
			}
			if tc.date != "" {
				text += "Date: " + tc.date + "\r\n"
			}
			var h fasthttp.ResponseHeader
			assert.NilError(t, h.Read(bufio.NewReader(strings.NewReader(text+"\r\n"))))
			assert.Equal(t, Backoff(&h), tc.want)
		})
	}
}

func TestStateKeepsTheLongestBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	var s State
	assert.Equal(t, s.Apply(Notice{Backoff: 3 * time.Second}, now), Notice{Backoff: 3 * time.Second})
	assert.Equal(t, s.Apply(Notice{Backoff: time.Second}, at(time.Second)), Notice{}, "shorter than the backoff that applies")
	assert.Assert(t, s.BackingOff(at(2900*time.Millisecond)))
	assert.Assert(t, !s.BackingOff(at(3*time.Second)))
	assert.Equal(t, s.Apply(Notice{Backoff: 4 * time.Second}, at(2*time.Second)), Notice{}, "extends the backoff that applies")
	assert.Equal(t, s.BackoffEnd(), at(6*time.Second))
	assert.Equal(t, s.Apply(Notice{Draining: true}, at(2*time.Second)), Notice{Draining: true})
	assert.Equal(t, s.Apply(Notice{Draining: true}, at(2*time.Second)), Notice{})
	assert.Equal(t, s.Apply(Notice{}, at(2*time.Second)), Notice{})
	assert.Assert(t, s.Draining() && s.BackingOff(at(5*time.Second)), "a response without a notice revokes nothing")
	assert.Equal(t, s.Apply(Notice{Backoff: time.Second}, at(7*time.Second)), Notice{Backoff: time.Second}, "a new backoff after the end of the last one")
}
