// Package collector keeps the garbage of a process small beside what lives.
//
// The runtime lets the heap grow by a part of what lives before it collects. A large part
// saves processor time while little lives, but takes memory in proportion to all that a
// router knows: with thousands of targets most of a small host's memory would be garbage. A
// Tuner gives garbage a share of the memory in place of a part of what lives.
//
// # Usage
//
//	t := collector.New(memory)
//	t.Adjust() // from time to time
package collector

import (
	"math"
	"runtime/debug"
	"runtime/metrics"
)

const (
	// garbageShare is the share of the memory that may be garbage.
	garbageShare = 0.05
	// usualGarbage is that of a process of unknown memory in bytes.
	usualGarbage = 16 << 20
	// leastPercent bounds how often a heap is collected that outgrows its share, mostPercent
	// how much of a small heap may be garbage.
	leastPercent, mostPercent = 40, 400
	// leastHeap is what the runtime takes to live at least, in bytes.
	leastHeap = 4 << 20
	// tolerance is the change of the percentage that is not worth setting, as each one stops
	// the process for a moment.
	tolerance = 0.15
)

// liveMetric is what the last collection found to live in bytes.
const liveMetric = "/gc/heap/live:bytes"

// Tuner sets how far the heap may grow. One goroutine uses it.
type Tuner struct {
	memory  int64
	percent int
	sample  [1]metrics.Sample
	// set is the seam that tests replace.
	set func(percent int)
}

// New returns a tuner for a process of so many bytes of memory, 0 if that is unknown, and
// sets a first percentage.
func New(memory int64) *Tuner { return newTuner(memory, func(p int) { debug.SetGCPercent(p) }) }

func newTuner(memory int64, set func(int)) *Tuner {
	t := &Tuner{memory: memory, percent: percentOf(leastHeap, memory), set: set}
	t.sample[0].Name = liveMetric
	set(t.percent)
	return t
}

// Adjust sets the percentage for what lives now.
func (t *Tuner) Adjust() {
	metrics.Read(t.sample[:])
	t.adjust(t.sample[0].Value.Uint64())
}

func (t *Tuner) adjust(live uint64) {
	next := percentOf(live, t.memory)
	if math.Abs(float64(next-t.percent)) <= tolerance*float64(t.percent) {
		return
	}
	t.percent = next
	t.set(next)
}

// percentOf is the growth, in percent of what lives, that keeps garbage in its share.
func percentOf(live uint64, memory int64) int {
	garbage := float64(usualGarbage)
	if memory > 0 {
		garbage = garbageShare * float64(memory)
	}
	heap := max(float64(live), leastHeap)
	return int(min(max(100*garbage/heap, leastPercent), mostPercent))
}
