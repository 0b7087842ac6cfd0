package place

import (
	"time"

	"zinccove.example/zinccove/message"
)

// Usage is what customers requested and were served in the last seconds, in tokens prefilled and
// generated, and in calls of plain services.
type Usage struct {
	Requested int
	Served    int
	// CallsRequested and CallsServed are the calls of all plain services.
	CallsRequested int
	CallsServed    int
}

// add adds another usage multiplied by times; -1 subtracts it.
func (u *Usage) add(o Usage, times int) {
	u.Requested += times * o.Requested
	u.Served += times * o.Served
	u.CallsRequested += times * o.CallsRequested
	u.CallsServed += times * o.CallsServed
}

// usageSums are sums of usage by customer.
type usageSums map[Hash]Usage

func (s usageSums) add(uses map[Hash]Usage) {
	for h, u := range uses {
		sum := s[h]
		sum.add(u, 1)
		s[h] = sum
	}
}

// remove subtracts usage that was added before.
func (s usageSums) remove(uses map[Hash]Usage) {
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
	// usageSlots slots of length usageSlot form the sliding window in which customers are compared:
	// four seconds, as the deployments state for their shares.
	usageSlots = 8
	usageSlot  = 500 * time.Millisecond
	// usageWindow is the length of that window.
	usageWindow = usageSlots * usageSlot
	// minFactor is the minimum factor on the usual limit for a customer above what it is owed, up
	// to the even level: such a customer then gets little more than what would stay idle.
	minFactor = 0.25
	// heavyFactor is the factor on the usual limit for customers that request more than
	// heavyRatio times an even part. The capacity that they leave keeps waits short for the other
	// customers, for whom each of their few refusals weighs more; see docs/design/0007.
	heavyFactor = 0.85
	heavyRatio  = 2
	// lightFactor is the factor for customers that request less than an even part divided by
	// lightRatio.
	lightFactor = 1.1
	lightRatio  = 2
)

// usageRing holds one customer's usage of this router by time slot.
type usageRing struct {
	slots  [usageSlots]Usage
	at     int64
	credit credit
}

// advance clears the slots that are older than the window.
func (r *usageRing) advance(slot int64) {
	for ; r.at < slot; r.at++ {
		if slot-r.at > usageSlots {
			r.at = slot - usageSlots
		}
		r.slots[(r.at+1)%usageSlots] = Usage{}
	}
}

func (r *usageRing) add(slot int64, u Usage) {
	r.advance(slot)
	r.slots[slot%usageSlots].add(u, 1)
}

func (r *usageRing) sum(slot int64) Usage {
	r.advance(slot)
	var sum Usage
	for _, s := range r.slots {
		sum.add(s, 1)
	}
	return sum
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(usageSlot) }

// recordUsage adds the usage of a request to its customer.
func (p *Placer) recordUsage(customer string, u Usage, now time.Time) {
	h := HashOf(customer)
	r := p.usage[h]
	if r == nil {
		r = &usageRing{at: slotOf(now)}
		p.usage[h] = r
	}
	r.add(slotOf(now), u)
}

// RecordRefusal counts a request as requested by its customer that was refused without Place.
func (p *Placer) RecordRefusal(r Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.services[r.Service]; s != nil {
		p.recordUsage(r.Customer, firstAttemptUsage(r, s.sizeOf(r.Call)), p.clock.Now())
	}
}

// sizeOf returns the size of a request of the service, by which customers are compared.
func (s *service) sizeOf(c *message.RequestInfo) Usage {
	if s.engine == nil {
		return Usage{CallsRequested: 1}
	}
	return Usage{Requested: costOf(c)}
}

// refundUsage subtracts what a run that began at start was counted as served, because it provably
// did not run. Targets that crash refuse hundreds of requests in a second; counted as served,
// these made a customer appear better served than another one that got half of the tokens it
// requested.
func (p *Placer) refundUsage(customer Hash, served Usage, start, now time.Time) {
	r := p.usage[customer]
	if r == nil {
		return
	}
	r.advance(slotOf(now))
	if at := slotOf(start); at > r.at-usageSlots {
		r.slots[at%usageSlots].add(served, -1)
	}
}

// Usage returns the usage of this router by each customer in the window.
func (p *Placer) Usage() map[Hash]Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownUsage(p.clock.Now())
}

func (p *Placer) ownUsage(now time.Time) map[Hash]Usage {
	uses := make(map[Hash]Usage, len(p.usage))
	for h, r := range p.usage {
		if u := r.sum(slotOf(now)); u != (Usage{}) {
			uses[h] = u
		} else {
			delete(p.usage, h)
		}
	}
	return uses
}
