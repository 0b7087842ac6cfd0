package relay

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// BenchmarkTypicalConnect is asked for three times for each stream: 1.86 us and 5
// allocations when its list was grown, 0.85 us and none since it has its size at once.
func BenchmarkTypicalConnect(b *testing.B) {
	c := &connectHistory{clock: clockwork.NewFakeClock()}
	for i := range connectSamples {
		c.record(string(rune('a'+i)), time.Duration(9-i)*time.Millisecond)
	}
	for b.Loop() {
		c.median()
	}
}
