package place

import (
	"time"

	"zinccove.example/zinccove/message"
)

// prefixCache estimates which prefix parts a target has cached. Engines evict the least recently
// used parts, so a part counts as cached until the target has prefilled other tokens that fill a
// large part of its memory. If the target reports what it caches, parts that it reports count as
// cached and parts that it evicted do not.
type prefixCache struct {
	// prefilled is the number of tokens prefilled so far; lastUse holds its value at the last use
	// of each part.
	prefilled uint64
	lastUse   map[Hash]uint64
	// wantedAt holds its value at the last query about a prompt, by the last shared part.
	wantedAt map[Hash]uint64
	// kept holds the parts that the target reported as cached; nil unless it reports all changes.
	kept map[Hash]struct{}
	// placed holds when prompts were last placed that reports may not cover yet; now is the clock
	// for it. Both are nil without reports.
	placed map[Hash]time.Time
	now    func() time.Time
}

const (
	// cacheShare is the share of an engine's memory that other tokens may fill before a part
	// counts as evicted; running requests need the rest.
	cacheShare = 0.6
	// maxCachedParts bounds the parts tracked for one target.
	maxCachedParts = 4096
)

// touch records that a prompt with these prefix parts was placed.
func (k *prefixCache) touch(parts []Hash, unread int) {
	if k.lastUse == nil {
		k.lastUse = make(map[Hash]uint64)
	}
	k.notePlaced(parts)
	k.prefilled += uint64(unread)
	for _, part := range parts {
		k.lastUse[part] = k.prefilled
	}
}

// contains reports whether a part counts as cached by a target with the given memory in tokens.
func (k *prefixCache) contains(part Hash, memory int) bool {
	if _, ok := k.kept[part]; ok {
		return true
	}
	at, ok := k.lastUse[part]
	return ok && k.prefilled-at < uint64(float64(memory)*cacheShare)
}

// knows reports whether it is known if a part is cached: this router tracks a use of it, or the
// target reports all changes.
func (k *prefixCache) knows(part Hash) bool {
	_, ok := k.lastUse[part]
	return ok || k.kept != nil
}

// want records a query about a prompt, and reports whether there was another one so lately that a
// part is used again before it is evicted, with some certainty: in half of the time for which the
// target keeps parts.
func (k *prefixCache) want(pr *prompt, memory int) bool {
	key, ok := pr.key()
	if !ok {
		return true
	}
	at, known := k.wantedAt[key]
	if k.wantedAt == nil || len(k.wantedAt) >= maxCachedParts {
		k.wantedAt = make(map[Hash]uint64)
	}
	k.wantedAt[key] = k.prefilled
	return known && k.prefilled-at < uint64(float64(memory)*cacheShare/2)
}

// trim removes parts that are no longer cached. If too many are left, it removes all.
func (k *prefixCache) trim(memory int) {
	if len(k.lastUse) < maxCachedParts {
		return
	}
	for part := range k.lastUse {
		if !k.contains(part, memory) {
			delete(k.lastUse, part)
		}
	}
	if len(k.lastUse) >= maxCachedParts {
		clear(k.lastUse)
	}
}

// prompt is the part of a prompt that placement needs.
type prompt struct {
	// prefixParts are the hashes of the prefix parts, partTokens their sizes.
	prefixParts []Hash
	partTokens  []int
	total       int
	// uniqueTokens is the size of the part that no other prompt shares, at least 1.
	uniqueTokens int
}

func newPrompt(c *message.RequestInfo) prompt {
	p := prompt{total: max(c.PromptTokens, 1)}
	for _, part := range c.SharedParts() {
		p.prefixParts = append(p.prefixParts, HashOf(part.ID))
		p.partTokens = append(p.partTokens, part.Tokens)
	}
	p.uniqueTokens = max(p.total-c.SharedPrefixTokens(), 1)
	return p
}

// prefillTokens returns the number of tokens that a target has to prefill: a part can be reused
// only together with all parts before it. Parts that this router knows nothing about count as
// cached if assumeCached is set.
func (p *prompt) prefillTokens(k *prefixCache, memory int, assumeKept bool) int {
	remaining := p.total
	for i, part := range p.prefixParts {
		if !k.contains(part, memory) && !(assumeKept && !k.knows(part)) {
			break
		}
		remaining -= p.partTokens[i]
	}
	return max(remaining, 1)
}
