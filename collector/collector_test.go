package collector

import (
	"testing"

	"gotest.tools/v3/assert"
)

const mb = 1 << 20

// TestGarbageKeepsItsShareWhateverLives has more and more live, as with more targets and
// routers known: the heap grows by what lives, not by a multiple of it.
func TestGarbageKeepsItsShareWhateverLives(t *testing.T) {
	const memory = 184 * mb
	for _, live := range []uint64{6 * mb, 10 * mb, 16 * mb, 20 * mb} {
		garbage := float64(live) * float64(percentOf(live, memory)) / 100
		assert.Assert(t, garbage <= garbageShare*memory+1, "%d live, %.0f garbage", live, garbage)
		assert.Assert(t, garbage >= 0.9*garbageShare*memory)
	}
	assert.Equal(t, percentOf(1*mb, memory), percentOf(leastHeap, memory), "the runtime takes it for 4 MB")
	assert.Equal(t, percentOf(0, memory), percentOf(leastHeap, memory))
	assert.Equal(t, percentOf(1*mb, 1000*mb), mostPercent)
	assert.Equal(t, percentOf(100*mb, memory), leastPercent)
	assert.Equal(t, percentOf(32*mb, 0), 50, "of unknown memory")
}

func TestSmallChangesAreNotSet(t *testing.T) {
	var set []int
	tuner := newTuner(200*mb, func(p int) { set = append(set, p) })
	for _, live := range []uint64{1 * mb, 4 * mb, 10 * mb, 10 * mb, 11 * mb, 20 * mb} {
		tuner.adjust(live)
	}
	assert.DeepEqual(t, set, []int{250, 100, 50})
}
