package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/link"
	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/notice"
	"zinccove.example/zinccove/offload"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/request"
	"zinccove.example/zinccove/route"
	"zinccove.example/zinccove/target"
)

// cause is the reason why a request was cancelled.
type cause int

const (
	// causeNone: the request was not cancelled.
	causeNone cause = iota
	// causeCallerClosed: the caller closed its connection.
	causeCallerClosed
	// causeTimeUp: the route's time limit or the caller's deadline passed.
	causeTimeUp
	// causeStopped: the limit of a graceful shutdown was reached.
	causeStopped
	// causeCallerStalled: the caller read no bytes of its response for too long.
	causeCallerStalled
)

// flight is one request in flight. One goroutine uses it; other goroutines may call only
// interrupt and what interrupt uses.
type flight struct {
	server   *Server
	conn     net.Conn
	received time.Time
	call     message.RequestInfo
	// table is the one that the request was admitted with, version its version.
	table   *route.Table
	version uint64
	route   *route.Route
	service string
	// engine reports that the service runs model engines, which respond with streams.
	engine   bool
	customer string
	// priority is that of the customer; 0 is the highest.
	priority int
	// regions are the regions in which the request may run; nil allows all.
	regions []string
	// versions restricts the versions of targets at which the request may run.
	versions place.Versions
	// resumed is set once the request continues a stream that has begun, software is the version
	// of the software that began it.
	resumed  bool
	software string
	// originSource is how the origin of a stream that the caller resumes is known; empty if the
	// caller resumes none.
	originSource string
	// hideKey makes the router remove the caller's API key from the request to the target.
	hideKey   bool
	deadline  time.Time
	lifecycle *request.Request
	// tried are the incarnations of the targets of all attempts, the current one last.
	tried    []string
	decision place.Decision

	// body is the body of the request, reserved the number of bytes reserved for it if it is
	// large.
	body     []byte
	reserved int64
	// header is the header of the request. content identifies what the request asks for; it is
	// set on first use.
	header  *fasthttp.RequestHeader
	content *quarantine.Content
	// barred is the attribute because of which the request was refused.
	barred *quarantine.Attribute
	// run is the current attempt.
	run *place.Run
	// notice is what the target of the current attempt reported about itself.
	notice notice.Notice
	// takenOver is set if another router handed the request over, offloadTo holds the routers to
	// which this one hands it over.
	takenOver bool
	offloadTo []offload.Router
	// deposited is set once the request has added to the budget of retries.
	deposited bool
	// dispatching is set from the admission of a stream until it is sent for the first time.
	dispatching bool
	// queryTime is how long the last placement waited for replies of other routers.
	queryTime time.Duration
	// waits is set while the request is counted among those that wait.
	waits bool
	// waited is how long the request has waited for a place, waitedLate whether it then could not meet
	// its objective any more.
	waited     time.Duration
	waitedLate bool
	// connectSpent is how long connecting to targets has taken so far.
	connectSpent time.Duration
	// next is the continuation that the next attempt sends, continues the one that the current
	// attempt is; nil if it is none.
	next      *continuation
	continues *continuation
	// noRetry is why no further attempt was made after a failed one; empty while that is open.
	noRetry string
	// responseBegan is when the first byte of the body arrived in the current attempt; zero before.
	responseBegan time.Time
	// targetRuns is set if the target of the current attempt broke the connection and still runs.
	targetRuns bool
	// passing is set once a part of the response was passed on.
	passing atomic.Bool
	// unfinished is the time since which a head, an event or a trailer of the response is incomplete.
	unfinished stallTimer
	// firstEvent is the time from receiving the request to the first event of its stream.
	firstEvent time.Duration
	// passedAt is when bytes were last passed on to the caller, in nanoseconds since the Unix epoch.
	passedAt atomic.Int64
	// stall is the time since which the caller has not read the bytes that a stream passed on.
	stall stallTimer

	// mu guards the fields below, which other goroutines may use.
	mu sync.Mutex
	// link is the connection of the current attempt, nil between attempts.
	link *link.Conn
	// linkRun is the attempt that link belongs to, sent the time when it got the connection;
	// attempts counts the attempts that got one.
	linkRun  *place.Run
	sent     time.Time
	attempts int
	cause    cause
	// witness shows whether the target of the current attempt still runs; nil if there is none. Only
	// the goroutine of the request sets it.
	witness *witness
	// reading is set while the body is read.
	reading bool
	// remote is the stream to the router that serves the request, nil if this one does.
	remote net.Conn
	// grace is how much longer than its time limit the request may take here.
	grace time.Duration
	// wake is closed by interrupt while the request waits for a place, nil otherwise.
	wake chan struct{}
}

// serve makes attempts until the request is complete. Streams end later, in their Close.
func (f *flight) serve(ctx *fasthttp.RequestCtx) {
	for {
		resp, fail, r := f.attempt(ctx, "")
		switch {
		case r != nil:
			f.refuse(ctx, r)
			return
		case fail != nil:
			if f.retryAfterFailure(fail) {
				continue
			}
			f.giveUp(ctx, fail)
			return
		case resp.stream != nil:
			f.writeStream(ctx, resp)
			return
		}
		if f.retryAfterErrorResponse(resp) {
			continue
		}
		f.writeResponse(ctx, resp)
		return
	}
}

// retryAfterErrorResponse decides whether another target is tried after a response with status
// 500 and above. If not, the caller gets that response.
func (f *flight) retryAfterErrorResponse(resp *response) bool {
	status := resp.header.StatusCode()
	if status < fasthttp.StatusInternalServerError {
		return false
	}
	now := f.server.options.Clock.Now()
	if !f.route.Retryable() || !f.lifecycle.MayRetry(target.Broken, now) || !f.server.options.Retries.TryWithdraw() {
		return false
	}
	f.server.logAttempt(f, failureOfTarget, status, nil)
	f.lifecycle.Fail(target.Broken, now, func() bool { return true })
	return true
}

// retryAfterFailure decides whether another target is tried after a failed attempt.
func (f *flight) retryAfterFailure(fail *target.Failure) bool {
	f.server.logAttempt(f, failureNames[fail.Kind], fail.Status, fail)
	if fail.Kind == target.Mismatched {
		f.server.options.Metrics.Inc(metric.AttemptsCrossed)
	}
	f.noRetry = noRetryLimit
	if f.interrupted() != causeNone {
		f.noRetry = noRetryCancelled
		f.lifecycle.GiveUp(!fail.Kind.NotRun())
		return false
	}
	if fail.Kind == target.NotSent && f.firstEvent == 0 && f.connectBudget() < minConnectTimeout {
		f.lifecycle.GiveUp(false) // another router may be faster
		return false
	}
	if f.continueAtBackup(fail) {
		return true
	}
	take := f.withdrawRetry
	if fail.Kind == target.NotSent {
		// The budget limits repeated arrivals at a service. Replaced attempts did arrive, at
		// another incarnation of the target, so the retry after one is counted against the
		// budget.
		take = func() bool { return true }
	}
	return f.lifecycle.Fail(fail.Kind, f.server.options.Clock.Now(), take) == request.Retry
}

// responding returns how long the target of the current attempt has been sending the body of its
// response; 0 if nothing of it arrived.
func (f *flight) responding() time.Duration {
	if f.responseBegan.IsZero() {
		return 0
	}
	return f.server.options.Clock.Since(f.responseBegan)
}

// withdrawRetry takes one retry from the budget.
func (f *flight) withdrawRetry() bool {
	ok := f.server.options.Retries.TryWithdraw()
	if !ok {
		f.noRetry = noRetryBudget
	}
	return ok
}

// Reasons in logs for making no further attempt. Further ones are the reasons of refusals.
const (
	// noRetryLimit: the request may not be repeated, has no attempts left or no time.
	noRetryLimit     = "limit"
	noRetryCancelled = "cancelled"
	noRetryBudget    = "budget"
	// noRetryPosition: no target can be told from where the stream has to go on.
	noRetryPosition = "no_position"
)

// failureOfTarget is the name in logs of a response with status 500 and above.
const failureOfTarget = "target_error"

// failureNames are the names of failures in logs and refusals.
var failureNames = map[target.Kind]string{
	target.NotSent:    "not_sent",
	target.Refused:    "refused_by_target",
	target.Replaced:   "replaced",
	target.Broken:     "broken",
	target.Mismatched: "crossed",
	target.Rejected:   "rejected",
}

// targetsBusyRetry is the shortest Retry-After of a request that every target refused.
const targetsBusyRetry = 150 * time.Millisecond

// giveUp refuses a request whose attempts failed.
func (f *flight) giveUp(ctx *fasthttp.RequestCtx, fail *target.Failure) {
	r := &refusal{reason: failureNames[fail.Kind]}
	switch {
	case f.interrupted() == causeCallerClosed:
		f.end(ctx, &refusal{status: fasthttp.StatusBadGateway, reason: reasonCallerGone})
		ctx.SetConnectionClose()
		return
	case f.lifecycle.Outcome() == request.NotRun && fail.Kind == target.NotSent:
		r.status, r.retryAfter = fasthttp.StatusServiceUnavailable, f.server.busyRetry()
	case f.lifecycle.Outcome() == request.NotRun:
		r.status, r.retryAfter = fasthttp.StatusServiceUnavailable, max(targetsBusyRetry, f.server.options.Placer.Backoff(f.service))
	case f.interrupted() == causeTimeUp:
		r.status, r.reason = fasthttp.StatusGatewayTimeout, reasonTimeLimit
	default:
		r.status = fasthttp.StatusBadGateway
	}
	f.end(ctx, r)
}

// refuse refuses a request for which there is no target. Status 502 replaces the status of the
// refusal if an earlier attempt may have run the request.
func (f *flight) refuse(ctx *fasthttp.RequestCtx, r *refusal) {
	if f.lifecycle.Outcome() != request.NotRun {
		r = &refusal{status: fasthttp.StatusBadGateway, reason: r.reason}
	}
	f.lifecycle.GiveUp(false)
	f.end(ctx, r)
}

// end writes a refusal and ends the request.
func (f *flight) end(ctx *fasthttp.RequestCtx, r *refusal) {
	f.server.logRefused(f, r)
	f.writeRefusal(ctx, r)
	f.server.unregister(f)
}

// markDispatched records that a stream is sent to a target, or that it ends before that.
func (f *flight) markDispatched() {
	if f.dispatching {
		f.dispatching = false
		f.server.throttle.dispatched()
	}
}

// interrupt ends the current attempt and prevents later ones.
func (f *flight) interrupt(c cause) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cause != causeNone {
		return
	}
	f.cause = c
	if f.link != nil {
		f.link.Close() //nolint:errcheck // the attempt ends with it
	}
	if f.witness != nil {
		f.witness.close()
	}
	f.closeRemote()
	f.endWait()
	if f.reading {
		f.conn.SetReadDeadline(time.Unix(0, 1).UTC()) //nolint:errcheck // the caller has left
	}
	if c == causeCallerClosed {
		f.server.options.Metrics.Inc(metric.CallersGone)
	}
}

// beginReading makes interrupt end the read of the body. It reports false if the request was cancelled.
func (f *flight) beginReading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reading = f.cause == causeNone
	return f.reading
}

func (f *flight) endReading() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reading = false
}

func (f *flight) interrupted() cause {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cause
}

// attach makes c the connection that interrupt closes. It reports false if the request was
// cancelled.
func (f *flight) attach(c *link.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.server.options.Clock.Now()
	if f.cause == causeNone && !now.Before(f.deadline) {
		// The host may have been suspended, so that no timer has fired although the time is up.
		f.cause = causeTimeUp
	}
	if f.cause != causeNone {
		return false
	}
	f.link, f.linkRun = c, f.run
	f.sent = now
	f.attempts++
	return true
}

// maxSilenceShare is the share of the objective for which a plain target may be silent before a
// repeatable request is sent to another target.
const maxSilenceShare = 0.6

// maxUnfinished is how long a target may send parts of one head, event or trailer of a request that may
// continue elsewhere. A target writes each of them at once; a lost packet is sent again within it.
const maxUnfinished = time.Second

// abandonLostTarget ends the attempt at a target that seems lost, so that the request is
// repeated elsewhere before its caller gives up. A target seems lost if its data centre seems
// to be cut off, if it is a plain service that does not respond in time, or if it does not finish
// what it began to write.
func (f *flight) abandonLostTarget(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.link == nil {
		return
	}
	silent := !f.engine && !f.passing.Load() && now.Sub(f.sent) > time.Duration(maxSilenceShare*float64(f.route.Objective))
	late := silent || f.unfinished.exceeds(maxUnfinished, now)
	if late && f.attempts < f.route.MaxAttempts || f.linkRun.CutOff() {
		f.link.Close() //nolint:errcheck // the attempt ends with it
	}
}

// detach makes interrupt leave the connection open. It reports whether the connection may be
// used again.
func (f *flight) detach() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.link = nil
	return f.cause == causeNone
}
