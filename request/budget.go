package request

import "sync"

// Budget limits retries to a ratio of the requests, so that a failed target or data
// centre does not multiply the load on the others. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	burst  float64
}

// NewBudget returns a full budget that allows ratio retries for each request, and
// burst retries at once.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{tokens: burst, ratio: ratio, burst: burst}
}

// Exhaust removes all available retries. A restarted router does not know which retries it
// made just before: if it had a full budget after each start, a fleet that is killed and
// restarted would make twice the allowed retries within seconds.
func (b *Budget) Exhaust() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = 0
}

// SetBurst changes the number of retries allowed at once. A router's part of the burst that
// all routers may make together depends on the number of routers.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Deposit adds the retries that one request allows.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// TryWithdraw removes one retry from the budget and reports whether one was available.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
