package place

import (
	"math/rand/v2"
	"time"

	"zinccove.example/zinccove/notice"
)

// announcement is what an incarnation of a target announced about itself. It is kept apart from
// the list of targets, because the store may lag behind for long, or lose the target's entry and
// get it back later: the announcement takes precedence for as long as the incarnation runs.
type announcement struct {
	notice.State
	// accepted is the number of requests that the incarnation began to respond to since its last
	// backoff began.
	accepted int
	// listedAt is when the incarnation was last in the list of targets, or last announced.
	listedAt time.Time
}

const (
	// announcementTTL is the time for which announcements are kept of incarnations that are not
	// in the list: longer than an outage of the store during which targets continue to serve.
	announcementTTL = 10 * time.Minute
	// maxAnnouncements bounds the incarnations whose announcements are kept: ten times the
	// targets of a large fleet.
	maxAnnouncements = 4096
)

// ApplyNotice applies the notice that the target sent with a response, and returns the part of it
// that changed something.
func (r *Run) ApplyNotice(n notice.Notice) (changed notice.Notice) {
	if n == (notice.Notice{}) {
		return n
	}
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.applyNotice(r.state.hash, n)
}

// MarkDraining records the report of another router that an incarnation of a target announced
// that it is draining, and reports whether this was not known before. The incarnation need not be
// listed yet.
func (p *Placer) MarkDraining(target Hash) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.applyNotice(target, notice.Notice{Draining: true}).Draining
}

func (p *Placer) applyNotice(target Hash, n notice.Notice) (changed notice.Notice) {
	s := p.announcements[target]
	if s == nil {
		if len(p.announcements) >= maxAnnouncements {
			return notice.Notice{}
		}
		s = new(announcement)
		p.announcements[target] = s
	}
	now := p.clock.Now()
	s.listedAt = now
	if t := p.byHash[target]; t != nil {
		t.announced = s
	}
	changed = s.Apply(n, now)
	if changed.Backoff > 0 {
		s.accepted = 0
	}
	return changed
}

// recoveryPeriod is the time after a backoff during which the load of a target is increased
// gradually.
const recoveryPeriod = 10 * time.Second

// recovering reports whether the target is soon after a backoff and already has its current limit
// of work: one request of this router, two more for each request that it accepted since, and none
// that would wait for a slot. All callers that were refused during the backoff return at its end;
// too many of them at once would make the target ask for the next backoff.
func (t *target) recovering(now time.Time) bool {
	s := t.announced
	if s == nil || s.BackoffEnd().IsZero() || now.Sub(s.BackoffEnd()) >= recoveryPeriod {
		return false
	}
	full := t.Slots > 0 && t.outstanding() >= t.Slots
	return full || t.own.Requests > 2*s.accepted
}

// recordAccepted records that the target began to respond to a request.
func (t *target) recordAccepted() {
	if t.announced != nil {
		t.announced.accepted++
	}
}

// AnnouncedDraining returns the listed targets that announced that they are draining while their
// entries do not say so.
func (p *Placer) AnnouncedDraining() []Hash {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Hash
	for h, s := range p.announcements {
		if t := p.byHash[h]; t != nil && s.Draining() && !t.Draining {
			list = append(list, h)
		}
	}
	return list
}

// Backoff returns the time until the first target of a service that asked this router for a
// backoff accepts requests again. It is 0 if a target accepts them now, or if no target will.
func (p *Placer) Backoff(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[service]
	if s == nil {
		return 0
	}
	left, _ := p.backoff(s, new(Request), p.clock.Now())
	return left
}

// backoff also returns the target that accepts requests first.
func (p *Placer) backoff(s *service, r *Request, now time.Time) (remaining time.Duration, first *target) {
	for _, t := range s.targets {
		switch {
		case p.closedToNew(t) || !r.allows(t.region) || !r.allowsVersion(t.Version):
		case !t.unavailable(now):
			return 0, nil
		case first == nil || t.announced.BackoffEnd().Before(first.announced.BackoffEnd()):
			first = t
		}
	}
	if first == nil {
		return 0, nil
	}
	return max(first.announced.BackoffEnd().Sub(now), 0), first
}

// retrySpread is the largest random addition to the retry delay of callers, as a share of the
// remaining backoff. Otherwise all callers that were refused during a backoff would return at its
// end at the same time and be refused again.
const retrySpread = 1.0 / 3

// refuseNoTarget refuses a request for which there is no target. If targets are warming up, the
// caller may retry when this router has a slot there. If they are only in backoff, the retry delay
// lasts at least until the first of them accepts requests again.
func (p *Placer) refuseNoTarget(s *service, r *Request, now time.Time) Decision {
	p.recordUsage(r.Customer, firstAttemptUsage(*r, s.sizeOf(r.Call)), now)
	if after, ok := p.warmUpRetry(s, r, now); ok {
		return Decision{Reason: WarmingUp, RetryAfter: after}
	}
	remaining, first := p.backoff(s, r, now)
	if first == nil {
		reason := NoTarget
		if r.Resumed {
			reason = NoVersion
		}
		return Decision{Reason: reason, RetryAfter: noTargetRetry}
	}
	remaining = max(remaining, minRetryAfter)
	spread := time.Duration(retrySpread * rand.Float64() * float64(remaining))
	return Decision{Reason: BackingOff, RetryAfter: remaining + spread, FirstAvailable: first.ID}
}

// expireAnnouncements removes the announcements of incarnations that have not been listed for
// announcementTTL.
func (p *Placer) expireAnnouncements(now time.Time) {
	for h, s := range p.announcements {
		if p.byHash[h] == nil && now.Sub(s.listedAt) >= announcementTTL {
			delete(p.announcements, h)
		}
	}
}
