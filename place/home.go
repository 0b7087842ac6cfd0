package place

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinccove.example/zinccove/message"
)

// placeEngine chooses the home with the lowest cost among the first homes of a prompt and decides
// whether the request is admitted there.
func (p *Placer) placeEngine(s *service, r Request, replies repliesByTarget, now time.Time) Decision {
	h := p.homes(s, r, now)
	if r.Grant != nil {
		h.homes, h.near = p.grantedHome(s, r, now), 0
	}
	if len(h.homes) == 0 {
		return p.refuseNoTarget(s, &r, now)
	}
	for _, t := range h.homes {
		p.expireReply(t, now)
	}
	pr := newPrompt(r.Call)
	shares := p.currentShares(now)
	st := shares.standing(r.Customer)
	holders := p.cacheHolders(s, &h, &pr, replies, now)
	h.leaveCold(s, holders, &pr, replies)
	candidates := s.byCost(holders, &pr, now)
	if h.near == 0 || h.cold {
		candidates = candidates[:1]
	}
	base := Decision{
		Share: st.limitFactor, AboveShare: st.above, Ahead: st.ahead, Comparison: shares.comparison(r.Customer, now),
		Replies: len(replies), ReportAge: p.oldestReportAge(now),
	}
	limit := time.Duration(float64(r.Objective) * admitShare * st.limitFactor)
	best, d, admitted := s.firstAdmitted(candidates, base, &pr, limit, r.Objective, st)
	bounded := p.bounded(r.Customer, shares)
	d.Held = bounded && !p.hasCredit(r.Customer, shares, now)
	d.Home = h.kind(best.rank)
	if d.Held || !admitted {
		d.Waiting = p.wait(s, &r, &pr, &d, h.homes, limit, shares)
		return p.refuse(r, d, s.sizeOf(r.Call), limit, minRetryAfter, now)
	}
	if bounded {
		p.spendCredit(r.Customer, costOf(r.Call))
	}
	p.addHolding(s, h.first, best.target, &pr, &d)
	d.Backup = p.backup(s, r, best.target, h.homes, now)
	return p.accept(s, r, &pr, best.target, d, now)
}

// firstAdmitted returns the first candidate that admits a request, or the first one if none does.
func (s *service) firstAdmitted(candidates []candidate, base Decision, pr *prompt, limit, objective time.Duration, st standing) (c candidate, d Decision, ok bool) {
	for i := range candidates {
		if d := candidates[i].decision(base, pr); s.admits(d, limit, objective, st) {
			return candidates[i], d, true
		}
	}
	return candidates[0], candidates[0].decision(base, pr), false
}

// accept counts a request at a target.
func (p *Placer) accept(s *service, r Request, pr *prompt, t *target, d Decision, now time.Time) Decision {
	cost := costOf(r.Call)
	t.cache.touch(pr.prefixParts, d.PrefillTokens+d.CopiedTokens)
	t.cache.trim(s.engine.CacheTokens)
	d = p.begin(t, r, d, Usage{Requested: cost}, Usage{Served: cost}, now)
	p.lastPrefillNumber++
	d.Run.number = p.lastPrefillNumber
	p.addPrefill(Prefill{Target: t.hash, Number: p.lastPrefillNumber, PrefixParts: pr.prefixParts, Tokens: d.PrefillTokens, CopiedTokens: d.CopiedTokens})
	return d
}

// candidate is a home with the predictions for one request at it.
type candidate struct {
	target        *target
	rank          int
	backlog       int
	prefillTokens int
	copiedTokens  int
	copyFrom      netip.AddrPort
	// holding reports whether copyFrom is known from a holding.
	holding   bool
	slowness  float64
	wait      time.Duration
	predicted time.Duration
	cost      time.Duration
}

// decision adds the predictions for a candidate to a decision.
func (c *candidate) decision(d Decision, pr *prompt) Decision {
	d.CopiedTokens, d.CopyFrom, d.Holding = c.copiedTokens, c.copyFrom, c.holding
	d.Rank, d.Backlog, d.PrefillTokens, d.SharedTokens = c.rank, c.backlog, c.prefillTokens, c.prefillTokens-pr.uniqueTokens
	d.Outstanding, d.HasFreeSlot = c.target.outstanding(), c.target.outstanding() < c.target.Slots
	d.Wait, d.Predicted, d.Slowness = c.wait, c.predicted, c.slowness
	return d
}

// byCost returns the homes by their cost, the lowest first. The cost is the predicted time to the
// first event, plus the prefill time that recomputing the shared prefix takes from other requests,
// plus a margin for homes after the first, so that prompts do not move for small differences.
func (s *service) byCost(holders []cacheHolder, pr *prompt, now time.Time) []candidate {
	list := make([]candidate, 0, min(len(holders), maxCandidates))
	for rank, h := range holders {
		if h.sourceOnly {
			continue
		}
		t := h.target
		c := candidate{target: t, rank: rank, prefillTokens: h.prefillTokens}
		s.planCopy(holders, &c)
		c.slowness = t.slow.factor(now)
		c.backlog = s.backlog(t, c.slowness, now)
		slot := s.slotTime.untilFree(t.outstanding(), t.Slots)
		c.wait = max(stretch(s.latency.prefillTime(c.backlog), c.slowness), slot)
		c.predicted = max(stretch(s.latency.predict(c.backlog+c.prefillTokens), c.slowness), slot+stretch(s.latency.predict(c.prefillTokens), c.slowness)) + s.copyTime(c.copiedTokens)
		recompute := s.latency.prefillTime(c.prefillTokens - pr.uniqueTokens)
		c.cost = c.predicted + time.Duration(recomputeWeight*float64(recompute)) + h.margin
		at := len(list)
		for at > 0 && c.cost < list[at-1].cost {
			at--
		}
		list = slices.Insert(list, at, c)
	}
	return list
}

// stretch multiplies a time by the slowness of a target.
func stretch(d time.Duration, slow float64) time.Duration { return time.Duration(slow * float64(d)) }

const (
	// maxHomes is the number of homes of a prompt. The shared prefixes of all prompts fit into
	// the memory of the engines about twice.
	maxHomes = 2
	// recomputeWeight is the weight of the prefill time that recomputing the shared prefix takes
	// from other requests.
	recomputeWeight = 3.0
	// moveMargin is the advantage in cost that another home needs for each rank. A prompt that
	// moves has its shared prefix prefilled again and evicts other prefixes: with a margin of 40
	// ms, and the target with the fewest pending tokens as a choice beside the homes, 2.4 times
	// as many shared tokens were prefilled again.
	moveMargin = 150 * time.Millisecond
)

// homeKey returns the key that selects the homes of a prompt: the id of its last prefix part, or
// of its only part.
func homeKey(c *message.RequestInfo) string {
	switch n := len(c.PrefixParts); n {
	case 0:
		return c.ID
	case 1:
		return c.PrefixParts[0].ID
	default:
		return c.PrefixParts[n-2].ID
	}
}

// homes returns the first homes of a prompt by rendezvous hashing among the good targets, or
// among the degraded ones if no target is good. Targets are hashed by address, because the
// address does not change at a restart.
func (p *Placer) homes(s *service, r Request, now time.Time) homeSet {
	key := xxhash.Sum64String(homeKey(r.Call))
	var (
		first [good + 1]ranking
		near  ranking
	)
	useNear := p.usesNearHomes(s, &r, now)
	for _, t := range s.targets {
		weight := Mix(key ^ t.seed)
		forNear := useNear && t.near && near.qualifies(t, weight)
		if !forNear && !first[good].qualifies(t, weight) {
			continue
		}
		g := p.grade(s, t, r, now)
		first[g].add(t, weight)
		if forNear && g == good {
			near.add(t, weight)
		}
	}
	best := &first[good]
	if best.n == 0 {
		best = &first[degraded]
	}
	h := newHomeSet(best, &near)
	for i, t := range first[unusable].list() {
		if best.qualifies(t, first[unusable].weights[i]) && r.allows(t.region) && r.allowsVersion(t.Version) && p.canCopyFrom(t, now) {
			h.former = append(h.former, t)
		}
	}
	return h
}

// ranking holds the targets with the highest weights.
type ranking struct {
	targets [maxHomes]*target
	weights [maxHomes]uint64
	n       int
}

// qualifies reports whether a target is among those with the highest weights.
func (r *ranking) qualifies(t *target, weight uint64) bool {
	return r.n < maxHomes || r.follows(maxHomes-1, t, weight)
}

// follows reports whether the target at a position ranks after another one. Targets at the same
// address have the same weight and are ordered by incarnation, so that all routers agree.
func (r *ranking) follows(at int, t *target, weight uint64) bool {
	return r.weights[at] < weight || r.weights[at] == weight && r.targets[at].incarnation > t.incarnation
}

func (r *ranking) add(t *target, weight uint64) {
	if !r.qualifies(t, weight) {
		return
	}
	at := min(r.n, maxHomes-1)
	for at > 0 && r.follows(at-1, t, weight) {
		r.targets[at], r.weights[at] = r.targets[at-1], r.weights[at-1]
		at--
	}
	r.targets[at], r.weights[at] = t, weight
	r.n = min(r.n+1, maxHomes)
}

func (r *ranking) list() []*target { return r.targets[:r.n] }

// Mix mixes the bits of a hash with the finaliser of MurmurHash3 by Austin Appleby.
func Mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
