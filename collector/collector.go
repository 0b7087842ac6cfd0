// Package collector bounds the garbage on the heap of a process by a share of its memory.
//
// The runtime lets the heap grow by a percentage of the live heap before it collects. A high
// percentage saves CPU time while the live heap is small, but uses memory in proportion to
// the state of the router: with thousands of targets most of a small host's memory would be
// garbage. A Tuner bounds garbage by a share of the memory instead of a percentage of the
// live heap.
//
// # Usage
//
//	t := collector.New(memory)
//	t.Adjust() // call periodically
package collector

import (
	"math"
	"runtime/debug"
	"runtime/metrics"
)

const (
	// garbageShare is the share of the memory that may be garbage.
	garbageShare = 0.05
	// defaultGarbage is the amount of garbage allowed if the memory is unknown, in bytes.
	defaultGarbage = 16 << 20
	// minPercent bounds how often a heap is collected that is large for its memory;
	// maxPercent bounds the garbage beside a small live heap.
	minPercent, maxPercent = 40, 400
	// minHeap is the size that the runtime assumes for any smaller live heap, in bytes.
	minHeap = 4 << 20
	// tolerance is the relative change of the percentage up to which it is not set, because each
	// setting briefly stops the process.
	tolerance = 0.15
)

// liveMetric is the runtime metric of the live heap at the last collection, in bytes.
const liveMetric = "/gc/heap/live:bytes"

// Tuner sets the garbage collector's percentage. It is not safe for concurrent use.
type Tuner struct {
	memory  int64
	percent int
	sample  [1]metrics.Sample
	// setPercent applies a percentage; tests replace it.
	setPercent func(percent int)
}

// New returns a tuner for a process with the given memory in bytes, 0 if that is unknown, and
// sets an initial percentage.
func New(memory int64) *Tuner { return newTuner(memory, func(p int) { debug.SetGCPercent(p) }) }

func newTuner(memory int64, setPercent func(int)) *Tuner {
	t := &Tuner{memory: memory, percent: gcPercent(minHeap, memory), setPercent: setPercent}
	t.sample[0].Name = liveMetric
	setPercent(t.percent)
	return t
}

// Adjust sets the percentage for the current live heap.
func (t *Tuner) Adjust() {
	metrics.Read(t.sample[:])
	t.adjust(t.sample[0].Value.Uint64())
}

func (t *Tuner) adjust(live uint64) {
	next := gcPercent(live, t.memory)
	if math.Abs(float64(next-t.percent)) <= tolerance*float64(t.percent) {
		return
	}
	t.percent = next
	t.setPercent(next)
}

// gcPercent returns the growth, in percent of the live heap, that keeps garbage within its
// share of the memory.
func gcPercent(live uint64, memory int64) int {
	garbage := float64(defaultGarbage)
	if memory > 0 {
		garbage = garbageShare * float64(memory)
	}
	heap := max(float64(live), minHeap)
	return int(min(max(100*garbage/heap, minPercent), maxPercent))
}
