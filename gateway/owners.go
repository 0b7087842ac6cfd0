package gateway

import (
	"net/netip"
	"slices"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/owner"
	"zinccove.example/zinccove/place"
)

// findOwners finds out which routers answer for targets, if routers changed.
func (l *loop) findOwners() {
	g := l.gateway
	routers := []owner.Router{{Name: g.settings.Host, DataCentre: g.settings.DataCentre, Peer: g.transport.Address()}}
	for _, h := range l.contact.Members.Hosts() {
		if h.Reachable && !h.Leaving && h.Peer.IsValid() {
			routers = append(routers, owner.Router{Name: h.Name, DataCentre: h.DataCentre, Peer: h.Peer})
		}
	}
	if slices.Equal(routers, l.routers) {
		return
	}
	before := g.owners.Load()
	l.routers = routers
	table := owner.New(routers)
	g.owners.Store(table)
	if table.SameOwners(before, g.settings.DataCentre) {
		return
	}
	owned := make(map[place.Hash]bool)
	for _, t := range l.published {
		if target := (owner.Target{Hash: t.hash, DataCentre: t.entry.DataCentre}); l.answersFor(target) {
			owned[target.Hash] = true
		}
	}
	g.placer.SetOwned(owned)
	g.log.Info().Int("targets", len(owned)).Int("routers", len(routers)).Msg("targets that this router answers for")
}

// answersFor reports whether this router answers for a target.
func (l *loop) answersFor(t owner.Target) bool {
	table := l.gateway.owners.Load()
	if t.DataCentre != l.gateway.settings.DataCentre && table.HasRouter(t.DataCentre) {
		return false
	}
	first, _ := table.Owners(t)
	return first != nil && first.Name == l.gateway.settings.Host
}

// tellNews tells the routers that answer for targets what this one did there.
func (l *loop) tellNews() {
	g := l.gateway
	l.newsDue = nil
	news := g.placer.TakeUpdate()
	if news.Empty() {
		return
	}
	for to, part := range g.byOwner(&news) {
		for !part.Empty() {
			hb := l.header()
			hb.Partial = true
			if l.reporting() {
				hb.Host = l.contact.Identity() // the router that answers does not hear this one else
			}
			encodeNews(hb, part)
			g.loop.contact.Send(hb, to)
		}
	}
}

// byOwner sorts news by the addresses of the routers that they concern.
func (g *Gateway) byOwner(n *place.Update) map[netip.AddrPort]*place.Update {
	parts := make(map[netip.AddrPort]*place.Update)
	of := func(target place.Hash) *place.Update {
		r := g.asker.ownerOf(target)
		if r == nil || r.Name == g.settings.Host {
			return new(place.Update) // nobody else has to know
		}
		if parts[r.Peer] == nil {
			parts[r.Peer] = &place.Update{Loads: make(map[place.Hash]place.Load)}
		}
		return parts[r.Peer]
	}
	for _, r := range n.Prefills {
		part := of(r.Target)
		part.Prefills = append(part.Prefills, r)
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
		if a, ok := g.placer.Reply(decodeQuestion(t)); ok {
			reply.Targets = append(reply.Targets, encodeAnswer(a))
		}
	}
	g.loop.contact.Send(&zinccovev1.Heartbeat{Answer: reply}, from)
}
