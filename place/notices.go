package place

import (
	"math/rand/v2"
	"time"

	"zinccove.example/zinccove/notice"
)

// noticed is what a run of a target said of itself. It is kept apart from the list of
// targets, because the store may say otherwise for long, lose the target's entry and have it
// again: what the target says of itself outranks all that, as long as it runs.
type noticed struct {
	notice.State
	// taken counts the requests that the run began to answer since its last backoff began.
	taken int
	// listed is when the run last stood in the list of targets, or was heard of.
	listed time.Time
}

const (
	// noticesFor is how long notices are kept of runs that are not in the list: longer than
	// the store is away and targets serve on.
	noticesFor = 10 * time.Minute
	// mostNotices bounds the runs of which notices are kept, ten times the targets of a
	// large fleet.
	mostNotices = 4096
)

// ApplyNotice takes what the target said of itself in an answer, and returns what of it is news.
func (r *Run) ApplyNotice(n notice.Notice) (news notice.Notice) {
	if n == (notice.Notice{}) {
		return n
	}
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notice(r.state.hash, n)
}

// MarkDraining takes another router's word that a run of a target said that it leaves, and
// reports whether that is news. The run need not be known yet.
func (p *Placer) MarkDraining(target Hash) (news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notice(target, notice.Notice{Draining: true}).Draining
}

func (p *Placer) notice(target Hash, n notice.Notice) (news notice.Notice) {
	s := p.notices[target]
	if s == nil {
		if len(p.notices) >= mostNotices {
			return notice.Notice{}
		}
		s = new(noticed)
		p.notices[target] = s
	}
	now := p.clock.Now()
	s.listed = now
	if t := p.byHash[target]; t != nil {
		t.noticed = s
	}
	news = s.Apply(n, now)
	if news.Backoff > 0 {
		s.taken = 0
	}
	return news
}

// recoversFor is how long after a backoff a target is given work by and by.
const recoversFor = 10 * time.Second

// recovers reports whether the target has as much work as it is given soon after a backoff:
// one request of this router, two more for each that it took, and none that would wait for a
// slot. All callers that were refused meanwhile come at its end; those that are too many
// for it would make it ask for the next backoff.
func (t *target) recovers(now time.Time) bool {
	s := t.noticed
	if s == nil || s.BackoffEnd().IsZero() || now.Sub(s.BackoffEnd()) >= recoversFor {
		return false
	}
	full := t.Slots > 0 && t.outstanding() >= t.Slots
	return full || t.own.Requests > 2*s.taken
}

// took notes that the target began to answer a request.
func (t *target) took() {
	if t.noticed != nil {
		t.noticed.taken++
	}
}

// AnnouncedDraining returns the listed targets that said that they leave while their entries do
// not say so.
func (p *Placer) AnnouncedDraining() []Hash {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Hash
	for h, s := range p.notices {
		if t := p.byHash[h]; t != nil && s.Draining() && !t.Draining {
			list = append(list, h)
		}
	}
	return list
}

// Backoff is how long it is until the first target of a service takes requests again that
// asked this router for a backoff; 0 if one takes them now, or none will.
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

// backoff also returns the target that takes requests first.
func (p *Placer) backoff(s *service, r *Request, now time.Time) (left time.Duration, first *target) {
	for _, t := range s.targets {
		switch {
		case p.leaves(t) || !r.allows(t.region):
		case !t.declines(now):
			return 0, nil
		case first == nil || t.noticed.BackoffEnd().Before(first.noticed.BackoffEnd()):
			first = t
		}
	}
	if first == nil {
		return 0, nil
	}
	return max(first.noticed.BackoffEnd().Sub(now), 0), first
}

// returnPart is the part of the time that is left of a backoff by which callers are asked
// back later than its end, by chance. All that were refused in a backoff would otherwise
// come at its end at once, and be turned away again.
const returnPart = 1.0 / 3

// none refuses a request for which there is no target. Where targets only want a backoff,
// callers are told when the first one takes requests again.
func (p *Placer) none(s *service, r *Request, now time.Time) Decision {
	left, first := p.backoff(s, r, now)
	if first == nil {
		return Decision{Reason: NoTarget, RetryAfter: noTargetRetry}
	}
	left = max(left, leastRetry)
	spread := time.Duration(returnPart * rand.Float64() * float64(left))
	return Decision{Reason: BackingOff, RetryAfter: left + spread, FirstAvailable: first.ID}
}

// forgetNotices forgets what runs said that have not been listed for long.
func (p *Placer) forgetNotices(now time.Time) {
	for h, s := range p.notices {
		if p.byHash[h] == nil && now.Sub(s.listed) >= noticesFor {
			delete(p.notices, h)
		}
	}
}
