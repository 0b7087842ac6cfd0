package relay

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// BenchmarkPath passes a request on to a plain target and its response back, on connections
// that are reused. Caller, router and target are one process: 104 us for all three.
func BenchmarkPath(b *testing.B) {
	s := newTestServer(b, newTarget(b, "t", respondOK))
	s.options.RequestLog = zerolog.New(io.Discard)
	conn, err := net.Dial("tcp", s.Address().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // nothing more is sent
	c := &caller{Conn: conn, r: bufio.NewReader(conn)}
	body := strings.Repeat("b", 2_000)
	b.ReportAllocs()
	for b.Loop() {
		c.send("POST", "/repeat/", "r", body)
		if res := c.read(); res.err != nil || res.header.StatusCode() != 200 {
			b.Fatal(res.err, res.header.StatusCode())
		}
	}
}
