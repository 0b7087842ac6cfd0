package place

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hash names a target, a part of a prompt or a customer in messages between routers. Of ten
// thousand names in 32 bits two would be the same in one of a hundred fleets.
type Hash uint64

// HashOf returns the hash of an id or name.
func HashOf(name string) Hash { return Hash(xxhash.Sum64String(name)) }

// Report is what another router announces.
type Report struct {
	// Usage is the use of the router by customers; nil leaves the last one.
	Usage map[Hash]Usage
	// Update is what it did at targets for which this router answers.
	Update Update
}

// report is what is known of another router.
type report struct {
	uses  map[Hash]Usage
	loads map[Hash]loadAt
	at    time.Time
	// usesAt is when the uses were told.
	usesAt time.Time
}

// loadAt is a load as told at a time.
type loadAt struct {
	Load
	at time.Time
}

// ApplyReport takes a report of another router.
func (p *Placer) ApplyReport(router string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.peers[router]
	if known == nil {
		known = &report{loads: make(map[Hash]loadAt)}
		p.peers[router] = known
	}
	now := p.clock.Now()
	known.at = now
	if r.Usage != nil {
		p.othersUses.remove(known.uses)
		known.uses, known.usesAt = r.Usage, now
		p.othersUses.add(known.uses)
	}
	p.hear(HashOf(router), r.Update, known, now)
}

// RemovePeer drops what is known of a router that is not reachable.
func (p *Placer) RemovePeer(router string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.peers[router]
	if known == nil {
		return
	}
	p.othersUses.remove(known.uses)
	for h, l := range known.loads {
		p.count(h, -l.Requests)
	}
	delete(p.peers, router)
}

// oldestReport is the age of the oldest report of another router.
func (p *Placer) oldestReport(now time.Time) time.Duration {
	if p.oldest.at.IsZero() || now.Sub(p.oldest.at) >= sharesFor {
		p.oldest.at, p.oldest.made = now, now
		for _, r := range p.peers {
			if r.at.Before(p.oldest.made) {
				p.oldest.made = r.at
			}
		}
	}
	return now.Sub(p.oldest.made)
}

// oldest is when the oldest report was made, as found at a time.
type oldest struct{ at, made time.Time }
