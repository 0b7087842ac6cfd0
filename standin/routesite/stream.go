package routesite

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Stream is a stream that its caller takes up again after a broken connection. One goroutine
// uses it.
type Stream struct {
	// Versions are those that wrote the events received so far, in order.
	Versions []string
	// Tries are the caller's attempts.
	Tries []Try
	// Problem is an event that does not follow the one before it; empty if there is none.
	Problem string
	// disorder is that of the problem.
	disorder Disorder

	// Kept are connections for the attempts; nil has each open its own.
	Kept *Kept

	site *Site
	key  string
	path string
	// name identifies the prompt.
	name string
	// began is the ID of the attempt that brought the first event.
	began string
}

// Try is one attempt of a caller to receive a stream.
type Try struct {
	ID         string
	Router     netip.AddrPort
	Status     int
	RetryAfter string
	// Reason is the body of a refusal.
	Reason string
	// Events is the number of events that it brought.
	Events int
	Took   time.Duration
	Err    error
}

// maxReason bounds what is kept of the body of a refusal, in bytes.
const maxReason = 100

// errLeft means that the caller closed the connection.
var errLeft = errors.New("caller closed the connection")

// NewStream returns a stream that was not requested yet. The homes of its prompt are those of no
// other stream.
func (s *Site) NewStream(path, key string) *Stream {
	return &Stream{site: s, key: key, path: path, name: s.nextID()}
}

// Try requests the stream, or the rest of it, from a router. It returns once the stream is
// complete, the attempt failed or leave returns true, which is asked after each event with the
// number of events received so far; nil never leaves.
func (s *Stream) Try(router netip.AddrPort, leave func(events int) bool) {
	t := Try{ID: s.site.nextID(), Router: router}
	sent, before := time.Now(), len(s.Versions)
	t.Err = s.try(&t, leave)
	t.Took, t.Events = time.Since(sent), len(s.Versions)-before
	s.Tries = append(s.Tries, t)
}

func (s *Stream) try(t *Try, leave func(int) bool) error {
	c, err := s.Kept.take(t.Router)
	if err != nil {
		return err
	}
	defer func() { c.Close() }() //nolint:errcheck // the events are known
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	req, err := newRequest(t.ID, "POST", s.path, s.key, "body of "+s.name)
	if err != nil {
		return err
	}
	req.Header.Set("Prompt-Prefix", fmt.Sprintf("aa:700,%s:100,%s.own:100", s.name, s.name))
	if s.began != "" {
		req.Header.Set("Last-Event-Id", strconv.Itoa(len(s.Versions)))
		req.Header.Set("Resumes", s.began)
	}
	if err := req.Write(c); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return err
	}
	// Closing the body would read the rest of the stream; closing the connection does not.
	t.Status, t.RetryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	if t.Status != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxReason))
		t.Reason = strings.TrimSpace(string(body))
		return err
	}
	err = s.read(t.ID, bufio.NewReader(resp.Body), leave)
	if err == nil && !resp.Close && s.Kept != nil {
		if c.reader.Buffered() > 0 {
			s.note(Joined, t.ID+": bytes follow the response")
		}
		s.Kept.keep(t.Router, c)
		c = new(keptConn) // stays open
	}
	return err
}

// read reads events until the end of the response.
func (s *Stream) read(id string, r *bufio.Reader, leave func(int) bool) error {
	for {
		var lines [3]string
		for i := range lines {
			line, err := r.ReadString('\n')
			if err == io.EOF && line == "" && i == 0 {
				return nil
			}
			if err == io.EOF {
				s.note(EarlyEnd, fmt.Sprintf("%s: response ends inside event %d", id, len(s.Versions)+1))
			}
			if err != nil {
				return err
			}
			lines[i] = strings.TrimSpace(line)
		}
		s.take(id, lines[0], lines[1])
		if leave != nil && leave(len(s.Versions)) {
			return errLeft
		}
	}
}

// take records an event.
func (s *Stream) take(id, number, data string) {
	n := len(s.Versions) + 1
	version, d := compareEvent(id, n, number, data)
	if d == InOrder && n > 1 && version != s.Versions[0] {
		d = Joined
	}
	if d != InOrder {
		s.note(d, fmt.Sprintf("%s: event %q %q, want event %d of that request", id, number, data, n))
	}
	if s.began == "" {
		s.began = id
	}
	s.Versions = append(s.Versions, version)
}

// note records the first problem.
func (s *Stream) note(d Disorder, problem string) {
	if s.Problem == "" {
		s.disorder, s.Problem = d, problem
	}
}

// Disorder returns how the events received so far are out of order.
func (s *Stream) Disorder() Disorder {
	if s.disorder == InOrder && s.Last().Complete() && len(s.Versions) < events {
		return EarlyEnd
	}
	return s.disorder
}

// Mixed reports whether more than one version wrote the events.
func (s *Stream) Mixed() bool {
	for _, v := range s.Versions {
		if v != s.Versions[0] {
			return true
		}
	}
	return false
}

// Whole reports whether all events were received and the last attempt looked complete.
func (s *Stream) Whole() bool {
	return s.Problem == "" && s.Last().Complete() && len(s.Versions) == events
}

// Complete reports whether the attempt looked complete to its caller.
func (t Try) Complete() bool { return t.Err == nil && t.Status == http.StatusOK }

// Last returns the last attempt.
func (s *Stream) Last() Try { return s.Tries[len(s.Tries)-1] }
