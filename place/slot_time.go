package place

import "time"

// holds is how long requests hold a slot of a target. With few slots an engine can be
// full while it has nothing to read: on engines of 12 slots half of all refusals were at
// such homes, and only some of them would have waited long.
type holds struct {
	// mean is the mean time of recent requests.
	mean time.Duration
	// learned counts the calls of a plain service that the mean was learned from.
	learned int
}

func newHolds() holds { return holds{mean: guessHold} }

// known reports whether the mean was learned.
func (h *holds) known() bool { return h.learned > 0 }

const (
	// holdWeight is the weight of one request in the mean.
	holdWeight = 0.05
	// guessHold is assumed before any request ended.
	guessHold = time.Second
)

// learn takes the time for which a request held a slot.
func (h *holds) learn(took time.Duration) { h.weigh(took, holdWeight) }

// weigh moves the mean towards a time by a part of the distance.
func (h *holds) weigh(took time.Duration, weight float64) {
	h.mean += time.Duration(weight * float64(took-h.mean))
}

// learnAmong takes the time that a request spent at a target where so many were before
// it, waiting for a slot included. By Little's law it is the time of a slot as often as
// requests share one. The first ones weigh as much as all before them: a guess that is
// too long refuses much.
func (h *holds) learnAmong(took time.Duration, before, slots int) {
	if slots > 0 && before >= slots {
		took = took * time.Duration(slots) / time.Duration(before+1)
	}
	h.learned++
	h.weigh(took, max(holdWeight, 1/float64(h.learned)))
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
