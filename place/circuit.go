package place

import "time"

// circuit keeps requests away from a target that fails in a row, for a pause
// that grows while it goes on failing.
type circuit struct {
	failures int
	until    time.Time
	pause    time.Duration
}

const (
	// openAfter is the number of failures in a row after which a target is left
	// alone: one failure may be the request's own.
	openAfter = 2
	// firstPause is the first time a failing target is left alone; it doubles
	// up to longestPause while it goes on failing.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
)

func (c *circuit) allows(now time.Time) bool {
	if c.failures < openAfter {
		return true
	}
	return !now.Before(c.until)
}

func (c *circuit) note(r Result, now time.Time) {
	switch r {
	case Answered, ErrorResponse, Refused:
		*c = circuit{}
	case Failed, Unreachable:
		c.failures++
		if c.failures >= openAfter {
			c.pause = min(max(2*c.pause, firstPause), longestPause)
			c.until = now.Add(c.pause)
		}
	}
}
