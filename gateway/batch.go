package gateway

import (
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// batch is a writer that collects lines for a short time and writes them in
// one call: on a small host a call for each line costs more than making it.
type batch struct {
	out   io.Writer
	clock clockwork.Clock

	mu     sync.Mutex
	buffer []byte
	// timer flushes what was collected; nil while nothing is.
	timer clockwork.Timer
	// err is the error of the last failed flush that no Write has returned yet.
	err error
}

const (
	// batchTime is the longest time for which lines are collected: those who read
	// along do not notice it, and a process that is killed loses no more.
	batchTime = 50 * time.Millisecond
	// batchBytes is the most that is written in one call, unless a single line is
	// longer: what a pipe takes whole (PIPE_BUF on Linux), so that whoever collects
	// the logs of several processes never sees half a line.
	batchBytes = 4 << 10
)

// Write collects a line. An error is that of an earlier write.
func (b *batch) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buffer)+len(line) > batchBytes {
		b.flush()
	}
	b.buffer = append(b.buffer, line...)
	if b.timer == nil {
		b.timer = b.clock.AfterFunc(batchTime, b.Flush)
	}
	err := b.err
	b.err = nil
	return len(line), err
}

// Flush writes what was collected.
func (b *batch) Flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flush()
}

// flush writes what was collected; b.mu is held.
func (b *batch) flush() {
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	if len(b.buffer) == 0 {
		return
	}
	if _, err := b.out.Write(b.buffer); err != nil {
		b.err = err
	}
	b.buffer = b.buffer[:0]
}
