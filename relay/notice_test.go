package relay

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/place"
)

const drainingHeader = "Server-Leaving: 1"

// TestDrainingNoticeIsReadFromEveryResponse has one of two targets announce that it is
// draining, in each kind of response; no request after that one may reach it.
func TestDrainingNoticeIsReadFromEveryResponse(t *testing.T) {
	tests := []struct {
		name, path string
		serve      func(*arrival, net.Conn) bool
	}{
		{"whole", "/once/", func(a *arrival, c net.Conn) bool { return respond(c, 200, a.id(), "x", seal, drainingHeader) }},
		{"not found", "/once/", func(a *arrival, c net.Conn) bool { return respond(c, 404, a.id(), "x", seal, drainingHeader) }},
		{"fault", "/repeat/", func(a *arrival, c net.Conn) bool { return respond(c, 500, a.id(), "x", seal, drainingHeader) }},
		{"refusal", "/once/", func(a *arrival, c net.Conn) bool {
			return respond(c, 503, a.id(), "", "Not-Executed: 1", drainingHeader)
		}},
		{"refusal without an id", "/once/", func(_ *arrival, c net.Conn) bool { return respond(c, 503, "", "", "Not-Executed: 1", drainingHeader) }},
		{"no promise", "/once/", func(a *arrival, c net.Conn) bool { return respond(c, 503, a.id(), "", drainingHeader) }},
		{"unsigned", "/once/", func(a *arrival, c net.Conn) bool { return respond(c, 200, a.id(), "x", drainingHeader) }},
		{"cut body", "/once/", func(a *arrival, c net.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n%s\r\nContent-Length: 9\r\n\r\nx", a.id(), seal, drainingHeader)
			return false
		}},
		{"stream", "/model/", func(a *arrival, c net.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n", a.id(), seal, drainingHeader)
			event(c, 1)
			return endStream(c)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			leaving := newTarget(t, "t1", tc.serve)
			other := newTarget(t, "t2", func(a *arrival, c net.Conn) bool {
				if tc.path != "/model/" {
					return respondOK(a, c)
				}
				beginStream(a, c)
				event(c, 1)
				return endStream(c)
			})
			s := newTestServer(t, leaving, other)
			for i := 0; len(leaving.received()) == 0; i++ {
				assert.Assert(t, i < 200, "the target is not used")
				s.do(t, "POST", tc.path, fmt.Sprint("first", i), "b", fmt.Sprintf("Prompt-Prefix: p%d:100,o:10", i))
			}
			for i := range 40 {
				res := s.do(t, "POST", tc.path, fmt.Sprint("r", i), "b", fmt.Sprintf("Prompt-Prefix: q%d:100,o:10", i))
				assert.Equal(t, res.header.StatusCode(), 200, "%s", res.body)
			}
			assert.Equal(t, len(leaving.received()), 1)
		})
	}
}

// TestNoticeOfAnotherIncarnationIsIgnored has another incarnation respond at the address of a
// target, and a response to an unknown request arrive on a new connection.
func TestNoticeOfAnotherIncarnationIsIgnored(t *testing.T) {
	for name, strange := range map[string]func(net.Conn) bool{
		"another run":     func(c net.Conn) bool { return respond(c, 421, "", "", drainingHeader) },
		"another request": func(c net.Conn) bool { return respond(c, 200, "other", "x", seal, drainingHeader) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newTarget(t, "t1", func(_ *arrival, c net.Conn) bool { return strange(c) })
			s := newTestServer(t, f)
			s.do(t, "POST", "/once/", "r", "b")
			assert.Equal(t, len(s.options.Placer.AnnouncedDraining()), 0)
		})
	}
}

// TestDrainingNoticeIsReadFromLateResponse has the response to an earlier request arrive before
// the one that is awaited.
func TestDrainingNoticeIsReadFromLateResponse(t *testing.T) {
	var n atomic.Int32
	f := newTarget(t, "t1", func(a *arrival, c net.Conn) bool {
		if n.Add(1) == 2 {
			respond(c, 200, "earlier", "x", seal, drainingHeader)
		}
		return respondOK(a, c)
	})
	s := newTestServer(t, f)
	for i := range 2 {
		assert.Equal(t, s.do(t, "POST", "/once/", fmt.Sprint("r", i), "b").header.StatusCode(), 200)
	}
	assert.Equal(t, len(s.options.Placer.AnnouncedDraining()), 1)
	assert.Equal(t, s.do(t, "POST", "/once/", "r3", "b").header.StatusCode(), 503)
}

// TestRequestPlacedBeforeDrainingNoticeIsNotSent has a target announce that it is draining
// while the router connects to it.
func TestRequestPlacedBeforeDrainingNoticeIsNotSent(t *testing.T) {
	assertNothingSentAfter(t, func(s *testServer, to netip.AddrPort) {
		for _, target := range s.targets {
			if target.Address == to {
				s.options.Placer.MarkDraining(place.HashOf(target.Incarnation()))
			}
		}
	})
}

// TestTargetInBackoffGetsNoRequests has one target refuse a request and request a backoff: the
// request and all later ones are sent to the other target. When both request a backoff, callers
// get a Retry-After at once.
func TestTargetInBackoffGetsNoRequests(t *testing.T) {
	var all atomic.Bool
	wants := func(a *arrival, c net.Conn) bool {
		return respond(c, 503, a.id(), "", "Not-Executed: 1", "Retry-After: 2.5")
	}
	busy := newTarget(t, "t1", wants)
	other := newTarget(t, "t2", func(a *arrival, c net.Conn) bool {
		if all.Load() {
			return wants(a, c)
		}
		return respondOK(a, c)
	})
	s := newTestServer(t, busy, other)
	for i := range 40 {
		assert.Equal(t, s.do(t, "POST", "/once/", fmt.Sprint("r", i), "b").header.StatusCode(), 200)
	}
	assert.Equal(t, len(busy.received()), 1)
	all.Store(true)
	for i := range 3 {
		before := len(other.received())
		res := s.do(t, "POST", "/once/", fmt.Sprint("s", i), "b")
		assert.Equal(t, res.header.StatusCode(), 503)
		told, err := strconv.ParseFloat(string(res.header.Peek("Retry-After")), 64)
		assert.NilError(t, err)
		assert.Assert(t, told > 1 && told < 3.5, told)
		assert.Equal(t, len(other.received())-before, map[bool]int{true: 1}[i == 0])
	}
}
