package place

import (
	"net/netip"
	"time"

	"zinccove.example/zinccove/waitlist"
)

// Wait is what a request that waits for a place asks of the owners of targets.
type Wait struct {
	// Queries name the targets and the prompt.
	Queries []Query
	// CustomerPriority and RoutePriority are those of the request, Share is what its customer is
	// served over what it is owed.
	CustomerPriority, RoutePriority int
	Share                           float64
	// Limit is the longest expected time to the first event with which the request is placed.
	// LimitOnly is set if an idle target alone is no reason to place it.
	Limit     time.Duration
	LimitOnly bool
	// InTime is the time within which the first event has to arrive to meet the objective, Left the
	// time after which the request cannot be placed any more.
	InTime, Left time.Duration
	// Late tells that the request would miss its objective if it were placed now.
	Late bool
}

// WaitKey identifies a wait among those of all routers. The router is invalid for waits of this one.
type WaitKey struct {
	Router netip.AddrPort
	Number uint64
}

// Grant is a place at a target for a request that waits.
type Grant struct {
	Key WaitKey
	// Reply is the state of the target without the request.
	Reply Reply
}

// EndedWait is a wait that an owner does not keep any more.
type EndedWait struct {
	Key    WaitKey
	Target Hash
}

const (
	// grantTTL is the time for which a granted place is kept for a request: several round trips to
	// another data centre, and a small part of what callers wait.
	grantTTL = 100 * time.Millisecond
	// minWaitCheck and maxWaitCheck bound the time between two looks at targets with waiting
	// requests: a place is given within a few milliseconds of the expected moment, and what other
	// routers report late is noticed soon.
	minWaitCheck = 5 * time.Millisecond
	maxWaitCheck = 100 * time.Millisecond
)

// waitInputs are the inputs of the decision whether a request waits.
type waitInputs struct {
	// predicted is the expected time to the first event now, pause the expected time until the target
	// begins with the prompt, limit the longest expected time with which the request is admitted.
	predicted, pause, limit time.Duration
	// inTime is the time left to meet the objective, left the time until the request has to be
	// complete, answer what the response takes after its first event.
	inTime, left, answer time.Duration
	// held tells that the customer has used up its credit, limitOnly that an idle target alone is no
	// reason to place the request.
	held, limitOnly bool
}

// mayWait returns for how long a request that is refused for load may wait for a place; 0 if it must
// not. A place in time is there once the expected time has fallen to the limit, a late one once
// nothing is pending. A customer whose credit is used up waits for its credit, not for a target. A
// request that gets no place just because a target is idle waits in time only.
func mayWait(in waitInputs) time.Duration {
	own := in.predicted - in.pause
	longest := in.left - in.answer - own
	if in.limitOnly {
		longest = min(longest, in.inTime-own)
	}
	place := min(in.predicted-in.limit, in.pause)
	if in.held || in.limitOnly && own > in.limit || longest <= place {
		return 0
	}
	return longest
}

// wait returns the wait that a request may begin that is refused for load, nil if it must not wait.
func (p *Placer) wait(s *service, r *Request, pr *prompt, d *Decision, homes []*target, limit time.Duration, shares *shares) *Wait {
	if !r.MayWait {
		return nil
	}
	inTime := r.Objective - r.Elapsed
	answer := r.AnswerTime
	if answer == 0 {
		answer = s.slotTime.mean
	}
	limitOnly := d.Ahead
	left := mayWait(waitInputs{
		predicted: d.Predicted, pause: d.Wait, limit: limit, inTime: inTime, left: r.Left, answer: answer, held: d.Held, limitOnly: limitOnly,
	})
	if left <= 0 {
		return nil
	}
	w := &Wait{
		CustomerPriority: r.CustomerPriority, RoutePriority: r.RoutePriority, Share: shares.servedShare(r.Customer),
		Limit: limit, LimitOnly: limitOnly, InTime: inTime, Left: left, Late: d.Predicted > inTime,
	}
	for rank, t := range homes {
		w.Queries = append(w.Queries, Query{Target: t.hash, PrefixParts: pr.prefixParts, PartTokens: pr.partTokens, PromptTokens: pr.total, FirstHome: rank == 0})
	}
	return w
}

// servedShare returns what a customer is served over what it is owed.
func (s *shares) servedShare(customer string) float64 {
	return float64(s.usage[HashOf(customer)].Served) / float64(max(s.owedLevel, 1))
}

// waiter is a request in the list of a target.
type waiter struct {
	key   WaitKey
	query Query
}

// reservation keeps a granted place until the request is told to be placed there.
type reservation struct {
	key    WaitKey
	tokens int
	until  time.Time
}

// targetWaits are the requests that wait for one target.
type targetWaits struct {
	list         waitlist.List[waiter]
	reservations []reservation
	// checkAt is when a place is expected.
	checkAt time.Time
}

func (w *targetWaits) reserved() int {
	if w == nil {
		return 0
	}
	return len(w.reservations)
}

// reservedTokens returns the tokens of the reservations. They are not in the queue, because what is
// sent there cannot be taken back.
func (w *targetWaits) reservedTokens() (tokens int) {
	if w == nil {
		return 0
	}
	for _, r := range w.reservations {
		tokens += r.tokens
	}
	return tokens
}

func (w *targetWaits) empty() bool {
	return w == nil || w.list.Len() == 0 && len(w.reservations) == 0
}

// AddWait adds a request to the list of a target; w.Queries is not used. It reports false if the
// request has to wait elsewhere: the target is not known or takes no requests, the list is full, or
// those ahead take longer than the request may wait.
func (p *Placer) AddWait(key WaitKey, w *Wait, q Query) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byHash[q.Target]
	if t == nil || p.service(t.Service).engine == nil || p.closedToNew(t) {
		return false
	}
	now := p.clock.Now()
	s := p.service(t.Service)
	if t.waits == nil {
		t.waits = new(targetWaits)
	}
	e := waitlist.Entry[waiter]{
		CustomerPriority: w.CustomerPriority, RoutePriority: w.RoutePriority, Share: w.Share, Limit: w.Limit, LimitOnly: w.LimitOnly,
		InTimeUntil: now.Add(w.InTime), Expires: now.Add(w.Left), Tokens: p.replyTo(t, q, now).PrefillTokens, Value: waiter{key, q},
	}
	if slow := t.slow.factor(now); stretch(s.latency.prefillTime(t.waits.list.Ahead(&e)), slow) >= w.Left || !t.waits.list.Add(e, now) {
		return false
	}
	p.waiting[t.hash] = t
	p.signalWaits(t)
	return true
}

// EndWait ends a wait for a target: the request waits no longer, or does not use its grant.
func (p *Placer) EndWait(key WaitKey, target Hash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.waiting[target]
	if t == nil {
		return
	}
	t.waits.list.Remove(func(w waiter) bool { return w.key == key })
	if t.release(func(r reservation) bool { return r.key == key }) {
		p.signalWaits(t)
	}
}

// release ends the first reservation that matches.
func (t *target) release(match func(reservation) bool) bool {
	if t.waits == nil {
		return false
	}
	for i, r := range t.waits.reservations {
		if match(r) {
			t.waits.reservations = append(t.waits.reservations[:i], t.waits.reservations[i+1:]...)
			return true
		}
	}
	return false
}

// releaseReservation ends the reservation that a placement of a number of tokens used. Reports on
// placements do not name the grant.
func (t *target) releaseReservation(tokens int) {
	t.release(func(r reservation) bool { return r.tokens == tokens })
}

// signalWaits signals that a waiting request may get a place at a target.
func (p *Placer) signalWaits(t *target) {
	if t.waits.empty() {
		return
	}
	t.waits.checkAt = time.Time{}
	select {
	case p.waitsChanged <- struct{}{}:
	default: // a signal is already pending
	}
}

// WaitsChanged is signalled when CheckWaits has something to do.
func (p *Placer) WaitsChanged() <-chan struct{} { return p.waitsChanged }

// CheckWaits returns the places that waiting requests get now, the waits that ended here, and the
// time after which it should be called again; 0 if nothing waits.
func (p *Placer) CheckWaits() (grants []Grant, ended []EndedWait, next time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for h, t := range p.waiting {
		if !now.Before(t.waits.checkAt) {
			grants = p.grantPlaces(t, grants, now)
		}
		if t.waits.empty() {
			delete(p.waiting, h)
			continue
		}
		if after := t.waits.checkAt.Sub(now); next == 0 || after < next {
			next = after
		}
	}
	ended, p.endedWaits = p.endedWaits, nil
	return grants, ended, next
}

// grantPlaces grants the places of one target and reserves them.
func (p *Placer) grantPlaces(t *target, grants []Grant, now time.Time) []Grant {
	w := t.waits
	p.expireReservations(t, now)
	for _, expired := range w.list.Expire(now) {
		p.endedWaits = append(p.endedWaits, EndedWait{expired.key, t.hash})
	}
	if p.closedToNew(t) {
		p.dropWaits(t)
		return grants
	}
	s := p.service(t.Service)
	for !t.unavailable(now) {
		state, _ := p.waitState(s, t, now)
		e, ok := w.list.Next(state, now)
		if !ok {
			break
		}
		reply := p.replyTo(t, e.Value.query, now)
		w.reservations = append(w.reservations, reservation{e.Value.key, reply.PrefillTokens, now.Add(grantTTL)})
		grants = append(grants, Grant{e.Value.key, reply})
	}
	state, idle := p.waitState(s, t, now)
	w.checkAt = now.Add(min(max(w.list.Due(state, idle, now), minWaitCheck), maxWaitCheck))
	return grants
}

// waitState returns the state of a target as its list needs it, and the time after which nothing is
// pending there.
func (p *Placer) waitState(s *service, t *target, now time.Time) (waitlist.State, time.Duration) {
	slow := t.slow.factor(now)
	backlog := s.backlog(t, slow, now)
	slot := s.slotTime.untilFree(t.outstanding(), t.Slots)
	state := waitlist.State{
		Idle: backlog == 0 && t.outstanding() < t.Slots,
		FirstEvent: func(tokens int) time.Duration {
			return max(stretch(s.latency.predict(backlog+tokens), slow), slot+stretch(s.latency.predict(tokens), slow))
		},
	}
	return state, max(stretch(s.latency.prefillTime(backlog), slow), slot)
}

// expireReservations drops the grants that were not used in time.
func (p *Placer) expireReservations(t *target, now time.Time) {
	for t.release(func(r reservation) bool {
		if now.Before(r.until) {
			return false
		}
		p.endedWaits = append(p.endedWaits, EndedWait{r.key, t.hash})
		return true
	}) {
	}
}

// dropWaits ends all waits for a target that takes no more requests.
func (p *Placer) dropWaits(t *target) {
	if t.waits.empty() {
		return
	}
	t.waits.list.Remove(func(w waiter) bool {
		p.endedWaits = append(p.endedWaits, EndedWait{w.key, t.hash})
		return true
	})
	p.signalWaits(t)
	select {
	case p.waitsChanged <- struct{}{}:
	default: // a signal is already pending
	}
}

// useGrant returns the state of the target that granted a place. A place that this router granted
// itself is not reserved any more.
func (p *Placer) useGrant(g *Grant) []Reply {
	if g.Key.Router.IsValid() {
		return []Reply{g.Reply}
	}
	if t := p.byHash[g.Reply.Target]; t != nil {
		t.release(func(r reservation) bool { return r.key == g.Key })
	}
	return nil
}

// grantedHome returns the target that granted a place, if it still takes the request.
func (p *Placer) grantedHome(s *service, r Request, now time.Time) []*target {
	t := p.byHash[r.Grant.Reply.Target]
	if t == nil || p.grade(s, t, r, now) == unusable {
		return nil
	}
	return []*target{t}
}
