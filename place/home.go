package place

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinccove.example/zinccove/message"
)

// home chooses among the first homes of a prompt the one with the least cost, and
// says whether it takes the request.
func (p *Placer) home(s *service, r Request, known told, now time.Time) Decision {
	homes, left := p.homes(s, r, now)
	if len(homes) == 0 {
		return p.none(s, &r, now)
	}
	for _, t := range homes {
		p.forgetAnswer(t, now)
	}
	pr := newPrompt(r.Call)
	st := p.currentShares(now).standing(r.Customer)
	best := s.cheapest(s.holders(homes, left, &pr, known, now), &pr, now)
	d := Decision{
		CopiedTokens: best.copied, CopyFrom: best.from,
		Rank: best.rank, Share: st.part, AboveShare: st.above,
		Backlog: best.backlog, PrefillTokens: best.unread, SharedTokens: best.unread - pr.own, Outstanding: best.target.outstanding(),
		Wait: best.wait, Predicted: best.predicted, Slowness: best.slow, Replies: len(known), ReportAge: p.oldestReport(now),
		HasFreeSlot: best.target.outstanding() < best.target.Slots,
	}
	limit := time.Duration(float64(r.Objective) * admitShare * st.part)
	if !s.admits(d, limit, r.Objective, st) {
		return p.refuse(r, d, Usage{Requested: costOf(r.Call)}, limit, leastRetry, now)
	}
	return p.accept(s, r, &pr, best.target, d, now)
}

// accept counts a request at a target.
func (p *Placer) accept(s *service, r Request, pr *prompt, t *target, d Decision, now time.Time) Decision {
	cost := costOf(r.Call)
	t.kept.touch(pr.shared, d.PrefillTokens+d.CopiedTokens)
	t.kept.trim(s.engine.CacheTokens)
	d = p.begin(t, r, d, Usage{Requested: cost}, Usage{Served: cost}, now)
	p.numbered++
	d.Run.number = p.numbered
	p.announce(Prefill{Target: t.hash, Number: p.numbered, PrefixParts: pr.shared, Tokens: d.PrefillTokens, CopiedTokens: d.CopiedTokens})
	return d
}

// candidate is a home and what is expected of it for one request.
type candidate struct {
	target    *target
	rank      int
	backlog   int
	unread    int
	copied    int
	from      netip.AddrPort
	slow      float64
	wait      time.Duration
	predicted time.Duration
	cost      time.Duration
}

// cheapest returns the home with the least cost: the expected time to the
// first event, the time that reading shared parts again takes from others, and
// a margin for homes after the first, so that requests do not move for small
// differences.
func (s *service) cheapest(holders []holder, pr *prompt, now time.Time) candidate {
	var best candidate
	for rank, h := range holders {
		if h.leaves {
			continue
		}
		t := h.target
		c := candidate{target: t, rank: rank, unread: h.unread}
		s.copyFrom(holders, &c)
		c.slow = t.slow.factor(now)
		c.backlog = s.backlog(t, c.slow, now)
		slot := s.holds.untilFree(t.outstanding(), t.Slots)
		c.wait = max(stretch(s.speed.reading(c.backlog), c.slow), slot)
		c.predicted = max(stretch(s.speed.predict(c.backlog+c.unread), c.slow), slot+stretch(s.speed.predict(c.unread), c.slow)) + s.copying(c.copied)
		again := s.speed.reading(c.unread - pr.own)
		c.cost = c.predicted + time.Duration(againWeight*float64(again)) + time.Duration(rank)*moveMargin
		if best.target == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// stretch returns a time as it is at a target that takes longer.
func stretch(d time.Duration, slow float64) time.Duration { return time.Duration(slow * float64(d)) }

const (
	// maxHomes is the number of homes that a prompt may be read at. Shared parts
	// of all prompts fit about two homes in the memory of the engines.
	maxHomes = 2
	// againWeight is the weight of the time that reading shared parts again takes
	// from other requests.
	againWeight = 3.0
	// moveMargin is what another home must be better by, for each rank. A prompt
	// that moves has its shared parts read again and pushes others' out: with 40 ms,
	// and the target where least waits beside the homes, 2.4 times as many shared
	// tokens were read again.
	moveMargin = 150 * time.Millisecond
)

// homeKey is the last shared part of a prompt, or the only one.
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

// homes returns the first homes of a prompt by rendezvous hashing, at best
// among the good targets. Targets go by their addresses, which outlast a
// restart. Left are targets that take nothing new and would be first homes else.
func (p *Placer) homes(s *service, r Request, now time.Time) (homes, left []*target) {
	key := xxhash.Sum64String(homeKey(r.Call))
	var first [good + 1]ranking
	for _, t := range s.targets {
		weight := Mix(key ^ t.seed)
		if !first[good].takes(t, weight) {
			continue
		}
		g := p.grade(s, t, r, now)
		first[g].add(t, weight)
	}
	best := &first[good]
	if best.n == 0 {
		best = &first[doubtful]
	}
	for i, t := range first[unusable].list() {
		if best.takes(t, first[unusable].weights[i]) && r.allows(t.region) && r.Versions.allow(t.Version) && p.copiesFrom(t, now) {
			left = append(left, t)
		}
	}
	return best.list(), left
}

// ranking holds the targets with the greatest weights.
type ranking struct {
	targets [maxHomes]*target
	weights [maxHomes]uint64
	n       int
}

// takes reports whether a target is among those with the greatest weights.
func (r *ranking) takes(t *target, weight uint64) bool {
	return r.n < maxHomes || r.follows(maxHomes-1, t, weight)
}

// follows reports whether the target at a place comes after another one. Targets at the same
// address have the same weight and go by their names, so that all routers agree.
func (r *ranking) follows(at int, t *target, weight uint64) bool {
	return r.weights[at] < weight || r.weights[at] == weight && r.targets[at].incarnation > t.incarnation
}

func (r *ranking) add(t *target, weight uint64) {
	if !r.takes(t, weight) {
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

// Mix spreads the bits of a hash: the finaliser of MurmurHash3 by Austin
// Appleby.
func Mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
