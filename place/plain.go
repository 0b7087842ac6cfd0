package place

import (
	"math/rand/v2"
	"time"
)

const (
	// plainPart is the part of its objective within which a call of a plain service must
	// be expected to be answered, to be begun. What is left is for the caller's way, for
	// another try and for what routers do not know of each other: with 0.7 an eighth of
	// what was begun came late, with 0.35 and 0.5 next to nothing (replayed).
	plainPart = 0.4
	// soonPart is the least time after which a caller is asked back, as a part of the
	// time of a slot: a caller that comes back within its objective is served in time.
	soonPart = 0.5
)

// plain takes the target of a plain service with the least work for its slots, by chance
// among equals: among those that were asked about, if there are any.
//
// The load that it answers: half of the targets are gone, and more is asked than the
// others carry. Without a bound each call then waits until its objective is over, and
// targets turn away what finds their queues full, so that hardly any caller is served in
// time although five of six could be. So a call that is not expected to be answered in
// its objective is refused at once; its caller may come back when it is expected to be:
// 83 of 100 calls are then answered in their objective in place of 64, which is what the
// slots carry (two of four targets leave, 241 calls a second, replayed over 16 routers).
// A target with a free slot takes a call whatever is expected: a refusal would leave it
// idle, and a router that expects too much would learn nothing any more.
func (p *Placer) plain(s *service, r Request, known told, now time.Time) Decision {
	t := p.leastBusy(s, r, known, now)
	if t == nil {
		return p.none(s, &r, now)
	}
	d := Decision{
		Share:       p.currentShares(now).callPart(r.Customer),
		Outstanding: t.outstanding(), HasFreeSlot: t.outstanding() < t.Slots,
		Replies: len(known), ReportAge: p.oldestReport(now),
	}
	if s.holds.known() {
		d.Wait = s.holds.untilFree(d.Outstanding, t.Slots)
		d.Predicted = d.Wait + s.holds.mean
	}
	limit := time.Duration(plainPart * d.Share * float64(r.Objective))
	if !d.HasFreeSlot && d.Predicted > limit {
		d.AboveShare = d.Share < 1
		return p.refuse(r, d, Usage{CallsRequested: 1}, limit, time.Duration(soonPart*float64(s.holds.mean)), now)
	}
	return p.begin(t, r, d, Usage{CallsRequested: 1}, Usage{CallsServed: 1}, now)
}

// leastBusy returns the target with the least work for its slots, nil if there is none: among
// those that were asked about, unless all of these have come to want nothing meanwhile.
func (p *Placer) leastBusy(s *service, r Request, known told, now time.Time) *target {
	if len(known) > 0 {
		if t := p.leastBusyOf(s, r, known, now); t != nil {
			return t
		}
	}
	return p.leastBusyOf(s, r, nil, now)
}

// leastBusyOf looks among the targets that are known, all of them if none is.
func (p *Placer) leastBusyOf(s *service, r Request, known told, now time.Time) *target {
	var (
		best   *target
		graded grade
	)
	start := rand.IntN(max(len(s.targets), 1))
	for i := range s.targets {
		t := s.targets[(start+i)%len(s.targets)]
		g := p.grade(s, t, r, now)
		if _, asked := known[t.hash]; len(known) > 0 && !asked {
			continue
		}
		p.forgetAnswer(t, now)
		if g > graded || g == graded && g > unusable && t.busyness() < best.busyness() {
			best, graded = t, g
		}
	}
	return best
}

// busyness is the work of a target for each of its slots.
func (t *target) busyness() float64 { return float64(t.outstanding()) / float64(max(t.Slots, 1)) }
