package place

import (
	"slices"
	"time"
)

// HomeKind is the kind of a home among all homes of a prompt.
type HomeKind string

// The kinds of homes.
const (
	// FirstHome is a home over all data centres, where near homes are not in use.
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
	// first is the first home over all data centres, whose owner is the prompt's directory.
	first *target
	// former are targets that accept no new requests and would be first homes otherwise.
	former []*target
}

// newHomeSet puts the homes over all data centres behind the near ones.
func newHomeSet(all, near *ranking) homeSet {
	if all.n == 0 {
		return homeSet{}
	}
	h := homeSet{homes: all.list(), near: near.n, first: all.targets[0]}
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

func (h *homeSet) kind(rank int) HomeKind {
	switch {
	case h.near == 0:
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
