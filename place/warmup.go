package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// A target that is warming up can serve only a low rate, which all routers share. The time of the
// warm-up is divided into slots, one for each request that the target can serve, counted back from
// its end, which all routers know from the target's entry. The slots go to the routers in turn, so
// no message is needed. Routers that disagree on the end or on the number of routers use slots at
// other times, but each uses its part of the rate only.

// warmUpSlotTTL is how long a router may use its slot after it began. All routers together then send at
// most one and a half times the rate in a second.
const warmUpSlotTTL = 500 * time.Millisecond

// SetFleet sets the number of routers that share the rate of targets that are warming up, and the
// position of this one among them, from 0. Before the first call such targets get no requests.
func (p *Placer) SetFleet(position, routers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position, p.routers = position, routers
}

// warmUpSchedule are the slots of one router at one target.
type warmUpSchedule struct {
	// interval is the time between two slots of the target, of which each routers-th belongs to the
	// router, offset many slots before the end.
	interval        time.Duration
	routers, offset int
	end             time.Time
}

// warmUpSchedule returns the slots of this router at a target that is warming up.
func (p *Placer) warmUpSchedule(s *service, t *target) warmUpSchedule {
	w := warmUpSchedule{routers: p.routers, end: t.warmUpUntil}
	w.interval = time.Duration(max(min(float64(time.Second)/s.warmUpRate, float64(maxWarmUpInterval)), 1))
	// The hash spreads the last slots of several targets over the routers.
	w.offset = (p.position + int(t.hash%Hash(p.routers))) % p.routers
	return w
}

// maxWarmUpInterval bounds the time between two slots.
const maxWarmUpInterval = time.Hour

// slot returns when the latest slot at a time began, and its number, counted back from the end.
func (w *warmUpSchedule) slot(now time.Time) (began time.Time, number int) {
	number = int(math.Ceil(float64(w.end.Sub(now)) / float64(w.interval)))
	number += ((w.offset-number)%w.routers + w.routers) % w.routers
	return w.begin(number), number
}

// begin returns when a slot begins.
func (w *warmUpSchedule) begin(number int) time.Time {
	return w.end.Add(-time.Duration(number) * w.interval)
}

// next returns when the first slot after a time begins, at most the end of the warm-up.
func (w *warmUpSchedule) next(now time.Time) time.Time {
	_, number := w.slot(now)
	return w.begin(max(number-w.routers, 0))
}

// period returns the time between two slots of the router.
func (w *warmUpSchedule) period() time.Duration { return time.Duration(w.routers) * w.interval }

// admitsWarmingUp reports whether this router may send a request to a target that is warming up now.
func (p *Placer) admitsWarmingUp(s *service, t *target, now time.Time) bool {
	if p.routers == 0 {
		return false
	}
	w := p.warmUpSchedule(s, t)
	began, _ := w.slot(now)
	// A changed entry can shift the slots, so the time since the last request counts too.
	used := !t.warmUpAdmitted.Before(began) || now.Sub(t.warmUpAdmitted) < w.period()/2
	return !used && now.Sub(began) < warmUpSlotTTL
}

// warmUpRetry returns when the caller of a refused request may retry if targets that are warming up
// would take it: at the next slot that was not named to another caller, or shortly after the
// warm-up. Ok is false if there is no such target.
func (p *Placer) warmUpRetry(s *service, r *Request, now time.Time) (after time.Duration, ok bool) {
	var (
		first *target
		at    time.Time
	)
	for _, t := range s.targets {
		if !s.warmingUp(t, now) || p.closedToNew(t) || !r.allows(t.region) || !r.allowsVersion(t.Version) || slices.Contains(r.Tried, t.incarnation) {
			continue
		}
		next := t.warmUpUntil
		if p.routers > 0 {
			w := p.warmUpSchedule(s, t)
			next = w.next(later(now, t.warmUpNamed))
		}
		if first == nil || next.Before(at) {
			first, at = t, next
		}
	}
	if first == nil {
		return 0, false
	}
	first.warmUpNamed = at
	after = max(at.Sub(now), minRetryAfter)
	if !at.Before(first.warmUpUntil) {
		after += time.Duration(retrySpread * rand.Float64() * float64(after))
	}
	return after, true
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
