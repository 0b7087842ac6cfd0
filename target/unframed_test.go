package target

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// respondOnce returns the address of a service that responds with a text and closes the connection.
func respondOnce(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var g errgroup.Group
	g.Go(func() error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		c.Read(make([]byte, 4096)) //nolint:errcheck // the response is the same
		fmt.Fprint(c, text)
		return c.Close()
	})
	t.Cleanup(func() {
		l.Close()
		g.Wait() //nolint:errcheck // the test has its response
	})
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func TestUnframedResponseOfServiceIsBroken(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n"
	for _, c := range []struct {
		name, text, body string
		broken           bool
	}{
		{"neither length nor chunks", head + "\r\npart", "", true},
		{"length", head + "Content-Length: 4\r\n\r\ntext", "text", false},
		{"truncated", head + "Content-Length: 9\r\n\r\ntext", "", true},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n", "text", false},
		{"truncated chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n", "", true},
		{"no body", "HTTP/1.1 204 No Content\r\nX-Attempt-Id: a\r\n\r\n", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			cs := NewClients(nil)
			defer cs.Close()
			req, resp := new(fasthttp.Request), new(fasthttp.Response)
			req.SetRequestURI("/x")
			req.Header.SetMethod(fasthttp.MethodPost)
			fail := cs.Get(respondOnce(t, c.text)).Call(req, resp, Attempt{RequestID: "r", ID: "a", Deadline: time.Now().Add(time.Second)})
			assert.Equal(t, fail != nil, c.broken, "%v", fail)
			if !c.broken {
				assert.Equal(t, string(resp.Body()), c.body)
			} else {
				assert.Equal(t, fail.Kind, Broken)
			}
		})
	}
}
