package place

import (
	"slices"
	"time"
)

// Holding is a target that has the shared parts of a prompt cached, or has evicted them. The owner
// of the prompt's first home over all data centres, its directory, collects them: targets that are
// no homes of a prompt for some router then still serve as sources of copies. A wrong holding
// costs a prefill only, since an engine prefills what it cannot copy.
type Holding struct {
	// Key is the hash of the last shared part.
	Key    Hash
	Target Hash
	// Tokens is the size of the shared parts.
	Tokens  int
	Evicted bool
	// Directory is the first home, whose owner is to know.
	Directory Hash
}

const (
	// maxHoldingKeys bounds the prompts whose holdings a router keeps, a few times as many as have
	// their first home at the targets that it owns.
	maxHoldingKeys = 4096
	// maxHoldings bounds the holdings of a prompt: one for each data centre of the fleets in use.
	maxHoldings = 4
)

// holdings are the targets that have shared parts cached, by key, the latest last.
type holdings struct{ byKey map[Hash][]Holding }

// record adds or removes a holding. Beyond the bounds, older ones are dropped.
func (x *holdings) record(h Holding) {
	list := slices.DeleteFunc(x.byKey[h.Key], func(o Holding) bool { return o.Target == h.Target })
	if !h.Evicted {
		list = append(list, h)
	}
	if len(list) == 0 {
		delete(x.byKey, h.Key)
		return
	}
	if x.byKey == nil {
		x.byKey = make(map[Hash][]Holding)
	}
	if _, ok := x.byKey[h.Key]; !ok && len(x.byKey) >= maxHoldingKeys {
		x.dropOne()
	}
	x.byKey[h.Key] = list[max(len(list)-maxHoldings, 0):]
}

func (x *holdings) dropOne() {
	for key := range x.byKey {
		delete(x.byKey, key)
		return
	}
}

// key returns the key of a prompt's holdings; ok is false if it has no shared parts.
func (p *prompt) key() (key Hash, ok bool) {
	if len(p.prefixParts) == 0 {
		return 0, false
	}
	return p.prefixParts[len(p.prefixParts)-1], true
}

// sharedTokens returns the size of the shared parts of a prompt.
func (p *prompt) sharedTokens() int {
	sum := 0
	for _, n := range p.partTokens {
		sum += n
	}
	return sum
}

// holderFor returns the latest holder of a prompt's shared parts from which a target that would
// have to prefill some of them can copy.
func (p *Placer) holderFor(t *target, pr *prompt, prefillTokens int, now time.Time) (holder Hash, tokens int) {
	key, ok := pr.key()
	if !ok {
		return 0, 0
	}
	list := p.holdings.byKey[key]
	for i := len(list) - 1; i >= 0; i-- {
		h := list[i]
		source := p.byHash[h.Target]
		saved := prefillTokens - max(pr.total-h.Tokens, 1)
		if source != nil && source != t && source.Version == t.Version && saved >= minCopiedTokens && p.isSource(source, now) {
			return h.Target, h.Tokens
		}
	}
	return 0, 0
}

// isSource reports whether a target still runs and can be copied from.
func (p *Placer) isSource(t *target, now time.Time) bool {
	return !t.Unreadable && !t.replaced && !p.cutOff[t.DataCentre] && t.circuit.allows(now)
}

// addHolding records that a target other than the first home gets shared parts, and queues it for
// the directory. This router itself keeps it for requests that find no directory.
func (p *Placer) addHolding(s *service, first, t *target, pr *prompt, d *Decision) {
	key, ok := pr.key()
	tokens := pr.sharedTokens()
	if !p.nearHomes || !ok || s.engine.CopyRate <= 0 || t == first || d.SharedTokens+d.CopiedTokens <= 0 || tokens < minCopiedTokens {
		return
	}
	h := Holding{Key: key, Target: t.hash, Tokens: tokens, Directory: first.hash}
	p.holdings.record(h)
	if len(p.update.Holdings) < maxUpdateEntries {
		p.update.Holdings = append(p.update.Holdings, h)
	}
}

// heldBy returns the targets that have shared parts of a prompt cached according to the replies, or
// to this router if none names one. Targets whose own owners replied are left out.
func (p *Placer) heldBy(h *homeSet, pr *prompt, replies repliesByTarget, now time.Time) []cacheHolder {
	var list []cacheHolder
	add := func(hash Hash, tokens int) {
		t := p.byHash[hash]
		if _, replied := replies[hash]; replied { // its owner knows better
			return
		}
		if t == nil || !p.isSource(t, now) || slices.ContainsFunc(list, func(c cacheHolder) bool { return c.target == t }) {
			return
		}
		list = append(list, cacheHolder{target: t, prefillTokens: max(pr.total-tokens, pr.uniqueTokens), sourceOnly: true, holding: true})
	}
	for _, t := range h.homes {
		if a := replies[t.hash]; a.Holder != 0 {
			add(a.Holder, a.HolderTokens)
		}
	}
	if key, ok := pr.key(); ok && len(list) == 0 {
		for _, x := range p.holdings.byKey[key] {
			add(x.Target, x.Tokens)
		}
	}
	return list
}
