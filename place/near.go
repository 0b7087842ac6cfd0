package place

import (
	"slices"
	"time"
)

// HomeKind is the kind of a home among all homes of a prompt.
type HomeKind string

// The kinds of homes.
const (
	// FirstHome is a home over all data centres, where near homes are not in use or too seldom for
	// the prompt.
	FirstHome HomeKind = "first"
	// NearHome is a home in the data centre of this router.
	NearHome HomeKind = "near"
	// SpilledHome is a home over all data centres, chosen because the near homes are expected to
	// be later.
	SpilledHome HomeKind = "spilled"
)

const (
	// minNearTargets is the number of good targets from which a data centre has homes of its own:
	// the memory of these must hold the shared parts of the prompts of all its callers, and a hot
	// prompt must not load a large part of them.
	minNearTargets = 16
	// spreadTTL is the time for which the count of targets holds: lists of targets lag for about
	// as long.
	spreadTTL = 500 * time.Millisecond
	// maxCandidates is the number of targets among which a prompt is placed at most.
	maxCandidates = 2 * maxHomes
)

// homeSet holds the homes of a prompt in the order in which they are preferred.
type homeSet struct {
	// homes are the near homes, followed by those over all data centres.
	homes []*target
	// near is the number of near homes; 0 if they are not in use.
	near int
	// all are the homes over all data centres.
	all []*target
	// first is the first home over all data centres, whose owner is the prompt's directory.
	first *target
	// former are targets that accept no new requests and would be first homes otherwise.
	former []*target
	// cold is set if the near homes neither have the shared parts of the prompt nor get it often.
	cold bool
}

// newHomeSet puts the homes over all data centres behind the near ones.
func newHomeSet(all, near *ranking) homeSet {
	if all.n == 0 {
		return homeSet{}
	}
	h := homeSet{homes: all.list(), all: all.list(), near: near.n, first: all.targets[0]}
	if near.n == 0 {
		return h
	}
	h.homes = make([]*target, near.n, maxCandidates)
	copy(h.homes, near.list())
	for _, t := range all.list() {
		if !h.contains(t) {
			h.homes = append(h.homes, t)
		}
	}
	return h
}

func (h *homeSet) contains(t *target) bool { return slices.Contains(h.homes, t) }

// firstRound returns the homes whose owners are queried first.
func (h *homeSet) firstRound() []*target {
	if h.near == 0 {
		return h.homes
	}
	return h.homes[:h.near]
}

// furtherRound returns the homes whose owners are queried if the near homes are not enough.
func (h *homeSet) furtherRound() []*target {
	if h.near == 0 {
		return nil
	}
	return h.homes[h.near:]
}

// margin returns the advantage in cost that a home needs over the first one. The first home over
// all data centres needs no more than the second near home: it is likely to have the shared parts
// cached.
func (h *homeSet) margin(rank int) time.Duration {
	if h.near > 0 && rank >= h.near {
		rank -= h.near - 1
	}
	return time.Duration(rank) * moveMargin
}

// leaveCold leaves only the homes over all data centres to choose from if the near homes are cold;
// these are still copied from.
func (h *homeSet) leaveCold(s *service, holders []cacheHolder, pr *prompt, replies repliesByTarget) {
	if h.near == 0 || !s.nearHomesCold(holders[:h.near], pr, replies) {
		return
	}
	h.cold = true
	for i := range h.homes {
		rank := slices.Index(h.all, h.homes[i])
		holders[i].sourceOnly = rank < 0
		holders[i].margin = time.Duration(rank) * moveMargin
	}
}

// nearHomesCold reports whether none of the near homes has all shared parts of a prompt or is
// wanted for it. They would evict the parts before their next use, and prefill or copy them each
// time, while the homes over all data centres get the prompt more often and keep them.
func (s *service) nearHomesCold(near []cacheHolder, pr *prompt, replies repliesByTarget) bool {
	for _, c := range near {
		a, replied := replies[c.target.hash]
		if !replied {
			a.Wanted = c.target.cache.want(pr, s.engine.CacheTokens)
		}
		if c.prefillTokens <= pr.uniqueTokens || a.Wanted {
			return false
		}
	}
	return true
}

func (h *homeSet) kind(rank int) HomeKind {
	switch {
	case h.near == 0, h.cold:
		return FirstHome
	case rank < h.near:
		return NearHome
	}
	return SpilledHome
}

// spread is where the good targets of a service are.
type spread struct {
	countedAt time.Time
	// near is the number in the data centre of this router, far that in others.
	near, far int
}

// usesNearHomes reports whether a prompt has homes in the data centre of this router. A request
// that is restricted to versions has few targets there and uses the homes over all data centres.
func (p *Placer) usesNearHomes(s *service, r *Request, now time.Time) bool {
	if !p.nearHomes || r.Versions != (Versions{}) {
		return false
	}
	c := &s.spread
	if c.countedAt.IsZero() || now.Sub(c.countedAt) >= spreadTTL {
		*c = p.countSpread(s, now)
	}
	return c.near >= minNearTargets && c.far > 0
}

func (p *Placer) countSpread(s *service, now time.Time) spread {
	c := spread{countedAt: now}
	for _, t := range s.targets {
		switch {
		case p.grade(s, t, Request{}, now) != good:
		case t.near:
			c.near++
		default:
			c.far++
		}
	}
	return c
}
