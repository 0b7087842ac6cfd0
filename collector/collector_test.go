package collector

import (
	"testing"

	"gotest.tools/v3/assert"
)

const mb = 1 << 20

// TestGarbageKeepsItsShare guards against garbage that grows with the live heap. The live heap
// grows, as it does with the number of targets and routers: the total heap must grow by the
// same amount, not by a multiple of it.
func TestGarbageKeepsItsShare(t *testing.T) {
	const memory = 184 * mb
	for _, live := range []uint64{6 * mb, 10 * mb, 16 * mb, 20 * mb} {
		garbage := float64(live) * float64(gcPercent(live, memory)) / 100
		assert.Assert(t, garbage <= garbageShare*memory+1, "%d live, %.0f garbage", live, garbage)
		assert.Assert(t, garbage >= 0.9*garbageShare*memory)
	}
	assert.Equal(t, gcPercent(1*mb, memory), gcPercent(minHeap, memory), "the runtime assumes 4 MB")
	assert.Equal(t, gcPercent(0, memory), gcPercent(minHeap, memory))
	assert.Equal(t, gcPercent(1*mb, 1000*mb), maxPercent)
	assert.Equal(t, gcPercent(100*mb, memory), minPercent)
	assert.Equal(t, gcPercent(32*mb, 0), 50, "unknown memory")
}

func TestSmallChangesAreNotSet(t *testing.T) {
	var set []int
	tuner := newTuner(200*mb, func(p int) { set = append(set, p) })
	for _, live := range []uint64{1 * mb, 4 * mb, 10 * mb, 10 * mb, 11 * mb, 20 * mb} {
		tuner.adjust(live)
	}
	assert.DeepEqual(t, set, []int{250, 100, 50})
}
