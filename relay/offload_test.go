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

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/offload"
)

// full is a load from which on streams are handed over.
const full = 0.9

// pair is a full router, whose target is near, that hands streams over to another one.
type pair struct {
	full    *testServer
	serving *testServer
	taker   *offload.Server
}

func fleetKey() []byte { return []byte("key of the fleet") }

// newPair returns two routers with a target each.
func newPair(t *testing.T, near, far *fakeTarget) *pair {
	t.Helper()
	p := new(pair)
	p.serving = newTestServer(t, far)
	p.taker = listenOffload(t, p.serving)
	p.full = newFull(t, near, p.taker.Address())
	return p
}

// newFull returns a full router that hands streams over to others.
func newFull(t *testing.T, near *fakeTarget, others ...netip.AddrPort) *testServer {
	t.Helper()
	clock := clockwork.NewRealClock()
	client := offload.NewClient(offload.Options{Key: fleetKey(), Clock: clock})
	var routers []offload.Router
	for _, a := range others {
		routers = append(routers, offload.Router{Name: a.String(), Peer: a})
	}
	var ready atomic.Bool
	o := Offload{
		Choose: func() []offload.Router {
			if !ready.Load() {
				return nil
			}
			return routers
		},
		Open: func(to offload.Router, age time.Duration, request []byte) (net.Conn, error) {
			return client.Open(to.Peer, age, request)
		},
	}
	t.Cleanup(func() { assert.NilError(t, client.Close()) })
	s := newTestServerOffloading(t, o, nil, near)
	s.use(t, full)
	for _, a := range others {
		eventually(t, "connected", func() bool {
			stream, err := client.Open(a, 0, nil)
			if err == nil {
				stream.Close()
			}
			return err == nil
		})
	}
	ready.Store(true)
	return s
}

func listenOffload(t *testing.T, s *testServer) *offload.Server {
	t.Helper()
	o, err := offload.Listen(offload.ServerOptions{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Key: fleetKey(), Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
		MaxRequest: 1 << 20, Serve: s.ServeOffloaded,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { o.Close() })
	return o
}

func unused(t *testing.T) *fakeTarget {
	return newTarget(t, "near", func(*arrival, net.Conn) bool {
		t.Error("the full router serves the request")
		return false
	})
}

func threeEvents(a *arrival, c net.Conn) bool {
	beginStream(a, c)
	for i := range 3 {
		event(c, i)
	}
	return endStream(c)
}

const threePieces = "id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"

// usage returns the tokens that a router counted as requested and as served.
func usage(s *testServer) (requested, served int) {
	for _, u := range s.options.Placer.Usage() {
		requested += u.Requested
		served += u.Served
	}
	return requested, served
}

func TestHandedOverStreamArrivesWholeAndCountsOnce(t *testing.T) {
	far := newTarget(t, "far", threeEvents)
	p := newPair(t, unused(t), far)
	res := p.full.do(t, "POST", "/model/x?q=1", "r", "the body", "Token-Usage: 1000,100", "X-Other: a", "X-Other: b")
	assert.NilError(t, res.err)
	assert.Equal(t, res.header.StatusCode(), 200)
	assert.Equal(t, string(res.header.Peek("Request-Id")), "r")
	assert.Equal(t, string(res.header.Peek("Connection")), "close", "the caller's connection is closed after it")
	assert.Equal(t, res.body, threePieces)
	assert.Equal(t, len(far.received()), 1)
	a := far.received()[0]
	assert.Equal(t, string(a.body), "the body")
	assert.Equal(t, string(a.header.RequestURI()), "/model/x?q=1")
	assert.Equal(t, len(a.header.PeekAll("X-Other")), 2)
	requested, _ := usage(p.full)
	assert.Equal(t, requested, 0)
	requested, _ = usage(p.serving)
	assert.Assert(t, requested > 0)
	eventually(t, "both have ended it", func() bool { return p.full.Running()+p.serving.Running() == 0 })
}

// A body in chunks, one that is waited for, and one that is large arrive; the last one is not handed
// over. A caller with HTTP 1.0 is served here.
func TestBodiesOfHandedOverStreams(t *testing.T) {
	near, far := newTarget(t, "near", threeEvents), newTarget(t, "far", threeEvents)
	p := newPair(t, near, far)
	head := fmt.Sprintf("Host: h\r\nRequest-Id: r\r\nAuthorization: Bearer %s\r\n", customerKey)
	large := strings.Repeat("b", maxBufferedBody+1)
	for _, tc := range []struct {
		name, request, body string
		target              *fakeTarget
	}{
		{"chunks", "POST /model/ HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n3\r\nend\r\n0\r\n\r\n", "bodyend", far},
		{"expect", "POST /model/ HTTP/1.1\r\n" + head + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody", "body", far},
		{"none", "GET /model/ HTTP/1.1\r\n" + head + "\r\n", "", far},
		{"large", "POST /model/ HTTP/1.1\r\n" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(large)) + large, large, near},
		{"old caller", "POST /model/ HTTP/1.0\r\n" + head + "Content-Length: 4\r\n\r\nbody", "body", near},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := len(tc.target.received())
			c := p.full.dial(t)
			fmt.Fprint(c, tc.request)
			if tc.name == "expect" {
				head := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
				_, err := io.ReadFull(c.r, head)
				assert.NilError(t, err)
				assert.Assert(t, strings.HasPrefix(string(head), "HTTP/1.1 100"))
			}
			res := c.read()
			assert.NilError(t, res.err)
			assert.Equal(t, res.header.StatusCode(), 200)
			assert.Assert(t, strings.Contains(res.body, "piece 2"))
			got := tc.target.received()
			assert.Equal(t, len(got), before+1)
			assert.Equal(t, string(got[before].body), tc.body)
		})
	}
}

func TestRouterThatIsGoneGetsNothing(t *testing.T) {
	near, far := newTarget(t, "near", threeEvents), newTarget(t, "far", threeEvents)
	p := newPair(t, near, far)
	assert.NilError(t, p.taker.Close())
	time.Sleep(20 * time.Millisecond)
	for i := range 5 {
		res := p.full.do(t, "POST", "/model/", fmt.Sprint("r", i), "b")
		assert.Equal(t, res.header.StatusCode(), 200, "served here: %s", res.body)
		assert.Equal(t, res.body, threePieces)
	}
	assert.Equal(t, len(far.received()), 0)
	assert.Equal(t, len(near.received()), 5)
}

// The serving router ends while the target runs the request: a request that may not be repeated
// gets a status that leaves open whether it ran, and runs once.
func TestServingRouterEndsBeforeTheResponse(t *testing.T) {
	far := newTarget(t, "far", func(_ *arrival, c net.Conn) bool { c.Read(make([]byte, 1)); return false })
	p := newPair(t, unused(t), far)
	c := p.full.dial(t)
	c.send("POST", "/model/", "r", "b")
	eventually(t, "it runs", func() bool { return len(far.received()) == 1 })
	assert.NilError(t, p.taker.Close())
	res := c.read()
	assert.Equal(t, res.header.StatusCode(), 502)
	assert.Equal(t, len(far.received()), 1)
	eventually(t, "both have ended it", func() bool { return p.full.Running()+p.serving.Running() == 0 })
}

// One that may be repeated is handed over once more, within the budget of retries.
func TestRepeatableRequestIsHandedOverOnceMore(t *testing.T) {
	first := newTarget(t, "first", func(_ *arrival, c net.Conn) bool { c.Read(make([]byte, 1)); return false })
	second := newTarget(t, "second", threeEvents)
	a, b := newTestServer(t, first), newTestServer(t, second)
	atA, atB := listenOffload(t, a), listenOffload(t, b)
	s := newFull(t, unused(t), atA.Address(), atB.Address())
	c := s.dial(t)
	c.send("POST", "/resume/", "r", "b")
	eventually(t, "it runs", func() bool { return len(first.received()) == 1 })
	assert.NilError(t, atA.Close())
	res := c.read()
	assert.NilError(t, res.err)
	assert.Equal(t, res.body, threePieces)
	assert.Equal(t, len(second.received()), 1)
}

func TestRepeatNeedsBudget(t *testing.T) {
	first := newTarget(t, "first", func(_ *arrival, c net.Conn) bool { c.Read(make([]byte, 1)); return false })
	a, b := newTestServer(t, first), newTestServer(t, unused(t))
	atA, atB := listenOffload(t, a), listenOffload(t, b)
	s := newFull(t, unused(t), atA.Address(), atB.Address())
	for s.options.Retries.TryWithdraw() {
	}
	c := s.dial(t)
	c.send("POST", "/resume/", "r", "b")
	eventually(t, "it runs", func() bool { return len(first.received()) == 1 })
	assert.NilError(t, atA.Close())
	assert.Equal(t, c.read().header.StatusCode(), 502)
}

// The serving router ends in the middle of a stream, which does not look complete then.
func TestServingRouterEndsWithinTheStream(t *testing.T) {
	far := newTarget(t, "far", func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		event(c, 0)
		c.Read(make([]byte, 1))
		return false
	})
	p := newPair(t, unused(t), far)
	c := p.full.dial(t)
	c.send("POST", "/resume/", "r", "b")
	_, err := c.r.Peek(1)
	assert.NilError(t, err)
	assert.NilError(t, p.taker.Close())
	res := c.read()
	assert.Assert(t, res.err != nil)
	assert.Equal(t, len(far.received()), 1)
}

// A target that breaks a stream cuts it at both routers.
func TestBrokenHandedOverStreamDoesNotLookComplete(t *testing.T) {
	far := newTarget(t, "far", func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		event(c, 0)
		return false
	})
	p := newPair(t, unused(t), far)
	res := p.full.do(t, "POST", "/model/", "r", "b")
	assert.Assert(t, res.err != nil)
}

// A caller leaves while its target is silent, and while it sends events.
func TestCallerOfHandedOverStreamLeaves(t *testing.T) {
	for name, pause := range map[string]time.Duration{"silent": time.Minute, "events": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			far := newTarget(t, "far", func(a *arrival, c net.Conn) bool {
				beginStream(a, c)
				event(c, 0)
				c.SetReadDeadline(time.Time{})
				for i := 1; ; i++ {
					c.SetReadDeadline(time.Now().Add(pause))
					if _, err := c.Read(make([]byte, 1)); err == io.EOF || !isTimeout(err) {
						return false
					}
					event(c, i)
				}
			})
			p := newPair(t, unused(t), far)
			c := p.full.dial(t)
			c.send("POST", "/model/", "r", "b")
			_, err := c.r.Peek(1)
			assert.NilError(t, err)
			left := time.Now()
			c.Close()
			eventually(t, "nothing runs", func() bool { return p.full.Running()+p.serving.Running() == 0 })
			took := time.Since(left)
			assert.Assert(t, took < 500*time.Millisecond, "%v", took)
		})
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// The refusal of the serving router reaches the caller: the request has not run.
func TestRefusalOfServingRouterIsPassedOn(t *testing.T) {
	p := newPair(t, unused(t), unused(t))
	p.serving.throttle.mu.Lock()
	p.serving.throttle.rate, p.serving.throttle.at = 1e-9, time.Now()
	p.serving.throttle.mu.Unlock()
	res := p.full.do(t, "POST", "/model/", "r", "b")
	assert.Equal(t, res.header.StatusCode(), 503)
	assert.Assert(t, len(res.header.Peek("Retry-After")) > 0)
	eventually(t, "both have ended it", func() bool { return p.full.Running()+p.serving.Running() == 0 })
}

// Two full routers that could hand over to each other: the second one serves.
func TestRequestIsHandedOverOnce(t *testing.T) {
	far := newTarget(t, "far", threeEvents)
	last := newTestServer(t, unused(t))
	second := newFull(t, far, listenOffload(t, last).Address())
	first := newFull(t, unused(t), listenOffload(t, second).Address())
	res := first.do(t, "POST", "/model/", "r", "b")
	assert.NilError(t, res.err)
	assert.Equal(t, res.body, threePieces)
	assert.Equal(t, len(far.received()), 1)
}

func TestTimeLimitOfHandedOverStream(t *testing.T) {
	far := newTarget(t, "far", func(_ *arrival, c net.Conn) bool { c.Read(make([]byte, 1)); return false })
	p := newPair(t, unused(t), far)
	c := p.full.dial(t)
	began := time.Now()
	fmt.Fprintf(c, "POST /model/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nRequest-Deadline: 300\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", customerKey)
	assert.Equal(t, c.read().header.StatusCode(), 504)
	took := time.Since(began)
	assert.Assert(t, took > 250*time.Millisecond && took < 300*time.Millisecond+handedOverGrace+2*checkInterval, "%v", took)
	eventually(t, "both have ended it", func() bool { return p.full.Running()+p.serving.Running() == 0 })
}

// What a router takes over ends within its stop limit, and what it is handed over after that was not run.
func TestStopOfServingRouter(t *testing.T) {
	far := newTarget(t, "far", func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		event(c, 0)
		time.Sleep(300 * time.Millisecond)
		event(c, 1)
		event(c, 2)
		return endStream(c)
	})
	p := newPair(t, unused(t), far)
	c := p.full.dial(t)
	c.send("POST", "/model/", "r", "b")
	_, err := c.r.Peek(1)
	assert.NilError(t, err)
	assert.NilError(t, p.serving.Close())
	res := c.read()
	assert.NilError(t, res.err)
	assert.Equal(t, res.body, threePieces)
	late := p.full.do(t, "POST", "/model/", "late", "b")
	assert.Equal(t, late.header.StatusCode(), 503)
	assert.Equal(t, len(far.received()), 1)
	began := time.Now()
	assert.NilError(t, p.taker.Close())
	assert.Assert(t, time.Since(began) < 500*time.Millisecond)
}

// The router of the caller stops: it waits for what it handed over, and cuts it at its limit.
func TestStopOfFullRouter(t *testing.T) {
	for name, pause := range map[string]time.Duration{"ends": 300 * time.Millisecond, "cut": time.Minute} {
		t.Run(name, func(t *testing.T) {
			far := newTarget(t, "far", func(a *arrival, c net.Conn) bool {
				beginStream(a, c)
				event(c, 0)
				c.SetReadDeadline(time.Now().Add(pause))
				if _, err := c.Read(make([]byte, 1)); !isTimeout(err) {
					return false
				}
				event(c, 1)
				event(c, 2)
				return endStream(c)
			})
			p := newPair(t, unused(t), far)
			c := p.full.dial(t)
			c.send("POST", "/model/", "r", "b")
			_, err := c.r.Peek(1)
			assert.NilError(t, err)
			began := time.Now()
			assert.NilError(t, p.full.Close())
			assert.Assert(t, time.Since(began) < p.full.options.Limits.StopTimeout+500*time.Millisecond)
			assert.Equal(t, p.full.Running(), 0)
			res := c.read()
			if name == "ends" {
				assert.NilError(t, res.err)
				assert.Equal(t, res.body, threePieces)
			} else {
				assert.Assert(t, res.err != nil)
			}
			eventually(t, "both have ended it", func() bool { return p.serving.Running() == 0 })
		})
	}
}

// A caller that reads nothing is left after the limit, the target is not read meanwhile, and its run ends.
func TestCallerOfHandedOverStreamReadsNothing(t *testing.T) {
	var sent atomic.Int64
	piece := strings.Repeat("x", 1000)
	far := newTarget(t, "far", func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		for {
			n, err := fmt.Fprintf(c, "%x\r\ndata: %s\n\n\r\n", len(piece)+8, piece)
			sent.Add(int64(n))
			if err != nil {
				return false
			}
		}
	})
	p := newPair(t, unused(t), far)
	c := p.full.dial(t)
	c.send("POST", "/model/", "r", "b", "Request-Deadline: 9000")
	eventually(t, "it runs", func() bool { return len(far.received()) == 1 })
	eventually(t, "it ends", func() bool { return p.full.Running()+p.serving.Running() == 0 })
	assert.Assert(t, sent.Load() < 64<<20, "%d bytes", sent.Load())
}

// A stuck connection holds up neither the check of requests nor callers of other requests.
func TestMonitorGoesOnWhileStreamsAreStuck(t *testing.T) {
	far := newTarget(t, "far", threeEvents)
	s := newFull(t, far)
	for range 20 {
		f := &flight{server: s.Server}
		assert.Assert(t, f.attachRemote(stuckConn{}))
		began := time.Now()
		f.interrupt(causeTimeUp)
		assert.Assert(t, time.Since(began) < 50*time.Millisecond)
	}
}

// stuckConn is a stream whose Close waits, as that of a stuck connection does.
type stuckConn struct{ net.Conn }

func (stuckConn) Close() error                    { time.Sleep(time.Second); return nil }
func (stuckConn) SetReadDeadline(time.Time) error { return nil }
