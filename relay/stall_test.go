package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	largeBytes = 24 << 20
	stalled    = 40
	// passedBytes is the size of answers that are passed on within the time of a request, also
	// under the race detector.
	passedBytes = 2 << 20
)

// writeLarge writes an answer of a size and counts what it got rid of.
func writeLarge(a *arrival, c net.Conn, size int, written *atomic.Int64, chunked bool) bool {
	framing := fmt.Sprintf("Content-Length: %d", size)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n%s\r\n\r\n", a.id(), seal, framing)
	const piece = 16 << 10
	part := bytes.Repeat([]byte("x"), piece)
	if chunked {
		part = fmt.Appendf(nil, "%x\r\n%s\r\n", piece, part)
	}
	for range size / piece {
		n, err := c.Write(part)
		written.Add(int64(n))
		if err != nil {
			return false
		}
	}
	if chunked {
		return endStream(c)
	}
	return true
}

// TestLargeAnswersArePassedOnWhole passes on answers larger than what is kept, with a length
// and in chunks, twice on the same connections.
func TestLargeAnswersArePassedOnWhole(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		var written atomic.Int64
		f := newTarget(t, "t", func(a *arrival, c net.Conn) bool { return writeLarge(a, c, passedBytes, &written, chunked) })
		s := newTestServer(t, f)
		c := s.dial(t)
		for i := range 2 {
			c.send("POST", "/repeat/", fmt.Sprint("r", i), "b")
			res := c.read()
			assert.NilError(t, res.err)
			assert.Equal(t, len(res.body), passedBytes)
		}
		eventually(t, "nothing runs any more", func() bool { return s.Running() == 0 })
	}
}

// TestLargeAnswersThatBreakDoNotLookComplete has a target break off in the middle.
func TestLargeAnswersThatBreakDoNotLookComplete(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", a.id(), seal, largeBytes, strings.Repeat("x", 2*maxBufferedResponse))
		return false
	})
	s := newTestServer(t, f)
	res := s.do(t, "POST", "/repeat/", "r", "b")
	assert.Assert(t, res.err != nil)
	assert.Equal(t, len(f.received()), 1, "what was begun is not sent again")
}

// TestStalledCallersOccupyLittleMemory has callers that ask for large answers and read
// nothing: what is kept for them is bounded, and after the stall time they are cut off.
func TestStalledCallersOccupyLittleMemory(t *testing.T) {
	var written atomic.Int64
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool { return writeLarge(a, c, largeBytes, &written, false) })
	s := newTestServer(t, f)
	before := heapBytes()
	callers := make([]*caller, stalled)
	for i := range callers {
		callers[i] = s.dial(t)
		callers[i].send("POST", "/once/", fmt.Sprint("r", i), "b")
	}
	eventually(t, "all are on their way", func() bool { return len(f.received()) == stalled })
	time.Sleep(stallTime / 2)
	const most = stalled * 2 * connectionBytes // this process also has the other ends
	kept := heapBytes() - before
	assert.Assert(t, kept < most, "%d bytes are kept for %d callers", kept, stalled)
	eventually(t, "all are cut off", func() bool { return s.Running() == 0 })
	for _, c := range callers {
		n, err := io.Copy(io.Discard, c.r)
		assert.Assert(t, err != nil || n < largeBytes, "cut off, not answered")
	}
}

// TestStalledCallersAreClosedAfterDeadline has the deadline of a caller that takes nothing end
// before the stall time.
func TestStalledCallersAreClosedAfterDeadline(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		var written atomic.Int64
		return writeLarge(a, c, largeBytes, &written, false)
	})
	s := newTestServer(t, f)
	c := s.dial(t)
	fmt.Fprintf(c, "GET /once/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nRequest-Deadline: 50\r\nAuthorization: Bearer %s\r\n\r\n", customerKey)
	eventually(t, "it is on its way", func() bool { return len(f.received()) == 1 })
	eventually(t, "it is cut off", func() bool { return s.Running() == 0 })
}

// TestSlowCallersAreNotCut has a caller that reads in small steps, each well within the
// stall time, for longer than the stall time in sum.
func TestSlowCallersAreNotCut(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		var written atomic.Int64
		return writeLarge(a, c, largeBytes, &written, false)
	})
	s := newTestServer(t, f)
	c := s.dial(t)
	c.send("POST", "/once/", "r", "b")
	read := 0
	for began := time.Now(); time.Since(began) < 2*stallTime; time.Sleep(stallTime / 40) {
		n, err := io.ReadFull(c.r, make([]byte, 256<<10))
		assert.NilError(t, err)
		read += n
	}
	rest, err := io.ReadAll(io.LimitReader(c.r, largeBytes-int64(read)))
	assert.NilError(t, err)
	assert.Assert(t, read+len(rest) >= largeBytes)
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
