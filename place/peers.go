package place

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hash names a target or customer in messages between routers.
type Hash uint32

// HashOf returns the hash of an id or name.
func HashOf(name string) Hash { return Hash(xxhash.Sum64String(name)) }

// report is what another router announced last.
type report struct {
	at    time.Time
	loads map[Hash]Load
}

// SetPeer takes what another router has outstanding at targets; nil forgets
// the router.
func (p *Placer) SetPeer(router string, loads map[Hash]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if loads == nil {
		delete(p.peers, router)
	} else {
		p.peers[router] = &report{at: p.clock.Now(), loads: loads}
	}
	p.sumPeers()
}

func (p *Placer) sumPeers() {
	for _, t := range p.targets {
		t.others = Load{}
	}
	for _, r := range p.peers {
		for _, t := range p.targets {
			load := r.loads[t.hash]
			t.others.Requests += load.Requests
			t.others.Unread += load.Unread
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
