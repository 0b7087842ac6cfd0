package relay

import (
	"bytes"
	"cmp"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/head"
	"zinccove.example/zinccove/link"
	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/notice"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/rollout"
	"zinccove.example/zinccove/route"
	"zinccove.example/zinccove/target"
)

// response is a target's response. Exactly one of body and stream is set.
type response struct {
	header fasthttp.ResponseHeader
	info   message.ResponseInfo
	body   []byte
	stream *stream
}

// attempt sends the request to one target. LastEvent is the last event of a stream that is
// resumed. The refusal is set if there is no target.
func (f *flight) attempt(ctx *fasthttp.RequestCtx, lastEvent string) (*response, *target.Failure, *refusal) {
	s := f.server
	if r := f.refuseBarred(); r != nil {
		f.dropContinuation()
		return nil, nil, r
	}
	if r := f.refuseStopping(); r != nil {
		return nil, nil, r
	}
	d := f.nextDecision()
	if d.Waiting != nil {
		var r *refusal
		if d, r = f.awaitPlace(d); r != nil {
			return nil, nil, r
		}
	}
	if d.Run == nil {
		status := fasthttp.StatusTooManyRequests
		if d.Reason != place.Overloaded {
			status = fasthttp.StatusServiceUnavailable
		}
		return nil, nil, &refusal{status: status, reason: string(d.Reason), retryAfter: d.RetryAfter}
	}
	if r := f.refuseBarredSince(d.Run); r != nil {
		return nil, nil, r
	}
	s.options.Metrics.Inc(metric.Attempts)
	if len(f.tried) > 0 {
		s.options.Metrics.Inc(metric.Retries)
	}
	f.run, f.notice, f.responseBegan = d.Run, notice.Notice{}, time.Time{}
	f.targetRuns = false
	f.tried = append(f.tried, d.Run.Incarnation())
	f.startVersion()
	f.lifecycle.Queue()
	f.lifecycle.Dispatch()
	s.logPlaced(f, cmp.Or(lastEvent, f.call.LastEventID))
	f.countBackup()
	resp, fail := f.exchange(ctx, lastEvent)
	f.recordContinued(fail)
	if fail != nil {
		d.Run.End(f.result(fail.Kind))
		f.recordLoss(fail, fail.Status != 0)
		f.recordFailure(fail)
	}
	return resp, fail, nil
}

// placement returns the request as the placer sees it.
func (f *flight) placement() place.Request {
	return place.Request{
		Service: f.service, Customer: f.customer, Objective: f.route.Objective, Call: &f.call, Tried: f.tried, Regions: f.regions, Versions: f.versions,
		Resumed: f.resumed, Version: f.software, Repeatable: f.route.Retryable(),
		Elapsed: f.server.options.Clock.Since(f.received), Left: f.left(), MayWait: f.mayWait(), CustomerPriority: f.priority, RoutePriority: f.route.Priority,
	}
}

// nextDecision returns the target of the next attempt: the backup of a run that goes on there, or one that
// is chosen.
func (f *flight) nextDecision() place.Decision {
	if f.next != nil {
		f.decision = f.takeContinuation()
		return f.decision
	}
	f.continues = nil
	return f.place()
}

// place chooses a target, after querying the owners of candidates unless this router is
// impaired.
func (f *flight) place() place.Decision {
	r := f.placement()
	r.LastAttempt = f.lifecycle.LastAttempt()
	s := f.server
	var replies []place.Reply
	if s.options.Query != nil && !s.impaired() {
		began := s.options.Clock.Now()
		replies = s.options.Query(s.options.Placer.Queries(r))
		if further := s.options.Placer.FurtherQueries(r, replies); len(further) > 0 {
			replies = append(replies, s.options.Query(further)...)
		}
		f.queryTime = s.options.Clock.Since(began)
	}
	f.decision = s.options.Placer.Place(r, replies...)
	f.countPlacement()
	return f.decision
}

// countPlacement counts at which home the request was placed and where it copies from.
func (f *flight) countPlacement() {
	m, d := f.server.options.Metrics, &f.decision
	if d.Run == nil {
		return
	}
	switch d.Home {
	case place.NearHome:
		m.Inc(metric.PlacedNear)
	case place.SpilledHome:
		m.Inc(metric.PlacedSpilled)
	}
	if d.Holding {
		m.Inc(metric.CopiedByHolding)
	}
}

// result returns what a failed attempt shows about the target: Cancelled, which counts neither
// for nor against the target, if the attempt was ended by this router or the caller.
func (f *flight) result(kind target.Kind) place.Result {
	if f.interrupted() != causeNone {
		return place.Cancelled
	}
	return results[kind]
}

// results maps the kind of a failed attempt to the result reported to the placer.
var results = map[target.Kind]place.Result{
	target.NotSent:    place.Unreachable,
	target.Refused:    place.Refused,
	target.Replaced:   place.Replaced,
	target.Broken:     place.Failed,
	target.Mismatched: place.Failed,
	target.Rejected:   place.Cancelled,
}

// fail describes a failure of the current attempt. Status is 0 if the failure is not a
// response.
func (f *flight) fail(kind target.Kind, status int, err error, step string) *target.Failure {
	return &target.Failure{Kind: kind, Status: status, Err: errs.Wrap(err, step, f.run.Target.Address.String())}
}

var (
	errInterrupted    = eris.New("request was cancelled before it was sent")
	errDeclined       = eris.New("target stopped accepting requests")
	errCallerClosed   = eris.New("caller closed the connection before the request was sent")
	errUnsigned       = eris.New("response has no signature")
	errMismatchedID   = eris.New("response has the ID of another request")
	errReplaced       = eris.New("response comes from another incarnation of the target")
	errNotRun         = eris.New("target did not run the request")
	errInformational  = eris.New("too many informational responses")
	errOutcomeUnknown = eris.New("response leaves open whether the request ran")
)

// exchange sends the request and reads the response head, and the complete response unless it
// is a stream or large.
func (f *flight) exchange(ctx *fasthttp.RequestCtx, lastEvent string) (*response, *target.Failure) {
	c, fail := f.connect()
	if fail != nil {
		return nil, fail
	}
	f.openWitnessEarly()
	sent := f.send(ctx, c, lastEvent)
	resp, fail := f.receive(ctx, c, sent)
	if fail != nil {
		f.detach()
		f.closeWitness()
		c.Close() //nolint:errcheck // the failure is known already
	}
	return resp, fail
}

// maxSyncSend is the size in bytes up to which a request is sent before the response is
// awaited. Longer ones are sent concurrently, because targets may respond before they have read
// them.
const maxSyncSend = 8 << 10

// send writes the request. An error of a write does not end the attempt: the read that follows shows
// whether the target responded before the write failed.
func (f *flight) send(ctx *fasthttp.RequestCtx, c *link.Conn, lastEvent string) *sending {
	b := f.encode(ctx, lastEvent)
	s := newSending()
	write := func() error {
		_, err := c.Write(b)
		s.end(err)
		return nil
	}
	if len(b) <= maxSyncSend {
		write() //nolint:errcheck // returns none
		return s
	}
	f.server.group.Go(write)
	return s
}

// encode returns the request in the form that is sent to the target.
func (f *flight) encode(ctx *fasthttp.RequestCtx, lastEvent string) []byte {
	h := &ctx.Request.Header
	body := f.body
	b := make([]byte, 0, 1024+len(body))
	b = append(b, h.Method()...)
	b = append(b, ' ')
	b = append(b, h.RequestURI()...)
	b = append(b, " HTTP/1.1\r\n"...)
	forward := message.Forward{
		Target: f.run.Target.ID, Customer: f.customer, Remaining: f.left(), LastEventID: lastEvent, HideKey: f.hideKey,
		CopyFrom: f.decision.CopyFrom, BackupTo: f.decision.Backup.Backup.Address,
	}
	if f.continues != nil {
		forward.ContinueAt, forward.RunID = f.continues.backup.Address, f.call.ID
	}
	b = f.server.options.Codec.AppendRequest(b, h, forward)
	if len(body) > 0 || h.ContentLength() >= 0 && !h.IsGet() && !h.IsHead() {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// left returns the time until the deadline of the request, at least a millisecond.
func (f *flight) left() time.Duration {
	return max(f.deadline.Sub(f.server.options.Clock.Now()), time.Millisecond)
}

// receive reads the response.
func (f *flight) receive(ctx *fasthttp.RequestCtx, c *link.Conn, sent *sending) (*response, *target.Failure) {
	resp := new(response)
	if fail := f.readHead(c, resp); fail != nil {
		return nil, fail
	}
	if fail := f.notRunFailure(resp); fail != nil {
		return nil, fail
	}
	status := resp.header.StatusCode()
	switch {
	case impliesNotRun(status):
		return nil, f.fail(target.Broken, status, errOutcomeUnknown, "read response")
	case status < fasthttp.StatusMultipleChoices && !resp.info.Signed:
		return nil, f.fail(target.Broken, status, errUnsigned, "read response")
	}
	body := newBody(c.Reader, &resp.header, ctx.IsHead())
	if body.tooLarge() {
		return nil, f.fail(target.Broken, status, errLargeResponse, "read response")
	}
	f.openWitness(body, c)
	if f.isStream(&resp.header) {
		resp.stream = newStream(f, c, resp, body, sent)
		return resp, nil
	}
	var err error
	if resp.body, err = body.readUpTo(maxBufferedResponse); err != nil {
		return nil, f.fail(target.Broken, status, err, "read response")
	}
	if len(resp.body) == maxBufferedResponse {
		resp.stream = newLarge(f, c, resp, body, sent, resp.body)
		return resp, nil
	}
	if err := f.confirmEnd(body, sent); err != nil {
		return nil, f.fail(target.Broken, status, err, "read response")
	}
	if status >= fasthttp.StatusInternalServerError {
		f.run.End(place.ErrorResponse) // a later End has no effect
	}
	f.run.End(place.Answered)
	f.recordOutcome(rollout.Outcome{Failed: status >= fasthttp.StatusInternalServerError, Duration: f.sinceSent(), Size: 1})
	if status < fasthttp.StatusInternalServerError {
		f.clearContent()
	}
	if status == fasthttp.StatusOK && f.engine {
		f.clearParts()
	}
	f.releaseConn(c, resp, body, sent)
	return resp, nil
}

var eventStream = []byte("text/event-stream")

// isStream reports whether a response is a stream of events. That of an engine without a type is one on a
// route of streams.
func (f *flight) isStream(h *fasthttp.ResponseHeader) bool {
	streaming := f.route.Kind == route.Stream
	if h.StatusCode() != fasthttp.StatusOK || !f.engine && !streaming {
		return false
	}
	mediaType := h.ContentType()
	if len(mediaType) == 0 {
		return f.engine && streaming
	}
	mediaType, _, _ = bytes.Cut(mediaType, []byte(";"))
	return bytes.EqualFold(bytes.TrimSpace(mediaType), eventStream)
}

// notRunFailure returns the failure for a response which guarantees that the request did not
// run, and nil for other responses. Status 421 guarantees it without the header: it comes from
// another incarnation of the target, which the request was not meant for.
func (f *flight) notRunFailure(resp *response) *target.Failure {
	status := resp.header.StatusCode()
	switch {
	case status == fasthttp.StatusMisdirectedRequest:
		return f.fail(target.Replaced, status, errReplaced, "read response")
	case resp.info.NotRun:
		return f.fail(target.Refused, status, errNotRun, "read response")
	}
	return nil
}

// impliesNotRun reports whether callers take the status alone as a guarantee that their request
// did not run. A target that sends this status without the header that guarantees it may have
// run the request.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// maxMismatched is the number of late responses to other requests that are discarded on one
// connection.
const maxMismatched = 2

// maxInformational is the number of informational responses before a response; targets have use for one or two.
const maxInformational = 16

// readHead reads the head of the response to this request. Late responses to earlier requests
// on the connection are discarded.
func (f *flight) readHead(c *link.Conn, resp *response) *target.Failure {
	resp.header.SetNoDefaultContentType(true)
	defer f.unfinished.clear()
	for mismatched, informational := 0, 0; ; {
		f.unfinished.clear()
		if _, err := c.Reader.Peek(1); err == nil {
			f.unfinished.begin(f.server.options.Clock.Now())
		}
		if err := head.Read(c.Reader, &resp.header); err != nil {
			return f.fail(target.Broken, 0, err, "read response head")
		}
		f.run.RecordReceived()
		if resp.header.StatusCode() < fasthttp.StatusOK {
			if informational++; informational > maxInformational {
				return f.fail(target.Broken, 0, errInformational, "read response head")
			}
			continue
		}
		resp.info = f.server.options.Codec.DecodeResponse(&resp.header)
		f.recordNotice(c, resp)
		if resp.info.ID == f.call.ID {
			return nil
		}
		if resp.info.ID == "" && resp.info.NotRun || mismatched >= maxMismatched || !c.Reused {
			return f.mismatchFailure(resp)
		}
		mismatched++
		if err := newBody(c.Reader, &resp.header, false).discard(); err != nil {
			return f.fail(target.Mismatched, 0, err, "discard the response to another request")
		}
	}
}

// mismatchFailure returns the failure for a response that names another request, or none.
func (f *flight) mismatchFailure(resp *response) *target.Failure {
	if resp.info.ID == "" {
		if fail := f.notRunFailure(resp); fail != nil {
			return fail
		}
	}
	return f.fail(target.Mismatched, resp.header.StatusCode(), errMismatchedID, "read response")
}

// releaseConn returns the connection to the pool after a complete response, or closes it if it
// cannot be reused.
func (f *flight) releaseConn(c *link.Conn, resp *response, body *body, sent *sending) {
	reusable := f.detach() && body.framed() && sent.complete() && !resp.info.Close
	if !reusable {
		c.Close() //nolint:errcheck // the response is complete
		return
	}
	f.server.options.Links.Put(c, resp.info.IdleTimeout)
}
