package relay

import (
	"sync"
	"time"
)

// throttle limits the rate of streams that this router admits while it is overloaded. It
// protects one host from a flood: all requests of a customer whose callers the balancer sends
// here, several times the capacity of the host. Refusing in proportion to the overload of the
// last moment admits all streams as soon as none are admitted any more, and so falls behind for
// seconds again and again: of 590 streams per second that arrived, 3 to 85 were completed. The
// rate is decreased by a factor while there is overload and increased slowly while there is
// none, as TCP senders do, and so stays near the capacity of the host.
type throttle struct {
	mu sync.Mutex
	// rate is in streams per second; 0 means no limit.
	rate   float64
	tokens float64
	at     time.Time
	// currentArrivals and previousArrivals count the streams that arrived by customer, in this
	// second and in the one before.
	currentArrivals, previousArrivals arrivals
	// dispatching is the number of admitted streams that were not sent to a target yet.
	dispatching int
	// admitted and refused count streams since the last adjustment, which was at lastAdjusted.
	admitted, refused int
	lastAdjusted      time.Time
	// refusedPerSecond is the weighted mean rate of refused streams.
	refusedPerSecond float64
	// excess is the excess as of the last adjustment.
	excess float64
	// lowered is when the rate was last decreased, pause the time until it may be decreased
	// again while the overload lasts, troubleRate the rate at which the overload began.
	lowered     time.Time
	pause       time.Duration
	troubleRate float64
	// refusedAt is when a stream was last refused.
	refusedAt time.Time
}

// arrivals counts streams by customer in one second.
type arrivals struct {
	second   int64
	total    int
	customer map[string]int
}

const (
	// smallCustomerShare is the share of all streams up to which a customer is exempt from the
	// rate limit: its few streams do not cause the overload, and their retries reach this host
	// too.
	smallCustomerShare = 1.0 / 8
	// maxDispatching limits the streams that are being sent to a target at once. Sending takes
	// some milliseconds, so a host that serves 600 streams per second has four of them; a host
	// that falls behind has more of them long before it is late.
	maxDispatching = 24
	// minRate is the lowest rate: the smallest hosts serve it easily, and it is twice their
	// usual load in a fleet of hundreds. With 5, a pause of the garbage collector caused
	// refusals of streams.
	minRate = 20.0
	// slightDecrease and severeDecrease are the factors by which the rate is decreased during
	// an overload, the latter if no stream could be served in time.
	slightDecrease = 0.75
	severeDecrease = 0.4
	// refusedMeanWeight is the weight of one interval in the mean rate of refused streams.
	refusedMeanWeight = 0.3
	// initialPause is the time between the first two decreases: as long as samples are kept, so
	// that they show the effect of a decrease. It doubles while the overload lasts, because the
	// excess streams admitted before have to be completed first.
	initialPause = connectSampleTTL
	// slowIncrease is the factor by which the rate grows with each adjustment. fastIncrease
	// applies instead while the rate is below fastIncreaseShare of the rate at which the last
	// overload began.
	slowIncrease      = 0.04
	fastIncrease      = 0.15
	fastIncreaseShare = 0.5
	// burstTime is the time for which unused streams may be admitted later, minBurst the
	// smallest burst: few streams arrive in clusters.
	burstTime = 100 * time.Millisecond
	minBurst  = 4.0
	// unlimitAfter is the time without a refusal after which the rate limit is removed.
	unlimitAfter = 3 * time.Second
)

// count counts a stream of a customer, and reports whether the customer is small.
func (t *throttle) count(customer string, now time.Time) (small bool) {
	if second := now.Unix(); second != t.currentArrivals.second {
		t.previousArrivals = t.currentArrivals
		t.currentArrivals = arrivals{second: second, customer: make(map[string]int)}
	}
	t.currentArrivals.total++
	t.currentArrivals.customer[customer]++
	own := t.currentArrivals.customer[customer] + t.previousArrivals.customer[customer]
	return float64(own) <= smallCustomerShare*float64(t.currentArrivals.total+t.previousArrivals.total)
}

// allow reports whether a stream of a customer may be admitted now. Dispatches tells that this
// router sends it to a target; if it is admitted, the caller then has to call dispatched.
func (t *throttle) allow(customer string, now time.Time, dispatches bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	small := t.count(customer, now)
	if dispatches && t.dispatching >= maxDispatching {
		t.refused++
		t.refusedAt = now
		return false
	}
	if t.rate > 0 && !small {
		maxTokens := max(t.rate*burstTime.Seconds(), minBurst)
		t.tokens = min(t.tokens+t.rate*now.Sub(t.at).Seconds(), maxTokens)
		t.at = now
		if t.tokens < 1 {
			t.refused++
			t.refusedAt = now
			return false
		}
		t.tokens--
	}
	t.admitted++
	if dispatches {
		t.dispatching++
	}
	return true
}

// dispatch reports whether a stream that was admitted to be handed over may be sent to a target
// instead. If so, the caller has to call dispatched.
func (t *throttle) dispatch() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dispatching >= maxDispatching {
		t.refused++
		return false
	}
	t.dispatching++
	return true
}

// strained reports whether streams are limited, or many are on their way to a target.
func (t *throttle) strained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rate > 0 || t.dispatching >= offloadDispatching
}

// dispatched records that an admitted stream was sent to a target, or ended before that.
func (t *throttle) dispatched() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dispatching--
}

// adjust adapts the rate to the share of streams that this router cannot serve in time, and
// returns how many were admitted and refused since the last adjustment.
func (t *throttle) adjust(excess float64, now time.Time) (admitted, refused int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	period := now.Sub(t.lastAdjusted).Seconds()
	taken := float64(t.admitted) / max(period, checkInterval.Seconds())
	t.refusedPerSecond += refusedMeanWeight * (float64(t.refused)/max(period, checkInterval.Seconds()) - t.refusedPerSecond)
	limited := t.refused > 0
	admitted, refused = t.admitted, t.refused
	t.admitted, t.refused, t.lastAdjusted = 0, 0, now
	easing := t.rate > 0 && excess < t.excess
	t.excess = excess
	switch {
	case excess > 0 && !easing && now.Sub(t.lowered) >= t.pause:
		t.decrease(excess, taken, now)
	case excess > 0:
	case t.rate == 0:
	case limited:
		t.increase()
	case now.Sub(t.refusedAt) >= unlimitAfter:
		t.rate = 0
	}
	return admitted, refused
}

// increase raises the rate after an interval without overload.
func (t *throttle) increase() {
	t.pause = 0
	if t.rate < fastIncreaseShare*t.troubleRate {
		t.rate *= 1 + fastIncrease
	} else {
		t.rate *= 1 + slowIncrease
	}
}

// decrease lowers the rate, starting from the rate of admitted streams if there was no limit.
func (t *throttle) decrease(excess, taken float64, now time.Time) {
	part := slightDecrease
	if excess >= 1 {
		part = severeDecrease
	}
	if t.rate == 0 {
		// The interval is too short to measure the rate of few streams, so all streams that
		// arrived in the last second count too; all of them were admitted.
		t.rate, t.at, t.refusedAt = max(taken, float64(t.previousArrivals.total)), now, now
		t.tokens = minBurst
	}
	if t.pause == 0 {
		t.troubleRate = max(t.rate, t.troubleRate/2)
	}
	t.pause = max(2*t.pause, initialPause)
	t.rate = max(part*t.rate, minRate)
	t.tokens = min(t.tokens, minBurst)
	t.lowered = now
}

// backlog returns how long it takes at the current rate to admit as many streams as were refused
// a second lately; 0 if the rate is not limited.
func (t *throttle) backlog() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rate <= 0 {
		return 0
	}
	return time.Duration(t.refusedPerSecond / t.rate * float64(time.Second))
}

// current returns the rate, 0 for no limit.
func (t *throttle) current() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rate
}

// waiting returns the number of admitted streams that were not sent to a target yet.
func (t *throttle) waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dispatching
}
