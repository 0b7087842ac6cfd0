package place

import "time"

// holder is a home of a prompt, or a target that was one, and what it would have to read.
type holder struct {
	target *target
	unread int
	// leaves tells that it takes nothing new.
	leaves bool
}

const (
	// leastCopied is the least number of tokens that are copied: reading fewer takes no
	// longer than beginning a copy.
	leastCopied = 1024
	// copySetup is the time that a copy takes beside its tokens: finding the other
	// engine and waiting for copies that go before it.
	copySetup = 10 * time.Millisecond
)

// holders returns what the homes of a prompt and those that were its homes keep of it.
//
// The load that it answers: homes leave, are full for a while or have just started, so
// that prompts move, and their shared parts, three quarters of all tokens, are read once
// more while another engine keeps them. Copying a token takes an eighth of the time that
// reading it does.
func (s *service) holders(homes, left []*target, pr *prompt, known told, now time.Time) []holder {
	list := make([]holder, 0, len(homes)+len(left))
	for rank, t := range homes {
		list = append(list, holder{target: t, unread: s.unread(t, pr, known, rank == 0, now)})
	}
	for _, t := range left {
		list = append(list, holder{target: t, unread: s.unread(t, pr, known, true, now), leaves: true})
	}
	return list
}

// unread is the number of tokens of a prompt that a target has to read. All routers
// prefer a prompt's first home, so only that one is likely to keep parts of which nothing
// is known here.
func (s *service) unread(t *target, pr *prompt, known told, first bool, now time.Time) int {
	if a, ok := known[t.hash]; ok {
		return min(a.PrefillTokens, pr.unread(&t.kept, s.engine.CacheTokens, false))
	}
	return pr.unread(&t.kept, s.engine.CacheTokens, first && t.warm(now))
}

// copiesFrom reports whether others may copy from a target that takes nothing new, as it
// drains or its data centre is evacuated: it has to run and to be reached.
func (p *Placer) copiesFrom(t *target, now time.Time) bool {
	if t.Unreadable || t.replaced || p.cut[t.DataCentre] {
		return false
	}
	return (t.drains() || p.evacuated[t.DataCentre]) && t.circuit.allows(now)
}

// copyFrom has a candidate copy what it lacks from the holder that lacks least, where
// that saves time.
func (s *service) copyFrom(holders []holder, c *candidate) {
	if s.engine.CopyRate <= 0 {
		return
	}
	fullest := holder{unread: c.unread}
	for _, h := range holders {
		if h.target != c.target && h.unread < fullest.unread {
			fullest = h
		}
	}
	saved := c.unread - fullest.unread
	if saved >= leastCopied && s.copying(saved) < s.speed.reading(saved) {
		c.unread, c.copied, c.from = fullest.unread, saved, fullest.target.Address
	}
}

// copying is the time that copying so many tokens takes.
func (s *service) copying(tokens int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	return copySetup + time.Duration(float64(tokens)/s.engine.CopyRate*float64(time.Second))
}
