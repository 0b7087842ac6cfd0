package relay

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/link"
	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/notice"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/request"
	"zinccove.example/zinccove/route"
	"zinccove.example/zinccove/target"
)

// cause says why a request was ended from outside.
type cause int

const (
	// running: it was not ended from outside.
	running cause = iota
	// callerGone: the caller closed its connection.
	callerGone
	// timeUp: the route's time limit or the caller's deadline passed.
	timeUp
	// stopped: the limit of a planned stop was reached.
	stopped
	// callerStalled: the caller took no bytes of its answer for too long.
	callerStalled
)

// flight is one request on its way. One goroutine uses it; only interrupt and
// what it needs may be used by others.
type flight struct {
	server   *Server
	conn     net.Conn
	received time.Time
	call     message.RequestInfo
	// version is that of the table that the request was admitted with.
	version uint64
	route   *route.Route
	service string
	// engine tells that the service runs model engines, which answer in streams.
	engine   bool
	customer string
	// regions are those in which the request may run; nil allows all.
	regions []string
	// versions are those of targets at which it may run.
	versions place.Versions
	// hideKey keeps the caller's API key from the target.
	hideKey  bool
	deadline time.Time
	life     *request.Request
	// tried are the incarnations of the targets of all attempts, the current one last.
	tried    []string
	decision place.Decision

	// body is that of the request, reserved the room that it takes if it is large.
	body     []byte
	reserved int64
	// header is that of the request, content what it asks for once that was needed.
	header  *fasthttp.RequestHeader
	content *quarantine.Content
	// run is the current attempt.
	run *place.Run
	// said is what the target of the current attempt said of itself.
	said notice.Notice
	// starting is set from when a stream was taken until it is sent for the first time.
	starting bool
	// asked is how long the last placement waited for answers of other routers.
	asked time.Duration
	// connecting is how long connecting to targets has taken.
	connecting time.Duration
	// firstEvent is the time from acceptance to the first event of a stream.
	firstEvent time.Duration
	// untaken tells since when the caller has not taken what a stream handed over.
	untaken untaken

	// What follows may be used by other goroutines, under mu.
	mu sync.Mutex
	// link is the connection of the current attempt, nil between attempts.
	link *link.Conn
	// at is the run that link belongs to, sent when it got the connection;
	// attempts counts those that got one.
	at       *place.Run
	sent     time.Time
	attempts int
	cause    cause
}

// serve carries the request to its end. Streams end later, in their Close.
func (f *flight) serve(ctx *fasthttp.RequestCtx) {
	for {
		ans, fail, r := f.attempt(ctx, "")
		switch {
		case r != nil:
			f.refuse(ctx, r)
			return
		case fail != nil:
			if f.next(fail) {
				continue
			}
			f.giveUp(ctx, fail)
			return
		case ans.stream != nil:
			f.passStream(ctx, ans)
			return
		}
		if f.nextAfterAnswer(ans) {
			continue
		}
		f.passWhole(ctx, ans)
		return
	}
}

// nextAfterAnswer decides whether another target is tried after an answer that
// is a failure of the target's own (status 500 and above). If not, the caller
// gets that answer.
func (f *flight) nextAfterAnswer(ans *answer) bool {
	status := ans.header.StatusCode()
	if status < fasthttp.StatusInternalServerError {
		return false
	}
	now := f.server.options.Clock.Now()
	if !f.route.Retryable() || !f.life.MayRetry(target.Broken, now) || !f.server.options.Retries.TryWithdraw() {
		return false
	}
	f.server.logAttempt(f, failureOfTarget, status, nil)
	f.life.Fail(target.Broken, now, func() bool { return true })
	return true
}

// next decides whether another target is tried after a failed attempt.
func (f *flight) next(fail *target.Failure) bool {
	f.server.logAttempt(f, failureNames[fail.Kind], fail.Status, fail)
	if fail.Kind == target.Mismatched {
		f.server.options.Metrics.Inc(metric.AttemptsCrossed)
	}
	if f.interrupted() != running {
		f.life.GiveUp(!fail.Kind.NotRun())
		return false
	}
	if fail.Kind == target.NotSent && f.firstEvent == 0 && f.connectLeft() < leastConnect {
		f.life.GiveUp(false) // another router may be faster
		return false
	}
	take := f.server.options.Retries.TryWithdraw
	if fail.Kind == target.NotSent {
		// The budget is for second arrivals at a service. Replaced attempts did
		// arrive, at another run, so what follows them takes from it.
		take = func() bool { return true }
	}
	return f.life.Fail(fail.Kind, f.server.options.Clock.Now(), take) == request.Retry
}

// failureOfTarget is the name in logs of an answer of status 500 and above.
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

// busyRetry is when a caller may come back after every target refused.
const busyRetry = 150 * time.Millisecond

// giveUp answers a request whose attempts failed.
func (f *flight) giveUp(ctx *fasthttp.RequestCtx, fail *target.Failure) {
	r := &refusal{reason: failureNames[fail.Kind]}
	switch {
	case f.interrupted() == callerGone:
		f.end(ctx, &refusal{status: fasthttp.StatusBadGateway, reason: reasonCallerGone})
		ctx.SetConnectionClose()
		return
	case f.life.Outcome() == request.NotRun && fail.Kind == target.NotSent:
		r.status, r.retryAfter = fasthttp.StatusServiceUnavailable, routerBusyRetry
	case f.life.Outcome() == request.NotRun:
		r.status, r.retryAfter = fasthttp.StatusServiceUnavailable, max(busyRetry, f.server.options.Placer.Backoff(f.service))
	case f.interrupted() == timeUp:
		r.status, r.reason = fasthttp.StatusGatewayTimeout, reasonTimeLimit
	default:
		r.status = fasthttp.StatusBadGateway
	}
	f.end(ctx, r)
}

// refuse answers a request for which there is no target. It has not run if no
// earlier attempt may have.
func (f *flight) refuse(ctx *fasthttp.RequestCtx, r *refusal) {
	if f.life.Outcome() != request.NotRun {
		r = &refusal{status: fasthttp.StatusBadGateway, reason: r.reason}
	}
	f.life.GiveUp(false)
	f.end(ctx, r)
}

// end answers with a refusal and ends the request.
func (f *flight) end(ctx *fasthttp.RequestCtx, r *refusal) {
	f.server.logRefused(f, r)
	r.write(ctx)
	f.server.leave(f)
}

// started notes that a stream is on its way to a target, or that it ends before.
func (f *flight) started() {
	if f.starting {
		f.starting = false
		f.server.throttle.started()
	}
}

// interrupt ends the attempt that runs and all later ones.
func (f *flight) interrupt(c cause) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cause != running {
		return
	}
	f.cause = c
	if f.link != nil {
		f.link.Close() //nolint:errcheck // the attempt ends with it
	}
	if c == callerGone {
		f.server.options.Metrics.Inc(metric.CallersGone)
	}
}

func (f *flight) interrupted() cause {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cause
}

// attach makes c the connection that interrupt closes.
func (f *flight) attach(c *link.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.server.options.Clock.Now()
	if f.cause == running && !now.Before(f.deadline) {
		// The host may have been suspended: its timers do not show that time is up.
		f.cause = timeUp
	}
	if f.cause != running {
		return false
	}
	f.link, f.at = c, f.run
	f.sent = now
	f.attempts++
	return true
}

// patience is the part of the objective that a plain target may be silent for
// before a request that may be repeated is given to another one.
const patience = 0.6

// leaveLostTarget ends the attempt at a target that seems lost, so that the
// request is repeated elsewhere before its caller gives up: its data centre
// seems to be cut off, or a plain service does not answer in time.
func (f *flight) leaveLostTarget(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.link == nil {
		return
	}
	late := !f.engine && f.attempts < f.route.MaxAttempts &&
		now.Sub(f.sent) > time.Duration(patience*float64(f.route.Objective))
	if late || f.at.CutOff() {
		f.link.Close() //nolint:errcheck // the attempt ends with it
	}
}

// detach takes the connection away from interrupt. It reports whether the
// connection may be used again.
func (f *flight) detach() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.link = nil
	return f.cause == running
}
