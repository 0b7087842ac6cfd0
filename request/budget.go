package request

import "sync"

// Budget bounds retries to a part of the requests, so that a broken target or
// data centre does not multiply the load on the others. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	burst  float64
}

// NewBudget returns a budget that allows ratio retries for each request, and
// burst retries at once.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{tokens: burst, ratio: ratio, burst: burst}
}

// Spend takes all retries that are there. A router that starts again does not know what it
// spent just before: with a full budget after each start, a fleet that is killed and started
// makes twice the retries that it may within seconds.
func (b *Budget) Spend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = 0
}

// SetBurst changes the retries allowed at once: the part of one router in what all may
// make together depends on how many there are.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Earn adds the part of one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Take takes one retry and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
