package place

import (
	"maps"
	"math"
	"time"
)

// While a customer lacks a lot next to others that get much more, the others are held to the ahead
// level. Totals are up to a second old, in which idle engines serve a customer with requests at
// hundreds of routers several times its share. So each router bounds by a credit of its own what it
// serves such customers; the totals set the rate at which credit is added.

const (
	// contentShare is the share of what a customer requests, or of the ahead level if that is less,
	// that it has to get. Callers count a customer as starved at a half; the
	// remainder covers the age of the totals.
	contentShare = 0.7
	// triesPerRequest is the assumed number of tries of a refused request, each of which counts as
	// requested.
	triesPerRequest = 2
	// minStarvedShare is the minimum amount that a customer lacks to be considered, as a share of
	// the even level: customers that request little lack a quarter of their request after one
	// refusal.
	minStarvedShare = 0.125
	// contestedShare is the share of the ahead level from which on it counts as reached: what a
	// customer gets that is held to the level varies around it.
	contestedShare = 0.8
	// creditBurst is the time for which unused credit is kept.
	creditBurst = usageSlot
	// creditGain is by how much the rate of credit differs from the one that keeps a customer at the
	// ahead level, as a multiple of what it is below or above that level.
	creditGain = 2
)

// computeAheadLevel sets the ahead level and leastServed. The level is the amount of which the
// customer that gets the least of those that lack a lot has its content share, at least the even
// level and the one for the stated capacity: after a start of all routers customers lack a lot, and
// holding the others to what is served then would keep the engines idle. Customers that were above
// the level lately lack because they are held.
func (s *shares) computeAheadLevel(heldAt map[Hash]time.Time) {
	s.aheadLevel, s.leastServed = 0, math.MaxInt
	for h, u := range s.usage {
		want := float64(u.Served + (u.Requested-u.Served)/triesPerRequest)
		lacks := want-float64(u.Served) > minStarvedShare*float64(s.evenLevel) && float64(u.Served) < contentShare*want
		if _, held := heldAt[h]; lacks && !held {
			s.leastServed = min(s.leastServed, u.Served)
		}
	}
	if s.leastServed < math.MaxInt {
		s.aheadLevel = max(int(float64(s.leastServed)/contentShare), s.evenLevel, s.statedLevel)
	}
}

// bestServed returns what the best served customer gets.
func bestServed(uses map[Hash]Usage) int {
	best := 0
	for _, u := range uses {
		best = max(best, u.Served)
	}
	return best
}

// lacksMost reports whether a usage is that of the customer to whose part the others are held.
func (s *shares) lacksMost(u Usage) bool { return s.aheadLevel > 0 && u.Served <= s.leastServed }

// contested reports whether a customer gets so much that another one lacks a lot next to it. The
// even level is no measure of that: idle engines may serve the best served customer twice as much.
func (s *shares) contested() bool {
	return s.aheadLevel > 0 && float64(s.bestServed) > contestedShare*float64(s.aheadLevel)
}

// updateHolds computes the ahead level, and records who is above it. The level is dropped unless it
// was contested within a window: the even level follows from what is served, and if customers above
// it were always held back, it could never rise. In such cases 1,000 idle engines refused 46 of 100
// requests, and 140 engines to which all routers returned after a power loss refused 1,000 of 1,700
// requests a second for three seconds, as large customers had the most callers that returned at
// once. The level is kept for a window because idle engines otherwise serve a flood another burst
// when its last one is no longer in the window.
func (p *Placer) updateHolds(s *shares, now time.Time) {
	maps.DeleteFunc(p.heldAt, func(_ Hash, at time.Time) bool { return now.Sub(at) >= usageWindow })
	s.computeAheadLevel(p.heldAt)
	if s.contested() {
		p.contestedAt = now
	}
	if now.Sub(p.contestedAt) >= usageWindow {
		s.aheadLevel = 0
		return
	}
	for h, u := range s.usage {
		if s.aheadLevel > 0 && u.Served > s.aheadLevel {
			p.heldAt[h] = now
		}
	}
}

// bounded reports whether credit bounds what a customer gets. That is so also below the level: idle
// engines would serve another burst before totals show it.
func (p *Placer) bounded(customer string, s *shares) bool {
	h := HashOf(customer)
	u := s.usage[h]
	_, held := p.heldAt[h]
	return s.aheadLevel > 0 && (held || u.Requested > s.aheadLevel && !s.lacksMost(u))
}

// credit is what this router may still serve one customer.
type credit struct {
	// tokens may be served as of at; below zero after a request that cost more.
	tokens float64
	at     time.Time
}

// refill adds credit at a rate, in tokens per second, for the time since the last refill.
func (c *credit) refill(rate float64, now time.Time) {
	since := now.Sub(c.at)
	c.at = now
	if since >= usageWindow {
		c.tokens = 0
	}
	c.tokens = min(c.tokens+rate*since.Seconds(), rate*creditBurst.Seconds())
}

// hasCredit reports whether this router may serve a customer that is bounded one more request. The
// rate of all routers together brings the customer to the ahead level within a window, and is at
// least the one that it is owed; each router has the part of it that it has of the customer's
// requests.
func (p *Placer) hasCredit(customer string, s *shares, now time.Time) bool {
	h := HashOf(customer)
	own, u := p.usage[h], s.usage[h]
	if own == nil {
		return false
	}
	part := min(float64(own.sum(slotOf(now)).Requested)/float64(max(u.Requested, 1)), 1)
	target := max(s.aheadLevel+creditGain*(s.aheadLevel-u.Served), s.owedLevel)
	own.credit.refill(part*float64(target)/usageWindow.Seconds(), now)
	return own.credit.tokens > 0
}

// spendCredit takes the cost of an admitted request from the credit of a customer.
func (p *Placer) spendCredit(customer string, tokens int) {
	p.usage[HashOf(customer)].credit.tokens -= float64(tokens)
}
