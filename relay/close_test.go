package relay

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBrokenStreamsLackTheirEndIfConnectionsAreNotKept has callers whose connection ends with the response:
// what breaks is sent in chunks without the last one.
func TestBrokenStreamsLackTheirEndIfConnectionsAreNotKept(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		if strings.HasPrefix(string(a.header.RequestURI()), "/once/") {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", a.id(), seal, 2*maxBufferedResponse, strings.Repeat("x", 2*maxBufferedResponse))
			return false
		}
		beginStream(a, c)
		event(c, 1)
		return false
	})
	s := newTestServer(t, f)
	for _, head := range []string{"HTTP/1.0\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n", "HTTP/1.1\r\nConnection: close\r\n"} {
		for _, path := range []string{"/model/", "/once/"} {
			c := s.dial(t)
			fmt.Fprintf(c, "POST %s %sHost: h\r\nRequest-Id: r\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\nb", path, head, customerKey)
			res := c.read()
			assert.Equal(t, res.header.StatusCode(), 200)
			assert.Assert(t, len(res.body) > 0)
			assert.ErrorIs(t, res.err, io.ErrUnexpectedEOF, "%q %s", head, path)
		}
	}
}
