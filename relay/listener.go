package relay

import (
	"net"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"zinccove.example/zinccove/errs"
)

// persistentListener goes on accepting after an error that passes: a process that is out of file
// descriptors gets some back as requests end. The HTTP server would never accept a caller again.
type persistentListener struct {
	net.Listener
	clock clockwork.Clock
	log   zerolog.Logger
}

// acceptPause is the time between two attempts to accept after an error: short enough for callers to
// notice nothing, long enough for some requests to end.
const acceptPause = 10 * time.Millisecond

// Accept returns the next connection, or an error that does not pass.
func (l *persistentListener) Accept() (net.Conn, error) {
	for failed := 0; ; failed++ {
		c, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return c, err
		}
		if failed == 0 {
			l.log.Warn().Err(err).Msg("callers not accepted for now")
		}
		l.clock.Sleep(acceptPause)
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
