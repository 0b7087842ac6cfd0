package dispatch

import (
	"time"

	"zinccove.example/zinccove/notice"
)

// handleNotice applies a notice of a target. If no target accepts requests after it, waiting
// requests that cannot be served before their deadline are refused immediately.
func (p *pool) handleNotice(t *target, n notice.Notice) {
	if n == (notice.Notice{}) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	if !t.applyNotice(n, now) {
		return
	}
	if p.options.OnBackoff != nil {
		p.options.OnBackoff(t.config, n)
	}
	remaining := p.backoffRemaining(now)
	for c := range p.customers {
		p.queue.Remove(c, func(x *Ticket) bool {
			if !x.request.expiresWithin(remaining, now) {
				return false
			}
			x.refuse(&RefusedError{Cause: BackingOff, RetryAfter: remaining})
			return true
		})
	}
}

// backoffRemaining returns the time until the first backoff of a target ends, without the targets
// that the platform is about to remove. It is 0 if one of the others is not in a backoff now, or
// if there are no others, so that no target is expected to accept requests again.
func (p *pool) backoffRemaining(now time.Time) time.Duration {
	var shortest time.Duration
	for _, t := range p.targets {
		remaining := t.backoffUntil.Sub(now)
		switch {
		case t.draining:
		case remaining <= 0:
			return 0
		case shortest == 0 || remaining < shortest:
			shortest = remaining
		}
	}
	return shortest
}

// expiresWithin reports whether the deadline of a request passes before the remaining backoff
// of the targets ends.
func (r *Request) expiresWithin(backoff time.Duration, now time.Time) bool {
	return backoff > 0 && !r.Deadline.IsZero() && r.Deadline.Before(now.Add(backoff))
}
