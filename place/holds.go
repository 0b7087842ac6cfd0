package place

import "time"

// holds is how long requests hold a slot of an engine. With few slots an engine can be
// full while it has nothing to read: on engines of 12 slots half of all refusals were at
// such homes, and only some of them would have waited long.
type holds struct {
	// mean is the mean time of recent requests.
	mean time.Duration
}

func newHolds() holds { return holds{mean: guessHold} }

const (
	// holdWeight is the weight of one request in the mean.
	holdWeight = 0.05
	// guessHold is assumed before any request ended.
	guessHold = time.Second
)

// learn takes the time for which a request held a slot.
func (h *holds) learn(took time.Duration) {
	h.mean += time.Duration(holdWeight * float64(took-h.mean))
}

// untilFree is the expected time until a slot is free for one more request: each of
// the requests before it has to wait for one of those that run to end.
func (h *holds) untilFree(outstanding, slots int) time.Duration {
	before := outstanding - slots + 1
	if slots <= 0 || before <= 0 {
		return 0
	}
	return time.Duration(before) * h.mean / time.Duration(slots)
}
