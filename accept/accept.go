// Package accept makes servers go on accepting after errors that pass.
//
// A process that is out of file descriptors gets some back as connections end. Some HTTP servers end
// at the first error of accept, and would never accept a connection again.
//
// # Usage
//
//	err := server.Serve(&accept.Listener{Listener: l, Clock: clock, OnError: func(error) { ... }})
package accept

import (
	"net"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"zinccove.example/zinccove/errs"
)

// Listener accepts connections until an error that does not pass, such as its end.
type Listener struct {
	net.Listener
	Clock clockwork.Clock
	// OnError is called with the first of several errors in a row that pass; nil ignores them.
	OnError func(error)
}

// pause is the time between two attempts to accept after an error: short enough for callers to
// notice nothing, long enough for some requests to end.
const pause = 10 * time.Millisecond

// Accept returns the next connection, or an error that does not pass.
func (l *Listener) Accept() (net.Conn, error) {
	for failed := 0; ; failed++ {
		c, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return c, err
		}
		if failed == 0 && l.OnError != nil {
			l.OnError(err)
		}
		l.Clock.Sleep(pause)
	}
}

// passes reports whether an error of accept does not concern the listener itself.
func passes(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errs.Is(err, e) {
			return true
		}
	}
	return false
}
