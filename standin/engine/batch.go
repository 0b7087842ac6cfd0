package engine

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// job is one request inside the engine.
type job struct {
	id       string
	request  string
	priority int64
	arrival  uint64
	seed     uint64
	input    int
	output   int
	// next is the index of the next token; it starts behind what a resumed
	// request already has.
	next int
	// prefill is the number of steps until the first token.
	prefill int
	// events has room for all of them, so that no reader holds up the engine.
	events    chan event
	cancelled bool
}

// event is one token, or the end when last is set.
type event struct {
	index int
	text  string
	last  bool
}

// Token returns the text of token index of the answer to a prompt. Callers
// use it to check that an answer is whole and their own.
func Token(prompt string, index int) string { return token(xxhash.Sum64String(prompt), index) }

func token(seed uint64, index int) string {
	return strconv.FormatUint(seed>>48, 16) + "." + strconv.Itoa(index) + " "
}

// Answer returns the whole answer of n tokens to a prompt.
func Answer(prompt string, n int) string {
	var b []byte
	for i := range n {
		b = append(b, Token(prompt, i)...)
	}
	return string(b)
}

// batch is a continuously batching engine without a clock: each step moves
// every running request by one token. It is not safe for concurrent use.
type batch struct {
	slots    int
	running  []*job
	waiting  []*job
	arrivals uint64
	// busy and steps count slots in use and steps, for the utilisation.
	busy   uint64
	steps  uint64
	tokens uint64
	ended  uint64
}

func (b *batch) add(j *job) {
	b.arrivals++
	j.arrival = b.arrivals
	b.waiting = append(b.waiting, j)
	b.admit()
}

// admit fills free slots, lowest priority value first, then by arrival.
func (b *batch) admit() {
	if len(b.running) >= b.slots || len(b.waiting) == 0 {
		return
	}
	slices.SortStableFunc(b.waiting, func(x, y *job) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.arrival, y.arrival))
	})
	n := min(b.slots-len(b.running), len(b.waiting))
	b.running = append(b.running, b.waiting[:n]...)
	b.waiting = slices.Delete(b.waiting, 0, n)
}

// cancel ends a job early.
func (b *batch) cancel(j *job) {
	if j.cancelled {
		return
	}
	j.cancelled = true
	same := func(x *job) bool { return x == j }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.admit()
}

// step moves every running request by one token.
func (b *batch) step() {
	b.steps++
	b.busy += uint64(len(b.running))
	kept := b.running[:0]
	for _, j := range b.running {
		if !b.advance(j) {
			kept = append(kept, j)
		}
	}
	clear(b.running[len(kept):])
	b.running = kept
	b.admit()
}

// advance moves one request and reports whether it ended.
func (b *batch) advance(j *job) bool {
	if j.prefill > 0 {
		j.prefill--
		return false
	}
	if j.next < j.output {
		j.events <- event{index: j.next, text: token(j.seed, j.next)}
		j.next++
		b.tokens++
	}
	if j.next < j.output {
		return false
	}
	j.events <- event{index: j.next, last: true}
	b.ended++
	return true
}
