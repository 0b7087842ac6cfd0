package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/owner"
	"zinccove.example/zinccove/place"
)

const (
	// askTime is how long answers are awaited: some times the way to another data
	// centre and back, and less than a sixtieth of the shortest objective of streams.
	askTime = 10 * time.Millisecond
	// silentAfter is the number of questions in a row that a router may leave open within
	// silentWithin before the next one is asked for its targets, silentTime how long it
	// is then. Questions that are further apart cost too little to say that it is silent.
	silentAfter  = 3
	silentWithin = time.Second
	silentTime   = 2 * time.Second
)

// asker asks the routers that answer for targets.
type asker struct {
	gateway *Gateway
	number  atomic.Uint64

	mu sync.Mutex
	// open are the questions that wait for answers, by number.
	open map[uint64]*question
	// missed are the questions that routers left open, by their names.
	missed map[string]miss
}

// miss counts the questions in a row that a router left open since a time.
type miss struct {
	count int
	since time.Time
}

// silent reports whether the router counts as silent.
func (m miss) silent(now time.Time) bool {
	return m.count >= silentAfter && now.Sub(m.since) < silentTime
}

// note counts another question that was left open.
func (m miss) note(now time.Time) miss {
	if m.count == 0 || now.Sub(m.since) >= silentWithin {
		m = miss{since: now}
	}
	m.count++
	return m
}

// question is a call of ask that waits for the answers of some routers.
type question struct {
	answers []place.Reply
	// missing are the routers that have not answered, by the numbers of what they were
	// asked; done is closed when there are none.
	missing map[uint64]*owner.Router
	done    chan struct{}
}

func newAsker(g *Gateway) *asker {
	return &asker{gateway: g, open: make(map[uint64]*question), missed: make(map[string]miss)}
}

// ownerOf returns the router that answers for a target: the next one if the first has
// been silent.
func (a *asker) ownerOf(target place.Hash) *owner.Router {
	g := a.gateway
	first, second := g.owners.Load().Owners(owner.Target{Hash: target, DataCentre: g.placer.DataCentre(target)})
	if first == nil || second == nil || first.Name == a.gateway.settings.Host {
		return first
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.missed[first.Name].silent(a.gateway.clock.Now()) {
		return second
	}
	return first
}

// ask returns the answers that come in time. Targets that this router answers for need
// no question.
func (a *asker) ask(list []place.Query) []place.Reply {
	byRouter := make(map[*owner.Router]*zinccovev1.Question)
	for _, q := range list {
		r := a.ownerOf(q.Target)
		if r == nil || r.Name == a.gateway.settings.Host {
			continue
		}
		if byRouter[r] == nil {
			byRouter[r] = new(zinccovev1.Question)
		}
		byRouter[r].Targets = append(byRouter[r].Targets, encodeQuestion(q))
	}
	if len(byRouter) == 0 {
		return nil
	}
	g := a.gateway
	q := &question{missing: make(map[uint64]*owner.Router), done: make(chan struct{})}
	a.register(q, byRouter)
	for r, ask := range byRouter {
		g.loop.contact.Send(&zinccovev1.Heartbeat{Question: ask}, r.Peer)
	}
	began := g.clock.Now()
	timer := g.clock.NewTimer(askTime)
	defer timer.Stop()
	select {
	case <-q.done:
	case <-timer.Chan():
	}
	g.metrics.Observe(metric.AskTime, g.clock.Since(began))
	return a.settle(q)
}

// register numbers the questions and notes that their answers are awaited.
func (a *asker) register(q *question, byRouter map[*owner.Router]*zinccovev1.Question) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for r, ask := range byRouter {
		ask.Number = a.number.Add(1)
		q.missing[ask.Number] = r
		a.open[ask.Number] = q
	}
}

// take takes an answer. One that is late or unknown is dropped.
func (a *asker) take(reply *zinccovev1.Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.open[reply.Number]
	if q == nil {
		return
	}
	delete(a.open, reply.Number)
	router := q.missing[reply.Number]
	delete(a.missed, router.Name)
	delete(q.missing, reply.Number)
	a.gateway.placer.RecordContact(router.DataCentre)
	for _, t := range reply.Targets {
		q.answers = append(q.answers, decodeAnswer(t))
	}
	if len(q.missing) == 0 {
		close(q.done)
	}
}

// settle ends the waiting for answers and returns those that came.
func (a *asker) settle(q *question) []place.Reply {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.gateway.clock.Now()
	for number, router := range q.missing {
		delete(a.open, number)
		a.gateway.metrics.Inc(metric.QuestionsOpen)
		m := a.missed[router.Name].note(now)
		a.missed[router.Name] = m
		if m.count == silentAfter {
			a.gateway.log.Info().Str("peer", router.Name).Int("questions", m.count).Dur("for_ms", silentTime).Msg("router leaves questions open, the next one is asked")
		}
	}
	return q.answers
}
