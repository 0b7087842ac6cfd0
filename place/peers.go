package place

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hash identifies a target, a prefix part or a customer in messages between routers. With 32
// bits, two of ten thousand names would collide in about one of a hundred fleets.
type Hash uint64

// HashOf returns the hash of an id or name.
func HashOf(name string) Hash { return Hash(xxhash.Sum64String(name)) }

// Report is what another router reports.
type Report struct {
	// Usage is the usage of the router by customer; nil leaves the last one in force.
	Usage map[Hash]Usage
	// Update holds what the router did at targets that this router owns.
	Update Update
}

// peerReport is the state reported by another router.
type peerReport struct {
	usage map[Hash]Usage
	loads map[Hash]timedLoad
	at    time.Time
	// usageAt is when the usage was received.
	usageAt time.Time
}

// timedLoad is a load with the time at which it was received.
type timedLoad struct {
	Load
	at time.Time
}

// ApplyReport applies a report of another router.
func (p *Placer) ApplyReport(router string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.peers[router]
	if known == nil {
		known = &peerReport{loads: make(map[Hash]timedLoad)}
		p.peers[router] = known
	}
	now := p.clock.Now()
	known.at = now
	if r.Usage != nil {
		p.othersUsage.remove(known.usage)
		known.usage, known.usageAt = r.Usage, now
		p.othersUsage.add(known.usage)
	}
	p.applyUpdate(HashOf(router), r.Update, known, now)
}

// RemovePeer removes the state of a router that is unreachable.
func (p *Placer) RemovePeer(router string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.peers[router]
	if known == nil {
		return
	}
	p.othersUsage.remove(known.usage)
	for h, l := range known.loads {
		p.addOthersLoad(h, -l.Requests)
	}
	delete(p.peers, router)
}

// oldestReportAge returns the age of the oldest report among the last reports of the other
// routers.
func (p *Placer) oldestReportAge(now time.Time) time.Duration {
	if p.oldest.computedAt.IsZero() || now.Sub(p.oldest.computedAt) >= sharesTTL {
		p.oldest.computedAt, p.oldest.receivedAt = now, now
		for _, r := range p.peers {
			if r.at.Before(p.oldest.receivedAt) {
				p.oldest.receivedAt = r.at
			}
		}
	}
	return now.Sub(p.oldest.receivedAt)
}

// oldestReport is when the oldest report was received, as determined at computedAt.
type oldestReport struct{ computedAt, receivedAt time.Time }
