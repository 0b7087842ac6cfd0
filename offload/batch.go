package offload

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
)

const (
	// batchDelay is how long written bytes are collected: a small part of any objective, and long
	// enough for the streams that write at the same tick.
	batchDelay = 2 * time.Millisecond
	// maxBatch is the number of collected bytes from which on writers wait for the network.
	maxBatch = 256 << 10
	// maxSpare is the size of the largest buffer that is kept for the next batch.
	maxSpare = 64 << 10
	// stuckAfter is the time without any reply to an opened stream after which a connection is stuck:
	// a router of the same data centre that is that late misses the objectives of streams.
	stuckAfter = 250 * time.Millisecond
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
	// broken is set once the network has failed, closed once the session has closed the connection.
	broken, closed bool
	streams        map[*yamux.Stream]bool

	// asked is when a stream was opened since which nothing has arrived, in nanoseconds since the Unix
	// epoch; 0 if there is none.
	asked atomic.Int64
}

func newBatchConn(c net.Conn, clock clockwork.Clock) *batchConn {
	b := &batchConn{Conn: c, clock: clock, wake: make(chan struct{}, 1), done: make(chan struct{})}
	b.drained.L = &b.mu
	b.group.Go(b.run)
	return b
}

// Read implements net.Conn.
func (b *batchConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	b.asked.Store(0)
	if err != nil {
		b.endStreams()
	}
	return n, err
}

// add registers a stream until remove.
func (b *batchConn) add(s *yamux.Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.streams == nil {
		b.streams = make(map[*yamux.Stream]bool)
	}
	b.streams[s] = true
}

func (b *batchConn) remove(s *yamux.Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.streams, s)
}

// endStreams ends what waits for a stream before the session knows of its end. Once it does, each of
// them would use up a processor until the session has closed its stream.
func (b *batchConn) endStreams() {
	b.mu.Lock()
	for s := range b.streams {
		s.SetDeadline(time.Unix(0, 1).UTC()) //nolint:errcheck // a stream accepts each
	}
	b.mu.Unlock()
	b.clock.Sleep(endDelay)
}

// endDelay is the time in which all streams of a connection notice its end.
const endDelay = 20 * time.Millisecond

// ask notes that a stream is opened, which the other router confirms at once.
func (b *batchConn) ask(now time.Time) { b.asked.CompareAndSwap(0, now.UnixNano()) }

// stuck reports whether the other router confirms no streams, reads nothing or is gone.
func (b *batchConn) stuck(now time.Time) bool {
	if at := b.asked.Load(); at != 0 && now.UnixNano()-at >= int64(stuckAfter) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.broken || len(b.pending) >= maxBatch/2
}

// Write collects bytes. After a failure of the network it drops them: the session ends by the read that
// fails as well, see abort.
func (b *batchConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) >= maxBatch && !b.broken && !b.closed {
		b.drained.Wait()
	}
	switch {
	case b.closed:
		return 0, net.ErrClosed
	case b.broken:
		return len(p), nil
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
		if _, err := b.Conn.Write(batch); err != nil {
			b.abort()
			return nil
		}
		spare = nil
		if cap(batch) <= maxSpare {
			spare = batch
		}
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
		b.drained.Broadcast()
	}
	return batch
}

// abort ends the session: its reader fails, and closes it. A session that anything else closes waits
// for its reader, and until then each stream that is read or written uses up a processor, as the loops
// of yamux do not wait any more.
func (b *batchConn) abort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = true
	b.drained.Broadcast()
	b.Conn.Close() //nolint:errcheck // it is broken, or nobody uses it any more
}

// Close is called by the session when it ends. Collected bytes are lost. It does not wait for run, for
// the reason that abort tells.
func (b *batchConn) Close() error {
	b.abort()
	b.once.Do(func() { close(b.done) })
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.drained.Broadcast()
	return nil
}

// keepAlive probes a connection until its session has ended, and ends it if the other router does not
// reply.
func keepAlive(b *batchConn, mux *yamux.Session) error {
	defer b.group.Wait() //nolint:errcheck // run returns none
	for {
		select {
		case <-mux.CloseChan():
			return mux.Close() // waits until all streams have ended
		case <-b.clock.After(probeInterval):
		}
		if _, err := mux.Ping(); err != nil {
			b.abort()
		}
	}
}
