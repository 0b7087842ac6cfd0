package place

import (
	"cmp"
	"slices"
	"time"
)

// Use is what customers asked for and received in the last seconds, in tokens
// read and made.
type Use struct {
	Asked  int
	Served int
}

const (
	// useSlots of useSlot make the sliding window in which customers are compared:
	// four seconds, as the deployments state for their shares.
	useSlots = 8
	useSlot  = 500 * time.Millisecond
	// leastFactor is the smallest part of the usual limit that a customer far
	// above its share is given, so that free places are not refused to it.
	leastFactor = 0.25
	// heavyFactor is the part of the usual limit for customers that ask for more
	// than heavyRatio times an even part: what they leave keeps waits short for the
	// others, whose few refusals weigh more. Measured in docs/design/0007.
	heavyFactor = 0.85
	heavyRatio  = 2
	// lightFactor is that for customers that ask for less than an even part divided
	// by lightRatio.
	lightFactor = 1.1
	lightRatio  = 2
)

// ring holds one customer's use of this router by slots of time.
type ring struct {
	slots [useSlots]Use
	at    int64
}

// advance empties the slots that are older than the window.
func (r *ring) advance(slot int64) {
	for ; r.at < slot; r.at++ {
		if slot-r.at > useSlots {
			r.at = slot - useSlots
		}
		r.slots[(r.at+1)%useSlots] = Use{}
	}
}

func (r *ring) add(slot int64, u Use) {
	r.advance(slot)
	s := &r.slots[slot%useSlots]
	s.Asked += u.Asked
	s.Served += u.Served
}

func (r *ring) sum(slot int64) Use {
	r.advance(slot)
	var sum Use
	for _, s := range r.slots {
		sum.Asked += s.Asked
		sum.Served += s.Served
	}
	return sum
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(useSlot) }

// note counts a request of a customer.
func (p *Placer) note(customer string, u Use, now time.Time) {
	h := HashOf(customer)
	r := p.uses[h]
	if r == nil {
		r = &ring{at: slotOf(now)}
		p.uses[h] = r
	}
	r.add(slotOf(now), u)
}

// Uses returns the use of this router by each customer in the window.
func (p *Placer) Uses() map[Hash]Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownUses(p.clock.Now())
}

func (p *Placer) ownUses(now time.Time) map[Hash]Use {
	uses := make(map[Hash]Use, len(p.uses))
	for h, r := range p.uses {
		if u := r.sum(slotOf(now)); u != (Use{}) {
			uses[h] = u
		} else {
			delete(p.uses, h)
		}
	}
	return uses
}

// shares are the customers' uses over all routers and the level of fair
// sharing: the most that a customer can have so that all together have what is
// served now, and none is cut that asks for less.
type shares struct {
	at    time.Time
	uses  map[Hash]Use
	level int
	// asked is what all customers ask for.
	asked int
	// pressed tells that more is asked for than is served.
	pressed bool
}

// sharesFor is how long computed shares are used.
const sharesFor = 50 * time.Millisecond

// pressedPart is the part of what is asked that must be refused or late before
// shares bind.
const pressedPart = 0.02

func (p *Placer) currentShares(now time.Time) *shares {
	if now.Sub(p.shares.at) < sharesFor && p.shares.uses != nil {
		return &p.shares
	}
	uses := p.ownUses(now)
	for _, r := range p.peers {
		for h, u := range r.Uses {
			sum := uses[h]
			sum.Asked += u.Asked
			sum.Served += u.Served
			uses[h] = sum
		}
	}
	p.shares = computeShares(uses)
	p.shares.at = now
	return &p.shares
}

func computeShares(uses map[Hash]Use) shares {
	s := shares{uses: uses}
	var asked, served int
	wants := make([]int, 0, len(uses))
	for _, u := range uses {
		asked += u.Asked
		served += u.Served
		wants = append(wants, u.Asked)
	}
	s.asked = asked
	s.pressed = float64(asked-served) > float64(asked)*pressedPart
	slices.SortFunc(wants, cmp.Compare[int])
	left := served
	for i, want := range wants {
		even := left / (len(wants) - i)
		if want > even {
			s.level = even
			return s
		}
		left -= want
	}
	if len(wants) > 0 {
		s.level = wants[len(wants)-1]
	}
	return s
}

// usual is the part of the usual limit for a customer that is not above its
// share.
func (s *shares) usual(u Use) float64 {
	switch even := s.asked / max(len(s.uses), 1); {
	case u.Asked > heavyRatio*even:
		return heavyFactor
	case u.Asked < even/lightRatio:
		return lightFactor
	}
	return 1
}

// factor is the part of the usual limit for a customer: all of it up to the
// level of fair sharing, less by the square the further it is above (the plain
// ratio left a flood half of the places), a little less for those who ask for
// much and a little more for those who ask for little.
func (s *shares) factor(customer string) float64 {
	u := s.uses[HashOf(customer)]
	usual := s.usual(u)
	if !s.pressed || u.Served <= s.level {
		return usual
	}
	over := float64(s.level) / float64(u.Served)
	return min(max(over*over, leastFactor), usual)
}
