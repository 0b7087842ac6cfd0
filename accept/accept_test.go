package accept

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// fullListener fails for some times before it accepts, as that of a process without free file
// descriptors.
type fullListener struct {
	net.Listener
	errors []error
}

func (l *fullListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		return l.Listener.Accept()
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, err
}

// TestProcessWithoutDescriptorsAcceptsAgain has a process that is out of file descriptors for a
// moment.
func TestProcessWithoutDescriptorsAcceptsAgain(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	full := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	reported := 0
	l := &Listener{Listener: &fullListener{inner, []error{full, full}}, Clock: clockwork.NewRealClock(), OnError: func(error) { reported++ }}
	caller, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	c, err := l.Accept()
	assert.NilError(t, err)
	assert.Equal(t, reported, 1)
	assert.NilError(t, c.Close())
	assert.NilError(t, l.Close())
	_, err = l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}
