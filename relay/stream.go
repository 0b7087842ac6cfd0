package relay

import (
	"bytes"
	"io"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/link"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/rollout"
	"zinccove.example/zinccove/target"
)

// stream reads a target's events for a caller. Only whole events are handed
// over, so that a stream that goes on at another target joins without a gap.
// A large answer without events is handed over as it comes, and never goes on elsewhere.
// One goroutine uses it; look reads handed.
type stream struct {
	flight *flight
	caller *fasthttp.RequestCtx
	link   *link.Conn
	answer *answer
	body   *body
	sent   *sending
	// large tells that the answer has no events, size is its length, -1 if that is unknown.
	large bool
	size  int

	buffer []byte
	// ready is the length of the whole events at the start of buffer.
	ready int
	// lastEvent is the id of the last event that was handed over.
	lastEvent string
	began     bool
	// events is the number of events that the current target sent.
	events int
	// err is the end of the stream; io.EOF after a whole one.
	err  error
	done bool
}

const (
	// eventBuffer is the size of a stream's first buffer; events are short.
	eventBuffer = 1 << 10
	// maxEvent is the largest event in bytes.
	maxEvent = 1 << 20
)

var (
	errLargeEvent = eris.New("event exceeds the limit")
	errHalfEvent  = eris.New("stream ended inside an event")
	errClosed     = eris.New("caller closed the connection")
	errStalled    = eris.New("caller took no bytes of its answer")
)

func newStream(f *flight, c *link.Conn, ans *answer, b *body, sent *sending) *stream {
	return &stream{flight: f, link: c, answer: ans, body: b, sent: sent, size: unknownSize, buffer: make([]byte, 0, eventBuffer)}
}

// unknownSize has fasthttp send a body in chunks.
const unknownSize = -1

// newLarge returns the stream of a large answer that begins with the bytes read so far.
func newLarge(f *flight, c *link.Conn, ans *answer, b *body, sent *sending, begin []byte) *stream {
	s := newStream(f, c, ans, b, sent)
	s.large, s.buffer, s.ready = true, begin, len(begin)
	if n := ans.header.ContentLength(); n >= 0 {
		s.size = n
	}
	if b.ended() {
		s.whole()
	}
	return s
}

// Read hands over whole events. An error other than io.EOF makes fasthttp cut
// the caller's connection, so that the answer does not look complete.
func (s *stream) Read(p []byte) (int, error) {
	s.flight.untaken.clear()
	for s.ready == 0 {
		if s.err != nil {
			return 0, s.err
		}
		s.fill()
	}
	n := copy(p, s.buffer[:s.ready])
	s.buffer = s.buffer[:copy(s.buffer, s.buffer[n:])]
	s.ready -= n
	s.flight.untaken.begin(s.flight.server.options.Clock.Now())
	return n, nil
}

// fill reads more of the target's answer, and goes on at another target if
// this one breaks and the route allows it.
func (s *stream) fill() {
	if len(s.buffer) == cap(s.buffer) {
		if cap(s.buffer) >= maxEvent {
			s.broken(errLargeEvent)
			return
		}
		s.buffer = append(make([]byte, 0, 2*cap(s.buffer)), s.buffer...)
	}
	n, err := s.body.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	if n > 0 {
		s.arrived()
	}
	switch {
	case err == nil && s.large && s.body.ended():
		s.whole() // fasthttp reads no further than the length
	case err == nil:
	case err == io.EOF && len(s.buffer) == s.ready:
		s.whole()
	case err == io.EOF:
		s.broken(errHalfEvent)
	default:
		s.broken(err)
	}
}

// arrived notes new bytes: the first ones, and the whole events among them.
func (s *stream) arrived() {
	f := s.flight
	f.run.RecordReceived()
	if !s.began {
		s.began = true
		if off, known := f.run.FirstEvent(!f.server.troubled()); known {
			f.server.options.Metrics.Observe(metric.PredictionError, off)
		}
		f.life.Stream()
		if f.firstEvent == 0 {
			f.firstEvent = f.server.options.Clock.Since(f.received)
			f.server.options.Metrics.Observe(metric.FirstToken, f.firstEvent)
		}
	}
	if s.large {
		s.ready = len(s.buffer)
		return
	}
	end := endOfEvents(s.buffer)
	if end > s.ready {
		s.events += bytes.Count(s.buffer[s.ready:end], []byte("\n\n"))
		if id := lastID(s.buffer[s.ready:end]); id != "" {
			s.lastEvent = id
		}
		s.ready = end
	}
}

// endOfEvents returns the end of the last whole event; an event ends with an
// empty line.
func endOfEvents(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + len("\n\n")
	}
	if i := bytes.LastIndex(b, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+len("\n\r\n"))
	}
	return end
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
	var id string
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// whole ends a stream that the target ended well.
func (s *stream) whole() {
	s.err = io.EOF
	s.flight.run.End(place.Answered)
	s.flight.judge(rollout.Outcome{Duration: s.flight.sinceSent(), Size: float64(s.events + firstEventSize)})
	s.flight.clear(s.body)
	s.flight.finish(s.link, s.answer, s.body, s.sent)
}

// broken ends a stream that broke, or goes on at another target.
func (s *stream) broken(err error) {
	f := s.flight
	s.drop(place.Failed)
	fail := f.fail(target.Broken, 0, err, "read stream")
	f.blame(fail, s.began)
	f.judgeFailure(fail)
	for !s.large && f.next(fail) {
		ans, again, r := f.attempt(s.caller, s.lastEvent)
		if r != nil {
			f.life.GiveUp(false)
			break
		}
		if again != nil {
			fail = again
			continue
		}
		if ans.stream == nil {
			fail = f.fail(target.Broken, ans.header.StatusCode(), errNoPromise, "resume stream")
			continue
		}
		s.resume(ans)
		return
	}
	s.err = fail
}

// resume goes on with the answer of another target. What was read of an event
// that was not whole is dropped; the other target sends it again.
func (s *stream) resume(ans *answer) {
	s.flight.server.options.Metrics.Inc(metric.StreamsResumed)
	s.link, s.answer, s.body, s.sent = ans.stream.link, ans, ans.stream.body, ans.stream.sent
	s.buffer = s.buffer[:s.ready]
	s.began, s.events = false, 0
}

// drop closes the connection to the target.
func (s *stream) drop(result place.Result) {
	if s.flight.interrupted() != running {
		result = place.Cancelled
	}
	s.flight.detach()
	s.link.Close() //nolint:errcheck // the stream is over
	s.flight.run.End(result)
}

// Close is called by fasthttp when the stream was handed over or the caller
// went away.
func (s *stream) Close() error {
	if s.done {
		return nil
	}
	s.done = true
	f := s.flight
	f.untaken.clear()
	if s.err == nil {
		s.err = errClosed
		if f.interrupted() == callerStalled {
			s.err = errStalled
		}
		s.drop(place.Cancelled)
		f.interrupt(callerGone)
		f.life.GiveUp(true)
	}
	if s.err == io.EOF {
		f.life.Answer()
		f.server.options.Metrics.Inc(metric.RequestsAnswered)
		f.server.pace.learn(&f.call, f.server.options.Clock.Since(f.received)-f.firstEvent)
	}
	f.server.logStream(f, s.err)
	f.server.leave(f)
	return nil
}
