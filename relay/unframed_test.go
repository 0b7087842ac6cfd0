package relay

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/bootclock"
	"zinccove.example/zinccove/link"
	"zinccove.example/zinccove/quarantine"
)

// newUnframedTarget returns a target that sends a text with neither length nor chunks and closes the
// connection. If it ends, it accepts no connections any more.
func newUnframedTarget(t *testing.T, id, text string, ends bool) *fakeTarget {
	var f *fakeTarget
	f = newTarget(t, id, func(a *arrival, c net.Conn) bool {
		if ends {
			f.listener.Close()
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n\r\n%s", a.id(), seal, text)
		return false
	})
	return f
}

// unframedHead writes the head of a response with neither length nor chunks.
func unframedHead(c net.Conn, a *arrival) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n\r\n", a.id(), seal)
}

const wholeEvent = "id: 1\ndata: x\n\n"

func TestUnframedResponseOfEndedTargetIsBroken(t *testing.T) {
	for _, c := range []struct {
		name, path, text string
		ends, complete   bool
	}{
		{"stream", "/model/", wholeEvent, false, true},
		{"stream that lacks events", "/model/", wholeEvent, true, false},
		{"stream inside an event", "/model/", wholeEvent + "id: 2\nda", false, false},
		{"stream without events", "/model/", "", false, false},
		{"stream without events of an ended target", "/model/", "", true, false},
		{"call", "/once/", "answer", false, true},
		{"call of an ended target", "/once/", "answer", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t, newUnframedTarget(t, "t", c.text, c.ends))
			res := s.do(t, "POST", c.path, "r", "x", promptHeader("first", "own"))
			complete := res.err == nil && res.header.StatusCode() == 200
			assert.Equal(t, complete, c.complete, "%d %q %v", res.header.StatusCode(), res.body, res.err)
			suspected, _ := s.options.Quarantine.Counts()
			assert.Equal(t, suspected > 0, !c.complete)
		})
	}
}

// TestUnframedResponseOfEndedTargetIsRepeated has a call that may be repeated, and a stream that may be
// resumed, served by a second target.
func TestUnframedResponseOfEndedTargetIsRepeated(t *testing.T) {
	for _, path := range []string{"/repeat/", "/resume/"} {
		s := newTestServer(t, newUnframedTarget(t, "t1", "id: 1\nda", true), newUnframedTarget(t, "t2", wholeEvent, false))
		for i := range 4 {
			res := s.do(t, "POST", path, fmt.Sprint("r", i), fmt.Sprint("body", i))
			assert.NilError(t, res.err)
			assert.Equal(t, res.header.StatusCode(), 200)
			assert.Equal(t, res.body, wholeEvent)
		}
	}
}

// newLeavingTarget returns a target that says that it leaves, accepts no connections from the middle of
// its response on, and serves those that it has if it serves on.
func newLeavingTarget(t *testing.T, servesOn bool) *fakeTarget {
	var f *fakeTarget
	f = newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\nServer-Leaving: 1\r\n\r\n", a.id(), seal)
		time.Sleep(50 * time.Millisecond)
		f.listener.Close()
		fmt.Fprint(c, wholeEvent)
		if !servesOn {
			f.closeConns()
		}
		return false
	})
	return f
}

func TestUnframedResponseOfLeavingTargetIsWhole(t *testing.T) {
	for _, path := range []string{"/model/", "/once/"} {
		res := newTestServer(t, newLeavingTarget(t, true)).do(t, "POST", path, "r", "x")
		assert.NilError(t, res.err)
		assert.Equal(t, res.body, wholeEvent)
	}
}

func TestUnframedResponseOfLeavingTargetThatEndedIsBroken(t *testing.T) {
	for _, path := range []string{"/model/", "/once/"} {
		res := newTestServer(t, newLeavingTarget(t, false)).do(t, "POST", path, "r", "x")
		assert.Assert(t, res.err != nil || res.header.StatusCode() != 200, "%q looks complete", res.body)
	}
}

// TestUnframedResponseIsBrokenIfAnotherProcessResponds has a process with another ID, or with a later
// incarnation of the same one, take the place of the target.
func TestUnframedResponseIsBrokenIfAnotherProcessResponds(t *testing.T) {
	for name, instance := range map[string]string{"another": "other", "a later incarnation": ""} {
		t.Run(name, func(t *testing.T) {
			var f *fakeTarget
			f = newTarget(t, "t", func(a *arrival, c net.Conn) bool {
				unframedHead(c, a)
				time.Sleep(50 * time.Millisecond)
				fmt.Fprint(c, wholeEvent)
				f.replace(instance)
				return false
			})
			s := newTestServer(t, f)
			if instance == "" {
				s.setStarted(time.Now())
			}
			res := s.do(t, "POST", "/model/", "r", "x")
			assert.Assert(t, res.err != nil, "%q looks complete", res.body)
		})
	}
}

// takeOver has a process that responds with a text take the address of a target whose connections it
// closes.
func (f *fakeTarget) takeOver(t *testing.T, text string) {
	address := f.listener.Addr().String()
	f.listener.Close()
	f.closeConns()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(func() { l.Close() })
	f.group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			c.Read(make([]byte, 4096)) //nolint:errcheck // the response is the same
			fmt.Fprint(c, text)
		}
	})
}

// TestUnframedResponseReadLateIsBroken has the target end, and another process take its address, before
// the router reads the head of the response.
func TestUnframedResponseReadLateIsBroken(t *testing.T) {
	for _, c := range []struct {
		name, text string
		started    time.Time
	}{
		{"another target", "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", time.Time{}},
		{"a later incarnation", "HTTP/1.1 200 OK\r\nInstance-Id: t-model\r\nContent-Length: 0\r\n\r\n", time.Now()},
	} {
		t.Run(c.name, func(t *testing.T) {
			replaced := make(chan struct{})
			var dials atomic.Int32
			dial := func(to netip.AddrPort, timeout time.Duration) (net.Conn, error) {
				if dials.Add(1) == 2 {
					<-replaced
				}
				return link.DialTimeout(to.String(), timeout)
			}
			var f *fakeTarget
			f = newTarget(t, "t", func(a *arrival, conn net.Conn) bool {
				unframedHead(conn, a)
				fmt.Fprint(conn, wholeEvent)
				f.takeOver(t, c.text)
				close(replaced)
				return false
			})
			s := newTestServerDialling(t, dial, f)
			s.setStarted(c.started)
			res := s.do(t, "POST", "/model/", "r", "x")
			assert.Assert(t, res.err != nil, "%q looks complete", res.body)
		})
	}
}

// TestUnframedResponseOfBusyTargetIsWhole has a target whose pages wait for a slot.
func TestUnframedResponseOfBusyTargetIsWhole(t *testing.T) {
	for _, path := range []string{"/model/", "/once/"} {
		f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
			unframedHead(c, a)
			time.Sleep(30 * time.Millisecond)
			fmt.Fprint(c, wholeEvent)
			return false
		})
		f.pageDelay = time.Second
		res := newTestServer(t, f).do(t, "POST", path, "r", "x")
		assert.NilError(t, res.err)
		assert.Equal(t, res.body, wholeEvent)
	}
}

// TestUnframedResponseIsWholeAfterIdleConnectionsWereClosed has a target close them in the midst of a
// stream; its content must not count as one that ends targets.
func TestUnframedResponseIsWholeAfterIdleConnectionsWereClosed(t *testing.T) {
	var f *fakeTarget
	f = newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		unframedHead(c, a)
		fmt.Fprint(c, "id: 1\ndata: x\n\n")
		time.Sleep(witnessInterval + 50*time.Millisecond)
		f.closeConnsBut(c)
		fmt.Fprint(c, "id: 2\ndata: x\n\n")
		time.Sleep(50 * time.Millisecond)
		return false
	})
	s := newTestServer(t, f)
	s.setStarted(time.Now())
	res := s.do(t, "POST", "/model/", "r", "x")
	assert.NilError(t, res.err)
	suspected, _ := s.options.Quarantine.Counts()
	assert.Equal(t, suspected, 0)
}

// TestUnframedResponsesEndingAtOnceAreWhole has a target that reports when it started, whose responses
// have ended when they are read. All but the first need a witness from before the request.
func TestUnframedResponsesEndingAtOnceAreWhole(t *testing.T) {
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n\r\n%s", a.id(), seal, wholeEvent)
		return false
	})
	s := newTestServer(t, f)
	s.setStarted(time.Now())
	s.do(t, "POST", "/once/", "first", "x")
	for i := range 5 {
		res := s.do(t, "POST", "/once/", fmt.Sprint("r", i), "x")
		assert.NilError(t, res.err)
		assert.Equal(t, res.header.StatusCode(), 200)
	}
}

// TestDeadlineHoldsAfterSuspension has a target not respond on the witness, on a host that was suspended.
func TestDeadlineHoldsAfterSuspension(t *testing.T) {
	const suspended = 3 * time.Second
	monotonic := clockwork.NewRealClock()
	start := monotonic.Now()
	clock := bootclock.NewFromSources(bootclock.Sources{
		Monotonic: monotonic,
		Wall:      func(now time.Time) time.Duration { return now.Sub(start) + suspended },
		Boot:      func() (time.Duration, error) { return time.Since(start) + suspended, nil },
	})
	clock.Now()
	f := newUnframedTarget(t, "t", wholeEvent, false)
	f.pageDelay = 5 * time.Second
	s := newTestServerAt(t, clock, Offload{}, nil, f)
	began := time.Now()
	s.do(t, "POST", "/once/", "r", "x")
	assert.Assert(t, time.Since(began) < 1700*time.Millisecond, "the deadline was 1.5 s, it took %s", time.Since(began))
}

// TestUnframedResponseOfFullTargetIsWhole has a target that accepts no more connections after that for
// the response and the one that shows that it runs.
func TestUnframedResponseOfFullTargetIsWhole(t *testing.T) {
	var f *fakeTarget
	f = newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		unframedHead(c, a)
		time.Sleep(50 * time.Millisecond)
		f.refuseConns()
		fmt.Fprint(c, wholeEvent)
		return false
	})
	res := newTestServer(t, f).do(t, "POST", "/model/", "r", "x")
	assert.NilError(t, res.err)
	assert.Equal(t, res.body, wholeEvent)
}

// TestUnframedResponsesClearParts has targets end under one part while responses to prompts that share
// the other one have neither length nor chunks.
func TestUnframedResponsesClearParts(t *testing.T) {
	s := newTestServer(t, newUnframedTarget(t, "t", wholeEvent, false))
	assert.Equal(t, s.do(t, "POST", "/model/", "r", "x", promptHeader("shared", "own")).header.StatusCode(), 200)
	content := func(i int) *quarantine.Content {
		return &quarantine.Content{Customer: customerName, Service: "model", Body: fmt.Append(nil, i), Parts: []string{"shared", "bad"}}
	}
	for i := range 3 {
		s.options.Quarantine.RecordLoss(content(i), quarantine.IncarnationHash(i), quarantine.NotBegun)
		time.Sleep(110 * time.Millisecond)
	}
	a := s.options.Quarantine.Barred(content(3))
	assert.Assert(t, a != nil && a.Part == "bad")
}
