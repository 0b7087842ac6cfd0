package relay

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/route"
)

func TestRequestReachesTheTargetUnchanged(t *testing.T) {
	f := newTarget(t, "t", respondOK)
	s := newTestServer(t, f)
	res := s.do(t, "POST", "/once/a%2Fb?x=1&y=%20", "r1", "the body",
		"Tenant: forged", "Expect-Instance: forged", "X-Own: kept", "Connection: X-Hop", "X-Hop: dropped")
	assert.NilError(t, res.err)
	assert.Equal(t, res.header.StatusCode(), 200)
	assert.Equal(t, res.body, "answer")
	assert.Equal(t, string(res.header.Peek("Response-Seal")), "s")
	a := f.received()[0]
	assert.Equal(t, string(a.header.Method()), "POST")
	assert.Equal(t, string(a.header.RequestURI()), "/once/a%2Fb?x=1&y=%20")
	assert.Equal(t, string(a.body), "the body")
	assert.Equal(t, string(a.header.Peek("X-Own")), "kept")
	assert.Equal(t, string(a.header.Peek("Tenant")), customerName)
	assert.Equal(t, string(a.header.Peek("Expect-Instance")), "t-plain")
	for _, name := range []string{"Authorization", "X-Hop"} {
		assert.Equal(t, len(a.header.Peek(name)), 0, name)
	}
	left := string(a.header.Peek("Request-Deadline"))
	assert.Assert(t, left <= "1500" && left > "1400", left)
}

func TestRefusalsBeforeATarget(t *testing.T) {
	s := newTestServer(t, newTarget(t, "t", respondOK))
	tests := []struct {
		name, path, key string
		fresh           bool
		status          int
	}{
		{"unknown route", "/none/", customerKey, true, 404},
		{"unknown route, old table", "/none/", customerKey, false, 503},
		{"wrong key", "/once/", "wrong", true, 401},
		{"wrong key, old table", "/once/", "wrong", false, 503},
		{"wrong key, public", "/public/", "wrong", true, 200},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s.mu.Lock()
			s.fresh = tc.fresh
			s.mu.Unlock()
			c := s.dial(t)
			fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nAuthorization: Bearer %s\r\n\r\n", tc.path, tc.key)
			assert.Equal(t, c.read().header.StatusCode(), tc.status)
		})
	}
	s.set(nil)
	res := s.do(t, "GET", "/once/", "r", "")
	assert.Equal(t, res.header.StatusCode(), 503)
	assert.Assert(t, len(res.header.Peek("Retry-After")) > 0)
}

func TestRequestNotRunIsRetriedAtAnotherTarget(t *testing.T) {
	var calls atomic.Int32
	serve := func(a *arrival, c net.Conn) bool {
		if calls.Add(1) == 1 {
			return respond(c, 503, a.id(), "full", "Not-Executed: 1")
		}
		return respondOK(a, c)
	}
	s := newTestServer(t, newTarget(t, "t1", serve), newTarget(t, "t2", serve))
	assert.Equal(t, s.do(t, "POST", "/once/", "r", "b").header.StatusCode(), 200)
	assert.Equal(t, calls.Load(), int32(2))
}

// TestReplacedTargetGetsNoMoreRequests has another incarnation of a target respond at its
// address. The request is sent to another target although its route allows one attempt, and
// later ones are not sent to that address again.
func TestReplacedTargetGetsNoMoreRequests(t *testing.T) {
	replaced := newTarget(t, "t1", func(_ *arrival, c net.Conn) bool { return respond(c, 421, "", "") })
	s := newTestServer(t, replaced, newTarget(t, "t2", respondOK))
	one := testSpec()
	for _, r := range one.Routes {
		r.MaxAttempts = 1
	}
	s.set(newTable(t, one))
	for i := range 20 {
		assert.Equal(t, s.do(t, "POST", "/once/", fmt.Sprint("r", i), "b").header.StatusCode(), 200)
	}
	assert.Assert(t, len(replaced.received()) <= 1, "%d requests", len(replaced.received()))
}

// TestStatusOfFailedRequests checks which status the caller gets for failures of targets, and
// how many targets are tried.
func TestStatusOfFailedRequests(t *testing.T) {
	tests := []struct {
		name  string
		path  string
		serve func(*arrival, net.Conn) bool
		want  int
		tries int
	}{
		{"not run by any", "/once/", func(a *arrival, c net.Conn) bool { return respond(c, 503, a.id(), "", "Not-Executed: 1") }, 503, 2},
		{"other instance", "/once/", func(_ *arrival, c net.Conn) bool { return respond(c, 421, "", "") }, 503, 2},
		{"full without a promise", "/once/", func(a *arrival, c net.Conn) bool { return respond(c, 503, a.id(), "") }, 502, 1},
		{"too many without a promise", "/once/", func(a *arrival, c net.Conn) bool { return respond(c, 429, a.id(), "") }, 502, 1},
		{"unsigned", "/once/", func(a *arrival, c net.Conn) bool { return respond(c, 200, a.id(), "x") }, 502, 1},
		{"crossed", "/once/", func(_ *arrival, c net.Conn) bool { return respond(c, 200, "other", "x", seal) }, 502, 1},
		{"closed", "/once/", func(*arrival, net.Conn) bool { return false }, 502, 1},
		{"closed, repeatable", "/repeat/", func(*arrival, net.Conn) bool { return false }, 502, 2},
		{"cut body", "/once/", func(a *arrival, c net.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\nContent-Length: 50\r\n\r\nhalf", a.id(), seal)
			return false
		}, 502, 1},
		{"not an answer", "/once/", func(_ *arrival, c net.Conn) bool { fmt.Fprint(c, "rubbish\r\n\r\n"); return false }, 502, 1},
		{"own failure", "/once/", func(a *arrival, c net.Conn) bool { return respond(c, 500, a.id(), "bad", seal) }, 500, 1},
		{"own failure, repeatable", "/repeat/", func(a *arrival, c net.Conn) bool { return respond(c, 500, a.id(), "bad", seal) }, 500, 2},
		{"stream fails", "/model/", func(a *arrival, c net.Conn) bool { return respond(c, 500, a.id(), "bad", seal) }, 500, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f1, f2 := newTarget(t, "t1", tc.serve), newTarget(t, "t2", tc.serve)
			s := newTestServer(t, f1, f2)
			res := s.do(t, "POST", tc.path, "r", "b")
			assert.NilError(t, res.err)
			assert.Equal(t, res.header.StatusCode(), tc.want)
			assert.Equal(t, len(f1.received())+len(f2.received()), tc.tries)
			promise := tc.want == 503
			assert.Equal(t, len(res.header.Peek("Retry-After")) > 0, promise)
			signed := tc.want == 500
			assert.Equal(t, len(res.header.Peek("Response-Seal")) > 0, signed)
		})
	}
}

func TestRequestWithoutReachableTargetIsNotRun(t *testing.T) {
	f := newTarget(t, "t", respondOK)
	f.listener.Close()
	s := newTestServer(t, f)
	res := s.do(t, "POST", "/once/", "r", "b")
	assert.Equal(t, res.header.StatusCode(), 503)
	assert.Assert(t, len(res.header.Peek("Retry-After")) > 0)
}

func TestUnreachableTargetIsFollowedByAnother(t *testing.T) {
	dead, alive := newTarget(t, "t1", respondOK), newTarget(t, "t2", respondOK)
	dead.listener.Close()
	s := newTestServer(t, dead, alive)
	one := testSpec()
	for _, r := range one.Routes {
		r.MaxAttempts = 1
	}
	s.set(newTable(t, one))
	for range 8 {
		assert.Equal(t, s.do(t, "POST", "/once/", "r", "b").header.StatusCode(), 200)
	}
}

// TestTargetDrainingBeforeSendGetsNoRequest has the store report that a target is
// draining while the router connects to it.
func TestTargetDrainingBeforeSendGetsNoRequest(t *testing.T) {
	assertNothingSentAfter(t, (*testServer).drain)
}

// assertNothingSentAfter calls happens for the first target that a request was placed at, while
// the router connects to it, and checks that only the other target gets the request.
func assertNothingSentAfter(t *testing.T, happens func(*testServer, netip.AddrPort)) {
	t.Helper()
	targets := []*fakeTarget{newTarget(t, "t1", respondOK), newTarget(t, "t2", respondOK)}
	var s *testServer
	var first netip.AddrPort
	s = newTestServerDialling(t, func(to netip.AddrPort, _ time.Duration) (net.Conn, error) {
		if !first.IsValid() {
			first = to
			happens(s, to)
		}
		return net.Dial("tcp", to.String())
	}, targets...)
	assert.Equal(t, s.do(t, "POST", "/once/", "r", "b").header.StatusCode(), 200)
	for _, f := range targets {
		want := 1
		if f.listener.Addr().String() == first.String() {
			want = 0
		}
		assert.Equal(t, len(f.received()), want)
	}
}

func TestLateResponseToAnotherRequestIsDiscarded(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		if a.id() == "r2" {
			respond(c, 200, "r1", "late", seal)
		}
		return respond(c, 200, a.id(), "for "+a.id(), seal)
	})
	s := newTestServer(t, f)
	c := s.dial(t)
	for _, id := range []string{"r1", "r2", "r3"} {
		c.send("POST", "/repeat/", id, "b")
		assert.Equal(t, c.read().body, "for "+id)
	}
}

func TestBytesAfterResponseCloseConnection(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		// In one piece, so that both arrive together.
		fmt.Fprint(c, text(200, a.id(), "for "+a.id(), seal)+text(200, "r1", "extra", seal))
		return true
	})
	s := newTestServer(t, f)
	for _, id := range []string{"r1", "r2"} {
		assert.Equal(t, s.do(t, "POST", "/repeat/", id, "b").body, "for "+id)
	}
	eventually(t, "connections with extra bytes are closed", func() bool { return f.closedConns() >= 1 })
}

func TestResponseThatEndsWithItsConnection(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\nConnection: close\r\n\r\nuntil the end", a.id(), seal)
		if a.id() == "reset" {
			time.Sleep(50 * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	s := newTestServer(t, f)
	assert.Equal(t, s.do(t, "POST", "/once/", "whole", "b").body, "until the end")
	assert.Equal(t, s.do(t, "POST", "/once/", "reset", "b").header.StatusCode(), 502)
}

func TestResponseBeforeLongBodyIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var g errgroup.Group
	g.Go(func() error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		defer c.Close()
		respond(c, 413, "r", "too long", seal)
		time.Sleep(300 * time.Millisecond)
		return nil
	})
	f := &fakeTarget{id: "t", listener: l}
	s := newTestServer(t, f)
	res := s.do(t, "POST", "/once/", "r", strings.Repeat("x", 900_000))
	assert.Equal(t, res.header.StatusCode(), 413)
	assert.NilError(t, g.Wait())
	l.Close()
}

func TestStreamIsPassedOnEventByEvent(t *testing.T) {
	next := make(chan struct{})
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		for i := range 3 {
			event(c, i)
			<-next
		}
		return endStream(c)
	})
	s := newTestServer(t, f)
	c := s.dial(t)
	c.send("POST", "/model/", "r", "b")
	var res result
	assert.NilError(t, res.header.Read(c.r))
	assert.Equal(t, string(res.header.Peek("Response-Seal")), "s")
	body := newBody(c.r, &res.header, false)
	for i := range 3 {
		b := make([]byte, 100)
		n, err := body.Read(b)
		assert.NilError(t, err)
		assert.Equal(t, string(b[:n]), fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i))
		next <- struct{}{}
	}
	rest, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 0)
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		event(c, 0)
		return false
	})
	s := newTestServer(t, f)
	res := s.do(t, "POST", "/model/", "r", "b")
	assert.Assert(t, cmp.ErrorContains(res.err, ""))
	assert.Equal(t, len(f.received()), 1, "a stream that may not be repeated is sent once")
}

func TestResumableStreamGoesOnAtAnotherTarget(t *testing.T) {
	var calls atomic.Int32
	serve := func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		if calls.Add(1) == 1 {
			event(c, 0)
			event(c, 1)
			fmt.Fprint(c, "10\r\nid: 2\ndata: pie")
			return false
		}
		if string(a.header.Peek("Last-Event-Id")) != "1" {
			return false
		}
		event(c, 2)
		return endStream(c)
	}
	s := newTestServer(t, newTarget(t, "t1", serve), newTarget(t, "t2", serve))
	res := s.do(t, "POST", "/resume/", "r", "b")
	assert.NilError(t, res.err)
	var want strings.Builder
	for i := range 3 {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i, i)
	}
	assert.Equal(t, res.body, want.String())
	assert.Equal(t, calls.Load(), int32(2))
}

// TestErrorResponseAfterDeadlineIsPassedOn has a repeatable request fail when its time is
// already up, which once ended a router by a panic.
func TestErrorResponseAfterDeadlineIsPassedOn(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		time.Sleep(30 * time.Millisecond)
		return respond(c, 500, a.id(), "bad", seal)
	})
	s := newTestServer(t, f)
	c := s.dial(t)
	fmt.Fprintf(c, "GET /repeat/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nRequest-Deadline: 20\r\nAuthorization: Bearer %s\r\n\r\n", customerKey)
	status := c.read().header.StatusCode()
	assert.Assert(t, status == 500 || status == 504, status)
	assert.Equal(t, s.do(t, "GET", "/public/", "r2", "").header.StatusCode(), 500, "the server still serves")
}

func TestClosedCallerEndsItsRequest(t *testing.T) {
	for _, path := range []string{"/once/", "/model/"} {
		t.Run(path, func(t *testing.T) {
			began := make(chan struct{})
			f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
				if path == "/model/" {
					beginStream(a, c)
					event(c, 0)
				}
				close(began)
				c.Read(make([]byte, 1))
				return false
			})
			s := newTestServer(t, f)
			c := s.dial(t)
			c.send("POST", path, "r", "b")
			<-began
			left := time.Now()
			c.Close()
			eventually(t, "nothing runs", func() bool { return s.Running() == 0 })
			assert.Assert(t, time.Since(left) < 500*time.Millisecond)
		})
	}
}

func TestTimeLimitIsEnforced(t *testing.T) {
	f := newTarget(t, "t", func(_ *arrival, c net.Conn) bool { c.Read(make([]byte, 1)); return false })
	s := newTestServer(t, f)
	c := s.dial(t)
	fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", customerKey)
	eventually(t, "the request runs", func() bool { return len(f.received()) == 1 })
	// A new configuration shortens the limit of the request that runs.
	short := testSpec()
	for _, r := range short.Routes {
		r.Timeout = 200 * time.Millisecond
	}
	short.Version = 2
	s.set(newTable(t, short))
	sent := time.Now()
	assert.Equal(t, c.read().header.StatusCode(), 504)
	assert.Assert(t, time.Since(sent) < 700*time.Millisecond)
}

func TestShutdownCompletesRunningRequestsAndRefusesLateStreams(t *testing.T) {
	release := make(chan struct{})
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		<-release
		return respondOK(a, c)
	})
	s := newTestServer(t, f)
	running, waiting := s.dial(t), s.dial(t)
	running.send("POST", "/once/", "r", "b")
	eventually(t, "the request runs", func() bool { return len(f.received()) == 1 })
	// A connection that is open already is still served during the stop.
	waiting.send("GET", "/none/", "r2", "")
	assert.Equal(t, waiting.read().header.StatusCode(), 404)
	var g errgroup.Group
	g.Go(s.Close)
	eventually(t, "the stop began", func() bool { return s.stopped.Load() != nil })
	waiting.send("POST", "/model/", "r3", "b")
	res := waiting.read()
	assert.Equal(t, res.header.StatusCode(), 503)
	assert.Assert(t, res.header.ConnectionClose())
	close(release)
	assert.Equal(t, running.read().body, "answer")
	assert.NilError(t, g.Wait())
}

func TestStopAcceptsWhatEndsInTime(t *testing.T) {
	s := &Server{options: Options{Limits: Limits{StopDelay: 2 * time.Second, StopTimeout: 7 * time.Second}}}
	began := time.Now()
	ends := func(f *flight) bool { return s.endsInTime(f, f.received) }
	flight := func(after time.Duration, kind route.Kind, tokens int) *flight {
		return &flight{
			server: s, received: began.Add(after), route: &route.Route{Kind: kind, Timeout: 12 * time.Second, Resumable: true},
			call: message.RequestInfo{Deadline: 10 * time.Second, MaxTokens: tokens},
		}
	}
	assert.Assert(t, ends(flight(0, route.Stream, 5000)), "no shutdown")
	s.stopped.Store(&began)
	s.pace.record(&message.RequestInfo{MaxTokens: 100}, 100*time.Millisecond)
	assert.Assert(t, ends(flight(time.Second, route.Stream, 5000)), "the balancer has not noticed the shutdown")
	assert.Assert(t, ends(flight(3*time.Second, route.Stream, 70)))
	assert.Assert(t, !ends(flight(3*time.Second, route.Stream, 90)))
	assert.Assert(t, !ends(flight(5*time.Second, route.Stream, 70)))
	assert.Assert(t, !ends(flight(3*time.Second, route.Stream, 0)), "the caller did not limit the tokens")
	assert.Assert(t, !ends(flight(3*time.Second, route.Once, 0)))
	s.pace.record(&message.RequestInfo{MaxTokens: 100}, 5*time.Second)
	assert.Assert(t, !ends(flight(3*time.Second, route.Stream, 70)), "streams are slower than that")
	short := flight(3*time.Second, route.Once, 0)
	short.call.Deadline = time.Second
	assert.Assert(t, ends(short))
	short.call.Deadline = 4 * time.Second
	assert.Assert(t, !ends(short), "the answer at its deadline would be cut")
	once := flight(3*time.Second, route.Stream, 1)
	once.route.Resumable = false
	assert.Assert(t, !ends(once), "nothing but its deadline bounds a stream that may not be repeated")
	late := flight(time.Second, route.Once, 0)
	assert.Assert(t, ends(late))
	assert.Assert(t, !s.endsInTime(late, began.Add(3*time.Second)), "its body came late")
}

func TestSilentPlainTargetIsFollowedByAnother(t *testing.T) {
	var calls atomic.Int32
	serve := func(a *arrival, c net.Conn) bool {
		if calls.Add(1) == 1 {
			c.Read(make([]byte, 1))
			return false
		}
		return respondOK(a, c)
	}
	s := newTestServer(t, newTarget(t, "t1", serve), newTarget(t, "t2", serve))
	sent := time.Now()
	assert.Equal(t, s.do(t, "POST", "/repeat/", "r", "b").body, "answer")
	assert.Assert(t, time.Since(sent) < time.Second)
	assert.Equal(t, calls.Load(), int32(2))
}

// TestClosedCallersDoNotCountAgainstTarget guards against a fault: attempts that were ended by
// the caller were counted as failures of the target.
func TestClosedCallersDoNotCountAgainstTarget(t *testing.T) {
	serve := func(a *arrival, c net.Conn) bool {
		if a.id() == "leaves" {
			c.Read(make([]byte, 1))
			return false
		}
		return respondOK(a, c)
	}
	stays, other := newTarget(t, "t1", serve), newTarget(t, "t2", serve)
	s := newTestServer(t, stays, other)
	for range 6 {
		before := len(stays.received()) + len(other.received())
		c := s.dial(t)
		c.send("POST", "/once/", "leaves", "b")
		eventually(t, "the request runs", func() bool { return len(stays.received())+len(other.received()) > before })
		c.Close()
		eventually(t, "nothing runs", func() bool { return s.Running() == 0 })
	}
	used := len(stays.received())
	const asked = 40
	for range asked {
		assert.Equal(t, s.do(t, "POST", "/once/", "stays", "b").header.StatusCode(), 200)
	}
	got := len(stays.received()) - used
	assert.Assert(t, got > 0 && got < asked, "both targets are used: %d of %d", got, asked)
}

func TestOutcomesAreCountedSeparately(t *testing.T) {
	for status, want := range map[int]metric.Counter{
		502: metric.RequestsUnknown, 504: metric.RequestsUnknown, 429: metric.RequestsNotRun, 503: metric.RequestsNotRun, 404: metric.RequestsNotRun,
	} {
		assert.Equal(t, (&refusal{status: status}).counter(), want)
	}
}

// TestRequestWhoseTimeIsUpIsNotSent has the router stop while it connects, as it does when its
// host is suspended: no timer fired, and the caller has given up.
func TestRequestWhoseTimeIsUpIsNotSent(t *testing.T) {
	f := newTarget(t, "t", respondOK)
	s := newTestServerDialling(t, func(to netip.AddrPort, _ time.Duration) (net.Conn, error) {
		time.Sleep(40 * time.Millisecond)
		return net.Dial("tcp", to.String())
	}, f)
	c := s.dial(t)
	fmt.Fprintf(c, "GET /repeat/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nRequest-Deadline: 20\r\nAuthorization: Bearer %s\r\n\r\n", customerKey)
	assert.Equal(t, c.read().header.StatusCode(), 503)
	assert.Equal(t, len(f.received()), 0)
}

// TestStreamWithoutEventIsAnswered has a target break the connection after the head of a stream, or be silent
// then. The caller has got nothing, and its connection can be used on.
func TestStreamWithoutEventIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent bool
		status int
	}{
		{"broken", false, 502},
		{"silent", true, 504},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t, newTarget(t, "t", func(a *arrival, conn net.Conn) bool {
				if a.id() == "whole" {
					beginStream(a, conn)
					event(conn, 1)
					return endStream(conn)
				}
				beginStream(a, conn)
				return c.silent
			}))
			caller := s.dial(t)
			caller.send("POST", "/model/", "r", "x")
			res := caller.read()
			assert.NilError(t, res.err)
			assert.Equal(t, res.header.StatusCode(), c.status)
			assert.Equal(t, len(res.header.Peek("Response-Seal")), 0)
			caller.send("POST", "/model/", "whole", "y")
			res = caller.read()
			assert.NilError(t, res.err)
			assert.Equal(t, res.header.StatusCode(), 200)
			eventually(t, "nothing runs any more", func() bool { return s.Running() == 0 })
		})
	}
}
