package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOneTerminationCountsAsTwo guards against barring a request for retries in the next second.
func TestOneTerminationCountsAsTwo(t *testing.T) {
	const target, other = 1, 2
	var i incarnations
	lost := time.Unix(100, int64(970*time.Millisecond))
	first := i.of(target, lost)
	assert.Equal(t, i.of(target, lost.Add(50*time.Millisecond)), first)
	assert.Assert(t, i.of(other, lost.Add(50*time.Millisecond)) != first)
	assert.Assert(t, i.of(target, lost.Add(terminationSpan)) != first)
}
