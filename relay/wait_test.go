package relay

import (
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/place"
)

// waitServer is a server at which requests wait for places that the test grants.
type waitServer struct {
	*testServer
	mu    sync.Mutex
	waits []*place.Wait
	// grants are the channels of the waits, ended what each of them ended with.
	grants []chan place.Grant
	ended  map[int]*place.Grant
	// runs keep the targets busy.
	runs []*place.Run
	// stops runs the graceful stop.
	stops errgroup.Group
}

func newWaitServer(t *testing.T, targets ...*fakeTarget) *waitServer {
	t.Helper()
	s := &waitServer{testServer: newTestServer(t, targets...), ended: make(map[int]*place.Grant)}
	s.options.Waits = Waits{Requests: 1, Begin: s.begin}
	return s
}

func (s *waitServer) begin(w *place.Wait) *Wait {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.waits)
	s.waits = append(s.waits, w)
	s.grants = append(s.grants, make(chan place.Grant, len(w.Queries)))
	return &Wait{Grants: s.grants[n], End: func(used *place.Grant) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended[n] = used
	}}
}

func (s *waitServer) began() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waits)
}

func (s *waitServer) hasEnded(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.ended[n]
	return ok
}

// fill places prompts until one is refused.
func (s *waitServer) fill(t *testing.T) {
	t.Helper()
	f := &flight{server: s.Server, route: s.table.Routes[2], service: "model", customer: customerName}
	f.call.PromptTokens = 3000
	for range 1000 {
		d := s.options.Placer.Place(f.fillRequest())
		if d.Run == nil {
			return
		}
		s.runs = append(s.runs, d.Run)
	}
	t.Fatal("never full")
}

func (f *flight) fillRequest() place.Request {
	return place.Request{Service: f.service, Customer: f.customer, Objective: f.route.Objective, Call: &f.call}
}

// drainTargets ends all that keeps the targets busy.
func (s *waitServer) drainTargets() {
	for _, r := range s.runs {
		r.End(place.Cancelled)
	}
	s.runs = nil
}

func streamed(a *arrival, c net.Conn) bool {
	beginStream(a, c)
	event(c, 1)
	return endStream(c)
}

// waitFor sends a request that waits.
func (s *waitServer) waitFor(t *testing.T) *caller {
	t.Helper()
	s.fill(t)
	c := s.dial(t)
	c.send("POST", "/model/", "r", "b")
	eventually(t, "request waits", func() bool { return s.began() == 1 })
	return c
}

func (s *waitServer) grant(n int) {
	target := s.waits[n].Queries[0].Target
	s.grants[n] <- place.Grant{Key: place.WaitKey{Number: uint64(n)}, Reply: place.Reply{Target: target}}
}

func TestWaitingRequestIsServedWhereAPlaceIsGranted(t *testing.T) {
	target := newTarget(t, "a", streamed)
	s := newWaitServer(t, target)
	c := s.waitFor(t)
	assert.Equal(t, len(target.received()), 0)
	s.drainTargets()
	s.grant(0)
	res := c.read()
	assert.Equal(t, res.header.StatusCode(), 200)
	assert.NilError(t, res.err)
	assert.Equal(t, len(target.received()), 1)
	assert.Assert(t, s.ended[0] != nil, "the other owners hear that the place is used")
}

// TestGrantOfABusyTargetIsReturned has an owner that knows less than the router.
func TestGrantOfABusyTargetIsReturned(t *testing.T) {
	s := newWaitServer(t, newTarget(t, "a", streamed))
	c := s.waitFor(t)
	s.grant(0)
	eventually(t, "request waits again", func() bool { return s.began() == 2 })
	assert.Assert(t, s.hasEnded(0) && s.ended[0] == nil)
	s.drainTargets()
	s.grant(1)
	assert.Equal(t, c.read().header.StatusCode(), 200)
}

func TestNoMoreRequestsWaitThanAllowed(t *testing.T) {
	s := newWaitServer(t, newTarget(t, "a", streamed))
	s.waitFor(t)
	res := s.do(t, "POST", "/model/", "second", "b")
	assert.Equal(t, res.header.StatusCode(), 429)
	assert.Assert(t, len(res.header.Peek("Retry-After")) > 0)
	s.drainTargets()
	close(s.grants[0])
}

// TestWaitEndsWithoutAPlace covers owners that do not keep the wait, its time, a graceful stop and the
// caller's leaving. Nothing is sent to a target.
func TestWaitEndsWithoutAPlace(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(*waitServer, *caller)
		status int
	}{
		"owners die or drop the wait": {func(s *waitServer, _ *caller) { close(s.grants[0]) }, 429},
		"time passes":                 {func(*waitServer, *caller) {}, 429},
		"router stops":                {func(s *waitServer, _ *caller) { s.stops.Go(s.Close) }, 503},
		"caller leaves":               {func(_ *waitServer, c *caller) { c.Close() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			target := newTarget(t, "a", streamed)
			s := newWaitServer(t, target)
			caller := s.waitFor(t)
			began := time.Now()
			c.end(s, caller)
			if c.status > 0 {
				assert.Equal(t, caller.read().header.StatusCode(), c.status)
			}
			eventually(t, "wait ends", func() bool { return s.hasEnded(0) && s.Running() == 0 })
			assert.Assert(t, s.ended[0] == nil)
			assert.Assert(t, time.Since(began) < s.waits[0].Left+time.Second)
			assert.Equal(t, len(target.received()), 0)
		})
	}
}

func TestRequestsThatMayNotWait(t *testing.T) {
	s := newWaitServer(t, newTarget(t, "a", streamed))
	s.fill(t)
	deadline := "Request-Deadline: 300"
	c := s.dial(t)
	c.Write([]byte("POST /model/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n" + deadline + "\r\nAuthorization: Bearer " + customerKey + "\r\nContent-Length: 1\r\n\r\nb"))
	assert.Equal(t, c.read().header.StatusCode(), 429, "no time for the answer")
	assert.Equal(t, s.began(), 0)
}
