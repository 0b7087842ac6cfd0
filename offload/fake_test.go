package offload

import (
	"io"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/errs"
)

var (
	testKey   = []byte("key of the fleet")
	testClock = clockwork.NewRealClock()
)

// newServer returns a server that serves requests by a function.
func newServer(t *testing.T, serve func(*Conn)) *Server {
	t.Helper()
	s, err := Listen(ServerOptions{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Key: testKey, Clock: testClock, Log: zerolog.Nop(), MaxRequest: 1 << 20, Serve: serve,
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		if err := closesSoon(t, s); !errs.Is(err, net.ErrClosed) { // the test has closed it
			assert.NilError(t, err)
		}
	})
	return s
}

func newClient(t *testing.T, key []byte) *Client {
	t.Helper()
	c := NewClient(Options{Key: key, Clock: testClock})
	t.Cleanup(func() { assert.NilError(t, closesSoon(t, c)) })
	return c
}

// closesSoon closes something that may not take longer than a handshake does.
func closesSoon(t *testing.T, c io.Closer) error {
	t.Helper()
	done := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		done <- c.Close()
		return nil
	})
	select {
	case err := <-done:
		return err
	case <-time.After(handshakeTimeout + time.Second):
		stacks := make([]byte, 1<<20)
		t.Fatalf("close hangs\n%s", stacks[:runtime.Stack(stacks, true)])
		return nil
	}
}

// connected hands an empty request over once there is a connection.
func connected(t *testing.T, c *Client, to netip.AddrPort) {
	t.Helper()
	for range 400 {
		if s, err := c.Open(to, 0, nil); err == nil {
			assert.NilError(t, s.Close())
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("no connection")
}

// silent is a router that accepts connections; peer handles each.
func silent(t *testing.T, peer func(net.Conn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			t.Cleanup(func() { c.Close() })
			group.Go(func() error {
				peer(c)
				return nil
			})
		}
	})
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// assertQuick hands requests over and checks that none waits, whether they are sent or not.
func assertQuick(t *testing.T, c *Client, to netip.AddrPort, requests int) (sent int) {
	t.Helper()
	for range requests {
		began := time.Now()
		s, err := c.Open(to, 0, make([]byte, 4000))
		if took := time.Since(began); took > openWait+100*time.Millisecond {
			t.Fatalf("handing over blocked for %v", took)
		}
		if err == nil {
			sent++
			t.Cleanup(func() { s.Close() })
		}
	}
	return sent
}
