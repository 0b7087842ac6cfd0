package relay

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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

// TestUnframedResponseOfLeavingTargetIsWhole has a target end right after its last response.
func TestUnframedResponseOfLeavingTargetIsWhole(t *testing.T) {
	var f *fakeTarget
	f = newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		f.listener.Close()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\nServer-Leaving: 1\r\n\r\n%s", a.id(), seal, wholeEvent)
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
