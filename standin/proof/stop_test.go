package proof

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/fault"
	"zinccove.example/standin/fleet"
	"zinccove.example/standin/routesite"
)

const (
	// stopDelay and stopGrace are the delay and the limit of a short planned stop.
	stopDelay = 100 * time.Millisecond
	stopGrace = 3 * time.Second
	// stopEvery is the time between the requests of a route within a stop.
	stopEvery = 100 * time.Millisecond
	// stopWork is what a run takes at targets that slow down when the stop begins.
	stopWork = 4 * time.Second
	// longBody is the size of a body of which a part is sent before the stop.
	longBody = 96 << 10
)

// stopCall is a request on a kept connection within a planned stop.
type stopCall struct {
	id, path string
	deadline time.Duration
	// sendAt is the time from the beginning of the stop to the last byte of the request.
	sendAt time.Duration
	// late is set if a part of the body is sent before the stop.
	late bool

	conn   net.Conn
	reader *bufio.Reader
	status int
	err    error
}

// write sends a part of the request; a late body ends with the second one.
func (c *stopCall) write(id string, first bool) error {
	size := 10
	if c.late {
		size = longBody
	}
	body := strings.Repeat("x", size)
	if c.late && first {
		body = body[:longBody/2]
	} else if c.late {
		_, err := c.conn.Write([]byte(body[longBody/2:]))
		return err
	}
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: archive.example\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nAuthorization: Bearer %s\r\n"+
		"Token-Usage: 900,10\r\nPrompt-Prefix: aa:100,%s:100\r\nContent-Length: %d\r\n\r\n%s", c.path, id, c.deadline.Milliseconds(), routeKey, id, size, body)
	return err
}

// read reads a whole answer.
func (c *stopCall) read() (int, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// open makes the connection a kept one: it has served a request.
func (c *stopCall) open(r *fleet.Router) error {
	conn, err := net.Dial("tcp", r.Caller.String())
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	first := *c
	first.late = false
	if err := first.write("first-"+c.id, true); err != nil {
		return err
	}
	_, err = first.read()
	return err
}

// stopCalls returns requests of all routes and deadlines for each moment of a stop.
func stopCalls() []*stopCall {
	var list []*stopCall
	for at := stopDelay / 2; at < stopGrace; at += stopEvery {
		for _, path := range routesite.Paths {
			for _, deadline := range []time.Duration{time.Second, 4 * time.Second} {
				list = append(list, &stopCall{id: fmt.Sprint("stop-", len(list)), path: path, deadline: deadline, sendAt: at, late: len(list)%3 == 0})
			}
		}
	}
	return list
}

// TestStopCutsNothingThatMayNotBeRepeated stops a router whose targets become slow, while callers send
// on kept connections until its process is gone.
func TestStopCutsNothingThatMayNotBeRepeated(t *testing.T) {
	s, err := routesite.New(bin)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	s.Settings["limits"] = fmt.Sprintf("memory-mb = 200\nstop-delay = %s\nstop-timeout = %s", stopDelay, stopGrace)
	for _, name := range []string{routesite.Model, routesite.Plain} {
		for n := range 4 {
			_, err := s.AddWorker(fmt.Sprint(name, n), name, "dc1", "--slots", "400")
			assert.NilError(t, err)
		}
	}
	r, err := s.StartRouter("r1", "dc1")
	assert.NilError(t, err)
	configure(t, s, routesite.Config(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	for _, path := range routesite.Paths {
		awaitStatus(t, s, r, path, routeKey, 200)
	}
	calls := stopCalls()
	var opening errgroup.Group
	opening.SetLimit(8)
	for _, c := range calls {
		opening.Go(func() error { return c.open(r) })
	}
	assert.NilError(t, opening.Wait())
	for _, w := range s.Workers {
		assert.NilError(t, fleet.SetFaults(w.Address, fault.Fault{Step: "run", Mode: fault.Delay, Delay: stopWork}))
	}
	var group errgroup.Group
	began := time.Now().Add(stopEvery)
	for _, c := range calls {
		group.Go(func() error {
			defer c.conn.Close() //nolint:errcheck // the answer is known
			if c.err = c.conn.SetDeadline(began.Add(2 * stopGrace)); c.err != nil {
				return nil
			}
			if c.late {
				c.err = c.write(c.id, true)
			}
			time.Sleep(time.Until(began.Add(c.sendAt)))
			if c.err == nil {
				c.err = c.write(c.id, false)
			}
			if c.err == nil {
				c.status, c.err = c.read()
			}
			return nil
		})
	}
	time.Sleep(time.Until(began))
	code, err := r.Stop()
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	took := time.Since(began)
	t.Logf("the stop took %s of %s", took, stopGrace)
	assert.Assert(t, took < stopGrace, "the platform would have killed it")
	assert.NilError(t, group.Wait())
	checkStop(t, s, calls)
}

// checkStop checks that each request that was passed on got a whole answer, unless it may be repeated.
func checkStop(t *testing.T, s *routesite.Site, calls []*stopCall) {
	t.Helper()
	runs, err := s.Runs()
	assert.NilError(t, err)
	cut, repeatable, answers := 0, 0, make(map[int]int)
	for _, c := range calls {
		answers[c.status]++
		ran := runs[c.id] > 0
		broken := c.err != nil || c.status == http.StatusBadGateway
		switch {
		case broken && ran && !routesite.Once(c.path):
			repeatable++
		case broken && ran && c.sendAt > stopDelay:
			cut++
			t.Logf("%s with a deadline of %s, sent %s into the stop (late body: %t) ran and was cut: status %d, %v", c.path, c.deadline, c.sendAt, c.late, c.status, c.err)
		case c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests:
			assert.Assert(t, !ran || !routesite.Once(c.path), "%s ran and got %d", c.path, c.status)
		}
	}
	t.Logf("%d requests, answers by status %v (0: none); ran and were cut: %d that may not be repeated, %d that may be", len(calls), answers, cut, repeatable)
	assert.Equal(t, cut, 0)
}
