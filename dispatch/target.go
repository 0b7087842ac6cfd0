package dispatch

import (
	"time"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/notice"
)

// Circuit breaker of a target. It opens after failuresToOpen consecutive failures or
// after one refusal, and the target receives no requests while it is open. The open
// interval doubles with each opening from minOpenInterval to maxOpenInterval. After
// the interval a single request probes the target.
const (
	failuresToOpen  = 3
	minOpenInterval = 500 * time.Millisecond
	maxOpenInterval = 15 * time.Second
)

// target is this router's view of a target.
type target struct {
	config config.Target
	local  bool
	// own and others are the numbers of requests of this router and of all other
	// routers at the target.
	own    int
	others int
	// quota is the number of the target's slots that are this router's part.
	quota int

	// backoffUntil is the end of the backoff that the target requested or that
	// follows from its draining. The target receives no requests until then.
	backoffUntil time.Time
	// draining is set while the platform is about to remove the target.
	draining bool

	failures     int
	openInterval time.Duration
	openUntil    time.Time
	probing      bool
}

// usable reports whether requests may be sent to the target now.
func (t *target) usable(now time.Time) bool {
	switch {
	case t.draining || now.Before(t.backoffUntil):
		return false
	case t.openInterval == 0:
		return true
	case now.Before(t.openUntil):
		return false
	default:
		return !t.probing
	}
}

// drainingBackoff is how long a target that announced its draining receives no requests. The
// first request after it shows whether another incarnation serves at the address. Operators or
// the platform remove the targets that have stopped.
const drainingBackoff = 30 * time.Second

// applyNotice applies a notice of the target, and reports whether it started a backoff. A
// notice does not count as a failure of the target.
func (t *target) applyNotice(n notice.Notice, now time.Time) (started bool) {
	backoff := n.Backoff
	if n.Draining {
		backoff = max(backoff, drainingBackoff)
	}
	until := now.Add(backoff)
	if !until.After(t.backoffUntil) || backoff <= 0 {
		return false
	}
	started = !now.Before(t.backoffUntil)
	t.backoffUntil = until
	return started
}

// room returns the number of free slots as far as this router knows; it is negative
// when requests wait inside the target.
func (t *target) room() int { return int(t.config.Slots) - t.own - t.others }

func (t *target) acquire() {
	t.own++
	t.probing = t.openInterval > 0
}

func (t *target) release(r Result, now time.Time) {
	t.own--
	t.probing = false
	switch r {
	case Completed:
		t.failures, t.openInterval = 0, 0
	case Refused:
		t.openBreaker(now)
	case Failed:
		t.failures++
		if t.failures >= failuresToOpen || t.openInterval > 0 {
			t.openBreaker(now)
		}
	}
}

func (t *target) openBreaker(now time.Time) {
	t.openInterval = min(max(2*t.openInterval, minOpenInterval), maxOpenInterval)
	t.openUntil = now.Add(t.openInterval)
}
