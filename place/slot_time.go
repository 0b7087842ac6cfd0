package place

import "time"

// slotTime is the time for which requests hold a slot of a target. An engine with few slots can
// be full while no tokens wait for prefill: on engines with 12 slots half of all refusals were at
// such homes, and only some of those requests would have waited long.
type slotTime struct {
	// mean is the weighted mean of recent requests.
	mean time.Duration
	// samples is the number of calls of a plain service from which the mean was learned.
	samples int
}

func newSlotTime() slotTime { return slotTime{mean: defaultSlotTime} }

// known reports whether the mean was learned.
func (h *slotTime) known() bool { return h.samples > 0 }

const (
	// slotTimeWeight is the weight of one request in the mean.
	slotTimeWeight = 0.05
	// defaultSlotTime is assumed before any request has ended.
	defaultSlotTime = time.Second
)

// learn adds the time for which a request held a slot.
func (h *slotTime) learn(took time.Duration) { h.weigh(took, slotTimeWeight) }

// weigh moves the mean towards a time by a share of the distance.
func (h *slotTime) weigh(took time.Duration, weight float64) {
	h.mean += time.Duration(weight * float64(took-h.mean))
}

// learnQueued adds the time that a request spent at a target with before earlier requests,
// including the wait for a slot. By Little's law this time is the slot time multiplied by the
// number of requests that share a slot. Each of the first samples weighs as much as all earlier
// ones together, because a default that is too long refuses many requests.
func (h *slotTime) learnQueued(took time.Duration, before, slots int) {
	if slots > 0 && before >= slots {
		took = took * time.Duration(slots) / time.Duration(before+1)
	}
	h.samples++
	h.weigh(took, max(slotTimeWeight, 1/float64(h.samples)))
}

// untilFree returns the expected time until a slot is free for one more request: each of the
// requests before it has to wait for a running request to end.
func (h *slotTime) untilFree(outstanding, slots int) time.Duration {
	before := outstanding - slots + 1
	if slots <= 0 || before <= 0 {
		return 0
	}
	return time.Duration(before) * h.mean / time.Duration(slots)
}
