package place

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hash names a target or customer in messages between routers.
type Hash uint32

// HashOf returns the hash of an id or name.
func HashOf(name string) Hash { return Hash(xxhash.Sum64String(name)) }

// Report is what another router announces.
type Report struct {
	// Loads is the router's work at targets; nil leaves the last one.
	Loads map[Hash]Load
	// Uses is the use of the router by customers; nil leaves the last one.
	Uses map[Hash]Use
	// Readings are prompts that the router placed since its last report.
	Readings []Reading
}

// report is the last report of a router.
type report struct {
	Report
	at time.Time
}

// SetPeer takes a report of another router.
func (p *Placer) SetPeer(router string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.peers[router]; old != nil {
		if r.Uses == nil {
			r.Uses = old.Uses
		}
		if r.Loads == nil {
			r.Loads = old.Loads
		}
		p.drop(old)
	}
	kept := &report{Report: r, at: p.clock.Now()}
	p.peers[router] = kept
	p.count(kept, 1)
	p.othersUses.add(kept.Uses)
	for _, reading := range r.Readings {
		if t := p.byHash[reading.Target]; t != nil {
			t.kept.touch(reading.Parts, reading.Unread)
			p.service(t.Service).backlog(t, t.slow.factor(kept.at), kept.at)
			t.queue.add(reading.Unread)
		}
	}
}

// ForgetPeer drops the report of a router that is not reachable.
func (p *Placer) ForgetPeer(router string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.peers[router]; old != nil {
		p.drop(old)
	}
	delete(p.peers, router)
}

// drop takes a report out of all sums.
func (p *Placer) drop(r *report) {
	p.count(r, -1)
	p.othersUses.remove(r.Uses)
}

// count adds a report's loads to those of the targets, or takes them away.
func (p *Placer) count(r *report, sign int) {
	for h, load := range r.Loads {
		if t := p.byHash[h]; t != nil {
			t.others.Requests += sign * load.Requests
		}
	}
}

// sumPeers counts all reports anew.
func (p *Placer) sumPeers() {
	for _, t := range p.targets {
		t.others = Load{}
	}
	for _, r := range p.peers {
		p.count(r, 1)
	}
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

// Own returns what this router has outstanding at targets.
func (p *Placer) Own() map[Hash]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make(map[Hash]Load)
	for _, t := range p.targets {
		if t.own.Requests > 0 {
			loads[t.hash] = t.own
		}
	}
	return loads
}
