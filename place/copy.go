package place

import "time"

// cacheHolder is a home or former home of a prompt, with the number of tokens of the prompt that
// it would have to prefill.
type cacheHolder struct {
	target        *target
	prefillTokens int
	// sourceOnly marks a target that accepts no new requests and can only be copied from.
	sourceOnly bool
	// holding marks a target that is known from a holding.
	holding bool
	// margin is the advantage in cost that the target needs over the first home.
	margin time.Duration
}

const (
	// minCopiedTokens is the minimum number of tokens to copy: prefilling fewer takes no longer
	// than starting a copy.
	minCopiedTokens = 1024
	// copySetup is the fixed part of the time of a copy: finding the other engine and waiting for
	// earlier copies.
	copySetup = 10 * time.Millisecond
)

// cacheHolders returns the homes and former homes of a prompt, and other targets that hold its shared
// parts, with what they have cached of it.
//
// Homes drain, are full for a while or have just started, so prompts move to other targets.
// Without copies their shared prefixes, three quarters of all tokens, are then prefilled again
// while another engine still has them cached. Copying a token takes an eighth of the time of
// prefilling it.
func (p *Placer) cacheHolders(s *service, h *homeSet, pr *prompt, replies repliesByTarget, now time.Time) []cacheHolder {
	list := make([]cacheHolder, 0, len(h.homes)+len(h.former))
	for rank, t := range h.homes {
		list = append(list, cacheHolder{target: t, prefillTokens: s.prefillTokens(t, pr, replies, rank == 0 || t == h.first, now), margin: h.margin(rank)})
	}
	for _, t := range h.former {
		list = append(list, cacheHolder{target: t, prefillTokens: s.prefillTokens(t, pr, replies, true, now), sourceOnly: true})
	}
	if p.nearHomes && s.engine.CopyRate > 0 && list[0].prefillTokens-pr.uniqueTokens >= minCopiedTokens {
		list = append(list, p.heldBy(h, pr, replies, now)...)
	}
	return list
}

// prefillTokens returns the number of tokens of a prompt that a target has to prefill. All
// routers prefer a prompt's first home, so only that target is likely to have cached prefix parts
// that this router knows nothing about.
func (s *service) prefillTokens(t *target, pr *prompt, replies repliesByTarget, first bool, now time.Time) int {
	if a, ok := replies[t.hash]; ok {
		return min(a.PrefillTokens, pr.prefillTokens(&t.cache, s.engine.CacheTokens, false))
	}
	return pr.prefillTokens(&t.cache, s.engine.CacheTokens, first && t.assumesCached(now))
}

// canCopyFrom reports whether other targets may copy from a target that accepts no new requests
// because it is draining or its data centre is being evacuated: the target must still run and be
// reachable.
func (p *Placer) canCopyFrom(t *target, now time.Time) bool {
	return (t.draining() || p.evacuated[t.DataCentre]) && p.isSource(t, now)
}

// planCopy sets a candidate to copy its missing tokens from the holder that misses the fewest, if
// that saves time. A cache is only copied within a version of the software, which determines its
// layout.
func (s *service) planCopy(holders []cacheHolder, c *candidate) {
	if s.engine.CopyRate <= 0 {
		return
	}
	source := cacheHolder{prefillTokens: c.prefillTokens}
	for _, h := range holders {
		if h.target != c.target && h.target.Version == c.target.Version && h.prefillTokens < source.prefillTokens {
			source = h
		}
	}
	saved := c.prefillTokens - source.prefillTokens
	if saved >= minCopiedTokens && s.copyTime(saved) < s.latency.prefillTime(saved) {
		c.prefillTokens, c.copiedTokens, c.copyFrom, c.holding = source.prefillTokens, saved, source.target.Address, source.holding
	}
}

// copyTime returns the time to copy a number of tokens.
func (s *service) copyTime(tokens int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	return copySetup + time.Duration(float64(tokens)/s.engine.CopyRate*float64(time.Second))
}
