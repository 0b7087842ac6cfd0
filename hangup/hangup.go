// Package hangup notices callers that went away while their request waits.
//
// fasthttp does not tell. A Watcher looks at all watched connections once in a
// period without taking bytes from them. A caller that closed its sending side
// only counts as gone too: the usual HTTP clients never do that.
//
// # Usage
//
//	w := hangup.New(100*time.Millisecond, clock)
//	defer w.Close()
//	stop := w.Watch(conn, cancel)
//	defer stop()
package hangup

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// Watcher watches connections until Close.
type Watcher struct {
	group errgroup.Group
	stop  chan struct{}

	mu      sync.Mutex
	watched map[*watch]struct{}
}

type watch struct {
	raw  syscall.RawConn
	gone func()
}

// New starts a watcher that looks once in each period.
func New(period time.Duration, clock clockwork.Clock) *Watcher {
	w := &Watcher{stop: make(chan struct{}), watched: make(map[*watch]struct{})}
	tick := clock.NewTicker(period)
	w.group.Go(func() error {
		defer tick.Stop()
		for {
			select {
			case <-w.stop:
				return nil
			case <-tick.Chan():
				w.look()
			}
		}
	})
	return w
}

// Close stops the watcher and waits for it.
func (w *Watcher) Close() {
	close(w.stop)
	w.group.Wait() //nolint:errcheck // the goroutine returns no error
}

// Watch calls gone once if the other side of conn goes away before stop is
// called. Gone runs on the watcher's goroutine and must not block. Connections
// without a socket are never reported.
func (w *Watcher) Watch(conn net.Conn, gone func()) (stop func()) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	x := &watch{raw: raw, gone: gone}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watched[x] = struct{}{}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.watched, x)
	}
}

func (w *Watcher) look() {
	for _, x := range w.takeClosed() {
		x.gone()
	}
}

// takeClosed removes and returns the watches whose other side is gone.
func (w *Watcher) takeClosed() []*watch {
	w.mu.Lock()
	defer w.mu.Unlock()
	var gone []*watch
	for x := range w.watched {
		if Peek(x.raw) == Closed {
			gone = append(gone, x)
			delete(w.watched, x)
		}
	}
	return gone
}

// State is what Peek saw of a connection.
type State int

// The states.
const (
	// Idle: open, and nothing arrived.
	Idle State = iota
	// Readable: bytes arrived that were not read yet.
	Readable
	// Closed: the other side closed or reset the connection.
	Closed
)

// Peek looks at a socket without blocking and without taking bytes from it.
func Peek(raw syscall.RawConn) State {
	var (
		b   [1]byte
		n   int
		err error
	)
	cerr := raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case cerr != nil:
		return Closed
	case err == unix.EAGAIN || err == unix.EINTR:
		return Idle
	case err != nil || n == 0:
		return Closed
	default:
		return Readable
	}
}
