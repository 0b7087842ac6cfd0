package place

import "time"

// Usage is what customers asked for and received in the last seconds, in tokens read and
// made, and in calls of plain services.
type Usage struct {
	Requested int
	Served    int
	// CallsRequested and CallsServed are the calls of all plain services.
	CallsRequested int
	CallsServed    int
}

// add adds another use, so many times: -1 takes it off.
func (u *Usage) add(o Usage, times int) {
	u.Requested += times * o.Requested
	u.Served += times * o.Served
	u.CallsRequested += times * o.CallsRequested
	u.CallsServed += times * o.CallsServed
}

// useSums are sums of uses by customer.
type useSums map[Hash]Usage

func (s useSums) add(uses map[Hash]Usage) {
	for h, u := range uses {
		sum := s[h]
		sum.add(u, 1)
		s[h] = sum
	}
}

// remove takes uses off that were added before.
func (s useSums) remove(uses map[Hash]Usage) {
	for h, u := range uses {
		sum := s[h]
		sum.add(u, -1)
		if sum == (Usage{}) {
			delete(s, h)
		} else {
			s[h] = sum
		}
	}
}

const (
	// useSlots of useSlot make the sliding window in which customers are compared:
	// four seconds, as the deployments state for their shares.
	useSlots = 8
	useSlot  = 500 * time.Millisecond
	// useWindow is the length of that window.
	useWindow = useSlots * useSlot
	// leastFactor is the smallest part of the usual limit for a customer above what it
	// is owed, up to the even level: it then gets little more than what would stay
	// idle.
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
	slots [useSlots]Usage
	at    int64
}

// advance empties the slots that are older than the window.
func (r *ring) advance(slot int64) {
	for ; r.at < slot; r.at++ {
		if slot-r.at > useSlots {
			r.at = slot - useSlots
		}
		r.slots[(r.at+1)%useSlots] = Usage{}
	}
}

func (r *ring) add(slot int64, u Usage) {
	r.advance(slot)
	r.slots[slot%useSlots].add(u, 1)
}

func (r *ring) sum(slot int64) Usage {
	r.advance(slot)
	var sum Usage
	for _, s := range r.slots {
		sum.add(s, 1)
	}
	return sum
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(useSlot) }

// note counts a request of a customer.
func (p *Placer) note(customer string, u Usage, now time.Time) {
	h := HashOf(customer)
	r := p.uses[h]
	if r == nil {
		r = &ring{at: slotOf(now)}
		p.uses[h] = r
	}
	r.add(slotOf(now), u)
}

// takeBack takes the service of a run that began at a time, and provably did not
// run, off its customer's use. Targets that crash refuse hundreds of requests in
// a second; counted as service they made a customer look better served than
// another that had half of its tokens.
func (p *Placer) takeBack(customer Hash, served Usage, began, now time.Time) {
	r := p.uses[customer]
	if r == nil {
		return
	}
	r.advance(slotOf(now))
	if at := slotOf(began); at > r.at-useSlots {
		r.slots[at%useSlots].add(served, -1)
	}
}

// Usage returns the use of this router by each customer in the window.
func (p *Placer) Usage() map[Hash]Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownUses(p.clock.Now())
}

func (p *Placer) ownUses(now time.Time) map[Hash]Usage {
	uses := make(map[Hash]Usage, len(p.uses))
	for h, r := range p.uses {
		if u := r.sum(slotOf(now)); u != (Usage{}) {
			uses[h] = u
		} else {
			delete(p.uses, h)
		}
	}
	return uses
}
