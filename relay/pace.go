package relay

import (
	"sync"
	"time"

	"zinccove.example/zinccove/message"
)

// pace bounds how long streams last. It remembers the slowest recent stream for
// the most tokens that its caller allowed, and forgets it slowly. Most streams
// make far fewer tokens than allowed, so a few of them say little; the pace is
// never taken to be faster than leastPace.
type pace struct {
	mu       sync.Mutex
	perToken time.Duration
}

const (
	// leastPace is the time of a token at a full engine, with prompts read beside
	// it: a hunted day cut a stream that was expected to be faster.
	leastPace = 25 * time.Millisecond
	// paceForget is the part of the slowest stream that is forgotten with each
	// faster one.
	paceForget = 0.002
	// paceMargin is how much slower a stream may be than the slowest recent one.
	paceMargin = 1.5
)

// learn takes the time of a whole stream after its first event.
func (p *pace) learn(c *message.RequestInfo, took time.Duration) {
	if c.MaxTokens <= 0 {
		return
	}
	per := took / time.Duration(c.MaxTokens)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perToken = max(per, p.perToken-time.Duration(float64(p.perToken)*paceForget))
}

// bound returns the longest time that a stream is expected to last after its
// first event, and false if its caller did not bound the tokens.
func (p *pace) bound(c *message.RequestInfo) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	per := max(p.perToken, leastPace)
	return time.Duration(float64(per) * paceMargin * float64(c.MaxTokens)), c.MaxTokens > 0
}
