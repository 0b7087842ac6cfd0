// Package hangup detects callers that close their connection while their request waits.
//
// Fasthttp does not report this. A Watcher peeks at all watched connections once in each period
// without reading bytes from them. A caller that closed only its sending side counts as closed
// too: the usual HTTP clients never do that.
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
	raw    syscall.RawConn
	closed func()
}

// New starts a watcher that checks the connections once in each period.
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
				w.check()
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

// Watch calls closed once if the peer of conn closes or resets the connection before stop is
// called. Closed runs on the watcher's goroutine and must not block. Connections without a
// socket are never reported.
func (w *Watcher) Watch(conn net.Conn, closed func()) (stop func()) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	x := &watch{raw: raw, closed: closed}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watched[x] = struct{}{}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.watched, x)
	}
}

func (w *Watcher) check() {
	for _, x := range w.removeClosed() {
		x.closed()
	}
}

// removeClosed removes and returns the watches whose peer closed the connection.
func (w *Watcher) removeClosed() []*watch {
	w.mu.Lock()
	defer w.mu.Unlock()
	var closed []*watch
	for x := range w.watched {
		if Peek(x.raw) == Closed {
			closed = append(closed, x)
			delete(w.watched, x)
		}
	}
	return closed
}

// State is the state of a connection as Peek found it.
type State int

// The states.
const (
	// Idle: open, and no bytes arrived.
	Idle State = iota
	// Readable: bytes arrived that were not read yet.
	Readable
	// Closed: the peer closed or reset the connection.
	Closed
)

// Peek returns the state of a socket without blocking and without reading bytes from it.
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
