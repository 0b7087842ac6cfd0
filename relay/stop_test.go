package relay

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// beginStop begins a graceful shutdown that takes a time at most. The function waits for its end.
func (s *testServer) beginStop(t *testing.T, timeout time.Duration) (await func()) {
	t.Helper()
	s.options.Limits.StopTimeout = timeout
	var g errgroup.Group
	g.Go(s.Close)
	eventually(t, "the stop began", func() bool { return s.stopped.Load() != nil })
	return func() { assert.NilError(t, g.Wait()) }
}

// assertRefusedByStop checks that a request was refused as not run.
func assertRefusedByStop(t *testing.T, res *result, f *fakeTarget) {
	t.Helper()
	assert.NilError(t, res.err)
	assert.Equal(t, res.header.StatusCode(), 503)
	assert.Assert(t, len(res.header.Peek("Retry-After")) > 0)
	assert.Assert(t, res.header.ConnectionClose())
	assert.Equal(t, len(f.received()), 0)
}

// TestStopDoesNotCutStreamsThatWereExpectedToEnd has a target that is slower than the pace of earlier
// streams: late in the stop nothing is passed on that may not be repeated and whose deadline is after the end.
func TestStopDoesNotCutStreamsThatWereExpectedToEnd(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		event(c, 1)
		time.Sleep(2 * time.Second)
		event(c, 2)
		return endStream(c)
	})
	s := newTestServer(t, f)
	c := s.dial(t)
	await := s.beginStop(t, 1450*time.Millisecond)
	c.send("POST", "/model/", "r", "b", "Token-Usage: 1,1")
	assertRefusedByStop(t, c.read(), f)
	await()
}

// TestStopDoesNotPassOnRequestsWhoseBodyCameLate has a body that begins before the stop and ends in it.
func TestStopDoesNotPassOnRequestsWhoseBodyCameLate(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		time.Sleep(1200 * time.Millisecond)
		return respondOK(a, c)
	})
	s := newTestServer(t, f)
	c := s.dial(t)
	const size, first = 3 * maxBufferedBody, 2 * maxBufferedBody
	fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nRequest-Deadline: 1500\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", customerKey, size, strings.Repeat("x", first))
	eventually(t, "the body is read", func() bool { return s.Running() == 1 })
	await := s.beginStop(t, time.Second)
	fmt.Fprint(c, strings.Repeat("x", size-first))
	assertRefusedByStop(t, c.read(), f)
	await()
}

// TestStopAwaitsResponsesOfRequestsThatItCuts has a request whose target is still being connected to.
func TestStopAwaitsResponsesOfRequestsThatItCuts(t *testing.T) {
	f := newTarget(t, "t", respondOK)
	dialling := make(chan struct{}, 10)
	s := newTestServerDialling(t, func(addr netip.AddrPort, _ time.Duration) (net.Conn, error) {
		dialling <- struct{}{}
		time.Sleep(600 * time.Millisecond)
		return net.Dial("tcp", addr.String())
	}, f)
	c := s.dial(t)
	c.send("POST", "/once/", "r", "b")
	<-dialling
	s.beginStop(t, 300*time.Millisecond)()
	assert.Equal(t, s.Running(), 0)
	assertRefusedByStop(t, c.read(), f)
}

// TestResponsesWithinStopCloseConnections has a request that arrived before the stop.
func TestResponsesWithinStopCloseConnections(t *testing.T) {
	release := make(chan struct{})
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		<-release
		return respondOK(a, c)
	})
	s := newTestServer(t, f)
	c := s.dial(t)
	c.send("POST", "/once/", "r", "b")
	eventually(t, "the request runs", func() bool { return len(f.received()) == 1 })
	await := s.beginStop(t, time.Second)
	close(release)
	res := c.read()
	assert.Equal(t, res.body, "answer")
	assert.Assert(t, res.header.ConnectionClose())
	await()
}

// TestStopAnswersRequestsWhoseBodyDoesNotEnd has a caller that sends a part of a body.
func TestStopAnswersRequestsWhoseBodyDoesNotEnd(t *testing.T) {
	f := newTarget(t, "t", respondOK)
	s := newTestServer(t, f)
	c := s.dial(t)
	fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nRequest-Deadline: 1500\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", customerKey, 3*maxBufferedBody, strings.Repeat("x", 2*maxBufferedBody))
	eventually(t, "the body is read", func() bool { return s.Running() == 1 })
	s.beginStop(t, 200*time.Millisecond)()
	assertRefusedByStop(t, c.read(), f)
}
