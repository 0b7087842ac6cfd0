package place

import (
	"math"
	"math/rand/v2"
	"time"
)

// Query asks the owner of a target for the state of that target. All routers report to the owner
// what they place at the target, so only the owner knows what is pending there: each router of a
// large fleet sees a small part of the requests, and a queue at an engine lasts for some 100 ms.
type Query struct {
	Target Hash
	// PrefixParts are the prefix parts of the prompt, PartTokens their sizes, and PromptTokens
	// the size of the whole prompt. All are zero for plain services.
	PrefixParts  []Hash
	PartTokens   []int
	PromptTokens int
	// FirstHome reports whether the target is the prompt's first home.
	FirstHome bool
}

// Plain reports whether the query is about a target of a plain service.
func (q *Query) Plain() bool { return q.PromptTokens == 0 && len(q.PrefixParts) == 0 }

// Reply is the state of a target as its owner knows it.
type Reply struct {
	Target Hash
	// PendingTokens is the number of tokens that wait for prefill, Requests the number of
	// outstanding requests.
	PendingTokens int
	Requests      int
	// PrefillTokens is the number of tokens of the prompt that the target would have to prefill.
	PrefillTokens int
	// Slowness is the factor by which first events of the target take longer than those of
	// others.
	Slowness float64
	// LatencyModel is what the owner has learned about first events at the targets of the
	// service; zero for plain services.
	LatencyModel LatencyModel
	// Holder is another target that has more of the prompt's shared parts cached, HolderTokens
	// the size of the parts; 0 if none is known.
	Holder       Hash
	HolderTokens int
	// Wanted reports whether the owner was queried lately about the target and a prompt with the
	// same shared parts.
	Wanted bool
}

// plainChoices is the number of random targets of a plain service among which a request is
// placed. Two random choices are nearly as good as all targets and cost fewer queries.
const plainChoices = 2

// Queries returns the queries whose replies should be known before a request is placed.
func (p *Placer) Queries(r Request) []Query {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[r.Service]
	if s == nil {
		return nil
	}
	p.liftVersions(s, &r)
	now := p.clock.Now()
	if s.engine == nil {
		return p.plainQueries(s, r, now)
	}
	pr := newPrompt(r.Call)
	var list []Query
	addQuery := func(t *target, first bool) {
		list = append(list, Query{Target: t.hash, PrefixParts: pr.prefixParts, PartTokens: pr.partTokens, PromptTokens: pr.total, FirstHome: first})
	}
	h := p.homes(s, r, now)
	for rank, t := range h.firstRound() {
		addQuery(t, rank == 0 || t == h.first)
	}
	if s.engine.CopyRate > 0 && len(pr.prefixParts) > 0 {
		for _, t := range h.former {
			addQuery(t, true)
		}
	}
	return list
}

// FurtherQueries returns the queries about the homes of a prompt over all data centres, whose
// owners are further away. There are none unless the replies about its near homes show that a
// shared part would have to be prefilled there, that the prompt would have to wait, or that it would be
// refused.
func (p *Placer) FurtherQueries(r Request, replies []Reply) []Query {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[r.Service]
	if s == nil || s.engine == nil || !p.nearHomes {
		return nil
	}
	p.liftVersions(s, &r)
	now := p.clock.Now()
	h := p.homes(s, r, now)
	further := h.furtherRound()
	if len(further) == 0 {
		return nil
	}
	pr := newPrompt(r.Call)
	near := homeSet{homes: h.firstRound(), near: h.near, first: h.first}
	best := s.byCost(p.cacheHolders(s, &near, &pr, p.applyReplies(replies, now), now), &pr, now)[0]
	missing := best.prefillTokens - pr.uniqueTokens
	limit := time.Duration(float64(r.Objective) * admitShare * p.currentShares(now).standing(r.Customer).limitFactor)
	if missing <= 0 && best.wait < moveMargin && best.predicted <= limit {
		return nil
	}
	list := make([]Query, 0, len(further))
	for _, t := range further {
		list = append(list, Query{Target: t.hash, PrefixParts: pr.prefixParts, PartTokens: pr.partTokens, PromptTokens: pr.total, FirstHome: t == h.first})
	}
	return list
}

// plainQueries returns queries for random targets of the best grade.
func (p *Placer) plainQueries(s *service, r Request, now time.Time) []Query {
	var best []*target
	graded := degraded
	for _, t := range s.targets {
		g := p.grade(s, t, r, now)
		if g > graded {
			best, graded = nil, g
		}
		if g == graded {
			best = append(best, t)
		}
	}
	rand.Shuffle(len(best), func(i, j int) { best[i], best[j] = best[j], best[i] })
	var list []Query
	for _, t := range best[:min(plainChoices, len(best))] {
		list = append(list, Query{Target: t.hash})
	}
	return list
}

// Reply replies to a query of another router; ok is false if the target is not known.
func (p *Placer) Reply(q Query) (a Reply, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byHash[q.Target]
	if t == nil {
		return Reply{}, false
	}
	now := p.clock.Now()
	return p.replyTo(t, q, now), true
}

// replyTo returns the state of a target.
func (p *Placer) replyTo(t *target, q Query, now time.Time) Reply {
	s := p.service(t.Service)
	slow := t.slow.factor(now)
	a := Reply{Target: q.Target, PendingTokens: s.backlog(t, slow, now), Requests: t.outstanding(), Slowness: slow}
	if s.engine != nil {
		a.LatencyModel = s.latency.LatencyModel
		pr := prompt{prefixParts: q.PrefixParts, partTokens: q.PartTokens, total: max(q.PromptTokens, 1)}
		a.PrefillTokens = pr.prefillTokens(&t.cache, s.engine.CacheTokens, q.FirstHome && t.assumesCached(now))
		a.Wanted = t.cache.want(&pr, s.engine.CacheTokens)
		a.Holder, a.HolderTokens = p.holderFor(t, &pr, a.PrefillTokens, now)
	}
	return a
}

// repliesByTarget holds the replies to the queries for one request.
type repliesByTarget map[Hash]Reply

// applyReplies replaces the estimates for the targets of replies by the owners' figures.
func (p *Placer) applyReplies(replies []Reply, now time.Time) repliesByTarget {
	byTarget := make(repliesByTarget, len(replies))
	for _, a := range replies {
		t := p.byHash[a.Target]
		if t == nil {
			continue
		}
		byTarget[a.Target] = a
		p.service(t.Service).latency.adopt(a.LatencyModel)
		t.slow = slowness{log: math.Log(min(max(a.Slowness, 1/maxSlowness), maxSlowness)), at: now}
		t.queue.set(a.PendingTokens, now)
		t.others.Requests = max(a.Requests-t.own.Requests, 0)
		t.repliedAt = now
	}
	return byTarget
}

// replyTTL is the time for which a reply overrides this router's own estimate: a few times as
// long as a request holds a slot of an engine.
const replyTTL = 2 * time.Second

// expireReply returns to this router's own estimate once the last reply about a target is older
// than replyTTL. Otherwise a target that was full at that reply would count as full for as long
// as its owner sends no further reply.
func (p *Placer) expireReply(t *target, now time.Time) {
	if t.repliedAt.IsZero() || now.Sub(t.repliedAt) < replyTTL {
		return
	}
	t.repliedAt = time.Time{}
	t.others = p.othersLoad(t.hash)
}

// SetOwned sets the targets that this router owns. What a newly owned target has cached is not
// known yet, unless the target started while this router ran.
func (p *Placer) SetOwned(targets map[Hash]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h := range targets {
		p.markOwned(h)
	}
	p.owned = targets
}

// AddOwned adds one target to those that this router owns.
func (p *Placer) AddOwned(target Hash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markOwned(target)
	if p.owned == nil {
		p.owned = make(map[Hash]bool)
	}
	p.owned[target] = true
}

func (p *Placer) markOwned(target Hash) {
	now := p.clock.Now()
	// At the first start of a fleet, its targets have cached nothing.
	justStarted := p.firstStart && now.Sub(p.started) < assumeCachedTTL
	if t := p.byHash[target]; t != nil && !p.owned[target] && !justStarted && !t.startedLater {
		t.assumeCachedUntil = now.Add(assumeCachedTTL)
	}
}
