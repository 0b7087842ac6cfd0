package place

import (
	"time"

	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/route"
)

const (
	// admitShare is the part of the objective that an expected time may take: 0.1
	// of the objectives in use, 30 to 80 ms, is what expected times are off by.
	admitShare = 0.9
	// longShare is the part of the limit that may wait before a prompt that is
	// too long to make it.
	longShare = 0.3
	// idleShare is the part of its objective that a prompt of a customer that is ahead may
	// take where nothing waits: it delays those who come next little. Its shared parts have
	// to be kept there, so that it pushes out no others'.
	idleShare = 0.35
	// leastRetry and mostRetry bound the time after which a caller is asked back.
	leastRetry = 100 * time.Millisecond
	mostRetry  = 2 * time.Second
)

// admits reports whether a target is expected to make a limit. Where nothing
// waits, prompts that take longer are admitted too: a refusal would leave the
// target idle, and a router that expects too much would learn nothing any more.
// Something waits also where all slots are taken, however little there is to read.
// Only customers that are ahead of others who are refused leave that to those.
// Prompts too long for any target are also admitted where little waits.
func (s *service) admits(d Decision, limit, objective time.Duration, st standing) bool {
	switch {
	case d.Predicted <= limit:
		return true
	case d.Backlog == 0 && d.HasFreeSlot:
		return !st.ahead || !st.contested && d.small(objective)
	}
	return s.speed.predict(0)+d.Wait <= time.Duration(float64(limit)*longShare)
}

// refuse refuses a request; its caller may come back when the target that was
// chosen is expected to make the limit, after the least time at the earliest.
func (p *Placer) refuse(r Request, d Decision, asks Usage, limit, least time.Duration, now time.Time) Decision {
	p.note(r.Customer, asked(r, asks), now)
	d.Reason = Overloaded
	d.RetryAfter = min(max(d.Predicted-limit, least), mostRetry)
	return d
}

// asked is what a request adds to what its customer asks for: nothing if it was
// counted with an earlier attempt.
func asked(r Request, asks Usage) Usage {
	if len(r.Tried) > 0 {
		return Usage{}
	}
	return asks
}

// costOf is the size of a request in tokens, for comparing customers.
func costOf(c *message.RequestInfo) int {
	made := c.HintTokens
	if made == 0 {
		made = c.MaxTokens
	}
	return c.PromptTokens + route.OutputTokenCost*made
}

// small reports whether a prompt costs others little at its target.
func (d *Decision) small(objective time.Duration) bool {
	return d.SharedTokens <= 0 && d.CopiedTokens == 0 && d.Predicted <= time.Duration(float64(objective)*idleShare)
}
