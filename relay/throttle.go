package relay

import (
	"sync"
	"time"
)

// throttle bounds the streams that this router takes in a second while it is in
// trouble. It answers a flood at one host: all requests of a customer whose callers the
// balancer sends here, several times what the host can carry. Refusing in proportion to
// the trouble of the last moment takes everything as soon as nothing is tried any more,
// and so falls behind for seconds again and again: 3 to 85 streams were answered a second,
// of 590 that came. The rate falls by a part while there is trouble and grows slowly while
// there is none, as senders of TCP do, and so stays near what the host carries.
type throttle struct {
	mu sync.Mutex
	// rate is in streams a second; 0 is no bound.
	rate   float64
	tokens float64
	at     time.Time
	// asked counts streams that came by customer, in this second and the one before.
	asked, askedBefore arrivals
	// starting is the number of streams that were taken and not sent to a target yet.
	starting int
	// taken and refused count streams since the last look, which was at looked.
	taken, refused int
	looked         time.Time
	// excess was found with the last look.
	excess float64
	// lowered is when the rate was last lowered, pause the time until it may be again
	// while the trouble lasts, from the rate at which the trouble began.
	lowered time.Time
	pause   time.Duration
	from    float64
	// refusedAt is when a stream was last refused.
	refusedAt time.Time
}

// arrivals counts streams by customer in a second.
type arrivals struct {
	second   int64
	total    int
	customer map[string]int
}

const (
	// smallPart is the part of all streams up to which a customer is not bound by the
	// rate: its few streams are not what the host cannot carry, and their next try comes
	// to this host too.
	smallPart = 1.0 / 8
	// mostStarting is the most streams that may be on their way to a target at once. One
	// takes some milliseconds, so that a host which takes 600 a second has four of them;
	// one that falls behind has more long before it is late.
	mostStarting = 24
	// leastRate is the least rate: what the smallest hosts carry without effort, twice
	// their usual load in a fleet of hundreds. With 5 a pause of the collector cost streams.
	leastRate = 20.0
	// slightly and deeply are the parts of the rate that are kept in trouble, the latter
	// if no stream could be carried in time.
	slightly = 0.75
	deeply   = 0.4
	// firstPause is the time between the first two falls: as long as measurements are
	// kept, so that a fall shows in them. It doubles while the trouble lasts, as what was
	// taken too much has to be worked off.
	firstPause = connectsFor
	// rise is the part by which the rate grows with each look, quickRise that far below
	// the rate at which the last trouble began, up to quickPart of it.
	rise      = 0.04
	quickRise = 0.15
	quickPart = 0.5
	// burstTime is the time for which unused streams may be taken later, leastBurst the
	// number of those that always may: few streams come in clusters.
	burstTime  = 100 * time.Millisecond
	leastBurst = 4.0
	// unboundAfter is the time without a refusal after which the rate has no bound.
	unboundAfter = 3 * time.Second
)

// count counts a stream of a customer, and reports whether the customer is small.
func (t *throttle) count(customer string, now time.Time) (small bool) {
	if second := now.Unix(); second != t.asked.second {
		t.askedBefore = t.asked
		t.asked = arrivals{second: second, customer: make(map[string]int)}
	}
	t.asked.total++
	t.asked.customer[customer]++
	own := t.asked.customer[customer] + t.askedBefore.customer[customer]
	return float64(own) <= smallPart*float64(t.asked.total+t.askedBefore.total)
}

// takes reports whether a stream of a customer may be taken now. If so, started has to
// be called.
func (t *throttle) takes(customer string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	small := t.count(customer, now)
	if t.starting >= mostStarting {
		t.refused++
		t.refusedAt = now
		return false
	}
	if t.rate > 0 && !small {
		most := max(t.rate*burstTime.Seconds(), leastBurst)
		t.tokens = min(t.tokens+t.rate*now.Sub(t.at).Seconds(), most)
		t.at = now
		if t.tokens < 1 {
			t.refused++
			t.refusedAt = now
			return false
		}
		t.tokens--
	}
	t.taken++
	t.starting++
	return true
}

// started notes that a stream that was taken was sent to a target, or ended before.
func (t *throttle) started() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starting--
}

// look adjusts the rate to the part of streams that this router cannot carry now, and
// returns the part that was refused since the last look.
func (t *throttle) look(excess float64, now time.Time) (refused float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	period := now.Sub(t.looked).Seconds()
	taken := float64(t.taken) / max(period, lookPeriod.Seconds())
	limited := t.refused > 0
	refused = float64(t.refused) / float64(max(t.taken+t.refused, 1))
	t.taken, t.refused, t.looked = 0, 0, now
	easing := t.rate > 0 && excess < t.excess
	t.excess = excess
	switch {
	case excess > 0 && !easing && now.Sub(t.lowered) >= t.pause:
		t.lower(excess, taken, now)
	case excess > 0:
	case t.rate == 0:
	case limited:
		t.grow()
	case now.Sub(t.refusedAt) >= unboundAfter:
		t.rate = 0
	}
	return refused
}

// grow raises the rate after a look without trouble.
func (t *throttle) grow() {
	t.pause = 0
	if t.rate < quickPart*t.from {
		t.rate *= 1 + quickRise
	} else {
		t.rate *= 1 + rise
	}
}

// lower lowers the rate, from what was taken if it had no bound.
func (t *throttle) lower(excess, taken float64, now time.Time) {
	part := slightly
	if excess >= 1 {
		part = deeply
	}
	if t.rate == 0 {
		// A look is too short to tell the rate of few streams; all that came were taken.
		t.rate, t.at, t.refusedAt = max(taken, float64(t.askedBefore.total)), now, now
		t.tokens = leastBurst
	}
	if t.pause == 0 {
		t.from = max(t.rate, t.from/2)
	}
	t.pause = max(2*t.pause, firstPause)
	t.rate = max(part*t.rate, leastRate)
	t.tokens = min(t.tokens, leastBurst)
	t.lowered = now
}

// current returns the rate, 0 for no bound.
func (t *throttle) current() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rate
}
