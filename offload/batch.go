package offload

import (
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
)

const (
	// batchDelay is how long written bytes are collected: a small part of any objective, and long
	// enough for the streams that write at the same tick.
	batchDelay = 2 * time.Millisecond
	// maxBatch is the number of collected bytes from which on writers wait for the network.
	maxBatch = 256 << 10
)

// batchConn collects what is written within a moment and sends it with one system call. The
// frames of a session are short, and each would otherwise be sent alone, header and body apart.
type batchConn struct {
	net.Conn
	clock clockwork.Clock
	group errgroup.Group
	wake  chan struct{}
	done  chan struct{}
	once  sync.Once

	mu      sync.Mutex
	drained sync.Cond
	pending []byte
	err     error
}

func newBatchConn(c net.Conn, clock clockwork.Clock) *batchConn {
	b := &batchConn{Conn: c, clock: clock, wake: make(chan struct{}, 1), done: make(chan struct{})}
	b.drained.L = &b.mu
	b.group.Go(b.run)
	return b
}

// Write collects bytes. It returns the error of an earlier write to the network.
func (b *batchConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) >= maxBatch && b.err == nil {
		b.drained.Wait()
	}
	if b.err != nil {
		return 0, b.err
	}
	b.pending = append(b.pending, p...)
	select {
	case b.wake <- struct{}{}:
	default: // the writer is awake
	}
	return len(p), nil
}

// run sends collected bytes until the connection is closed or broken.
func (b *batchConn) run() error {
	var spare []byte
	for {
		select {
		case <-b.done:
			return nil
		case <-b.wake:
		}
		b.clock.Sleep(batchDelay)
		batch := b.take(spare)
		if len(batch) == 0 {
			continue // sent with the batch before
		}
		_, err := b.Conn.Write(batch)
		b.mu.Lock()
		b.err = err
		b.drained.Broadcast()
		b.mu.Unlock()
		if err != nil {
			b.Conn.Close() //nolint:errcheck // the session reads the end
			return nil
		}
		spare = batch
	}
}

// take returns the collected bytes. Later ones are collected in the spare buffer, unless there were
// none.
func (b *batchConn) take(spare []byte) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.pending
	if len(batch) > 0 {
		b.pending = spare[:0]
	}
	return batch
}

// Close closes the connection and waits until nothing is sent any more. Collected bytes are lost.
func (b *batchConn) Close() error {
	err := b.Conn.Close()
	b.once.Do(func() { close(b.done) })
	b.group.Wait() //nolint:errcheck // run returns none
	b.mu.Lock()
	if b.err == nil {
		b.err = net.ErrClosed
	}
	b.drained.Broadcast()
	b.mu.Unlock()
	return err
}
