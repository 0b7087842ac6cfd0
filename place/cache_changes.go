package place

import (
	"net/netip"
	"time"
)

// CachedPart is a prefix part with the number of its tokens that a target keeps, 0 if it was
// evicted.
type CachedPart struct {
	Part   Hash
	Tokens int
}

// CacheChange is what a target reported about its cache.
type CacheChange struct {
	Target Hash
	// Known is set while all changes of the cache are reported.
	Known bool
	// Complete reports that Parts are all that the target caches, rather than changes.
	Complete bool
	Parts    []CachedPart
}

const (
	// reportLag is the time for which a placed prompt may be missing in reports: it waits for its
	// prefill, and reports arrive late.
	reportLag = 2 * time.Second
	// maxReportedParts bounds the reported parts of one target; beyond it the estimate is used.
	maxReportedParts = 4 * maxCachedParts
)

// ApplyCacheChange applies a report to a target that this router owns.
func (p *Placer) ApplyCacheChange(c CacheChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byHash[c.Target]
	if t == nil || c.Known && !p.owned[c.Target] {
		return
	}
	t.cache.apply(c, p.clock.Now)
	if t.cache.kept != nil {
		t.assumeCachedUntil = time.Time{}
	}
}

// OwnedEngines returns the addresses of the engines that this router owns and that report what they
// cache.
func (p *Placer) OwnedEngines() map[Hash]netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	engines := make(map[Hash]netip.AddrPort, len(p.owned))
	for h := range p.owned {
		t := p.byHash[h]
		if t == nil || t.Unreadable {
			continue
		}
		if e := p.service(t.Service).engine; e != nil && e.EventCalls > 0 {
			engines[h] = t.Address
		}
	}
	return engines
}

// HasFreeSlot reports whether a target has a free slot as far as this router knows.
func (p *Placer) HasFreeSlot(target Hash) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byHash[target]
	return t != nil && t.outstanding() < t.Slots
}

// apply applies a report. Without a known state the estimate is used alone.
func (k *prefixCache) apply(c CacheChange, now func() time.Time) {
	if !c.Known {
		k.kept, k.placed, k.now = nil, nil, nil
		return
	}
	k.forgetPlaced(now())
	if c.Complete {
		k.begin(now)
	}
	if k.kept == nil {
		return
	}
	for _, part := range c.Parts {
		k.applyPart(part)
	}
	if c.Complete {
		k.dropUnreported()
	}
	if len(k.kept) > maxReportedParts {
		k.apply(CacheChange{}, now)
	}
}

// begin begins to use reports.
func (k *prefixCache) begin(now func() time.Time) {
	k.kept, k.now = make(map[Hash]struct{}), now
	if k.placed == nil {
		k.placed = make(map[Hash]time.Time)
	}
}

func (k *prefixCache) applyPart(part CachedPart) {
	if part.Tokens > 0 {
		k.kept[part.Part] = struct{}{}
		return
	}
	delete(k.kept, part.Part)
	k.drop(part.Part)
}

// drop ends the estimate for a part, unless a prompt with it was placed after the moment that the
// report is about.
func (k *prefixCache) drop(part Hash) {
	if _, ok := k.placed[part]; !ok {
		delete(k.lastUse, part)
	}
}

// dropUnreported drops all parts that a complete report does not name.
func (k *prefixCache) dropUnreported() {
	for part := range k.lastUse {
		if _, ok := k.kept[part]; !ok {
			k.drop(part)
		}
	}
}

// notePlaced records that a prompt with these parts was placed.
func (k *prefixCache) notePlaced(parts []Hash) {
	if k.now == nil {
		return
	}
	at := k.now()
	for _, part := range parts {
		k.placed[part] = at
	}
}

// forgetPlaced removes the prompts that reports cover by now.
func (k *prefixCache) forgetPlaced(now time.Time) {
	for part, at := range k.placed {
		if now.Sub(at) >= reportLag {
			delete(k.placed, part)
		}
	}
}
