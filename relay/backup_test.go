package relay

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/request"
)

// backupHeaders are the headers of a request that ask for a prompt of a size.
var backupHeaders = []string{"Prompt-Prefix: s:800,o:200", "Token-Usage: 1000,200"}

// withBackups has the engines make backups while many runs break. A good run follows each broken one
// at its target, so that none is avoided.
func (s *testServer) withBackups(t *testing.T) {
	t.Helper()
	spec := testSpec()
	spec.Limits.TokensPerSecond = 300_000
	spec.Services[1].Engine.BackupRate = 40_000_000
	for _, r := range spec.Routes {
		r.MaxAttempts = 3
	}
	table := newTable(t, spec)
	s.set(table)
	s.options.Placer.SetTargets(s.targets, table)
	failed := make(map[string]int)
	for i := range 40 {
		call := &message.RequestInfo{ID: fmt.Sprint("before ", i/2), PromptTokens: 1, MaxTokens: 1}
		d := s.options.Placer.Place(place.Request{Service: "model", Customer: "other", Objective: time.Second, Call: call})
		assert.Assert(t, d.Run != nil, d.Reason)
		result := place.Answered
		if i%2 == 0 && failed[d.Run.Target.ID] < 2 {
			result = place.Failed
			failed[d.Run.Target.ID]++
		}
		d.Run.FirstEvent(false)
		d.Run.End(result)
	}
}

// pieces returns the events from one to before another.
func pieces(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// refuseCopy answers as a target that has no copy.
func refuseCopy(a *arrival, c net.Conn) bool {
	fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", a.id())
	return true
}

// backupServer has two targets. The first attempt of each request runs first, those that go on at the
// backup run second, others run third.
type backupServer struct {
	*testServer
	continued, others atomic.Int32
	// backupTo is the address that the first attempt named, from the one that the second did.
	backupTo, from atomic.Value
}

func newBackupServer(t *testing.T, first, second, third func(*arrival, net.Conn) bool) *backupServer {
	t.Helper()
	b := new(backupServer)
	var calls atomic.Int32
	serve := func(a *arrival, c net.Conn) bool {
		switch {
		case len(a.header.Peek("Kv-From")) > 0:
			b.continued.Add(1)
			b.from.Store(string(a.header.Peek("Kv-From")))
			return second(a, c)
		case calls.Add(1) == 1:
			b.backupTo.Store(string(a.header.Peek("Kv-Backup")))
			return first(a, c)
		}
		b.others.Add(1)
		return third(a, c)
	}
	b.testServer = newTestServer(t, newTarget(t, "t1", serve), newTarget(t, "t2", serve))
	b.withBackups(t)
	return b
}

// breakInMiddle sends two events and a part of the third.
func breakInMiddle(a *arrival, c net.Conn) bool {
	beginStream(a, c)
	event(c, 0)
	event(c, 1)
	fmt.Fprint(c, "10\r\nid: 2\ndata: pie")
	return false
}

// goOn sends what follows the last event.
func goOn(a *arrival, c net.Conn) bool {
	next := 0
	if last := string(a.header.Peek("Last-Event-Id")); last != "" {
		fmt.Sscan(last, &next)
		next++
	}
	beginStream(a, c)
	for i := next; i < 4; i++ {
		event(c, i)
	}
	return endStream(c)
}

func breakAtOnce(*arrival, net.Conn) bool { return false }

func never(*arrival, net.Conn) bool { return false }

func TestBrokenRunGoesOnAtItsBackup(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		first      func(*arrival, net.Conn) bool
	}{
		{"once, in the middle", "/model/", breakInMiddle}, {"once, before the first event", "/model/", breakAtOnce},
		{"resumable, in the middle", "/resume/", breakInMiddle},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newBackupServer(t, tc.first, goOn, never)
			res := s.do(t, "POST", tc.path, "r", "b", backupHeaders...)
			assert.NilError(t, res.err)
			assert.Equal(t, res.body, pieces(0, 4))
			assert.Equal(t, s.continued.Load(), int32(1))
			assert.Equal(t, s.others.Load(), int32(0))
			to := s.backupTo.Load().(string)
			netip.MustParseAddrPort(to)
			assert.Equal(t, s.from.Load().(string), to+"/r", "the address at which the copy was received and the run")
			eventually(t, "request has ended", func() bool { return s.Running() == 0 })
		})
	}
}

// TestRepeatableRequestIsRepeatedBeforeItsFirstEvent needs no copy, which may not be there.
func TestRepeatableRequestIsRepeatedBeforeItsFirstEvent(t *testing.T) {
	s := newBackupServer(t, breakAtOnce, refuseCopy, goOn)
	res := s.do(t, "POST", "/resume/", "r", "b", backupHeaders...)
	assert.NilError(t, res.err)
	assert.Equal(t, res.body, pieces(0, 4))
	assert.Equal(t, s.continued.Load(), int32(0))
}

// TestBackupThatDoesNotServe covers what follows where the target of the copy does not go on with the
// run: requests that may be repeated are, others end with a cut.
func TestBackupThatDoesNotServe(t *testing.T) {
	for name, second := range map[string]func(*arrival, net.Conn) bool{"no copy": refuseCopy, "ended": breakAtOnce} {
		t.Run(name, func(t *testing.T) {
			s := newBackupServer(t, breakInMiddle, second, goOn)
			res := s.do(t, "POST", "/model/", "r", "b", backupHeaders...)
			assert.Assert(t, res.err != nil, "stream is cut")
			assert.Equal(t, s.continued.Load(), int32(1))
			assert.Equal(t, s.others.Load(), int32(0), "a request that may not be repeated runs once")
		})
	}
	t.Run("no copy before the first event", func(t *testing.T) {
		s := newBackupServer(t, breakAtOnce, refuseCopy, goOn)
		res := s.do(t, "POST", "/model/", "r", "b", backupHeaders...)
		assert.Equal(t, res.header.StatusCode(), 502, "the first run may have run")
		assert.Equal(t, s.others.Load(), int32(0))
	})
}

// TestRepeatableRequestIsRepeatedWithoutCopy has a third target, as no target gets a request twice.
func TestRepeatableRequestIsRepeatedWithoutCopy(t *testing.T) {
	var calls atomic.Int32
	serve := func(a *arrival, c net.Conn) bool {
		switch {
		case len(a.header.Peek("Kv-From")) > 0:
			return refuseCopy(a, c)
		case calls.Add(1) == 1:
			return breakInMiddle(a, c)
		}
		return goOn(a, c)
	}
	s := newTestServer(t, newTarget(t, "t1", serve), newTarget(t, "t2", serve), newTarget(t, "t3", serve))
	s.withBackups(t)
	res := s.do(t, "POST", "/resume/", "r", "b", backupHeaders...)
	assert.NilError(t, res.err)
	assert.Equal(t, res.body, pieces(0, 4))
}

// TestRunThatMayNotHaveStoppedIsNotContinued has this side end the exchange: its time is up, or the caller leaves.
func TestRunThatMayNotHaveStoppedIsNotContinued(t *testing.T) {
	hold := func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		event(c, 0)
		time.Sleep(2 * time.Second)
		return false
	}
	t.Run("time is up", func(t *testing.T) {
		s := newBackupServer(t, hold, goOn, never)
		c := s.dial(t)
		fmt.Fprintf(c, "POST /model/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nRequest-Deadline: 300\r\nAuthorization: Bearer %s\r\n%s\r\nContent-Length: 1\r\n\r\nb", customerKey, strings.Join(backupHeaders, "\r\n"))
		res := c.read()
		assert.Assert(t, res.err != nil)
		assert.Equal(t, s.continued.Load(), int32(0))
	})
	t.Run("caller leaves", func(t *testing.T) {
		s := newBackupServer(t, hold, goOn, never)
		c := s.dial(t)
		c.send("POST", "/model/", "r", "b", backupHeaders...)
		eventually(t, "sent", func() bool { return s.backupTo.Load() != nil })
		c.Close()
		eventually(t, "request has ended", func() bool { return s.Running() == 0 })
		assert.Equal(t, s.continued.Load(), int32(0))
	})
}

func TestContinuationNeedsARetryOfTheBudget(t *testing.T) {
	s := newBackupServer(t, breakInMiddle, goOn, never)
	s.options.Retries = request.NewBudget(0, 0)
	res := s.do(t, "POST", "/model/", "r", "b", backupHeaders...)
	assert.Assert(t, res.err != nil)
	assert.Equal(t, s.continued.Load(), int32(0))
}

// TestEventsWithoutIDAreNotContinued has events that do not name the place from which the run goes on.
func TestEventsWithoutIDAreNotContinued(t *testing.T) {
	first := func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		fmt.Fprint(c, "9\r\ndata: x\n\n\r\n")
		return false
	}
	s := newBackupServer(t, first, goOn, never)
	res := s.do(t, "POST", "/model/", "r", "b", backupHeaders...)
	assert.Assert(t, res.err != nil)
	assert.Equal(t, s.continued.Load(), int32(0))
}
