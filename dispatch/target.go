package dispatch

import (
	"time"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/notice"
)

// Circuit breaker of a target: after this many failures in a row, or one
// refusal, it is left alone; the pause doubles up to the longest. After a
// pause a single request probes it.
const (
	failuresToOpen = 3
	shortestPause  = 500 * time.Millisecond
	longestPause   = 15 * time.Second
)

// target is this router's view of a target.
type target struct {
	config config.Target
	local  bool
	// own and others are the requests of this and of all other routers there.
	own    int
	others int
	// quota is the number of its slots that are this router's part.
	quota int

	// quietUntil is until when the target gets nothing, as it said itself.
	quietUntil time.Time
	// leaving is set while the platform takes the target away.
	leaving bool

	failures  int
	pause     time.Duration
	openUntil time.Time
	probing   bool
}

// usable reports whether requests may be sent to the target now.
func (t *target) usable(now time.Time) bool {
	switch {
	case t.leaving || now.Before(t.quietUntil):
		return false
	case t.pause == 0:
		return true
	case now.Before(t.openUntil):
		return false
	default:
		return !t.probing
	}
}

// leavingPause is how long a target gets nothing that said that it leaves, until one request
// shows whether another run serves at its address. Operators and the platform take those away
// that have left.
const leavingPause = 30 * time.Second

// notice takes what the target said of itself, and reports whether it gets nothing from now
// on. It is no failure of the target's.
func (t *target) notice(n notice.Notice, now time.Time) (quiet bool) {
	pause := n.Backoff
	if n.Draining {
		pause = max(pause, leavingPause)
	}
	until := now.Add(pause)
	if !until.After(t.quietUntil) || pause <= 0 {
		return false
	}
	quiet = !now.Before(t.quietUntil)
	t.quietUntil = until
	return quiet
}

// room returns the free slots as far as this router knows; it is negative
// when requests wait inside the target.
func (t *target) room() int { return int(t.config.Slots) - t.own - t.others }

func (t *target) take() {
	t.own++
	t.probing = t.pause > 0
}

func (t *target) give(r Result, now time.Time) {
	t.own--
	t.probing = false
	switch r {
	case Completed:
		t.failures, t.pause = 0, 0
	case Refused:
		t.open(now)
	case Failed:
		t.failures++
		if t.failures >= failuresToOpen || t.pause > 0 {
			t.open(now)
		}
	}
}

func (t *target) open(now time.Time) {
	t.pause = min(max(2*t.pause, shortestPause), longestPause)
	t.openUntil = now.Add(t.pause)
}
