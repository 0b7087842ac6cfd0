package relay

import (
	"sync"
	"time"

	"zinccove.example/zinccove/message"
)

// pace bounds how long streams last. It keeps the slowest time per allowed token among the
// recent streams and lets it decay slowly. Most streams produce far fewer tokens than allowed,
// so a few of them are weak evidence; the pace is never faster than minTimePerToken.
type pace struct {
	mu       sync.Mutex
	perToken time.Duration
}

const (
	// minTimePerToken is the time of a token at an engine with full slots that also prefills
	// prompts: a stream that was expected to be faster was cut by a shutdown.
	minTimePerToken = 25 * time.Millisecond
	// paceDecay is the part of the slowest time that is dropped with each faster stream.
	paceDecay = 0.002
	// paceMargin is the factor by which a stream may be slower than the slowest recent one.
	paceMargin = 1.5
)

// record adds the duration of a complete stream after its first event.
func (p *pace) record(c *message.RequestInfo, took time.Duration) {
	if c.MaxTokens <= 0 {
		return
	}
	per := took / time.Duration(c.MaxTokens)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perToken = max(per, p.perToken-time.Duration(float64(p.perToken)*paceDecay))
}

// bound returns the longest time that a stream is expected to last after its first event, and
// false if its caller did not limit the tokens.
func (p *pace) bound(c *message.RequestInfo) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	per := max(p.perToken, minTimePerToken)
	return time.Duration(float64(per) * paceMargin * float64(c.MaxTokens)), c.MaxTokens > 0
}
