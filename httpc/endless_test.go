package httpc

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// newEndlessServer returns the address of a server that responds to each request with a head and then with
// a part without end, and counts the bytes and open connections.
func newEndlessServer(t *testing.T, head, part string, pause time.Duration) (addr net.Addr, sent, open *atomic.Int64) {
	sent, open = new(atomic.Int64), new(atomic.Int64)
	if pause == 0 {
		part = strings.Repeat(part, max(1, 4096/len(part)))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group errgroup.Group
	serve := func(c net.Conn) {
		defer open.Add(-1)
		defer c.Close()
		var h fasthttp.RequestHeader
		if h.Read(bufio.NewReader(c)) != nil {
			return
		}
		for next := head; ; next = part {
			n, err := io.WriteString(c, next)
			sent.Add(int64(n))
			if err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			open.Add(1)
			group.Go(func() error { serve(c); return nil })
		}
	})
	t.Cleanup(func() { l.Close(); group.Wait() })
	return l.Addr(), sent, open
}

// TestEndlessResponseIsGivenUp has a server send without end. The call fails and its connection is closed,
// before the deadline unless the bytes come slowly.
func TestEndlessResponseIsGivenUp(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
		slowly  = 5 * time.Millisecond
		// maxFlood is mostly what the buffers of sockets hold.
		maxFlood = 16 << 20
	)
	for _, shape := range []struct {
		name, head, part string
		pause            time.Duration
	}{
		{"line of a head", ok + "X: ", "x", 0},
		{"lines of a head", ok, "X: y\r\n", 0},
		{"empty lines", "", "\r\n", 0},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 0},
		{"body without framing", ok + "\r\n", "x", 0},
		{"body in chunks", chunked, "1\r\nx\r\n", 0},
		{"body with a length", ok + "Content-Length: 1000000000000\r\n\r\n", "x", 0},
		{"chunk extension", chunked + "1;", "x", 0},
		{"chunk extensions", chunked, "1;" + strings.Repeat("x", 4000) + "\r\nx\r\n", 0},
		{"chunk size", chunked, "0", 0},
		{"trailer", chunked + "1\r\nx\r\n0\r\n", "X: y\r\n", 0},
		{"slow line of a head", ok + "X: ", "x", slowly},
		{"slow body", chunked, "1\r\nx\r\n", slowly},
		{"slow trailer", chunked + "1\r\nx\r\n0\r\n", "X: y\r\n", slowly},
	} {
		t.Run(shape.name, func(t *testing.T) {
			t.Parallel()
			addr, sent, open := newEndlessServer(t, shape.head, shape.part, shape.pause)
			c := New(addr.(*net.TCPAddr).AddrPort(), Limits{Conns: 1, Body: 64 << 10, Idle: time.Minute})
			defer c.CloseIdleConnections()
			var req fasthttp.Request
			var resp fasthttp.Response
			req.SetRequestURI(fmt.Sprint("http://", addr))
			limit := 2 * time.Second
			began := time.Now()
			assert.Assert(t, c.DoDeadline(&req, &resp, began.Add(limit)) != nil)
			if shape.pause == 0 {
				limit /= 2
			}
			assert.Assert(t, time.Since(began) < limit+limit/4, time.Since(began))
			for range 100 {
				if open.Load() == 0 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			assert.Equal(t, open.Load(), int64(0))
			assert.Assert(t, sent.Load() < maxFlood, "%d bytes", sent.Load())
		})
	}
}
