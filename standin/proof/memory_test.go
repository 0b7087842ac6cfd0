package proof

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/standin/fleet"
	"zinccove.example/standin/procfs"
	"zinccove.example/standin/routesite"
)

// memoryMB is the memory of the router under the flood, that of a small host.
const memoryMB = 120

// flood holds connections of callers open.
type flood struct{ conns []net.Conn }

// press opens connections that each write something and read nothing.
func (f *flood) press(r *fleet.Router, n int, text func(i int) string) {
	for i := range n {
		c, err := net.DialTimeout("tcp", r.Caller.String(), time.Second)
		if err != nil {
			continue // the router takes no more
		}
		f.conns = append(f.conns, c)
		if err := c.SetWriteDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
			continue
		}
		fmt.Fprint(c, text(i)) //nolint:errcheck // what the router does not take stays behind
	}
}

func (f *flood) close() {
	for _, c := range f.conns {
		c.Close() //nolint:errcheck // nothing is read
	}
}

// head is the head of a request with a body of so many bytes.
func head(path, id string, body int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: archive.example\r\nRequest-Id: %s\r\nRequest-Deadline: 4000\r\nAuthorization: Bearer %s\r\n"+
		"Token-Usage: 900,60\r\nPrompt-Prefix: aa:800,%s:100\r\nContent-Length: %d\r\n\r\n", path, id, routeKey, id, body)
}

// TestNoFloodTakesAllMemory presses a router of little memory with thousands of
// connections: requests of usual size, large bodies, headers without an end, and callers
// that read nothing. It must stay below its memory, and serve again afterwards.
func TestNoFloodTakesAllMemory(t *testing.T) {
	s, err := routesite.New(bin)
	assert.NilError(t, err)
	t.Cleanup(func() { s.Close() })
	s.Settings["limits"] = fmt.Sprintf("memory-mb = %d\nstop-timeout = 6s\nconnections = 3000\nbody-bytes = 8388608", memoryMB)
	for _, w := range []struct{ id, service string }{{"m1", routesite.Model}, {"p1", routesite.Plain}} {
		_, err := s.AddWorker(w.id, w.service, "dc1")
		assert.NilError(t, err)
	}
	r, err := s.StartRouter("r1", "dc1")
	assert.NilError(t, err)
	configure(t, s, routesite.Config(1, routeKey))
	awaitStatus(t, s, r, "/record/a", routeKey, 200)
	var f flood
	defer f.close()
	usual, large := strings.Repeat("b", 17_000), strings.Repeat("b", 1<<20)
	f.press(r, 1500, func(i int) string { return head("/draft/a", fmt.Sprint("u", i), len(usual)) + usual })
	f.press(r, 100, func(i int) string { return head("/draft/a", fmt.Sprint("l", i), 8<<20) + large })
	f.press(r, 1200, func(i int) string { return "POST /draft/a HTTP/1.1\r\nX: " + usual[:15_000] })
	most := 0
	for range 20 {
		used, err := procfs.Memory(r.PID())
		assert.NilError(t, err)
		most = max(most, used)
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("most memory: %d MB", most>>20)
	assert.Assert(t, !r.Ended(), r.Output())
	if !strings.Contains(os.Getenv(buildFlags), "-race") { // the detector takes several times the memory
		assert.Assert(t, most < memoryMB<<20, "%d MB of %d", most>>20, memoryMB)
	}
	f.close()
	awaitStatus(t, s, r, "/record/a", routeKey, 200)
}
