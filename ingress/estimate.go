package ingress

import "sync"

// firstBytesPerToken is assumed until an engine has counted a prompt. It is
// high, so that the estimate is rarely above the count.
const firstBytesPerToken = 8

// bytesPerTokenWeight is the part of a new count in the running mean.
const bytesPerTokenWeight = 0.1

// inputEstimate learns how many bytes of prompt make a token of each model, so
// that input can be charged when an attempt starts and not only when the
// engine has counted it. It is safe for concurrent use.
type inputEstimate struct {
	mu    sync.Mutex
	bytes map[uint32]float64
}

// tokens estimates the tokens of a prompt for a model.
func (e *inputEstimate) tokens(model uint32, promptBytes int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	perToken, known := e.bytes[model]
	if !known {
		perToken = firstBytesPerToken
	}
	return int(float64(promptBytes) / perToken)
}

// learn takes an engine's count of a prompt.
func (e *inputEstimate) learn(model uint32, promptBytes, tokens int) {
	if promptBytes == 0 || tokens == 0 {
		return
	}
	sample := float64(promptBytes) / float64(tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bytes == nil {
		e.bytes = make(map[uint32]float64)
	}
	old, known := e.bytes[model]
	if !known {
		old = sample
	}
	e.bytes[model] = old + bytesPerTokenWeight*(sample-old)
}
