package hangup

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

func pair(t *testing.T) (server, client net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	client, err = net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	server, err = ln.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { server.Close(); client.Close() })
	return server, client
}

func TestClosedCallerIsDetected(t *testing.T) {
	server, client := pair(t)
	w := New(time.Millisecond, clockwork.NewRealClock())
	defer w.Close()
	gone := make(chan struct{})
	stop := w.Watch(server, func() { close(gone) })
	defer stop()
	client.Close()
	<-gone
}

func TestPeekKeepsPendingBytes(t *testing.T) {
	server, client := pair(t)
	_, err := client.Write([]byte("next"))
	assert.NilError(t, err)
	raw, err := server.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	assert.Equal(t, Peek(raw), Readable)
	b := make([]byte, 4)
	_, err = server.Read(b)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "next")
}
