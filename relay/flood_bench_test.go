package relay

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

// BenchmarkRefusal has a caller connect, send a request of usual size and be refused because of
// the flood of its customer. Caller and router are one process.
func BenchmarkRefusal(b *testing.B) {
	s := newTestServer(b)
	s.options.RequestLog = zerolog.New(io.Discard)
	clock := clockwork.NewRealClock()
	s.throttle.rate, s.throttle.at = 1e-9, clock.Now()
	body := strings.Repeat("b", 17_000)
	buffer := make([]byte, 4096)
	for b.Loop() {
		c, err := net.Dial("tcp", s.Address().String())
		if err != nil {
			b.Fatal(err)
		}
		(&caller{Conn: c}).send("POST", "/model/", "r", body)
		for {
			if _, err := c.Read(buffer); err != nil {
				break
			}
		}
		c.Close() //nolint:errcheck // the answer was read
	}
}
