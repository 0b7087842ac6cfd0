package relay

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// BenchmarkTypicalConnect measures the median, which each stream needs three times: 1.86 us and
// 5 allocations with a list that grows, 0.85 us and none with a list of its final size.
func BenchmarkTypicalConnect(b *testing.B) {
	c := newConnectHistory(clockwork.NewFakeClock())
	for i := range connectSamples {
		c.record("dc", string(rune('a'+i)), time.Duration(9-i)*time.Millisecond, true)
	}
	for b.Loop() {
		c.median()
	}
}
