package ingress

import "sync"

// initialBytesPerToken is assumed until an engine has reported the token count of
// a prompt. It is high, so that the estimate rarely exceeds the count.
const initialBytesPerToken = 8

// sampleWeight is the weight of a new sample in the moving average.
const sampleWeight = 0.1

// inputEstimate estimates the prompt bytes per token of each model, so that
// input can be charged when an attempt starts and not only when the engine has
// counted it. It is safe for concurrent use.
type inputEstimate struct {
	mu            sync.Mutex
	bytesPerToken map[uint32]float64
}

// tokens estimates the number of tokens of a prompt for a model.
func (e *inputEstimate) tokens(model uint32, promptBytes int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	perToken, known := e.bytesPerToken[model]
	if !known {
		perToken = initialBytesPerToken
	}
	return int(float64(promptBytes) / perToken)
}

// observe updates the estimate with an engine's token count of a prompt.
func (e *inputEstimate) observe(model uint32, promptBytes, tokens int) {
	if promptBytes == 0 || tokens == 0 {
		return
	}
	sample := float64(promptBytes) / float64(tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bytesPerToken == nil {
		e.bytesPerToken = make(map[uint32]float64)
	}
	old, known := e.bytesPerToken[model]
	if !known {
		old = sample
	}
	e.bytesPerToken[model] = old + sampleWeight*(sample-old)
}
