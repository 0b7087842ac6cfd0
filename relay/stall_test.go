package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

const (
	largeBytes = 24 << 20
	stalled    = 40
	// passedBytes is the size of responses that can be passed on within the time of a request,
	// also under the race detector.
	passedBytes = 2 << 20
)

// writeLarge writes a response of a size and counts the bytes that were written.
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

// TestLargeResponsesArePassedOnComplete passes on responses larger than what is buffered, with a
// length and in chunks, twice on the same connections.
func TestLargeResponsesArePassedOnComplete(t *testing.T) {
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

// TestLargeResponsesArePassedOnSlowly has a target pause in a response of which a part was passed on, for
// longer than it may be silent before a request is repeated.
func TestLargeResponsesArePassedOnSlowly(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		whole := text(200, a.id(), strings.Repeat("x", 2*maxBufferedResponse), seal)
		fmt.Fprint(c, whole[:len(whole)-10])
		time.Sleep(900 * time.Millisecond)
		fmt.Fprint(c, whole[len(whole)-10:])
		return true
	})
	res := newTestServer(t, f).do(t, "POST", "/repeat/", "r", "x")
	assert.NilError(t, res.err)
	assert.Equal(t, len(res.body), 2*maxBufferedResponse)
}

// TestBrokenLargeResponsesDoNotLookComplete has a target close its connection in the middle.
func TestBrokenLargeResponsesDoNotLookComplete(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", a.id(), seal, largeBytes, strings.Repeat("x", 2*maxBufferedResponse))
		return false
	})
	s := newTestServer(t, f)
	res := s.do(t, "POST", "/repeat/", "r", "b")
	assert.Assert(t, res.err != nil)
	assert.Equal(t, len(f.received()), 1, "a request whose response has begun is not sent again")
}

// dialPatiently connects however long a busy machine takes, so that no request is refused for that.
func dialPatiently(addr netip.AddrPort, _ time.Duration) (net.Conn, error) {
	return net.Dial("tcp", addr.String())
}

// TestStalledCallersOccupyLittleMemory has callers that request large responses and read
// nothing: the memory for them is bounded, and after the stall time their connections are
// closed.
func TestStalledCallersOccupyLittleMemory(t *testing.T) {
	var written atomic.Int64
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool { return writeLarge(a, c, largeBytes, &written, false) })
	s := newTestServerDialling(t, dialPatiently, f)
	before := heapBytes()
	callers := make([]*caller, stalled)
	for i := range callers {
		callers[i] = s.dial(t)
		callers[i].send("POST", "/once/", fmt.Sprint("r", i), "b")
	}
	eventually(t, "all have reached the target", func() bool { return len(f.received()) == stalled })
	time.Sleep(stallTime / 2)
	const most = stalled * 2 * connectionBytes // this process also has the other ends of the connections
	kept := heapBytes() - before
	assert.Assert(t, kept < most, "%d bytes are kept for %d callers", kept, stalled)
	eventually(t, "all requests are ended", func() bool { return s.Running() == 0 })
	for _, c := range callers {
		n, err := io.Copy(io.Discard, c.r)
		assert.Assert(t, err != nil || n < largeBytes, "the connection is closed before the response is complete")
	}
}

// TestStalledCallersAreClosedAfterDeadline has a caller that reads nothing and whose deadline
// ends before the stall time.
func TestStalledCallersAreClosedAfterDeadline(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		var written atomic.Int64
		return writeLarge(a, c, largeBytes, &written, false)
	})
	s := newTestServer(t, f)
	c := s.dial(t)
	fmt.Fprintf(c, "GET /once/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nRequest-Deadline: 50\r\nAuthorization: Bearer %s\r\n\r\n", customerKey)
	eventually(t, "it has reached the target", func() bool { return len(f.received()) == 1 })
	eventually(t, "it is ended", func() bool { return s.Running() == 0 })
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

// TestDeadlineOfAResponseEndsWithIt has a caller that keeps its connection for longer than the stall time
// after a response: what the router and fasthttp respond themselves arrives, as do streams.
func TestDeadlineOfAResponseEndsWithIt(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		if strings.HasPrefix(string(a.header.RequestURI()), "/model/") {
			beginStream(a, c)
			event(c, 1)
			return endStream(c)
		}
		return respondOK(a, c)
	})
	s := newTestServer(t, f)
	for _, c := range []struct {
		path, head string
		status     int
	}{{"/none/", "", 404}, {"/model/", "", 200}, {"/once/", "", 200}, {"/once/", "Content-Length: x\r\n", 400}, {"/once/", "Expect: 100-continue\r\n", 100}} {
		caller := s.dial(t)
		caller.send("POST", "/once/", "first", "b")
		assert.Equal(t, caller.read().header.StatusCode(), 200)
		time.Sleep(stallTime + 50*time.Millisecond)
		fmt.Fprintf(caller, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nAuthorization: Bearer %s\r\n%sContent-Length: 1\r\n\r\nb", c.path, customerKey, c.head)
		var h fasthttp.ResponseHeader
		assert.NilError(t, h.Read(caller.r), "%s %s", c.path, c.head)
		assert.Equal(t, h.StatusCode(), c.status)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
