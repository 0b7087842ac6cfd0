package gateway

import (
	"net/netip"
	"slices"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/owner"
	"zinccove.example/zinccove/place"
)

// updateOwners recomputes the owners of targets if the set of routers changed.
func (l *loop) updateOwners() {
	g := l.gateway
	l.updateHolders()
	routers := []owner.Router{l.self()}
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
	l.updateOffloadPeers()
	table := owner.New(routers)
	g.owners.Store(table)
	if table.SameOwners(before, g.settings.DataCentre) {
		return
	}
	owned := make(map[place.Hash]bool)
	for _, t := range l.published {
		if target := (owner.Target{Hash: t.hash, DataCentre: t.entry.DataCentre}); l.owns(target) {
			owned[target.Hash] = true
		}
	}
	g.placer.SetOwned(owned)
	g.log.Info().Int("targets", len(owned)).Int("routers", len(routers)).Msg("targets owned by this router changed")
}

func (l *loop) self() owner.Router {
	g := l.gateway
	return owner.Router{Name: g.settings.Host, DataCentre: g.settings.DataCentre, Peer: g.transport.Address()}
}

// updateHolders recomputes the routers that may hold origins of streams if the set of known routers
// changed.
func (l *loop) updateHolders() {
	if l.holdersCurrent() {
		return
	}
	l.holders = []owner.Router{l.self()}
	for _, h := range l.contact.Members.Hosts() {
		if h.Peer.IsValid() {
			l.holders = append(l.holders, owner.Router{Name: h.Name, DataCentre: h.DataCentre, Peer: h.Peer})
		}
	}
	l.gateway.origins.routers.Store(owner.New(l.holders))
}

// holdersCurrent reports whether holders are all known routers. It is asked twice a second and
// allocates nothing.
func (l *loop) holdersCurrent() bool {
	if len(l.holders) == 0 {
		return false
	}
	rest := l.holders[1:] // the first one is this router
	for _, h := range l.contact.Members.Hosts() {
		if !h.Peer.IsValid() {
			continue
		}
		if len(rest) == 0 || rest[0].Name != h.Name || rest[0].Peer != h.Peer || rest[0].DataCentre != h.DataCentre {
			return false
		}
		rest = rest[1:]
	}
	return len(rest) == 0
}

// owns reports whether this router owns a target.
func (l *loop) owns(t owner.Target) bool {
	table := l.gateway.owners.Load()
	if t.DataCentre != l.gateway.settings.DataCentre && table.HasRouter(t.DataCentre) {
		return false
	}
	first, _ := table.Owners(t)
	return first != nil && first.Name == l.gateway.settings.Host
}

// sendUpdates sends the owners of targets updates on what this router placed there.
func (l *loop) sendUpdates() {
	g := l.gateway
	l.updateDue = nil
	update := g.placer.TakeUpdate()
	if update.Empty() {
		return
	}
	for to, part := range g.byOwner(&update) {
		for !part.Empty() {
			hb := l.header()
			hb.Partial = true
			if l.usesReports() {
				hb.Host = l.contact.Identity() // the owner receives no other heartbeats of this router
			}
			encodeUpdate(hb, part)
			g.loop.contact.Send(hb, to)
		}
	}
}

// byOwner splits an update by the addresses of the owners that it concerns.
func (g *Gateway) byOwner(n *place.Update) map[netip.AddrPort]*place.Update {
	parts := make(map[netip.AddrPort]*place.Update)
	of := func(target place.Hash) *place.Update {
		r := g.querier.ownerOf(target)
		if r == nil || r.Name == g.settings.Host {
			return new(place.Update) // discarded: no other router needs it
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
	for _, h := range n.Holdings {
		part := of(h.Directory)
		part.Holdings = append(part.Holdings, h)
	}
	for h, load := range n.Loads {
		if part := of(h); part.Loads != nil {
			part.Loads[h] = load
		}
	}
	return parts
}

// replyToQuery replies to a query about targets.
func (g *Gateway) replyToQuery(q *zinccovev1.Question, from netip.AddrPort) {
	reply := &zinccovev1.Answer{Number: q.Number}
	for _, t := range q.Targets {
		if a, ok := g.placer.Reply(decodeQuestion(t)); ok {
			reply.Targets = append(reply.Targets, encodeAnswer(a))
		}
	}
	hb := &zinccovev1.Heartbeat{Answer: reply}
	g.reportSpare(hb)
	g.loop.contact.Send(hb, from)
}
