package gateway

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/origin"
	"zinccove.example/zinccove/owner"
	"zinccove.example/zinccove/place"
)

const (
	// originRounds is how often the origin of a stream is queried, originRoundTime how long replies
	// are awaited each time. A round is more than a round trip to another region.
	originRounds    = 3
	originRoundTime = 30 * time.Millisecond
	// startRounds is how often a router queries that started less than startPeriod ago and may not
	// know the other routers yet.
	startRounds = 10
	startPeriod = 2 * time.Second
)

// origins sends the origins of streams that this router begins to other routers, and finds those of
// streams that callers resume here.
type origins struct {
	gateway *Gateway
	table   *origin.Table
	// routers holds all known routers, including those that seem to have failed: they may respond.
	routers atomic.Pointer[owner.Table]
	number  atomic.Uint64

	mu sync.Mutex
	// pending are the queries that wait for replies, by number.
	pending map[uint64]*originQuery
}

// originQuery is a query that waits for replies. The mutex of origins guards replied.
type originQuery struct {
	number uint64
	// replied tells of each router that was queried whether it replied that it knows no origin.
	replied map[netip.AddrPort]bool
	// found receives the origin, exhausted a value once all routers replied that they know none.
	found     chan origin.Origin
	exhausted chan struct{}
}

func newOrigins(g *Gateway) *origins {
	o := &origins{gateway: g, table: origin.NewTable(g.clock), pending: make(map[uint64]*originQuery)}
	o.routers.Store(owner.New(nil))
	return o
}

// record keeps the origin of a stream here and sends it to other routers. It does not wait for them.
func (o *origins) record(k origin.Key, from origin.Origin, ttl time.Duration) {
	o.table.Put(k, from, ttl)
	enc := &zinccovev1.StreamOrigin{Key: uint64(k), Service: from.Service, Version: from.Version, TtlMs: uint32(min(ttl, origin.MaxTTL).Milliseconds())}
	o.send(&zinccovev1.Heartbeat{Origin: enc}, o.replicas(k))
}

// replicas returns the routers that are to keep an origin. While too few are reachable, as after the
// start of a fleet, they also include routers from which nothing was received.
func (o *origins) replicas(k origin.Key) []*owner.Router {
	g := o.gateway
	key, dc := place.Hash(k), g.settings.DataCentre
	list := g.owners.Load().Replicas(key, dc)
	if len(list) >= owner.MinReplicas {
		return list
	}
	return union(list, o.routers.Load().Replicas(key, dc))
}

// union returns the routers of both lists.
func union(a, b []*owner.Router) []*owner.Router {
	for _, r := range b {
		if !slices.ContainsFunc(a, func(known *owner.Router) bool { return known.Name == r.Name }) {
			a = append(a, r)
		}
	}
	return a
}

// send sends a datagram to routers other than this one, and returns their number.
func (o *origins) send(hb *zinccovev1.Heartbeat, to []*owner.Router) (sent int) {
	for _, r := range to {
		if r.Name != o.gateway.settings.Host {
			o.gateway.loop.contact.Send(hb, r.Peer)
			sent++
		}
	}
	return sent
}

// receive keeps an origin that another router sent.
func (o *origins) receive(enc *zinccovev1.StreamOrigin) {
	o.table.Put(origin.Key(enc.Key), decodeOrigin(enc), time.Duration(enc.TtlMs)*time.Millisecond)
}

func decodeOrigin(enc *zinccovev1.StreamOrigin) origin.Origin {
	return origin.Origin{Service: enc.Service, Version: enc.Version}
}

// find returns the origin of a stream that a caller resumes; ok is false if no router that replies
// in time knows it.
func (o *origins) find(k origin.Key) (from origin.Origin, ok bool) {
	if from, ok = o.table.Get(k); ok {
		return from, true
	}
	began := o.gateway.clock.Now()
	defer func() { o.gateway.metrics.Observe(metric.OriginTime, o.gateway.clock.Since(began)) }()
	rounds := originRounds
	starting := began.Sub(o.gateway.started) < startPeriod
	if starting {
		rounds = startRounds
	}
	q := o.begin()
	defer o.end(q)
	for range rounds {
		from, ok, done := o.round(q, k, starting)
		if ok || done {
			return from, ok
		}
	}
	return origin.Origin{}, false
}

// begin registers a query, so that replies are accepted until its end.
func (o *origins) begin() *originQuery {
	q := &originQuery{number: o.number.Add(1), replied: make(map[netip.AddrPort]bool), found: make(chan origin.Origin, 1), exhausted: make(chan struct{}, 1)}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending[q.number] = q
	return q
}

func (o *origins) end(q *originQuery) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pending, q.number)
}

// round queries the routers that may know an origin and have not replied. It reports done if none is
// left. A router that is starting awaits the end of the round then, by which it may know more routers.
func (o *origins) round(q *originQuery, k origin.Key, starting bool) (from origin.Origin, ok, done bool) {
	timer := o.gateway.clock.NewTimer(originRoundTime)
	defer timer.Stop()
	if o.ask(q, k) == 0 {
		q.exhaust()
	}
	select {
	case from = <-q.found:
		return from, true, true
	case <-q.exhausted:
	case <-timer.Chan():
		return origin.Origin{}, false, false
	}
	if starting {
		<-timer.Chan()
	}
	return origin.Origin{}, false, !starting
}

// ask sends a query to the routers that may know an origin and have not replied, and returns their
// number.
func (o *origins) ask(q *originQuery, k origin.Key) (asked int) {
	holders := o.holders(k)
	o.mu.Lock()
	holders = slices.DeleteFunc(holders, func(r *owner.Router) bool { return q.replied[r.Peer] })
	for _, r := range holders {
		if r.Name != o.gateway.settings.Host {
			q.replied[r.Peer] = false
		}
	}
	o.mu.Unlock()
	return o.send(&zinccovev1.Heartbeat{OriginQuery: &zinccovev1.OriginQuery{Number: q.number, Key: uint64(k)}}, holders)
}

// exhaust signals that no reply is awaited any more.
func (q *originQuery) exhaust() {
	select {
	case q.exhausted <- struct{}{}:
	default:
	}
}

// holders returns the routers that may know the origin of a stream.
func (o *origins) holders(k origin.Key) []*owner.Router {
	g := o.gateway
	key, dc := place.Hash(k), g.settings.DataCentre
	return union(g.owners.Load().ReplicaHolders(key, dc), o.routers.Load().ReplicaHolders(key, dc))
}

// reply replies to a query of another router.
func (o *origins) reply(q *zinccovev1.OriginQuery) *zinccovev1.Heartbeat {
	reply := &zinccovev1.OriginReply{Number: q.Number}
	if from, ok := o.table.Get(origin.Key(q.Key)); ok {
		reply.Origin = &zinccovev1.StreamOrigin{Key: q.Key, Service: from.Service, Version: from.Version}
	}
	return &zinccovev1.Heartbeat{OriginReply: reply}
}

// handleReply accepts the reply of a router. A late or unknown one is dropped.
func (o *origins) handleReply(reply *zinccovev1.OriginReply, sender netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.pending[reply.Number]
	switch {
	case q == nil:
		return
	case reply.Origin != nil:
		select {
		case q.found <- decodeOrigin(reply.Origin):
		default: // another router replied before
		}
		return
	}
	q.replied[sender] = true
	for _, replied := range q.replied {
		if !replied {
			return
		}
	}
	q.exhaust()
}
