package gateway

import (
	"net/netip"
	"slices"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/owner"
	"zinccove.example/zinccove/place"
)

// findOwners finds out which routers answer for the targets, if routers or targets
// changed.
func (l *loop) findOwners() {
	g := l.gateway
	routers := []owner.Router{{Name: g.settings.Host, DataCentre: g.settings.DataCentre, Peer: g.transport.Address()}}
	for _, h := range l.contact.Members.Hosts() {
		if h.Reachable && !h.Leaving && h.Peer.IsValid() {
			routers = append(routers, owner.Router{Name: h.Name, DataCentre: h.DataCentre, Peer: h.Peer})
		}
	}
	if slices.Equal(routers, l.routers) && slices.Equal(l.targets, l.ownedOf) {
		return
	}
	l.routers, l.ownedOf = routers, l.targets
	targets := make([]owner.Target, len(l.targets))
	for i, t := range l.targets {
		targets[i] = owner.Target{Hash: place.HashOf(t.Incarnation()), DataCentre: t.DataCentre}
	}
	table := owner.New(targets, routers)
	g.owners.Store(table)
	owned := table.Owned(g.settings.Host)
	g.placer.SetOwned(owned)
	if len(owned) != l.owned {
		l.owned = len(owned)
		g.log.Info().Int("targets", len(owned)).Int("routers", len(routers)).Msg("targets that this router answers for")
	}
}

// tellNews tells the routers that answer for targets what this one did there.
func (l *loop) tellNews() {
	g := l.gateway
	l.newsDue = nil
	news := g.placer.TakeNews()
	if news.Empty() {
		return
	}
	for to, part := range g.byOwner(&news) {
		for !part.Empty() {
			hb := l.header()
			hb.Partial = true
			encodeNews(hb, part)
			g.loop.contact.Send(hb, to)
		}
	}
}

// byOwner sorts news by the addresses of the routers that they concern.
func (g *Gateway) byOwner(n *place.News) map[netip.AddrPort]*place.News {
	parts := make(map[netip.AddrPort]*place.News)
	of := func(target place.Hash) *place.News {
		r := g.asker.ownerOf(target)
		if r == nil || r.Name == g.settings.Host {
			return new(place.News) // nobody else has to know
		}
		if parts[r.Peer] == nil {
			parts[r.Peer] = &place.News{Loads: make(map[place.Hash]place.Load)}
		}
		return parts[r.Peer]
	}
	for _, r := range n.Readings {
		part := of(r.Target)
		part.Readings = append(part.Readings, r)
	}
	for _, e := range n.FirstEvents {
		part := of(e.Target)
		part.FirstEvents = append(part.FirstEvents, e)
	}
	for h, load := range n.Loads {
		if part := of(h); part.Loads != nil {
			part.Loads[h] = load
		}
	}
	return parts
}

// answer answers a question about targets.
func (g *Gateway) answer(q *zinccovev1.Question, from netip.AddrPort) {
	reply := &zinccovev1.Answer{Number: q.Number}
	for _, t := range q.Targets {
		if a, ok := g.placer.Answer(decodeQuestion(t)); ok {
			reply.Targets = append(reply.Targets, encodeAnswer(a))
		}
	}
	g.loop.contact.Send(&zinccovev1.Heartbeat{Answer: reply}, from)
}
