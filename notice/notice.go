// Package notice holds what targets say of themselves in their answers: that they are
// leaving, and that they want no requests for a while.
//
// A target knows this before any table or other router does. Its own notice therefore goes
// before what they say: it belongs to one run of the target, and only another run ends it.
// A request for a while without requests concerns the router that it was made to.
//
// The package has no I/O; a State is not safe for concurrent use.
//
// # Usage
//
//	news := state.Apply(codec.DecodeResponse(header).Notice, clock.Now())
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

// Notice is what one answer says of the target that gave it.
type Notice struct {
	// Draining means that the target will end and wants nothing new.
	Draining bool
	// Backoff is how long the target wants nothing from this router; 0 if it did not say.
	Backoff time.Duration
}

// State is what a run of a target has said of itself so far. The zero value has said nothing.
type State struct {
	leaving bool
	// until is the end of the backoff.
	until time.Time
}

// Apply takes a notice that arrived now, and returns what of it is news. That a target leaves
// is never taken back, and of several backoffs the one that ends last holds. A longer one is
// no news while another holds.
func (s *State) Apply(n Notice, now time.Time) (news Notice) {
	news.Draining = n.Draining && !s.leaving
	s.leaving = s.leaving || n.Draining
	if n.Backoff <= 0 {
		return news
	}
	if !s.BackingOff(now) {
		news.Backoff = n.Backoff
	}
	if until := now.Add(n.Backoff); until.After(s.until) {
		s.until = until
	}
	return news
}

// BackingOff reports whether the target wants nothing from this router now.
func (s *State) BackingOff(now time.Time) bool { return now.Before(s.until) }

// BackoffEnd is when the last backoff ends; zero if there was none.
func (s *State) BackoffEnd() time.Time { return s.until }

// Draining reports whether the target said that it leaves.
func (s *State) Draining() bool { return s.leaving }

// longestBackoff bounds what is believed of a Retry-After header.
const longestBackoff = 24 * time.Hour

// Backoff returns the time that an answer with status 429 or 503 asks for by a Retry-After
// header; 0 if it does not, or not in a readable way. The header holds seconds, also
// with fractions, or a date, which is compared with the answer's own (RFC 9110, 10.2.3).
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
		return untilDate(text, string(h.Peek(fasthttp.HeaderDate)))
	}
	if math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, longestBackoff.Seconds()) * float64(time.Second))
}

// untilDate returns the time from one HTTP date to a later one, 0 if one cannot be read.
func untilDate(later, now string) time.Duration {
	then, err := http.ParseTime(later)
	if err != nil {
		return 0
	}
	from, err := http.ParseTime(now)
	if err != nil {
		return 0
	}
	return min(max(then.Sub(from), 0), longestBackoff)
}
