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
	// Loads is the router's work at targets.
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
	if old := p.peers[router]; old != nil && r.Uses == nil {
		r.Uses = old.Uses
	}
	p.peers[router] = &report{Report: r, at: p.clock.Now()}
	for _, reading := range r.Readings {
		if t := p.byHash[reading.Target]; t != nil {
			t.kept.touch(reading.Parts, reading.Unread)
		}
	}
	p.sumPeers()
}

// ForgetPeer drops the report of a router that is not reachable.
func (p *Placer) ForgetPeer(router string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.peers, router)
	p.sumPeers()
}

func (p *Placer) sumPeers() {
	for _, t := range p.targets {
		t.others = Load{}
	}
	for _, r := range p.peers {
		for h, load := range r.Loads {
			if t := p.byHash[h]; t != nil {
				t.others.Requests += load.Requests
				t.others.Unread += load.Unread
			}
		}
	}
}

func (p *Placer) oldestReport(now time.Time) time.Duration {
	var oldest time.Duration
	for _, r := range p.peers {
		oldest = max(oldest, now.Sub(r.at))
	}
	return oldest
}

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
