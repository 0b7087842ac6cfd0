package relay

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// TestBrokenStreamIsNotResumedAtAnotherVersion has the target that gets a stream first break it
// off. Two homes are considered, so that a resumed stream has to find the other of its version.
func TestBrokenStreamIsNotResumedAtAnotherVersion(t *testing.T) {
	for _, versions := range [][]string{{"v1", "v2"}, {"v1", "v1", "v2", "v2"}, {"", ""}} {
		for n := range 8 {
			t.Run(fmt.Sprint(versions, n), func(t *testing.T) {
				var calls atomic.Int32
				serve := func(a *arrival, c net.Conn) bool {
					beginStream(a, c)
					if calls.Add(1) == 1 {
						event(c, 0)
						fmt.Fprint(c, "10\r\nid: 1\ndata: pie")
						return false
					}
					event(c, 1)
					return endStream(c)
				}
				var targets []*fakeTarget
				for i, v := range versions {
					f := newTarget(t, fmt.Sprint("t", i), serve)
					f.version = v
					targets = append(targets, f)
				}
				s := newTestServer(t, targets...)
				res := s.do(t, "POST", "/resume/", fmt.Sprint("r", n), "b")
				var reached []string
				for _, f := range targets {
					for range f.received() {
						reached = append(reached, f.version)
					}
				}
				if len(versions) < 4 {
					assert.Assert(t, cmp.ErrorContains(res.err, ""))
					assert.Equal(t, len(reached), 1, "reached %q", reached)
					return
				}
				assert.NilError(t, res.err)
				assert.Assert(t, strings.HasSuffix(res.body, "piece 1\n\n"))
				assert.Assert(t, len(reached) == 2 && reached[0] == reached[1], "reached %q", reached)
			})
		}
	}
}
