package relay

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/quarantine"
)

// newCrashingTarget returns a target that responds to all requests except those with a given
// body, which end it.
func newCrashingTarget(t *testing.T, id, body string) *fakeTarget {
	var f *fakeTarget
	f = newTarget(t, id, func(a *arrival, c net.Conn) bool {
		if string(a.body) == body {
			f.listener.Close()
			return false
		}
		return respond(c, 200, a.id(), "answer", seal, jsonType)
	})
	return f
}

// TestRequestUnderWhichTargetsEndedIsRefused sends a request that ends its targets ten times,
// with ten IDs. Without a limit it reached 10 targets, and 20 on repeatable routes. Two may end
// under it, within one attempt or two; then it is refused at once as not run, without a
// Retry-After. A request that is resumed at a second target and ends that one too may have run.
func TestRequestUnderWhichTargetsEndedIsRefused(t *testing.T) {
	for _, path := range []string{"/once/", "/repeat/", "/model/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			var targets []*fakeTarget
			for i := range 6 {
				targets = append(targets, newCrashingTarget(t, fmt.Sprint("t", i), "ends"))
			}
			s := newTestServer(t, targets...)
			reached := func() (n int) {
				for _, f := range targets {
					n += len(f.received())
				}
				return n
			}
			for i := range 10 {
				before := reached()
				res := s.do(t, "POST", path, fmt.Sprint("r", i), "ends")
				if reached() > before {
					assert.Equal(t, res.header.StatusCode(), 502)
					continue
				}
				assert.Equal(t, res.header.StatusCode(), 503)
				assert.Equal(t, res.body, reasonEndsTargets+"\n")
				assert.Equal(t, len(res.header.Peek("Retry-After")), 0)
			}
			assert.Equal(t, reached(), 2)
			res := s.do(t, "POST", path, "other", "fine")
			assert.NilError(t, res.err)
			assert.Equal(t, res.header.StatusCode(), 200)
			assert.Equal(t, s.do(t, "POST", path+"x", "elsewhere", "ends").header.StatusCode(), 502, "another path is another request")
		})
	}
}

// TestRetryWaitsForOtherLossesOfTheSameRequest has two requests for the same content end their targets, one
// somewhat later, while others are free.
func TestRetryWaitsForOtherLossesOfTheSameRequest(t *testing.T) {
	var arrivals, ended atomic.Int32
	both := make(chan struct{})
	var targets []*fakeTarget
	for i := range 6 {
		targets = append(targets, newTarget(t, fmt.Sprint("t", i), func(a *arrival, c net.Conn) bool {
			n := arrivals.Add(1)
			if n == 2 {
				close(both)
			}
			<-both
			if n == 2 {
				time.Sleep(lossProbe / 3)
			}
			ended.Add(1)
			return false
		}))
	}
	s := newTestServer(t, targets...)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.do(t, "POST", "/repeat/", "r1", "ends")
	}()
	s.do(t, "POST", "/repeat/", "r2", "ends")
	<-done
	assert.Equal(t, ended.Load(), int32(2))
}

// TestWaitingRequestIsRefusedOnceItIsBarred has targets end under the same request elsewhere while it waits for a
// place.
func TestWaitingRequestIsRefusedOnceItIsBarred(t *testing.T) {
	target := newTarget(t, "a", streamed)
	s := newWaitServer(t, target)
	c := s.waitFor(t)
	content := &quarantine.Content{Customer: customerName, Method: []byte("POST"), Host: []byte("h"), URI: []byte("/model/"), Body: []byte("b")}
	for n := range quarantine.IncarnationHash(2) {
		s.options.Quarantine.RecordLoss(content, n, quarantine.NotBegun)
	}
	s.drainTargets()
	s.grant(0)
	res := c.read()
	assert.Equal(t, res.header.StatusCode(), 503)
	assert.Equal(t, res.body, reasonEndsTargets+"\n")
	assert.Equal(t, len(target.received()), 0)
}

// TestRunThatGoesOnAtItsBackupClearsNothing has a request end each target that begins it, while backups finish what
// they hold of it.
func TestRunThatGoesOnAtItsBackupClearsNothing(t *testing.T) {
	var began, continued atomic.Int32
	var targets []*fakeTarget
	for i := range 8 {
		var f *fakeTarget
		f = newTarget(t, fmt.Sprint("t", i), func(a *arrival, c net.Conn) bool {
			if len(a.header.Peek("Kv-From")) > 0 {
				continued.Add(1)
				return goOn(a, c)
			}
			began.Add(1)
			f.listener.Close()
			return false
		})
		targets = append(targets, f)
	}
	s := newTestServer(t, targets...)
	s.withBackups(t)
	for i := range 6 {
		s.do(t, "POST", "/model/", fmt.Sprint("r", i), "ends", backupHeaders...)
	}
	assert.Assert(t, continued.Load() > 0)
	assert.Equal(t, began.Load(), int32(2))
}

// promptHeader returns the header with the parts of a prompt; the last one belongs to the request.
func promptHeader(parts ...string) string {
	return "Prompt-Prefix: " + strings.Join(parts, ":10,") + ":10"
}

// TestPartUnderWhichTargetsEndedIsRefused sends different requests that share a part of their prompts
// which ends the targets, and sound ones that share the part before it.
func TestPartUnderWhichTargetsEndedIsRefused(t *testing.T) {
	var targets []*fakeTarget
	for i := range 8 {
		var f *fakeTarget
		f = newTarget(t, fmt.Sprint("t", i), func(a *arrival, c net.Conn) bool {
			if strings.Contains(string(a.header.Peek("Prompt-Prefix")), "bad") {
				f.listener.Close()
				return false
			}
			beginStream(a, c)
			event(c, 1)
			return endStream(c)
		})
		targets = append(targets, f)
	}
	s := newTestServer(t, targets...)
	var last *result
	for i := range 10 {
		assert.Equal(t, s.do(t, "POST", "/model/", fmt.Sprint("sound", i), "x", promptHeader("first", fmt.Sprint("sound", i))).header.StatusCode(), 200)
		last = s.do(t, "POST", "/model/", fmt.Sprint("r", i), fmt.Sprint("body", i), promptHeader("first", "bad", fmt.Sprint("r", i)))
		time.Sleep(110 * time.Millisecond) // so that ends count one by one
	}
	ended := 0
	for _, f := range targets {
		if _, err := net.Dial("tcp", f.listener.Addr().String()); err != nil {
			ended++
		}
	}
	assert.Equal(t, ended, 3)
	assert.Equal(t, last.header.StatusCode(), 503)
	assert.Equal(t, last.body, reasonEndsTargets+"\n")
	assert.Equal(t, len(last.header.Peek("Retry-After")), 0)
}

// TestErrorResponseDoesNotClearRequest has one of the targets fail without running what it gets.
func TestErrorResponseDoesNotClearRequest(t *testing.T) {
	targets := []*fakeTarget{newTarget(t, "failing", func(a *arrival, c net.Conn) bool { return respond(c, 500, a.id(), "bad", seal) })}
	for i := range 6 {
		targets = append(targets, newCrashingTarget(t, fmt.Sprint("t", i), "ends"))
	}
	s := newTestServer(t, targets...)
	ended := 0
	for i := range 40 {
		if res := s.do(t, "POST", "/once/", fmt.Sprint("r", i), "ends"); res.header.StatusCode() == 502 {
			ended++
		}
	}
	assert.Equal(t, ended, 2)
}

// TestTargetsThatLoseResponsesDoNotBarParts has engines break connections to different requests that share
// a part, and go on running.
func TestTargetsThatLoseResponsesDoNotBarParts(t *testing.T) {
	var targets []*fakeTarget
	for i := range 4 {
		targets = append(targets, newTarget(t, fmt.Sprint("t", i), func(a *arrival, c net.Conn) bool {
			if string(a.body) != "sound" {
				return false
			}
			beginStream(a, c)
			event(c, 1)
			return endStream(c)
		}))
	}
	s := newTestServer(t, targets...)
	for i := range 8 {
		s.do(t, "POST", "/model/", fmt.Sprint("r", i), fmt.Sprint("body", i), promptHeader("shared", "own"))
		time.Sleep(110 * time.Millisecond)
	}
	assert.Equal(t, s.do(t, "POST", "/model/", "r", "sound", promptHeader("shared", "own")).header.StatusCode(), 200)
}

// TestPlainTargetsThatEndDoNotBarParts has plain services end under calls that name the parts of a prompt:
// nothing would clear them there.
func TestPlainTargetsThatEndDoNotBarParts(t *testing.T) {
	var targets []*fakeTarget
	for i := range 4 {
		targets = append(targets, newTarget(t, fmt.Sprint("t", i), func(a *arrival, c net.Conn) bool {
			return string(a.body) == "sound" && respondOK(a, c)
		}))
	}
	s := newTestServer(t, targets...)
	for i := range 4 {
		s.do(t, "POST", "/once/", fmt.Sprint("r", i), fmt.Sprint("body", i), promptHeader("shared", "own"))
		time.Sleep(110 * time.Millisecond)
	}
	assert.Equal(t, s.do(t, "POST", "/once/", "r", "sound", promptHeader("shared", "own")).header.StatusCode(), 200)
}

// TestInvalidResponsesDoNotBarRequests has targets send responses that cannot be parsed, or
// that belong to another request: that is no evidence about the request.
func TestInvalidResponsesDoNotBarRequests(t *testing.T) {
	spoils := map[string]func(*arrival, net.Conn) bool{
		"not an answer":      func(_ *arrival, c net.Conn) bool { fmt.Fprint(c, "rubbish\r\n\r\n"); return false },
		"another's answer":   func(_ *arrival, c net.Conn) bool { return respond(c, 200, "other", "x", seal) },
		"failure of its own": func(a *arrival, c net.Conn) bool { return respond(c, 500, a.id(), "bad", seal) },
		"refusal":            func(a *arrival, c net.Conn) bool { return respond(c, 503, a.id(), "", "Not-Executed: 1") },
	}
	for name, serve := range spoils {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, newTarget(t, "t1", serve), newTarget(t, "t2", serve), newTarget(t, "t3", serve))
			for i := range 10 {
				s.do(t, "POST", "/repeat/", fmt.Sprint("r", i), "b")
			}
			suspected, barred := s.options.Quarantine.Counts()
			assert.Equal(t, suspected+barred, 0)
		})
	}
}

// TestRequestThatIsAnsweredIsNotBarred has each second target begin to end under a request that
// many callers send, while the others continue to respond to it.
func TestRequestThatIsAnsweredIsNotBarred(t *testing.T) {
	var bad atomic.Bool
	serve := func(a *arrival, c net.Conn) bool { return !bad.Load() && respondOK(a, c) }
	var targets []*fakeTarget
	for i := range 4 {
		targets = append(targets, newTarget(t, fmt.Sprint("good", i), respondOK), newTarget(t, fmt.Sprint("bad", i), serve))
	}
	s := newTestServer(t, targets...)
	assert.Equal(t, s.do(t, "POST", "/repeat/", "first", "popular").header.StatusCode(), 200)
	bad.Store(true)
	answered := 0
	for i := range 60 {
		if s.do(t, "POST", "/repeat/", fmt.Sprint("r", i), "popular").header.StatusCode() == 200 {
			answered++
		}
	}
	assert.Assert(t, answered >= 55, "%d of 60 answered", answered)
}
