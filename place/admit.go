package place

import (
	"time"

	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/route"
)

const (
	// admitShare is the share of the objective that the predicted time to the first event may
	// take. The remaining 0.1 of the objectives in use, 30 to 80 ms, covers the usual prediction
	// error.
	admitShare = 0.9
	// longPromptShare is the share of the limit that the tokens ahead of a prompt may take if the
	// prompt is too long to meet the limit at any target.
	longPromptShare = 0.3
	// idleShare is the share of its objective that a prompt may take at an idle target if its
	// customer is ahead of the others: a prompt this short delays the next ones little. Its
	// shared prefix must be cached there, so that it does not evict the prefixes of others.
	idleShare = 0.35
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller may retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// admits reports whether a target is predicted to meet a limit. An idle target also admits
// prompts that are predicted to take longer: refusing them would leave the target idle, and a
// router whose predictions are too high would get no samples to correct them. A target whose
// slots are all taken does not count as idle, however few tokens are pending. An idle target
// admits customers that are ahead of the others only if the prompt is small. Prompts too long for
// any target are also admitted where few tokens are pending.
func (s *service) admits(d Decision, limit, objective time.Duration, st standing) bool {
	switch {
	case d.Predicted <= limit:
		return true
	case d.Backlog == 0 && d.HasFreeSlot:
		return !st.ahead || d.small(objective)
	}
	return s.latency.predict(0)+d.Wait <= time.Duration(float64(limit)*longPromptShare)
}

// refuse refuses a request. Its caller may retry when the chosen target is predicted to meet the
// limit, but not before the time least has passed.
func (p *Placer) refuse(r Request, d Decision, requested Usage, limit, least time.Duration, now time.Time) Decision {
	p.recordUsage(r.Customer, firstAttemptUsage(r, requested), now)
	d.Reason = Overloaded
	d.RetryAfter = min(max(d.Predicted-limit, least), maxRetryAfter)
	return d
}

// firstAttemptUsage returns what a request adds to the requested usage of its customer: nothing
// if an earlier attempt, or the refusal before its wait, already counted it.
func firstAttemptUsage(r Request, requested Usage) Usage {
	if len(r.Tried) > 0 || r.Grant != nil {
		return Usage{}
	}
	return requested
}

// costOf returns the size of a request in tokens, by which customers are compared.
func costOf(c *message.RequestInfo) int {
	outputTokens := c.HintTokens
	if outputTokens == 0 {
		outputTokens = c.MaxTokens
	}
	return c.PromptTokens + route.OutputTokenCost*outputTokens
}

// small reports whether a prompt delays other requests little at its target.
func (d *Decision) small(objective time.Duration) bool {
	return d.SharedTokens <= 0 && d.CopiedTokens == 0 && d.Predicted <= time.Duration(float64(objective)*idleShare)
}
