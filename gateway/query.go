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
	// queryTimeout is how long replies are awaited. It is several round trips to another data
	// centre and less than a sixtieth of the shortest latency objective of streams.
	queryTimeout = 10 * time.Millisecond
	// silentThreshold is the number of consecutive queries that a router may leave without a reply
	// within silentWindow before the next owner of its targets is queried instead, for
	// silentBackoff. Missed replies that are further apart cost too little to treat the router as
	// silent.
	silentThreshold = 3
	silentWindow    = time.Second
	silentBackoff   = 2 * time.Second
)

// querier sends queries to the owners of targets.
type querier struct {
	gateway *Gateway
	number  atomic.Uint64

	mu sync.Mutex
	// pending are the queries that wait for replies, by number.
	pending map[uint64]*pendingQuery
	// misses counts the queries without a reply by name of the router.
	misses map[string]missCount
}

// missCount counts the consecutive queries that a router left without a reply since a time.
type missCount struct {
	count int
	since time.Time
}

// silent reports whether the router counts as silent.
func (m missCount) silent(now time.Time) bool {
	return m.count >= silentThreshold && now.Sub(m.since) < silentBackoff
}

// add counts another query without a reply.
func (m missCount) add(now time.Time) missCount {
	if m.count == 0 || now.Sub(m.since) >= silentWindow {
		m = missCount{since: now}
	}
	m.count++
	return m
}

// pendingQuery is a call of query that waits for the replies of some routers.
type pendingQuery struct {
	answers []place.Reply
	// awaited are the routers that have not replied, by the number of the query sent to them. done
	// is closed when there are none left.
	awaited map[uint64]*owner.Router
	done    chan struct{}
}

func newQuerier(g *Gateway) *querier {
	return &querier{gateway: g, pending: make(map[uint64]*pendingQuery), misses: make(map[string]missCount)}
}

// ownerOf returns the router to query for a target: its owner, or the second choice if the owner
// is silent.
func (a *querier) ownerOf(target place.Hash) *owner.Router {
	g := a.gateway
	first, second := g.owners.Load().Owners(owner.Target{Hash: target, DataCentre: g.placer.DataCentre(target)})
	if first == nil || second == nil || first.Name == a.gateway.settings.Host {
		return first
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.misses[first.Name].silent(a.gateway.clock.Now()) {
		return second
	}
	return first
}

// query queries the owners of targets and returns the replies that arrive in time. Targets that
// this router owns itself need no query. Those of plain services are replied to at once, as a request is
// placed among the targets of the replies.
func (a *querier) query(list []place.Query) []place.Reply {
	g := a.gateway
	byRouter := make(map[*owner.Router]*zinccovev1.Question)
	var answers []place.Reply
	for _, q := range list {
		r := a.ownerOf(q.Target)
		if r == nil || r.Name == g.settings.Host {
			if reply, ok := g.placer.Reply(q); ok && q.Plain() {
				answers = append(answers, reply)
			}
			continue
		}
		if byRouter[r] == nil {
			byRouter[r] = new(zinccovev1.Question)
		}
		byRouter[r].Targets = append(byRouter[r].Targets, encodeQuestion(q))
	}
	if len(byRouter) == 0 {
		return answers
	}
	q := &pendingQuery{answers: answers, awaited: make(map[uint64]*owner.Router), done: make(chan struct{})}
	a.register(q, byRouter)
	for r, question := range byRouter {
		g.loop.contact.Send(&zinccovev1.Heartbeat{Question: question}, r.Peer)
	}
	began := g.clock.Now()
	timer := g.clock.NewTimer(queryTimeout)
	defer timer.Stop()
	select {
	case <-q.done:
	case <-timer.Chan():
	}
	g.metrics.Observe(metric.AskTime, g.clock.Since(began))
	return a.finish(q)
}

// register numbers the queries and records that their replies are awaited.
func (a *querier) register(q *pendingQuery, byRouter map[*owner.Router]*zinccovev1.Question) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for r, question := range byRouter {
		question.Number = a.number.Add(1)
		q.awaited[question.Number] = r
		a.pending[question.Number] = q
	}
}

// handleReply accepts a reply. A late or unknown reply is dropped.
func (a *querier) handleReply(hb *zinccovev1.Heartbeat) {
	reply := hb.Answer
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.pending[reply.Number]
	if q == nil {
		return
	}
	delete(a.pending, reply.Number)
	router := q.awaited[reply.Number]
	delete(a.misses, router.Name)
	a.gateway.recordSpare(router.Name, hb)
	delete(q.awaited, reply.Number)
	a.gateway.placer.RecordContact(router.DataCentre)
	for _, t := range reply.Targets {
		q.answers = append(q.answers, decodeAnswer(t))
	}
	if len(q.awaited) == 0 {
		close(q.done)
	}
}

// finish stops waiting for replies and returns those that arrived.
func (a *querier) finish(q *pendingQuery) []place.Reply {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.gateway.clock.Now()
	for number, router := range q.awaited {
		delete(a.pending, number)
		a.gateway.metrics.Inc(metric.QuestionsOpen)
		m := a.misses[router.Name].add(now)
		a.misses[router.Name] = m
		if m.count == silentThreshold {
			a.gateway.log.Info().Str("peer", router.Name).Int("questions", m.count).Dur("for_ms", silentBackoff).Msg("router does not reply to queries; querying the next one")
		}
	}
	return q.answers
}
