package gateway

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"zinccove.example/zinccove/contact"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/member"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/presence"
)

// findCuts notes which data centres seem to be cut off.
func (l *loop) findCuts() {
	beats, silence := l.presence.LastSeen(), time.Duration(presence.DataCentreTimeout)
	if !l.reporting() {
		beats, silence = l.beatsHeard(), place.MinSilence
	}
	delete(beats, l.gateway.settings.DataCentre)
	cut := l.gateway.placer.SetHeartbeats(beats, silence)
	slices.Sort(cut)
	if !slices.Equal(cut, l.cut) {
		l.gateway.log.Warn().Strs("data_centres", cut).Msg("data centres that seem cut off")
		l.cut = cut
	}
}

// beatsHeard returns when a router of each data centre was last heard.
func (l *loop) beatsHeard() map[string]time.Time {
	beats := make(map[string]time.Time)
	for _, h := range l.contact.Members.Hosts() {
		if h.LastSeen.After(beats[h.DataCentre]) {
			beats[h.DataCentre] = h.LastSeen
		}
	}
	return beats
}

// reachable returns the other routers that are heard.
func (l *loop) reachable() []*member.Host {
	var hosts []*member.Host
	for _, h := range l.contact.Members.Hosts() {
		if h.Reachable {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// hear takes a heartbeat of another router.
func (l *loop) hear(r contact.Received) {
	host, news := l.contact.HandleHeartbeat(r)
	switch news {
	case member.Ignored:
		return
	case member.Restarted:
		l.welcome(host)
	}
	for _, h := range r.Heartbeat.Introduced {
		l.introduce(h)
	}
	l.heard = true
	l.gateway.placer.ApplyReport(host.Name, decodeReport(r.Heartbeat))
	l.hearReport(host, r.Heartbeat.Report)
	l.hearRollouts(host.Name, host.DataCentre, r.Heartbeat)
	l.hearLeaving(host.Name, r.Heartbeat.LeavingTargets)
	l.hearEvacuations(host.Name, r.Heartbeat.Evacuations)
}

// welcome tells a router that just started who and how far this one is, if it is among those
// that serve others: so the new one need not wait for the next heartbeats.
func (l *loop) welcome(h *member.Host) {
	g := l.gateway
	if !g.serves.Load() || !h.Peer.IsValid() {
		return
	}
	hb := l.header()
	hb.Partial = true
	hb.Host = l.contact.Identity()
	hb.LeavingTargets = l.leavingTargets()
	l.contact.Send(hb, h.Peer)
}

// introduce learns a router from another one.
func (l *loop) introduce(h *zinccovev1.HostInfo) {
	addr, err := netip.ParseAddrPort(h.Peer)
	if err != nil {
		l.gateway.metrics.Inc(metric.PeerErrors)
		return
	}
	l.contact.Members.Upsert(member.Address{Name: h.Name, DataCentre: h.DataCentre, Peer: addr})
}

// learnAddresses takes the entries of routers from the store.
func (l *loop) learnAddresses(hosts []platform.Host) {
	for _, h := range hosts {
		if h.Peer.IsValid() {
			l.contact.Members.Upsert(member.Address{Name: h.Name, DataCentre: h.DataCentre, Peer: h.Peer})
		}
	}
}

// learnHosts takes the entries of the routers of this data centre, which now has this one's.
func (l *loop) learnHosts(hosts []platform.Host) {
	l.learnAddresses(hosts)
	l.gateway.log.Info().Int("routers", len(hosts)).Msg("router announced")
	l.findLeaders(l.gateway.clock.Now())
	if len(hosts) > fewHosts {
		l.greet()
	}
	close(l.gateway.learned)
}

func (l *loop) expire() {
	after := forgetAfter
	if l.reporting() {
		after = math.MaxInt64 // they go with their entries
	}
	gone, _ := l.contact.Expire(after)
	for _, h := range gone {
		l.gateway.placer.RemovePeer(h.Name)
	}
}
