package place

import "zinccove.example/zinccove/message"

// kept remembers which shared parts of prompts a target has read. Engines
// forget the parts that were not used for longest, so a part counts as kept
// until the target has read about its memory's worth of other tokens.
type kept struct {
	// read is the number of tokens read so far; used holds its value at the last
	// use of each part.
	read uint64
	used map[Hash]uint64
}

const (
	// keptPart is the part of an engine's memory that other tokens may fill
	// before a part counts as forgotten; running requests need the rest.
	keptPart = 0.6
	// maxKept bounds the parts remembered for one target.
	maxKept = 4096
)

// touch notes that a prompt with these shared parts was placed.
func (k *kept) touch(parts []Hash, unread int) {
	if k.used == nil {
		k.used = make(map[Hash]uint64)
	}
	k.read += uint64(unread)
	for _, part := range parts {
		k.used[part] = k.read
	}
}

// holds reports whether a part is kept by a target with a memory of so many
// tokens.
func (k *kept) holds(part Hash, memory int) bool {
	at, ok := k.used[part]
	return ok && k.read-at < uint64(float64(memory)*keptPart)
}

// knows reports whether this router remembers a use of a part, kept or not.
func (k *kept) knows(part Hash) bool {
	_, ok := k.used[part]
	return ok
}

// trim forgets parts that are not kept any more.
func (k *kept) trim(memory int) {
	if len(k.used) < maxKept {
		return
	}
	for part := range k.used {
		if !k.holds(part, memory) {
			delete(k.used, part)
		}
	}
	if len(k.used) >= maxKept {
		clear(k.used)
	}
}

// prompt is what placing needs to know of a prompt.
type prompt struct {
	// shared are the hashes of the shared parts, sizes their tokens.
	shared []Hash
	sizes  []int
	total  int
	// own is the size of the part that no other prompt shares, at least 1.
	own int
}

func newPrompt(c *message.RequestInfo) prompt {
	p := prompt{total: max(c.PromptTokens, 1)}
	for i := range len(c.PrefixParts) - 1 {
		p.shared = append(p.shared, HashOf(c.PrefixParts[i].ID))
		p.sizes = append(p.sizes, c.PrefixParts[i].Tokens)
	}
	p.own = max(p.total-c.SharedPrefixTokens(), 1)
	return p
}

// unread is the number of tokens that a target has to read: a part is kept
// only together with all parts before it. Parts of which nothing is known count
// as kept if assumeKept is set.
func (p *prompt) unread(k *kept, memory int, assumeKept bool) int {
	left := p.total
	for i, part := range p.shared {
		if !k.holds(part, memory) && !(assumeKept && !k.knows(part)) {
			break
		}
		left -= p.sizes[i]
	}
	return max(left, 1)
}
