package relay

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// Responses of engines that are no streams: bytes follow the last empty line.
const (
	wholeJSON = "{\"a\":\n\n1}"
	jsonType  = "Content-Type: application/json"
)

// newJSONTarget returns a target that responds with JSON in a framing, of which it leaves out the last cut
// bytes and closes the connection.
func newJSONTarget(t *testing.T, id string, chunked bool, cut int, headers ...string) *fakeTarget {
	return newTarget(t, id, func(a *arrival, c net.Conn) bool {
		whole := text(200, a.id(), wholeJSON, append(headers, seal)...)
		if chunked {
			whole = fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n%s\r\n%s%x\r\n%s\r\n0\r\n\r\n", a.id(), seal, jsonType, chunkedHead, len(wholeJSON), wholeJSON)
		}
		fmt.Fprint(c, whole[:len(whole)-cut])
		return cut == 0
	})
}

func TestResponsesOfEnginesThatAreNoStreamsArePassedOnWhole(t *testing.T) {
	for _, c := range []struct {
		name, path string
		chunked    bool
		headers    []string
	}{
		{"that may be repeated", "/model-repeat/", false, []string{jsonType}},
		{"without a type", "/model-repeat/", false, nil},
		{"that runs once", "/model-once/", false, []string{jsonType}},
		{"in chunks", "/model-once/", true, nil},
		{"on a route of streams", "/model/", false, []string{jsonType}},
		{"on a route of streams that may be resumed", "/resume/", true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t, newJSONTarget(t, "t", c.chunked, 0, c.headers...))
			caller := s.dial(t)
			for i := range 2 {
				caller.send("POST", c.path, fmt.Sprint("r", i), "x")
				res := caller.read()
				assert.NilError(t, res.err)
				assert.Equal(t, res.header.StatusCode(), 200)
				assert.Equal(t, res.body, wholeJSON)
			}
		})
	}
}

// TestBrokenResponsesOfEnginesThatAreNoStreams has a target leave out the end of its response.
func TestBrokenResponsesOfEnginesThatAreNoStreams(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		s := newTestServer(t, newJSONTarget(t, "t", chunked, 3, jsonType))
		for _, path := range []string{"/model-once/", "/model-repeat/", "/model/", "/resume/"} {
			res := s.do(t, "POST", path, "r"+path, path)
			assert.NilError(t, res.err, path)
			assert.Equal(t, res.header.StatusCode(), 502, path)
		}
		s = newTestServer(t, newJSONTarget(t, "t1", chunked, 3, jsonType), newJSONTarget(t, "t2", chunked, 0, jsonType))
		for i := range 4 {
			res := s.do(t, "POST", "/model-repeat/", fmt.Sprint("r", i), fmt.Sprint("x", i))
			assert.NilError(t, res.err)
			assert.Equal(t, res.body, wholeJSON)
		}
	}
}

// TestStreamIsNotResumedByOtherResponse has one target break a stream, and the other one respond with no
// stream, small or large.
func TestStreamIsNotResumedByOtherResponse(t *testing.T) {
	for _, size := range []int{10, 2 * maxBufferedResponse} {
		serve := func(a *arrival, c net.Conn) bool {
			if string(a.header.Peek("Last-Event-Id")) != "" {
				return respond(c, 200, a.id(), string(make([]byte, size)), seal, jsonType)
			}
			beginStream(a, c)
			event(c, 1)
			return false
		}
		s := newTestServer(t, newTarget(t, "t1", serve), newTarget(t, "t2", serve))
		res := s.do(t, "POST", "/resume/", "r", "x")
		assert.Assert(t, res.err != nil)
		assert.Equal(t, res.body, "id: 1\ndata: piece 1\n\n")
	}
}

// TestStreamsOfPlainServicesArePassedOnAsTheyCome has a target wait after its first event.
func TestStreamsOfPlainServicesArePassedOnAsTheyCome(t *testing.T) {
	received := make(chan struct{})
	s := newTestServer(t, newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		event(c, 1)
		select {
		case <-received:
			event(c, 2)
			return endStream(c)
		case <-time.After(time.Second):
			return false
		}
	}))
	c := s.dial(t)
	c.send("POST", "/stream/", "r", "x")
	var h fasthttp.ResponseHeader
	assert.NilError(t, h.Read(c.r))
	close(received)
	body, err := io.ReadAll(newBody(c.r, &h, false))
	assert.NilError(t, err)
	assert.Equal(t, string(body), "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
}
