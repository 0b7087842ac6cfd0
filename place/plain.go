package place

import (
	"math/rand/v2"
	"time"
)

const (
	// plainObjectiveShare is the share of its objective within which a call of a plain service
	// must be predicted to complete to be admitted. The remainder covers the network time of the
	// caller, another attempt, and requests of other routers that this router does not know about
	// yet: with 0.7, an eighth of the admitted calls completed late; with 0.35 and 0.5, almost
	// none (replayed).
	plainObjectiveShare = 0.4
	// minRetryShare is the minimum retry delay as a share of the slot time: a caller that retries
	// within its objective can still be served in time.
	minRetryShare = 0.5
)

// placePlain chooses the target of a plain service with the fewest requests per slot, at random
// among equals. If there are replies, it chooses among their targets.
//
// It handles the load at which half of the targets are lost and more calls are requested than the
// others can serve. Without a limit each call then waits until its objective has passed, and
// targets refuse calls because their queues are full, so that hardly any call is served in time
// although five of six could be. Therefore a call that is not predicted to complete within its
// objective is refused immediately, with a retry delay until it is predicted to: 83 of 100 calls
// then complete within their objective instead of 64, which is the capacity of the slots (two of
// four targets leave, 241 calls a second, replayed over 16 routers). A target with a free slot
// accepts a call whatever the prediction: a refusal would leave it idle, and a router whose
// predictions are too high would get no samples to correct them.
func (p *Placer) placePlain(s *service, r Request, replies repliesByTarget, now time.Time) Decision {
	t := p.leastBusy(s, r, replies, now)
	if t == nil {
		return p.refuseNoTarget(s, &r, now)
	}
	shares := p.currentShares(now)
	d := Decision{
		Share:       shares.callLimitFactor(r.Customer),
		Comparison:  shares.callComparison(r.Customer, now),
		Outstanding: t.outstanding(), HasFreeSlot: t.outstanding() < t.Slots,
		Replies: len(replies), ReportAge: p.oldestReportAge(now),
	}
	if s.slotTime.known() {
		d.Wait = s.slotTime.untilFree(d.Outstanding, t.Slots)
		d.Predicted = d.Wait + s.slotTime.mean
	}
	limit := time.Duration(plainObjectiveShare * d.Share * float64(r.Objective))
	if !d.HasFreeSlot && d.Predicted > limit {
		d.AboveShare = d.Share < 1
		return p.refuse(r, d, s.sizeOf(r.Call), limit, time.Duration(minRetryShare*float64(s.slotTime.mean)), now)
	}
	return p.begin(t, r, d, Usage{CallsRequested: 1}, Usage{CallsServed: 1}, now)
}

// leastBusy returns the target with the fewest requests per slot, nil if there is none. It
// chooses among the targets that replied, unless all of these have become unusable meanwhile.
func (p *Placer) leastBusy(s *service, r Request, replies repliesByTarget, now time.Time) *target {
	if len(replies) > 0 {
		if t := p.leastBusyOf(s, r, replies, now); t != nil {
			return t
		}
	}
	return p.leastBusyOf(s, r, nil, now)
}

// leastBusyOf chooses among the targets of the replies, or among all targets if there are no
// replies.
func (p *Placer) leastBusyOf(s *service, r Request, replies repliesByTarget, now time.Time) *target {
	var (
		best   *target
		graded grade
	)
	start := rand.IntN(max(len(s.targets), 1))
	for i := range s.targets {
		t := s.targets[(start+i)%len(s.targets)]
		g := p.grade(s, t, r, now)
		if _, asked := replies[t.hash]; len(replies) > 0 && !asked {
			continue
		}
		p.expireReply(t, now)
		if g > graded || g == graded && g > unusable && t.busyness() < best.busyness() {
			best, graded = t, g
		}
	}
	return best
}

// busyness returns the number of requests of a target per slot.
func (t *target) busyness() float64 { return float64(t.outstanding()) / float64(max(t.Slots, 1)) }
