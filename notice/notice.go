// Package notice holds what targets report about themselves in their responses: that they are
// draining, and that they request a backoff.
//
// A target knows this before any table or other router does. Its own notice therefore takes
// precedence over them: it applies to one incarnation of the target, and only another
// incarnation ends it. A requested backoff concerns only the router that received the response.
//
// The package has no I/O; a State is not safe for concurrent use.
//
// # Usage
//
//	changes := state.Apply(codec.DecodeResponse(header).Notice, clock.Now())
//	if state.Draining() || state.BackingOff(clock.Now()) {
//		// choose another target
//	}
package notice

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Notice is what one response reports about the target that sent it.
type Notice struct {
	// Draining means that the target will end and accepts no new requests.
	Draining bool
	// Backoff is how long the target wants no requests from this router; 0 if it requested no
	// backoff.
	Backoff time.Duration
}

// State combines the notices of one incarnation of a target. The zero value has no notice.
type State struct {
	draining bool
	// backoffEnd is when the backoff ends.
	backoffEnd time.Time
}

// Apply adds a notice that arrived now, and returns what it changes. Draining is never revoked,
// and of several backoffs the one that ends last applies. A longer backoff is no change while
// another one lasts.
func (s *State) Apply(n Notice, now time.Time) (changes Notice) {
	changes.Draining = n.Draining && !s.draining
	s.draining = s.draining || n.Draining
	if n.Backoff <= 0 {
		return changes
	}
	if !s.BackingOff(now) {
		changes.Backoff = n.Backoff
	}
	if until := now.Add(n.Backoff); until.After(s.backoffEnd) {
		s.backoffEnd = until
	}
	return changes
}

// BackingOff reports whether the target wants no requests from this router now.
func (s *State) BackingOff(now time.Time) bool { return now.Before(s.backoffEnd) }

// BackoffEnd returns when the last backoff ends; zero if there was none.
func (s *State) BackoffEnd() time.Time { return s.backoffEnd }

// Draining reports whether the target announced that it is draining.
func (s *State) Draining() bool { return s.draining }

// maxBackoff limits the accepted value of a Retry-After header.
const maxBackoff = 24 * time.Hour

// Backoff returns the time that a response with status 429 or 503 requests by a Retry-After
// header; 0 if it has none, or none that can be parsed. The header holds seconds, also with
// fractions, or a date, which is compared with the Date header of the response (RFC 9110,
// 10.2.3).
func Backoff(h *fasthttp.ResponseHeader) time.Duration {
	switch h.StatusCode() {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
	default:
		return 0
	}
	text := string(h.Peek(fasthttp.HeaderRetryAfter))
	if text == "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return durationBetween(text, string(h.Peek(fasthttp.HeaderDate)))
	}
	if math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second))
}

// durationBetween returns the time from one HTTP date to a later one, 0 if one cannot be
// parsed.
func durationBetween(later, now string) time.Duration {
	then, err := http.ParseTime(later)
	if err != nil {
		return 0
	}
	from, err := http.ParseTime(now)
	if err != nil {
		return 0
	}
	return min(max(then.Sub(from), 0), maxBackoff)
}
