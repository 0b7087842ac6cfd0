package gateway

import (
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// batchWriter is a writer that collects lines for a short time and writes them in one call: on a
// small host a system call for each line costs more than formatting it.
type batchWriter struct {
	out   io.Writer
	clock clockwork.Clock

	mu     sync.Mutex
	buffer []byte
	// timer flushes the collected lines; it is nil while there are none.
	timer clockwork.Timer
	// err is the error of the last failed flush that no Write has returned yet.
	err error
}

const (
	// batchInterval is the longest time for which lines are collected. It is too short to matter
	// to someone who watches the log, and bounds what is lost when the process is killed.
	batchInterval = 50 * time.Millisecond
	// batchLimit is the maximum number of bytes written in one call, unless a single line is
	// longer. It is what a pipe accepts atomically (PIPE_BUF on Linux), so that a reader that
	// collects the logs of several processes never sees a partial line.
	batchLimit = 4 << 10
)

// Write collects a line. A returned error is that of an earlier write.
func (b *batchWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buffer)+len(line) > batchLimit {
		b.flush()
	}
	b.buffer = append(b.buffer, line...)
	if b.timer == nil {
		b.timer = b.clock.AfterFunc(batchInterval, b.Flush)
	}
	err := b.err
	b.err = nil
	return len(line), err
}

// Flush writes the collected lines.
func (b *batchWriter) Flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flush()
}

// flush writes the collected lines; b.mu must be held.
func (b *batchWriter) flush() {
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
