package place

import (
	"time"

	"zinccove.example/zinccove/roster"
)

// begin counts a run at a target, and the usage that its customer requests and is served by it.
func (p *Placer) begin(t *target, r Request, d Decision, requested, served Usage, now time.Time) Decision {
	use := firstAttemptUsage(r, requested)
	use.add(served, 1)
	p.recordUsage(r.Customer, use, now)
	if p.service(t.Service).warmingUp(t, now) {
		d.WarmingUp, t.warmUpAdmitted = true, now
	}
	before := t.outstanding()
	t.own.Requests++
	p.loadChanged(t)
	d.Run = &Run{
		Target: t.Target, placer: p, state: t, outstandingBefore: before, customer: HashOf(r.Customer), served: served,
		prefillTokens: d.PrefillTokens, copyTime: p.service(t.Service).copyTime(d.CopiedTokens), tokensBeforeEvent: d.Backlog + d.PrefillTokens,
		position: t.queue.add(d.PrefillTokens), predicted: d.Predicted, start: now,
	}
	return d
}

// Run is one request at one target. It is used by one goroutine at a time.
type Run struct {
	Target *roster.Target

	placer *Placer
	state  *target
	// prefillTokens is the number of tokens that the target has to prefill for the run; 0 after
	// the first event. tokensBeforeEvent is the number of tokens that had to be prefilled before
	// the first event, position the run's position in the queue.
	prefillTokens     int
	tokensBeforeEvent int
	// copyTime is the predicted time to copy parts of the prompt.
	copyTime  time.Duration
	position  float64
	predicted time.Duration
	// outstandingBefore is the number of requests that the target had when it was chosen.
	outstandingBefore int
	// number identifies the run among the prefills of this router; 0 for plain services.
	number uint32
	// first is when the first event was received.
	first time.Time
	// customer is the hash of the customer whose usage counts the run, served the usage counted.
	customer Hash
	served   Usage
	start    time.Time
	ended    bool
	// OnEnd, if set, is called when the run ends.
	OnEnd func()
}

// Incarnation returns the incarnation of the chosen target.
func (r *Run) Incarnation() string { return r.state.incarnation }

// Unavailable reports whether the target stopped accepting new requests since it was chosen: its
// entry or the target itself announced that it is draining, it was removed, replaced by another
// incarnation or evacuated, or it asked for a backoff.
func (r *Run) Unavailable() bool {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[r.state.incarnation]
	return t == nil || p.closedToNew(t) || t.inBackoff(p.clock.Now())
}

// FirstEvent records that the target has prefilled the prompt. It returns the error of the
// predicted time; known is false if the event was recorded before. Pass false for reliable if
// this router itself is running late, so that its time says nothing about the target.
func (r *Run) FirstEvent(reliable bool) (deviation time.Duration, known bool) {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.prefillTokens == 0 {
		return 0, false
	}
	now := p.clock.Now()
	took := now.Sub(r.start)
	r.first = now
	r.state.recordAccepted()
	if reliable {
		r.learn(took, now)
	}
	r.prefillTokens = 0
	p.signalWaits(r.state)
	return (took - r.predicted).Abs(), true
}

// learn learns from the time of the first event, and queues the event for the target's owner.
func (r *Run) learn(took time.Duration, now time.Time) {
	p := r.placer
	took = max(took-r.copyTime, 0)
	s := p.service(r.Target.Service)
	r.state.slow.record(took, s.latency.predict(r.tokensBeforeEvent), now)
	s.latency.learn(r.tokensBeforeEvent, took)
	r.state.queue.reached(r.position, s.latency.tokensDuringBase(), now)
	if r.number > 0 && len(p.update.FirstEvents) < maxUpdateEntries {
		p.update.FirstEvents = append(p.update.FirstEvents, FirstEvent{Target: r.state.hash, Number: r.number, Latency: took, PrefillTokens: r.tokensBeforeEvent})
	}
}

// Result is the outcome of a run as far as it concerns the target.
type Result int

// The results.
const (
	// Answered: the target sent a complete response.
	Answered Result = iota
	// ErrorResponse: the target responded with an error of its own.
	ErrorResponse
	// Refused: the target refused to run the request.
	Refused
	// Unreachable: the target could not be reached, so nothing was sent.
	Unreachable
	// Failed: the target did not complete its response.
	Failed
	// Replaced: another incarnation of the target responded, so this one has ended.
	Replaced
	// NotSent: nothing was sent, for reasons unrelated to the target.
	NotSent
	// Cancelled: the run was ended for reasons unrelated to the target.
	Cancelled
)

// didNotRun reports whether a run with this result has provably not run.
func (r Result) didNotRun() bool {
	switch r {
	case Refused, Unreachable, Replaced, NotSent:
		return true
	}
	return false
}

// learnSlotTime learns from the time that an answered request took.
func (r *Run) learnSlotTime(now time.Time) {
	s := r.placer.service(r.Target.Service)
	switch {
	case s.engine == nil:
		s.slotTime.learnQueued(now.Sub(r.start), r.outstandingBefore, r.Target.Slots)
	case !r.first.IsZero():
		s.slotTime.learn(now.Sub(r.start))
	}
}

// End ends the run. Only the first call has an effect.
func (r *Run) End(result Result) {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	if r.OnEnd != nil {
		r.OnEnd()
	}
	r.state.queue.drop(r.prefillTokens)
	r.prefillTokens = 0
	r.state.own.Requests--
	p.signalWaits(r.state)
	p.loadChanged(r.state)
	now := p.clock.Now()
	if result == Answered {
		r.learnSlotTime(now)
		if r.first.IsZero() {
			r.state.recordAccepted()
		}
	}
	if result.didNotRun() {
		p.refundUsage(r.customer, r.served, r.start, now)
	}
	r.state.replaced = r.state.replaced || result == Replaced
	r.state.circuit.record(result, now)
	r.state.health.record(result, now)
	p.service(r.Target.Service).losses.record(result, !r.first.IsZero(), now)
}
