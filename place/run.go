package place

import (
	"time"

	"zinccove.example/zinccove/roster"
)

func (p *Placer) begin(t *target, d Decision, unread int, now time.Time) Decision {
	t.own.Requests++
	t.own.Unread += unread
	d.Age = p.oldestReport(now)
	d.Run = &Run{Target: t.Target, placer: p, state: t, unread: unread, backlog: d.Backlog + unread, began: now}
	return d
}

// Run is one request at one target. It is used by one goroutine at a time.
type Run struct {
	Target roster.Target

	placer  *Placer
	state   *target
	unread  int
	backlog int
	began   time.Time
	ended   bool
}

// Leaving reports whether the target takes no new requests any more: it said so,
// went or was found replaced since it was chosen.
func (r *Run) Leaving() bool {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[r.Target.ID]
	return t == nil || t.Draining || t.replaced
}

// FirstEvent notes that the target has read the prompt.
func (r *Run) FirstEvent() {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.unread == 0 {
		return
	}
	p.service(r.Target.Service).speed.learn(r.backlog, p.clock.Since(r.began))
	r.read()
}

func (r *Run) read() {
	r.state.own.Unread -= r.unread
	r.unread = 0
}

// Result is how a run ended, as far as it tells about the target.
type Result int

// The results.
const (
	// Answered: the target answered.
	Answered Result = iota
	// Faulty: the target answered with a failure of its own.
	Faulty
	// Refused: the target said that it does not run the request.
	Refused
	// Failed: the target could not be reached or broke off.
	Failed
	// Replaced: another run of the target answered, so this one has ended.
	Replaced
	// Cancelled: the run was ended for reasons that say nothing of the target.
	Cancelled
)

// End ends the run. Only the first call counts.
func (r *Run) End(result Result) {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.read()
	r.state.own.Requests--
	now := p.clock.Now()
	r.state.replaced = r.state.replaced || result == Replaced
	r.state.circuit.note(result, now)
	r.state.health.note(result, now)
}
