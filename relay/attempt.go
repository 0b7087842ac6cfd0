package relay

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/link"
	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/notice"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/rollout"
	"zinccove.example/zinccove/target"
)

// answer is a target's answer. Exactly one of body and stream is set.
type answer struct {
	header fasthttp.ResponseHeader
	facts  message.ResponseInfo
	body   []byte
	stream *stream
}

// attempt sends the request to one target. LastEvent is the last event of a
// stream that goes on. The refusal is set if there is no target.
func (f *flight) attempt(ctx *fasthttp.RequestCtx, lastEvent string) (*answer, *target.Failure, *refusal) {
	s := f.server
	if s.options.Quarantine.Barred(f.asks()) {
		s.options.Metrics.Inc(metric.RequestsBarred)
		return nil, nil, &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonEndsTargets}
	}
	d := f.place()
	if d.Run == nil {
		status := fasthttp.StatusTooManyRequests
		if d.Reason != place.Overloaded {
			status = fasthttp.StatusServiceUnavailable
		}
		return nil, nil, &refusal{status: status, reason: string(d.Reason), retryAfter: d.RetryAfter}
	}
	s.options.Metrics.Inc(metric.Attempts)
	if len(f.tried) > 0 {
		s.options.Metrics.Inc(metric.Retries)
	}
	f.run, f.said = d.Run, notice.Notice{}
	f.tried = append(f.tried, d.Run.Incarnation())
	f.beginVersion()
	f.life.Queue()
	f.life.Dispatch()
	s.logPlaced(f)
	ans, fail := f.exchange(ctx, lastEvent)
	if fail != nil {
		d.Run.End(f.result(fail.Kind))
		f.blame(fail, fail.Status != 0)
		f.judgeFailure(fail)
	}
	return ans, fail, nil
}

// place asks for a target.
func (f *flight) place() place.Decision {
	r := place.Request{
		Service: f.service, Customer: f.customer, Objective: f.route.Objective, Call: &f.call, Tried: f.tried, Regions: f.regions, Versions: f.versions,
	}
	s := f.server
	var answers []place.Reply
	if s.options.Query != nil && !s.troubled() {
		began := s.options.Clock.Now()
		answers = s.options.Query(s.options.Placer.Queries(r))
		f.asked = s.options.Clock.Since(began)
	}
	f.decision = s.options.Placer.Place(r, answers...)
	return f.decision
}

// result is what a failed attempt tells about the target: nothing if it was
// ended from outside.
func (f *flight) result(kind target.Kind) place.Result {
	if f.interrupted() != running {
		return place.Cancelled
	}
	return results[kind]
}

// results tells the placer how an attempt failed.
var results = map[target.Kind]place.Result{
	target.NotSent:    place.Unreachable,
	target.Refused:    place.Refused,
	target.Replaced:   place.Replaced,
	target.Broken:     place.Failed,
	target.Mismatched: place.Failed,
	target.Rejected:   place.Cancelled,
}

// fail describes a failure of the current attempt. Status is 0 if no answer told
// one.
func (f *flight) fail(kind target.Kind, status int, err error, step string) *target.Failure {
	return &target.Failure{Kind: kind, Status: status, Err: errs.Wrap(err, step, f.run.Target.Address.String())}
}

var (
	errInterrupted = eris.New("request ended before it was sent")
	errDeclined    = eris.New("target wanted nothing new before the request was sent")
	errCallerLeft  = eris.New("caller left before the request was sent")
	errUnsigned    = eris.New("answer without signature")
	errCrossed     = eris.New("answer of another request")
	errReplaced    = eris.New("another run of the target answered")
	errNotRun      = eris.New("target did not run the request")
	errNoPromise   = eris.New("target failed without saying whether the request ran")
)

// exchange sends the request and reads the answer's head, and the whole answer
// unless it is a stream.
func (f *flight) exchange(ctx *fasthttp.RequestCtx, lastEvent string) (*answer, *target.Failure) {
	c, fail := f.connect()
	if fail != nil {
		return nil, fail
	}
	sending := f.send(ctx, c, lastEvent)
	ans, fail := f.receive(ctx, c, sending)
	if fail != nil {
		f.detach()
		c.Close() //nolint:errcheck // the failure is known already
	}
	return ans, fail
}

// sending tells whether the request was sent whole.
type sending struct {
	done atomic.Bool
}

// inlineBytes is the size up to which a request is sent before the answer is
// awaited. Targets may answer before they have read a longer one.
const inlineBytes = 8 << 10

// send writes the request. A failed write is not looked at: the read that
// follows tells whether the target answered before it failed.
func (f *flight) send(ctx *fasthttp.RequestCtx, c *link.Conn, lastEvent string) *sending {
	b := f.encode(ctx, lastEvent)
	s := new(sending)
	write := func() error {
		if _, err := c.Write(b); err == nil {
			s.done.Store(true)
		}
		return nil
	}
	if len(b) <= inlineBytes {
		write() //nolint:errcheck // returns none
		return s
	}
	f.server.group.Go(write)
	return s
}

// encode returns the request as it is sent to the target.
func (f *flight) encode(ctx *fasthttp.RequestCtx, lastEvent string) []byte {
	h := &ctx.Request.Header
	body := f.body
	b := make([]byte, 0, 1024+len(body))
	b = append(b, h.Method()...)
	b = append(b, ' ')
	b = append(b, h.RequestURI()...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = f.server.options.Codec.AppendRequest(b, h, message.Forward{
		Target: f.run.Target.ID, Customer: f.customer, Remaining: f.left(), LastEventID: lastEvent, HideKey: f.hideKey,
		CopyFrom: f.decision.CopyFrom,
	})
	if len(body) > 0 || h.ContentLength() >= 0 && !h.IsGet() && !h.IsHead() {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// left is the time that the request still has, at least a millisecond.
func (f *flight) left() time.Duration {
	return max(f.deadline.Sub(f.server.options.Clock.Now()), time.Millisecond)
}

// receive reads the answer.
func (f *flight) receive(ctx *fasthttp.RequestCtx, c *link.Conn, sent *sending) (*answer, *target.Failure) {
	ans := new(answer)
	if fail := f.readHead(c, ans); fail != nil {
		return nil, fail
	}
	if fail := f.declined(ans); fail != nil {
		return nil, fail
	}
	status := ans.header.StatusCode()
	switch {
	case saysNotRun(status):
		return nil, f.fail(target.Broken, status, errNoPromise, "read answer")
	case status < fasthttp.StatusMultipleChoices && !ans.facts.Signed:
		return nil, f.fail(target.Broken, status, errUnsigned, "read answer")
	}
	body := newBody(c.Reader, &ans.header, ctx.IsHead())
	if status == fasthttp.StatusOK && f.engine {
		ans.stream = newStream(f, c, ans, body, sent)
		return ans, nil
	}
	var err error
	if ans.body, err = body.first(inMemory); err != nil {
		return nil, f.fail(target.Broken, status, err, "read answer")
	}
	if len(ans.body) == inMemory {
		ans.stream = newLarge(f, c, ans, body, sent, ans.body)
		return ans, nil
	}
	if status >= fasthttp.StatusInternalServerError {
		f.run.End(place.ErrorResponse) // the later End has no effect then
	}
	f.run.End(place.Answered)
	f.judge(rollout.Outcome{Failed: status >= fasthttp.StatusInternalServerError, Duration: f.sinceSent(), Size: 1})
	f.clear(body)
	f.finish(c, ans, body, sent)
	return ans, nil
}

// declined is the failure of an answer that promises that the request did not
// run, nil for other answers. Status 421 promises it without the header: it comes
// from another run of the target, which the request was not meant for.
func (f *flight) declined(ans *answer) *target.Failure {
	status := ans.header.StatusCode()
	switch {
	case status == fasthttp.StatusMisdirectedRequest:
		return f.fail(target.Replaced, status, errReplaced, "read answer")
	case ans.facts.NotRun:
		return f.fail(target.Refused, status, errNotRun, "read answer")
	}
	return nil
}

// saysNotRun reports whether callers take a status alone as a promise that their
// request did not run. A target that sends it without making the promise in a
// header may have run the request.
func saysNotRun(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// maxStray is the number of late answers to other requests that are read over
// on one connection.
const maxStray = 2

// readHead reads the head of the answer to this request. Late answers to
// earlier requests on the connection are read over.
func (f *flight) readHead(c *link.Conn, ans *answer) *target.Failure {
	for stray := 0; ; {
		if err := ans.header.Read(c.Reader); err != nil {
			return f.fail(target.Broken, 0, err, "read head of answer")
		}
		f.run.RecordReceived()
		if ans.header.StatusCode() < fasthttp.StatusOK {
			continue
		}
		ans.facts = f.server.options.Codec.DecodeResponse(&ans.header)
		f.takeNotice(c, ans)
		if ans.facts.ID == f.call.ID {
			return nil
		}
		if ans.facts.ID == "" && ans.facts.NotRun || stray >= maxStray || !c.Reused {
			return f.stray(ans)
		}
		stray++
		if err := newBody(c.Reader, &ans.header, false).skip(); err != nil {
			return f.fail(target.Mismatched, 0, err, "read over the answer of another request")
		}
	}
}

// stray is the failure of an answer that names another request, or none.
func (f *flight) stray(ans *answer) *target.Failure {
	if ans.facts.ID == "" {
		if fail := f.declined(ans); fail != nil {
			return fail
		}
	}
	return f.fail(target.Mismatched, ans.header.StatusCode(), errCrossed, "read answer")
}

// finish gives the connection back after a whole answer.
func (f *flight) finish(c *link.Conn, ans *answer, body *body, sent *sending) {
	reusable := f.detach() && body.framed() && sent.done.Load() && !ans.facts.Close
	if !reusable {
		c.Close() //nolint:errcheck // the answer is whole
		return
	}
	f.server.options.Links.Put(c, ans.facts.IdleTimeout)
}
