package ingress

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/bootclock"
	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/dispatch"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/request"
	"zinccove.example/zinccove/target"
)

// flow carries one request through queue and attempts. One goroutine uses it;
// only interrupt may be called by others.
type flow struct {
	server   *Server
	request  *request.Request
	submit   dispatch.Request
	accepted time.Time
	deadline time.Time
	slot     *dispatch.Slot
	// asks is what the request asks for.
	asks quarantine.Content
	// partial is set once the current attempt has brought a part of the answer.
	partial bool
	conn    net.Conn
	// unwatch ends the watch of conn, if there is one.
	unwatch func()

	mu sync.Mutex
	// ended is closed when the caller went away.
	ended chan struct{}
	gone  bool
	// stream is the attempt that interrupt has to end; cancel tells its engine.
	stream *target.Stream
	cancel func()
}

// watch ends the flow when the caller goes away.
func (f *flow) watch() {
	if f.unwatch == nil {
		f.unwatch = f.server.watcher.Watch(f.conn, f.interrupt)
	}
}

func (f *flow) interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone {
		return
	}
	f.gone = true
	close(f.ended)
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

func (f *flow) callerGone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gone
}

// setStream makes s the stream that interrupt ends. It reports false when the
// caller is gone already.
func (f *flow) setStream(s *target.Stream, cancel func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stream, f.cancel = s, cancel
	return !f.gone
}

// acquire waits in the queue for a slot.
func (f *flow) acquire() *Refusal {
	if f.server.options.Quarantine.Barred(&f.asks) {
		f.server.options.Metrics.Inc(metric.RequestsBarred)
		return f.giveUp(refuse(CodeEndsTargets, "targets ended while they ran this request, so it is not run again"))
	}
	f.request.Queue()
	ticket, err := f.server.options.Dispatcher.Submit(f.submit)
	if err != nil {
		var refused *dispatch.RefusedError
		eris.As(err, &refused)
		return f.giveUp(queueRefusal(refused))
	}
	select {
	case slot, ok := <-ticket.Granted():
		return f.take(ticket, slot, ok)
	default:
	}
	return f.await(ticket)
}

// take makes a granted slot the flow's own.
func (f *flow) take(ticket *dispatch.Ticket, slot *dispatch.Slot, ok bool) *Refusal {
	if !ok {
		return f.giveUp(queueRefusal(ticket.Refusal()))
	}
	f.slot = slot
	f.server.options.Metrics.Observe(metric.QueueWait, f.server.options.Clock.Since(f.accepted))
	return nil
}

// await waits for the slot, the deadline or the end of the caller.
func (f *flow) await(ticket *dispatch.Ticket) *Refusal {
	f.watch()
	timeout := f.server.options.Clock.NewTimer(f.deadline.Sub(f.server.options.Clock.Now()))
	defer timeout.Stop()
	select {
	case slot, ok := <-ticket.Granted():
		return f.take(ticket, slot, ok)
	case <-timeout.Chan():
		ticket.Abandon()
		return f.giveUp(retryLater(refuse(CodeDeadline, "the deadline passed while the request waited")))
	case <-f.ended:
		ticket.Abandon()
		return f.giveUp(refuse(CodeCallerGone, "the caller went away"))
	}
}

func retryLater(r *Refusal) *Refusal {
	r.RetryAfter = defaultRetry
	return r
}

// attempt returns the next attempt for the slot.
func (f *flow) attempt() target.Attempt {
	f.partial = false
	f.server.options.Metrics.Inc(metric.Attempts)
	if f.request.Attempts() > 0 {
		f.server.options.Metrics.Inc(metric.Retries)
	}
	return target.Attempt{
		Request:      f.request.ID(),
		ID:           f.request.Dispatch(),
		Priority:     int64(f.slot.Level),
		ModelVersion: f.slot.Target().ModelVersion,
		Deadline:     bootclock.ToMonotonic(f.server.options.Clock, f.deadline),
		Notice:       f.slot.Notice,
	}
}

// release gives the slot back.
func (f *flow) release(r dispatch.Result) {
	if f.slot != nil {
		f.slot.Release(r)
		f.slot = nil
	}
}

// giveUp ends the request with a refusal that tells its outcome.
func (f *flow) giveUp(r *Refusal) *Refusal {
	f.request.GiveUp(false)
	return f.refused(r)
}

func (f *flow) refused(r *Refusal) *Refusal {
	r.Outcome = f.request.Outcome()
	r.RequestID = f.request.ID()
	return r
}

// failed records a failed attempt. It returns nil if the request is to be
// queued again, else what the caller is told.
func (f *flow) failed(fail *target.Failure) *Refusal {
	if fail.Kind == target.Crossed {
		f.server.options.Metrics.Inc(metric.AttemptsCrossed)
	}
	f.submit.Avoid = f.slot.Target().Number
	now := f.server.options.Clock.Now()
	if f.callerGone() {
		// The attempt was ended from here, which says nothing of the target.
		f.release(dispatch.Cancelled)
		f.request.GiveUp(true)
		return f.refused(refuse(CodeCallerGone, "the caller went away"))
	}
	if fail.Dropped() {
		f.server.options.Quarantine.RecordLoss(&f.asks, quarantine.Loss{Target: runOf(f.slot.Target(), now), Partial: f.partial})
	}
	f.release(results[fail.Kind])
	if f.request.Fail(fail.Kind, now, f.server.retries.Take) == request.Retry {
		f.backOff()
		return nil
	}
	if !now.Before(f.deadline) {
		return f.refused(retryLater(refuse(CodeDeadline, "the deadline passed while the request ran")))
	}
	return f.refused(failureRefusal(fail))
}

// runOf names the run of a target that ended. Targets that operators declare do not say when
// they started: those that ended in the same second are taken for one run.
func runOf(t config.Target, ended time.Time) quarantine.IncarnationHash {
	var b [12]byte
	binary.BigEndian.PutUint32(b[:4], t.Number)
	binary.BigEndian.PutUint64(b[4:], uint64(ended.Unix()))
	return quarantine.IncarnationHash(xxhash.Sum64(b[:]))
}

// answered notes that the whole answer came.
func (f *flow) answered() {
	f.request.Answer()
	f.server.options.Quarantine.RecordResponse(&f.asks)
}

// firstBackOff is the longest wait before the first retry; it doubles with
// each attempt.
const firstBackOff = 10 * time.Millisecond

// backOff waits a random time before a retry, so that the requests of a target
// that broke do not come back all at once.
func (f *flow) backOff() {
	longest := firstBackOff << (f.request.Attempts() - 1)
	select {
	case <-f.server.options.Clock.After(rand.N(longest)):
	case <-f.ended:
	}
}

// results tells the dispatcher how an attempt failed.
var results = map[target.Kind]dispatch.Result{
	target.NotSent:  dispatch.Failed,
	target.Refused:  dispatch.Refused,
	target.Broken:   dispatch.Failed,
	target.Crossed:  dispatch.Failed,
	target.Rejected: dispatch.Cancelled,
	target.Replaced: dispatch.Refused,
}

func failureRefusal(fail *target.Failure) *Refusal {
	switch fail.Kind {
	case target.Refused:
		return retryLater(refuse(CodeTargetRefused, "every target refused the request"))
	case target.Rejected:
		return refuse(CodeRejected, "the target found the request wrong")
	default:
		return retryLater(refuse(CodeTargetFailed, "the target or the way to it failed"))
	}
}

// close ends the flow. It is called once, when the answer has been handed over
// or given up.
func (f *flow) close() {
	if f.unwatch != nil {
		f.unwatch()
	}
	f.release(dispatch.Cancelled)
	f.server.options.Metrics.Observe(metric.RequestTime, f.server.options.Clock.Since(f.accepted))
	f.server.accepted.Add(-1)
}
