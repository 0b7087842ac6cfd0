package gateway

import (
	"math"
	"net/netip"
	"sync"
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/owner"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/relay"
)

// waits passes the waits of this router's requests to the owners of targets, and their grants back.
// A lost datagram costs the place at one target at most.
type waits struct {
	gateway *Gateway

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]*pendingWait
}

// pendingWait is one request that waits.
type pendingWait struct {
	grants chan place.Grant
	// owners are the routers that keep the wait, by target; nil for this router.
	owners map[place.Hash]*owner.Router
}

func newWaits(g *Gateway) *waits { return &waits{gateway: g, pending: make(map[uint64]*pendingWait)} }

// relayWaits returns how requests wait, nothing if settings turn that off.
func (g *Gateway) relayWaits() relay.Waits {
	if g.settings.WaitingRequests == 0 {
		return relay.Waits{}
	}
	return relay.Waits{Begin: g.waits.begin, Requests: g.settings.WaitingRequests}
}

// begin asks the owners of the targets of a wait for a place.
func (a *waits) begin(w *place.Wait) *relay.Wait {
	q := &pendingWait{grants: make(chan place.Grant, len(w.Queries)), owners: make(map[place.Hash]*owner.Router, len(w.Queries))}
	routers := make([]*owner.Router, len(w.Queries))
	for i, query := range w.Queries {
		if r := a.gateway.querier.ownerOf(query.Target); r != nil && r.Name != a.gateway.settings.Host {
			routers[i] = r
		}
		q.owners[query.Target] = routers[i]
	}
	number := a.register(q) // from here on replies may change q
	for i, query := range w.Queries {
		if r := routers[i]; r != nil {
			a.gateway.loop.contact.Send(&zinccovev1.Heartbeat{Wait: encodeWait(number, w, query)}, r.Peer)
		} else if !a.gateway.placer.AddWait(place.WaitKey{Number: number}, w, query) {
			a.ended(number, query.Target)
		}
	}
	return &relay.Wait{Grants: q.grants, End: func(used *place.Grant) { a.end(number, used) }}
}

func (a *waits) register(q *pendingWait) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastNumber++
	a.pending[a.lastNumber] = q
	return a.lastNumber
}

// end tells the owners that a request waits no longer, all but the one whose place it uses.
func (a *waits) end(number uint64, used *place.Grant) {
	a.mu.Lock()
	q := a.pending[number]
	delete(a.pending, number)
	a.mu.Unlock()
	if q == nil {
		return
	}
	for target, r := range q.owners {
		switch {
		case used != nil && used.Reply.Target == target:
		case r == nil:
			a.gateway.placer.EndWait(place.WaitKey{Number: number}, target)
		default:
			a.gateway.loop.contact.Send(waitEnd(number, target), r.Peer)
		}
	}
}

func waitEnd(number uint64, target place.Hash) *zinccovev1.Heartbeat {
	return &zinccovev1.Heartbeat{WaitEnd: &zinccovev1.WaitEnd{Number: number, Target: uint64(target)}}
}

// waitNotKept tells the router of a request that the owner of a target does not keep its wait.
func waitNotKept(number uint64, target place.Hash) *zinccovev1.Heartbeat {
	hb := waitEnd(number, target)
	hb.WaitEnd.OfOwner = true
	return hb
}

// grant passes a place on to its request. It reports false if that waits no longer.
func (a *waits) grant(number uint64, g place.Grant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.pending[number]
	if q == nil {
		return false
	}
	if _, kept := q.owners[g.Reply.Target]; !kept {
		return false
	}
	select {
	case q.grants <- g:
		return true
	default:
		return false // a repeated datagram
	}
}

// ended records that the owner of a target does not keep a wait any more.
func (a *waits) ended(number uint64, target place.Hash) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.pending[number]
	if q == nil {
		return
	}
	delete(q.owners, target)
	if len(q.owners) == 0 {
		delete(a.pending, number)
		close(q.grants)
	}
}

// receiveWait accepts the wait of another router's request, or tells that router that it is not kept.
func (g *Gateway) receiveWait(m *zinccovev1.Wait, from netip.AddrPort) {
	w, q := decodeWait(m)
	if !g.placer.AddWait(place.WaitKey{Router: from, Number: m.Number}, w, q) {
		g.loop.contact.Send(waitNotKept(m.Number, q.Target), from)
	}
}

// receiveWaitEnd accepts the end of a wait, from the router of the request or from the owner.
func (g *Gateway) receiveWaitEnd(m *zinccovev1.WaitEnd, from netip.AddrPort) {
	target := place.Hash(m.Target)
	if m.OfOwner {
		g.waits.ended(m.Number, target)
		return
	}
	g.placer.EndWait(place.WaitKey{Router: from, Number: m.Number}, target)
}

// receiveGrant passes a place on, or returns it.
func (g *Gateway) receiveGrant(m *zinccovev1.Grant, from netip.AddrPort) {
	if m.Target == nil {
		return
	}
	grant := place.Grant{Key: place.WaitKey{Router: from, Number: m.Number}, Reply: decodeAnswer(m.Target)}
	if !g.waits.grant(m.Number, grant) {
		g.loop.contact.Send(waitEnd(m.Number, grant.Reply.Target), from)
	}
}

// checkWaits grants the places that there are, and sets when the next one is expected.
func (l *loop) checkWaits() {
	g := l.gateway
	grants, ended, next := g.placer.CheckWaits()
	for _, grant := range grants {
		l.sendGrant(grant)
	}
	for _, e := range ended {
		if !e.Key.Router.IsValid() {
			g.waits.ended(e.Key.Number, e.Target)
			continue
		}
		l.contact.Send(waitNotKept(e.Key.Number, e.Target), e.Key.Router)
	}
	l.waitsDue = nil
	if next > 0 {
		l.waitsDue = g.clock.After(next)
	}
}

func (l *loop) sendGrant(grant place.Grant) {
	g := l.gateway
	number, target := grant.Key.Number, grant.Reply.Target
	if grant.Key.Router.IsValid() {
		l.contact.Send(&zinccovev1.Heartbeat{Grant: &zinccovev1.Grant{Number: number, Target: encodeAnswer(grant.Reply)}}, grant.Key.Router)
		return
	}
	if !g.waits.grant(number, grant) {
		g.placer.EndWait(grant.Key, target)
	}
}

func encodeWait(number uint64, w *place.Wait, q place.Query) *zinccovev1.Wait {
	return &zinccovev1.Wait{
		Number: number, Target: encodeQuestion(q), CustomerPriority: uint32(max(w.CustomerPriority, 0)), RoutePriority: uint32(max(w.RoutePriority, 0)), Share: float32(w.Share),
		InTimeMs: milliseconds(w.InTime), SlackMs: milliseconds(w.Left), LimitMs: milliseconds(w.Limit), LimitOnly: w.LimitOnly,
	}
}

// milliseconds returns a time for a message, 0 if it is negative.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func decodeWait(m *zinccovev1.Wait) (*place.Wait, place.Query) {
	w := &place.Wait{
		CustomerPriority: int(m.CustomerPriority), RoutePriority: int(m.RoutePriority), Share: float64(m.Share), LimitOnly: m.LimitOnly,
		InTime: time.Duration(m.InTimeMs) * time.Millisecond, Left: time.Duration(m.SlackMs) * time.Millisecond, Limit: time.Duration(m.LimitMs) * time.Millisecond,
	}
	if m.Target == nil {
		return w, place.Query{}
	}
	return w, decodeQuestion(m.Target)
}
