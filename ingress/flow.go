package ingress

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/bootclock"
	"zinccove.example/zinccove/dispatch"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/request"
	"zinccove.example/zinccove/target"
)

// flow carries one request through the queue and its attempts. It is used by
// one goroutine; only interrupt may be called by others.
type flow struct {
	server     *Server
	request    *request.Request
	submission dispatch.Request
	accepted   time.Time
	deadline   time.Time
	slot       *dispatch.Slot
	// content identifies the request for the quarantine.
	content quarantine.Content
	// partial is set once the current attempt has received a part of the response.
	partial bool
	conn    net.Conn
	// unwatch stops watching conn; it is nil until watch is called.
	unwatch func()

	mu sync.Mutex
	// callerDone is closed when the caller has disconnected.
	callerDone   chan struct{}
	disconnected bool
	// stream is the attempt that interrupt closes; cancel cancels it at its engine.
	stream *target.Stream
	cancel func()
}

// watch interrupts the flow when the caller disconnects.
func (f *flow) watch() {
	if f.unwatch == nil {
		f.unwatch = f.server.watcher.Watch(f.conn, f.interrupt)
	}
}

func (f *flow) interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disconnected {
		return
	}
	f.disconnected = true
	close(f.callerDone)
	f.server.options.Metrics.Inc(metric.CallersGone)
	if f.stream == nil {
		return
	}
	stream, cancel := f.stream, f.cancel
	f.server.group.Go(func() error {
		stream.Close()
		cancel()
		return nil
	})
}

func (f *flow) callerDisconnected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disconnected
}

// setStream makes s the stream that interrupt closes. It returns false if the
// caller has already disconnected.
func (f *flow) setStream(s *target.Stream, cancel func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stream, f.cancel = s, cancel
	return !f.disconnected
}

// acquire waits in the queue for a slot.
func (f *flow) acquire() *Refusal {
	if f.server.options.Quarantine.Barred(&f.content) != nil {
		f.server.options.Metrics.Inc(metric.RequestsBarred)
		return f.giveUp(refuse(CodeEndsTargets, "targets ended while they ran this request, so it is not run again"))
	}
	f.request.Queue()
	ticket, err := f.server.options.Dispatcher.Submit(f.submission)
	if err != nil {
		var refused *dispatch.RefusedError
		eris.As(err, &refused)
		return f.giveUp(queueRefusal(refused))
	}
	select {
	case slot, ok := <-ticket.Granted():
		return f.assignSlot(ticket, slot, ok)
	default:
	}
	return f.awaitSlot(ticket)
}

// assignSlot assigns a granted slot to the flow. If ok is false, no slot was granted,
// and it returns the refusal of the ticket.
func (f *flow) assignSlot(ticket *dispatch.Ticket, slot *dispatch.Slot, ok bool) *Refusal {
	if !ok {
		return f.giveUp(queueRefusal(ticket.Refusal()))
	}
	f.slot = slot
	f.server.options.Metrics.Observe(metric.QueueWait, f.server.options.Clock.Since(f.accepted))
	return nil
}

// awaitSlot waits for the slot, the deadline or the disconnection of the caller.
func (f *flow) awaitSlot(ticket *dispatch.Ticket) *Refusal {
	f.watch()
	timeout := f.server.options.Clock.NewTimer(f.deadline.Sub(f.server.options.Clock.Now()))
	defer timeout.Stop()
	select {
	case slot, ok := <-ticket.Granted():
		return f.assignSlot(ticket, slot, ok)
	case <-timeout.Chan():
		ticket.Abandon()
		return f.giveUp(withRetryAfter(refuse(CodeDeadline, "the deadline passed while the request waited")))
	case <-f.callerDone:
		ticket.Abandon()
		return f.giveUp(refuse(CodeCallerGone, "the caller went away"))
	}
}

func withRetryAfter(r *Refusal) *Refusal {
	r.RetryAfter = defaultRetryDelay
	return r
}

// attempt returns the next attempt, for the slot that the flow holds.
func (f *flow) attempt() target.Attempt {
	f.partial = false
	f.server.options.Metrics.Inc(metric.Attempts)
	if f.request.Attempts() > 0 {
		f.server.options.Metrics.Inc(metric.Retries)
	}
	return target.Attempt{
		RequestID:    f.request.ID(),
		ID:           f.request.Dispatch(),
		Priority:     int64(f.slot.Level),
		ModelVersion: f.slot.Target().ModelVersion,
		Deadline:     bootclock.ToMonotonic(f.server.options.Clock, f.deadline),
		OnNotice:     f.slot.HandleNotice,
	}
}

// release returns the slot, if the flow holds one, to the dispatcher.
func (f *flow) release(r dispatch.Result) {
	if f.slot != nil {
		f.slot.Release(r)
		f.slot = nil
	}
}

// giveUp ends the request with a refusal that carries the request's outcome.
func (f *flow) giveUp(r *Refusal) *Refusal {
	f.request.GiveUp(false)
	return f.withOutcome(r)
}

func (f *flow) withOutcome(r *Refusal) *Refusal {
	r.Outcome = f.request.Outcome()
	r.RequestID = f.request.ID()
	return r
}

// handleFailure records a failed attempt. It returns nil if the request is to be
// queued again, otherwise the refusal for the caller.
func (f *flow) handleFailure(fail *target.Failure) *Refusal {
	if fail.Kind == target.Mismatched {
		f.server.options.Metrics.Inc(metric.AttemptsCrossed)
	}
	f.submission.Avoid = f.slot.Target().Number
	now := f.server.options.Clock.Now()
	if f.callerDisconnected() {
		// This router closed the attempt, so its failure is no evidence against the target.
		f.release(dispatch.Cancelled)
		f.request.GiveUp(true)
		return f.withOutcome(refuse(CodeCallerGone, "the caller went away"))
	}
	if fail.ConnectionLost() {
		f.server.options.Quarantine.RecordLoss(&f.content, f.server.incarnations.of(f.slot.Target().Number, now), f.progress())
	}
	f.release(dispatchResults[fail.Kind])
	if f.request.Fail(fail.Kind, now, f.server.retries.TryWithdraw) == request.Retry {
		f.backOff()
		return nil
	}
	if !now.Before(f.deadline) {
		return f.withOutcome(withRetryAfter(refuse(CodeDeadline, "the deadline passed while the request ran")))
	}
	return f.withOutcome(failureRefusal(fail))
}

// progress returns how far the target of the current attempt was with its response.
func (f *flow) progress() quarantine.Progress {
	if f.partial {
		return quarantine.Begun
	}
	return quarantine.NotBegun
}

// recordResponse records that the complete response was received.
func (f *flow) recordResponse() {
	f.request.Answer()
	f.server.options.Quarantine.RecordResponse(&f.content)
}

// initialBackoff is the maximum delay before the first retry; it doubles with
// each attempt.
const initialBackoff = 10 * time.Millisecond

// backOff waits a random time before a retry, so that the requests of a failed
// target are not all retried at the same time.
func (f *flow) backOff() {
	maxDelay := initialBackoff << (f.request.Attempts() - 1)
	select {
	case <-f.server.options.Clock.After(rand.N(maxDelay)):
	case <-f.callerDone:
	}
}

// dispatchResults maps the failure of an attempt to the result for the dispatcher.
var dispatchResults = map[target.Kind]dispatch.Result{
	target.NotSent:    dispatch.Failed,
	target.Refused:    dispatch.Refused,
	target.Broken:     dispatch.Failed,
	target.Mismatched: dispatch.Failed,
	target.Rejected:   dispatch.Cancelled,
	target.Replaced:   dispatch.Refused,
}

func failureRefusal(fail *target.Failure) *Refusal {
	switch fail.Kind {
	case target.Refused:
		return withRetryAfter(refuse(CodeTargetRefused, "every target refused the request"))
	case target.Rejected:
		return refuse(CodeRejected, "the target found the request wrong")
	default:
		return withRetryAfter(refuse(CodeTargetFailed, "the target or the way to it failed"))
	}
}

// close ends the flow. It is called once, when the response has been passed to
// the HTTP server or written, or the request has been given up.
func (f *flow) close() {
	if f.unwatch != nil {
		f.unwatch()
	}
	f.release(dispatch.Cancelled)
	f.server.options.Metrics.Observe(metric.RequestTime, f.server.options.Clock.Since(f.accepted))
	f.server.accepted.Add(-1)
}
