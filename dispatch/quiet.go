package dispatch

import (
	"time"

	"zinccove.example/zinccove/notice"
)

// notice takes what a target said of itself. When none is left that takes requests, those
// that wait and cannot be served before their deadline are refused at once.
func (p *pool) notice(t *target, n notice.Notice) {
	if n == (notice.Notice{}) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	if !t.notice(n, now) {
		return
	}
	if p.options.Noticed != nil {
		p.options.Noticed(t.config, n)
	}
	left := p.quiet(now)
	for c := range p.customers {
		p.queue.Remove(c, func(x *Ticket) bool {
			if !x.request.late(left, now) {
				return false
			}
			x.refuse(&RefusedError{Cause: BackingOff, RetryAfter: left})
			return true
		})
	}
}

// quiet is how long it is until the first target takes requests again that wants none for a
// while; 0 if one takes them now, or none is expected to.
func (p *pool) quiet(now time.Time) time.Duration {
	var least time.Duration
	for _, t := range p.targets {
		left := t.quietUntil.Sub(now)
		switch {
		case t.leaving:
		case left <= 0:
			return 0
		case least == 0 || left < least:
			least = left
		}
	}
	return least
}

// late reports whether the deadline of a request passes before targets take requests again.
func (r *Request) late(left time.Duration, now time.Time) bool {
	return left > 0 && !r.Deadline.IsZero() && r.Deadline.Before(now.Add(left))
}
