package relay

import (
	"bytes"
	"io"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/link"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/rollout"
	"zinccove.example/zinccove/target"
)

// stream passes a target's events on to a caller. Only complete events are passed on, so that a
// stream that is resumed at another target continues without a gap. A large response without
// events is passed on as it arrives and is never resumed. One goroutine uses it.
type stream struct {
	flight *flight
	caller *fasthttp.RequestCtx
	link   *link.Conn
	resp   *response
	body   *body
	sent   *sending
	// large reports that the response has no events; size is its length, -1 if that is unknown.
	large bool
	size  int

	buffer []byte
	// ready is the length of the complete events at the start of buffer.
	ready    int
	sequence sequence
	began    bool
	// passed is set once events were passed on.
	passed bool
	// advanced is set once the current target has sent events for a while.
	advanced bool
	// events is the number of events that the current target sent.
	events int
	// filler is the number of bytes that the current target sent since its last event with an ID or data.
	filler int
	// err is the end of the stream; io.EOF after a complete one.
	err  error
	done bool
}

const (
	// eventBuffer is the size of a stream's first buffer; events are short.
	eventBuffer = 1 << 10
	// maxEvent is the largest event in bytes.
	maxEvent = 1 << 20
	// maxFiller is the number of bytes of comments and empty lines between two events.
	maxFiller = 64 << 10
)

var (
	errLargeEvent   = eris.New("event exceeds the limit")
	errFiller       = eris.New("too many bytes without an event")
	errPartialEvent = eris.New("stream ended inside an event")
	// errBrokenEvent and errNoEvent are those of connections that ended instead of a framed body.
	errBrokenEvent = eris.Wrap(io.ErrUnexpectedEOF, "connection ended inside an event")
	errNoEvent     = eris.Wrap(io.ErrUnexpectedEOF, "connection ended before the first event")
	errClosed      = eris.New("caller closed the connection")
	errStalled     = eris.New("caller read no bytes of its response")
)

func newStream(f *flight, c *link.Conn, resp *response, b *body, sent *sending) *stream {
	s := &stream{flight: f, link: c, resp: resp, body: b, sent: sent, size: unknownSize, buffer: make([]byte, 0, eventBuffer)}
	if f.route.Resumable {
		b.onTrailer = func() { f.unfinished.beginOnce(f.server.options.Clock.Now()) }
		s.sequence.resumeAfter(f.call.LastEventID)
	}
	return s
}

// unknownSize makes fasthttp send a body in chunks.
const unknownSize = -1

// newLarge returns the stream of a large response that begins with the bytes read so far.
func newLarge(f *flight, c *link.Conn, resp *response, b *body, sent *sending, begin []byte) *stream {
	s := newStream(f, c, resp, b, sent)
	s.large, s.buffer, s.ready = true, begin, len(begin)
	if n := resp.header.ContentLength(); n >= 0 {
		s.size = n
	}
	if b.ended() {
		s.complete()
	}
	return s
}

// Read passes on complete events. An error other than io.EOF makes fasthttp close the caller's
// connection, so that the response does not look complete.
func (s *stream) Read(p []byte) (int, error) {
	s.flight.stall.clear()
	if s.passed {
		s.flight.passedAt.Store(s.flight.server.options.Clock.Now().UnixNano())
	}
	s.await()
	if s.ready == 0 {
		return 0, s.err
	}
	if !s.passed {
		s.passed = true
		s.flight.passing.Store(true)
	}
	s.flight.unfinished.clear()
	n := copy(p, s.buffer[:s.ready])
	s.buffer = s.buffer[:copy(s.buffer, s.buffer[n:])]
	s.ready -= n
	s.flight.stall.begin(s.flight.server.options.Clock.Now())
	return n, nil
}

// await waits until there is something to pass on or the stream has ended.
func (s *stream) await() {
	for s.ready == 0 && s.err == nil {
		s.collect()
		s.fill()
	}
}

// fill reads more of the target's response, and resumes the stream at another target if this
// one breaks and the route allows it.
func (s *stream) fill() {
	if len(s.buffer) == cap(s.buffer) {
		if cap(s.buffer) >= maxEvent {
			s.recoverOrFail(errLargeEvent)
			return
		}
		s.buffer = append(make([]byte, 0, 2*cap(s.buffer)), s.buffer...)
	}
	if len(s.buffer) > s.ready {
		s.flight.unfinished.beginOnce(s.flight.server.options.Clock.Now())
	}
	n, err := s.body.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	if n > 0 {
		if serr := s.received(); serr != nil {
			s.recoverOrFail(serr)
			return
		}
	}
	switch {
	case err == nil && s.large && s.body.ended():
		s.complete() // fasthttp does not read beyond the length
	case err == nil:
	case err == io.EOF:
		s.end()
	default:
		s.recoverOrFail(err)
	}
}

// end ends a stream whose body has ended.
func (s *stream) end() {
	err := s.missing()
	if err == nil {
		err = s.flight.confirmEnd(s.body, s.sent)
	}
	if err != nil {
		s.recoverOrFail(err)
		return
	}
	s.complete()
}

// missing returns an error if the events show that some are missing at the end of the body.
func (s *stream) missing() error {
	framed, resumes := s.body.framed(), s.sequence.last != "" || s.flight.call.LastEventID != ""
	switch {
	case len(s.buffer) > s.ready && framed:
		return errPartialEvent
	case len(s.buffer) > s.ready:
		return errBrokenEvent
	case !s.began && !s.large && !framed && !resumes:
		return errNoEvent
	}
	return nil
}

// received handles new bytes: it records the first event and marks complete events as ready. The error
// is about an event that does not follow the ones before it.
func (s *stream) received() error {
	f := s.flight
	f.run.RecordReceived()
	if !s.began {
		s.began = true
		f.responseBegan = f.server.options.Clock.Now()
		if off, known := f.run.FirstEvent(!f.server.impaired()); known {
			f.server.options.Metrics.Observe(metric.PredictionError, off)
		}
		f.lifecycle.Stream()
		if f.firstEvent == 0 {
			f.firstEvent = f.server.options.Clock.Since(f.received)
			f.server.options.Metrics.Observe(metric.FirstToken, f.firstEvent)
		}
	}
	if s.large {
		s.ready = len(s.buffer)
		return nil
	}
	if !s.advanced && f.responding() >= quarantine.BeginPeriod {
		s.advanced = true
		f.clearParts()
	}
	end := endOfEvents(s.buffer)
	if end <= s.ready {
		return nil
	}
	f.refreshWitness(s.link)
	s.events += bytes.Count(s.buffer[s.ready:end], []byte("\n\n"))
	if err := s.countFiller(s.buffer[s.ready:end]); err != nil {
		return err
	}
	n, err := s.sequence.add(s.buffer[s.ready:end])
	s.ready += n
	if err != nil {
		f.server.options.Metrics.Inc(metric.EventsOutOfOrder)
	}
	if r := s.sequence.takeResumed(); r != nil {
		f.server.logResumed(f, r, err)
	}
	return err
}

// countFiller counts comments and empty lines, and returns an error if there are too many.
func (s *stream) countFiller(events []byte) error {
	if bytes.Contains(events, []byte("data:")) || bytes.Contains(events, []byte("id:")) {
		s.filler = 0
		return nil
	}
	if s.filler += len(events); s.filler > maxFiller {
		return errFiller
	}
	return nil
}

// endOfEvents returns the end of the last complete event; an event ends with an empty line.
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

// complete ends a stream that is known to be complete.
func (s *stream) complete() {
	s.err = io.EOF
	s.flight.run.End(place.Answered)
	s.flight.recordOutcome(rollout.Outcome{Duration: s.flight.sinceSent(), Size: float64(s.events + firstEventSize)})
	s.flight.clearContent()
	if !s.large {
		s.flight.clearParts()
	}
	s.flight.releaseConn(s.link, s.resp, s.body, s.sent)
}

// recoverOrFail resumes a broken stream at another target, or ends it.
func (s *stream) recoverOrFail(err error) {
	f := s.flight
	s.disconnect(place.Failed)
	s.keepBackup()
	fail := f.fail(target.Broken, 0, err, "read stream")
	f.recordLoss(fail, s.began)
	f.recordFailure(fail)
	for s.resumable() && f.retryAfterFailure(fail) {
		resp, nextFail, r := f.attempt(s.caller, s.sequence.last)
		if r != nil {
			f.noRetry = r.reason
			f.lifecycle.GiveUp(false)
			break
		}
		if nextFail != nil {
			fail = nextFail
			continue
		}
		if resp.stream == nil || resp.stream.large {
			resp.close()
			fail = f.fail(target.Broken, resp.header.StatusCode(), errOutcomeUnknown, "resume stream")
			continue
		}
		s.resume(resp)
		return
	}
	if !s.resumable() {
		f.noRetry = noRetryPosition
		f.lifecycle.GiveUp(false)
	}
	s.err = fail
}

// close ends a response of which nothing is passed on.
func (r *response) close() {
	if r.stream != nil && r.stream.err == nil {
		r.stream.disconnect(place.Failed)
	}
}

// resumable reports whether another target can be told from where the stream has to go on.
func (s *stream) resumable() bool { return !s.large && !s.sequence.nameless }

// keepBackup gives up the backup if another target cannot be told from where the run has to go on.
func (s *stream) keepBackup() {
	if !s.resumable() {
		s.flight.decision.Backup = place.BackupDecision{}
	}
}

// resume continues with the response of another target. The bytes of an incomplete event are
// dropped; the other target sends that event again.
func (s *stream) resume(resp *response) {
	s.flight.server.options.Metrics.Inc(metric.StreamsResumed)
	s.link, s.resp, s.body, s.sent = resp.stream.link, resp, resp.stream.body, resp.stream.sent
	s.buffer = s.buffer[:s.ready]
	s.began, s.advanced, s.events, s.filler = false, false, 0, 0
	s.sequence.resumeAfter(s.sequence.last)
}

// disconnect closes the connection to the target.
func (s *stream) disconnect(result place.Result) {
	if s.flight.interrupted() != causeNone {
		result = place.Cancelled
	}
	s.flight.detach()
	s.flight.unfinished.clear()
	s.flight.closeWitness()
	s.link.Close() //nolint:errcheck // the stream is over
	s.flight.run.End(result)
}

// Close is called by fasthttp when the stream was passed on or the caller closed its
// connection.
func (s *stream) Close() error {
	if s.done {
		return nil
	}
	s.done = true
	f := s.flight
	f.stall.clear()
	if s.err == nil {
		s.err = errClosed
		if f.interrupted() == causeCallerStalled {
			s.err = errStalled
		}
		s.disconnect(place.Cancelled)
		f.interrupt(causeCallerClosed)
		f.lifecycle.GiveUp(true)
	}
	if s.err == io.EOF {
		f.lifecycle.Answer()
		f.server.options.Metrics.Inc(metric.RequestsAnswered)
		f.server.pace.record(&f.call, f.server.options.Clock.Since(f.received)-f.firstEvent)
	}
	f.server.logStream(f, s.err)
	f.server.unregister(f)
	return nil
}
