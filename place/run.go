package place

import (
	"time"

	"zinccove.example/zinccove/roster"
)

// begin counts a run at a target, and what its customer asks for and is served by it.
func (p *Placer) begin(t *target, r Request, d Decision, asks, served Usage, now time.Time) Decision {
	use := asked(r, asks)
	use.add(served, 1)
	p.note(r.Customer, use, now)
	before := t.outstanding()
	t.own.Requests++
	p.loadChanged(t)
	d.Run = &Run{
		Target: t.Target, placer: p, state: t, before: before, customer: HashOf(r.Customer), served: served,
		unread: d.PrefillTokens, copying: p.service(t.Service).copying(d.CopiedTokens), toRead: d.Backlog + d.PrefillTokens,
		place: t.queue.add(d.PrefillTokens), predicted: d.Predicted, began: now,
	}
	return d
}

// Run is one request at one target. It is used by one goroutine at a time.
type Run struct {
	Target *roster.Target

	placer *Placer
	state  *target
	// unread is the number of tokens that the target has to read for the run; 0
	// after the first event. ToRead are those that were to be read before the first
	// event, place is the run's in the queue.
	unread int
	toRead int
	// copying is the time that copying parts of the prompt was to take.
	copying   time.Duration
	place     float64
	predicted time.Duration
	// before is the number of requests that the target had when it was chosen.
	before int
	// number names the run among the readings of this router; 0 for plain services.
	number uint32
	// first is when the first event came.
	first time.Time
	// customer and served are whom the run counts as service for, and how much.
	customer Hash
	served   Usage
	began    time.Time
	ended    bool
	// OnEnd is called when the run ended, if it is set.
	OnEnd func()
}

// Incarnation names the run of the target that was chosen.
func (r *Run) Incarnation() string { return r.state.incarnation }

// Unavailable reports whether the target takes no new requests any more: its entry or it
// itself said so, it went, was found replaced, is to be evacuated or asked for a backoff
// since it was chosen.
func (r *Run) Unavailable() bool {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[r.state.incarnation]
	return t == nil || p.leaves(t) || t.backsOff(p.clock.Now())
}

// FirstEvent notes that the target has read the prompt. It returns how far off
// the expected time was; known is false if it was noted before. Telling is false if
// this router is behind itself, so that its time says nothing of the target.
func (r *Run) FirstEvent(telling bool) (off time.Duration, known bool) {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.unread == 0 {
		return 0, false
	}
	now := p.clock.Now()
	took := now.Sub(r.began)
	r.first = now
	r.state.took()
	if telling {
		r.learn(took, now)
	}
	r.unread = 0
	return (took - r.predicted).Abs(), true
}

// learn learns from the time of the first event, and lets the router learn from it
// that answers for the target.
func (r *Run) learn(took time.Duration, now time.Time) {
	p := r.placer
	took = max(took-r.copying, 0)
	s := p.service(r.Target.Service)
	r.state.slow.note(took, s.speed.predict(r.toRead), now)
	s.speed.learn(r.toRead, took)
	r.state.queue.reached(r.place, s.speed.after(), now)
	if r.number > 0 && len(p.news.FirstEvents) < maxNews {
		p.news.FirstEvents = append(p.news.FirstEvents, FirstEvent{Target: r.state.hash, Number: r.number, Latency: took, PrefillTokens: r.toRead})
	}
}

// Result is how a run ended, as far as it tells about the target.
type Result int

// The results.
const (
	// Answered: the target answered.
	Answered Result = iota
	// ErrorResponse: the target answered with a failure of its own.
	ErrorResponse
	// Refused: the target said that it does not run the request.
	Refused
	// Unreachable: the target could not be reached, so nothing was sent.
	Unreachable
	// Failed: the target broke off.
	Failed
	// Replaced: another run of the target answered, so this one has ended.
	Replaced
	// NotSent: nothing was sent, for reasons that say nothing of the target.
	NotSent
	// Cancelled: the run was ended for reasons that say nothing of the target.
	Cancelled
)

// didNotRun reports whether a run that ended so has provably not run.
func (r Result) didNotRun() bool {
	switch r {
	case Refused, Unreachable, Replaced, NotSent:
		return true
	}
	return false
}

// learnHold learns from the time that an answered request took.
func (r *Run) learnHold(now time.Time) {
	s := r.placer.service(r.Target.Service)
	switch {
	case s.engine == nil:
		s.holds.learnAmong(now.Sub(r.began), r.before, r.Target.Slots)
	case !r.first.IsZero():
		s.holds.learn(now.Sub(r.began))
	}
}

// End ends the run. Only the first call counts.
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
	r.state.queue.drop(r.unread)
	r.unread = 0
	r.state.own.Requests--
	p.loadChanged(r.state)
	now := p.clock.Now()
	if result == Answered {
		r.learnHold(now)
		if r.first.IsZero() {
			r.state.took()
		}
	}
	if result.didNotRun() {
		p.takeBack(r.customer, r.served, r.began, now)
	}
	r.state.replaced = r.state.replaced || result == Replaced
	r.state.circuit.note(result, now)
	r.state.health.note(result, now)
}
