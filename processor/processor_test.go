package processor

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
)

// TestLoadFollowsUse has a process of 0.2 cores that uses half of them, then all.
func TestLoadFollowsUse(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var used time.Duration
	m := New(Options{Clock: clock, Share: 0.2, Used: func() (time.Duration, error) { return used, nil }})
	run := func(cores float64) {
		for range 10 {
			assert.NilError(t, m.Sample())
			clock.Advance(100 * time.Millisecond)
			used += time.Duration(cores * float64(100*time.Millisecond))
		}
		assert.NilError(t, m.Sample())
	}
	run(0.1)
	assert.Assert(t, m.Load() > 0.48 && m.Load() < 0.52, "%v", m.Load())
	run(0.2)
	assert.Assert(t, m.Load() > 0.95, "%v", m.Load())
	spare, ok := m.Spare()
	assert.Assert(t, ok && spare < 0.01, "%v", spare)
}

func TestUnknownShareHasNoLoad(t *testing.T) {
	m := New(Options{Clock: clockwork.NewFakeClock(), Used: func() (time.Duration, error) { return 0, eris.New("refused") }})
	assert.ErrorContains(t, m.Sample(), "refused")
	_, ok := m.Spare()
	assert.Assert(t, !ok && m.Load() == 0)
}

func TestProcessUsesProcessorTime(t *testing.T) {
	before, err := OfProcess()
	assert.NilError(t, err)
	for began := time.Now(); time.Since(began) < 20*time.Millisecond; {
	}
	after, err := OfProcess()
	assert.NilError(t, err)
	assert.Assert(t, after > before)
}
