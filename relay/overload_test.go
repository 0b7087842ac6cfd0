package relay

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestFloodStaysAtRouterThatServesSomeOfIt has some intervals with few refusals.
func TestFloodStaysAtRouterThatServesSomeOfIt(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &overload{clock: clock}
	for i := range int(time.Second / checkInterval) {
		clock.Advance(checkInterval)
		s.update([]float64{0.6, 0.2, 0.45}[i%3])
	}
	assert.Assert(t, s.active())
}

func TestOverloadedRouterIsNotReadyForAWhile(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &overload{clock: clock}
	play := func(part float64, d time.Duration) (changes int) {
		for range d / checkInterval {
			clock.Advance(checkInterval)
			if s.update(part) {
				changes++
			}
		}
		return changes
	}
	assert.Equal(t, play(1, overloadDelay-checkInterval), 0, "a short overload does not count")
	assert.Equal(t, play(0.1, time.Second), 0)
	assert.Equal(t, play(0.7, time.Second), 1)
	assert.Assert(t, s.active())
	assert.Equal(t, play(0, recoveryDelay-2*checkInterval), 0, "it does not recover at once")
	play(1, checkInterval)
	assert.Equal(t, play(0, recoveryDelay-2*checkInterval), 0, "nor after another short overload")
	assert.Equal(t, play(0, recoveryDelay), 1)
	assert.Assert(t, !s.active())
}

// TestCallersWaitForBalancerThatHasNoticed guards against a full delay for each refused caller.
func TestCallersWaitForBalancerThatHasNoticed(t *testing.T) {
	const delay = 2 * time.Second
	clock := clockwork.NewFakeClock()
	s := &overload{clock: clock}
	for !s.update(1) {
		assert.Equal(t, s.unnoticed(delay), time.Duration(0))
		clock.Advance(checkInterval)
	}
	assert.Equal(t, s.unnoticed(delay), delay)
	clock.Advance(1500 * time.Millisecond)
	assert.Equal(t, s.unnoticed(delay), 500*time.Millisecond)
	clock.Advance(time.Second)
	assert.Assert(t, s.unnoticed(delay) <= 0)
}
