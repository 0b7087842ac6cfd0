package place

import "time"

// circuit keeps requests away from a target after several failures in a row, for a pause that
// grows while the failures continue.
type circuit struct {
	failures int
	until    time.Time
	pause    time.Duration
}

const (
	// openAfter is the number of failures in a row after which a target is avoided: a single
	// failure may be caused by the request itself.
	openAfter = 2
	// firstPause is the first time for which a failing target is avoided; the time doubles up to
	// maxPause while the target keeps failing.
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second
)

func (c *circuit) allows(now time.Time) bool {
	if c.failures < openAfter {
		return true
	}
	return !now.Before(c.until)
}

func (c *circuit) record(r Result, now time.Time) {
	switch r {
	case Answered, ErrorResponse, Refused:
		*c = circuit{}
	case Failed, Unreachable:
		c.failures++
		if c.failures >= openAfter {
			c.pause = min(max(2*c.pause, firstPause), maxPause)
			c.until = now.Add(c.pause)
		}
	}
}
