package gateway

import (
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

// originQuery is a query that waits for replies.
type originQuery struct {
	// open is the number of routers that have not replied.
	open int
	// found receives the origin, or is closed once all routers replied that they know none.
	found chan origin.Origin
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
	for range rounds {
		from, ok, done := o.round(k, starting)
		if ok || done {
			return from, ok
		}
	}
	return origin.Origin{}, false
}

// round queries the routers that may know an origin. It reports done if all of them replied; a
// router that is starting awaits the end of the round then, by which it may know more routers.
func (o *origins) round(k origin.Key, starting bool) (from origin.Origin, ok, done bool) {
	timer := o.gateway.clock.NewTimer(originRoundTime)
	defer timer.Stop()
	from, ok, done = o.query(k, o.holders(k), timer.Chan())
	if !ok && done && starting {
		<-timer.Chan()
		done = false
	}
	return from, ok, done
}

// holders returns the routers that may know the origin of a stream.
func (o *origins) holders(k origin.Key) []*owner.Router {
	g := o.gateway
	key, dc := place.Hash(k), g.settings.DataCentre
	return union(g.owners.Load().ReplicaHolders(key, dc), o.routers.Load().ReplicaHolders(key, dc))
}

// query queries routers and awaits their replies until timeout. It reports done if one of them knows
// the origin, or all replied that they do not.
func (o *origins) query(k origin.Key, holders []*owner.Router, timeout <-chan time.Time) (from origin.Origin, ok, done bool) {
	q := &originQuery{open: len(holders), found: make(chan origin.Origin, 1)}
	number := o.number.Add(1)
	o.mu.Lock()
	o.pending[number] = q
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.pending, number)
	}()
	sent := o.send(&zinccovev1.Heartbeat{OriginQuery: &zinccovev1.OriginQuery{Number: number, Key: uint64(k)}}, holders)
	o.miss(number, len(holders)-sent)
	select {
	case from, ok = <-q.found:
		return from, ok, true
	case <-timeout:
		return origin.Origin{}, false, false
	}
}

// reply replies to a query of another router.
func (o *origins) reply(q *zinccovev1.OriginQuery) *zinccovev1.Heartbeat {
	reply := &zinccovev1.OriginReply{Number: q.Number}
	if from, ok := o.table.Get(origin.Key(q.Key)); ok {
		reply.Origin = &zinccovev1.StreamOrigin{Key: q.Key, Service: from.Service, Version: from.Version}
	}
	return &zinccovev1.Heartbeat{OriginReply: reply}
}

// handleReply accepts a reply. A late or unknown one is dropped.
func (o *origins) handleReply(reply *zinccovev1.OriginReply) {
	if reply.Origin == nil {
		o.miss(reply.Number, 1)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if q := o.pending[reply.Number]; q != nil {
		delete(o.pending, reply.Number)
		q.found <- decodeOrigin(reply.Origin)
	}
}

// miss records that some routers do not know the origin.
func (o *origins) miss(number uint64, routers int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.pending[number]
	if q == nil {
		return
	}
	q.open -= routers
	if q.open <= 0 {
		delete(o.pending, number)
		close(q.found)
	}
}
