package relay

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/origin"
	"zinccove.example/zinccove/target"
)

// serveEvents returns a function that sends one list of events after the other, one a request, and
// closes the connection after all but the last.
func serveEvents(lists ...[]int) func(*arrival, net.Conn) bool {
	var requests atomic.Int32
	return func(a *arrival, c net.Conn) bool {
		i := int(requests.Add(1)) - 1
		beginStream(a, c)
		for _, n := range lists[i] {
			event(c, n)
		}
		return i == len(lists)-1 && endStream(c)
	}
}

// eventText returns the text of events.
func eventText(list ...int) string {
	var b strings.Builder
	for _, n := range list {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return b.String()
}

// TestStreamWithEventsOutOfOrderIsCut has targets that resume a stream at another event than the one
// after the last, or repeat one in their own response.
func TestStreamWithEventsOutOfOrderIsCut(t *testing.T) {
	for _, c := range []struct {
		name  string
		lists [][]int
		want  []int
		whole bool
	}{
		{"resumes at the next event", [][]int{{1, 2}, {3, 4}}, []int{1, 2, 3, 4}, true},
		{"begins anew", [][]int{{1, 2}, {1, 2, 3}}, []int{1, 2}, false},
		{"resumes one event early", [][]int{{1, 2}, {2, 3}}, []int{1, 2}, false},
		{"resumes one event late", [][]int{{1, 2, 3, 4, 5, 6, 7, 8}, {10, 11}}, []int{1, 2, 3, 4, 5, 6, 7, 8}, false},
		{"counts tokens, one an event at first", [][]int{{1, 2, 3}, {5, 6}}, []int{1, 2, 3, 5, 6}, true},
		{"repeats an event", [][]int{{1, 2, 2, 3}, {3, 4}}, []int{1, 2, 3, 4}, true},
		{"goes back", [][]int{{1, 3, 2}, {4, 5}}, []int{1, 3, 4, 5}, true},
		{"counts tokens", [][]int{{2, 5, 6}, {9, 10}}, []int{2, 5, 6, 9, 10}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			serve := serveEvents(c.lists...)
			s := newTestServer(t, newTarget(t, "t1", serve), newTarget(t, "t2", serve))
			res := s.do(t, "POST", "/resume/", "r", "x")
			assert.Equal(t, res.body, eventText(c.want...))
			assert.Equal(t, res.err == nil, c.whole, "%v", res.err)
		})
	}
}

// TestStreamResumedByItsCallerDoesNotBeginAnew has a target that ignores the event that the caller has.
func TestStreamResumedByItsCallerDoesNotBeginAnew(t *testing.T) {
	serve := serveEvents([]int{1, 2, 3}, []int{1, 2, 3})
	s := newTestServer(t, newTarget(t, "t1", serve), newTarget(t, "t2", serve))
	s.origins.Put(origin.KeyOf(customerName, "/resume/", "first"), origin.Origin{Service: "model", Version: "v1"}, routeTimeout)
	res := s.do(t, "POST", "/resume/", "r", "x", "Last-Event-Id: 2", "Resumes: first")
	assert.NilError(t, res.err)
	assert.Equal(t, res.header.StatusCode(), 502)
	assert.Equal(t, res.body, failureNames[target.Broken]+"\n")
}

// TestStreamWithoutEventIDsIsNotResumed has events after which no target can be told from where to go on.
func TestStreamWithoutEventIDsIsNotResumed(t *testing.T) {
	for name, text := range map[string]string{"none": "data: a\n\n", "one": "id: 1\ndata: a\n\ndata: b\n\n"} {
		t.Run(name, func(t *testing.T) {
			serve := func(a *arrival, c net.Conn) bool {
				beginStream(a, c)
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
				return false
			}
			t1, t2 := newTarget(t, "t1", serve), newTarget(t, "t2", serve)
			res := newTestServer(t, t1, t2).do(t, "POST", "/resume/", "r", "x")
			assert.Equal(t, res.body, text)
			assert.Assert(t, res.err != nil)
			assert.Equal(t, len(t1.received())+len(t2.received()), 1)
		})
	}
}

// TestStreamIsResumedAfterLaterEventID has an event without an ID between events that have one.
func TestStreamIsResumedAfterLaterEventID(t *testing.T) {
	var requests atomic.Int32
	serve := func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		if requests.Add(1) > 1 {
			event(c, 3)
			return endStream(c)
		}
		event(c, 1)
		fmt.Fprint(c, "16\r\nevent: ping\ndata: {}\n\n\r\n")
		event(c, 2)
		return false
	}
	res := newTestServer(t, newTarget(t, "t1", serve), newTarget(t, "t2", serve)).do(t, "POST", "/resume/", "r", "x")
	assert.NilError(t, res.err)
	assert.Assert(t, strings.HasSuffix(res.body, eventText(2, 3)))
}
