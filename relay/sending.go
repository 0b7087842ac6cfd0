package relay

import (
	"io"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// sending is the state of the write of a request. Targets may respond before they have read all of it.
type sending struct {
	// ended is closed when the write has ended; err is its error.
	ended chan struct{}
	err   error
}

func newSending() *sending { return &sending{ended: make(chan struct{})} }

// end records the end of the write.
func (s *sending) end(err error) {
	s.err = err
	close(s.ended)
}

// complete reports whether the request was sent completely.
func (s *sending) complete() bool {
	select {
	case <-s.ended:
		return s.err == nil
	default:
		return false
	}
}

// errSendFailed means that a response ended with its connection before the request was sent, so that the
// connection may have been reset.
var errSendFailed = eris.Wrap(io.ErrUnexpectedEOF, "connection ended before the request was sent")

// sendTimeout is how long the rest of a request may take to be sent after its response has ended: a
// target that closed its side only still reads it.
const sendTimeout = 500 * time.Millisecond

// await waits until the request is sent. It returns an error if the write failed or does not end. The
// system reports a reset to one call only: if that is the write, reads return the end of the connection.
func (s *sending) await(clock clockwork.Clock) error {
	if s.complete() {
		return nil
	}
	select {
	case <-s.ended:
	case <-clock.After(sendTimeout):
	}
	if !s.complete() {
		return errSendFailed
	}
	return nil
}
