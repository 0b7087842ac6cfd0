package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/route"
)

// home chooses among the first homes of a prompt the target with the least
// cost, if it is expected to make the objective.
func (p *Placer) home(s *service, r Request, now time.Time) Decision {
	homes := p.homes(s, r, now)
	if len(homes) == 0 {
		return Decision{Reason: NoTarget, RetryAfter: noTargetRetry}
	}
	pr := newPrompt(r.Call)
	cost := costOf(r.Call)
	st := p.currentShares(now).standing(r.Customer)
	limit := time.Duration(float64(r.Objective) * admitShare * st.part)
	best := s.cheapest(homes, &pr, now)
	d := Decision{
		Rank: best.rank, Share: st.part, Above: st.above, Backlog: best.backlog, Unread: best.unread, Shared: best.unread - pr.own,
		Outstanding: best.target.outstanding(), Wait: best.wait, Predicted: best.predicted, Slowness: best.target.slow.factor(now),
	}
	use := Use{Asked: cost}
	if len(r.Tried) > 0 {
		use.Asked = 0 // it was counted with the first attempt
	}
	if best.target.outstanding() >= best.target.Slots || !s.admits(d, limit, st) {
		p.note(r.Customer, use, now)
		d.Reason = Overloaded
		d.RetryAfter = min(max(d.Predicted-limit, leastRetry), mostRetry)
		d.Age = p.oldestReport(now)
		return d
	}
	use.Served = cost
	p.note(r.Customer, use, now)
	best.target.kept.touch(pr.shared, best.unread)
	best.target.kept.trim(s.engine.MemoryTokens)
	p.announce(Reading{Target: best.target.hash, Parts: pr.shared, Unread: best.unread})
	d = p.begin(best.target, d, best.unread, now)
	d.Run.customer, d.Run.cost = HashOf(r.Customer), cost
	return d
}

// candidate is a home and what is expected of it for one request.
type candidate struct {
	target    *target
	rank      int
	backlog   int
	unread    int
	wait      time.Duration
	predicted time.Duration
	cost      time.Duration
}

// cheapest returns the home with the least cost: the expected time to the
// first event, the time that reading shared parts again takes from others, and
// a margin for homes after the first, so that requests do not move for small
// differences between reports.
func (s *service) cheapest(homes []*target, pr *prompt, now time.Time) candidate {
	var best candidate
	for rank, t := range homes {
		// All routers prefer a prompt's first home, so only that one is likely to keep
		// parts of which nothing is known here.
		assumeKept := rank == 0 && t.warm(now)
		c := candidate{target: t, rank: rank, unread: pr.unread(&t.kept, s.engine.MemoryTokens, assumeKept)}
		slow := t.slow.factor(now)
		c.backlog = s.backlog(t, now)
		c.wait = stretch(s.speed.reading(c.backlog), slow)
		c.predicted = stretch(s.speed.predict(c.backlog+c.unread), slow)
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

// admits reports whether a target is expected to make a limit. Where nothing
// waits, prompts that take longer are admitted too: a refusal would leave the
// target idle, and a router that expects too much would learn nothing any more.
// Only customers that are ahead of others who are refused leave that to those.
// Prompts too long for any target are also admitted where little waits.
func (s *service) admits(d Decision, limit time.Duration, st standing) bool {
	switch {
	case d.Predicted <= limit:
		return true
	case d.Backlog == 0:
		return !st.ahead
	}
	return s.speed.predict(0)+d.Wait <= time.Duration(float64(limit)*longShare)
}

// costOf is the size of a request in tokens, for comparing customers.
func costOf(c *message.Call) int {
	made := c.HintTokens
	if made == 0 {
		made = c.MaxTokens
	}
	return c.PromptTokens + route.MadeTokenCost*made
}

const (
	// admitShare is the part of the objective that an expected time may take: 0.1
	// of the objectives in use, 30 to 80 ms, is what expected times are off by.
	admitShare = 0.9
	// longShare is the part of the limit that may wait before a prompt that is
	// too long to make it.
	longShare = 0.3
	// maxHomes is the number of homes that a prompt may be read at. Shared parts
	// of all prompts fit about two homes in the memory of the engines.
	maxHomes = 2
	// againWeight is the weight of the time that reading shared parts again takes
	// from other requests.
	againWeight = 3.0
	// moveMargin is what another home must be better by, for each rank: about
	// what a backlog changes between two reports of a busy router.
	moveMargin = 150 * time.Millisecond
	// leastRetry and mostRetry bound the time after which a caller is asked back.
	leastRetry = 100 * time.Millisecond
	mostRetry  = 2 * time.Second
)

// homeKey is the last shared part of a prompt, or the only one.
func homeKey(c *message.Call) string {
	switch n := len(c.Parts); n {
	case 0:
		return c.ID
	case 1:
		return c.Parts[0].ID
	default:
		return c.Parts[n-2].ID
	}
}

// homes returns the first homes of a prompt by rendezvous hashing, at best
// among the good targets. Targets go by their addresses, which outlast a
// restart.
func (p *Placer) homes(s *service, r Request, now time.Time) []*target {
	key := xxhash.Sum64String(homeKey(r.Call))
	var first [good + 1]ranking
	for _, t := range s.targets {
		weight := mix(key ^ t.seed)
		if !first[good].takes(weight) {
			continue
		}
		g := p.grade(s, t, r, now)
		first[g].add(t, weight)
	}
	if first[good].n == 0 {
		return first[doubtful].list()
	}
	return first[good].list()
}

// ranking holds the targets with the greatest weights.
type ranking struct {
	targets [maxHomes]*target
	weights [maxHomes]uint64
	n       int
}

// takes reports whether a weight is among the greatest.
func (r *ranking) takes(weight uint64) bool { return r.n < maxHomes || weight > r.weights[maxHomes-1] }

func (r *ranking) add(t *target, weight uint64) {
	if !r.takes(weight) {
		return
	}
	at := min(r.n, maxHomes-1)
	for at > 0 && r.weights[at-1] < weight {
		r.targets[at], r.weights[at] = r.targets[at-1], r.weights[at-1]
		at--
	}
	r.targets[at], r.weights[at] = t, weight
	r.n = min(r.n+1, maxHomes)
}

func (r *ranking) list() []*target { return r.targets[:r.n] }

// mix spreads the bits of a hash: the finaliser of MurmurHash3 by Austin
// Appleby.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
