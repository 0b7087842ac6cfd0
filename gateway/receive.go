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

// detectCutOff determines which data centres are considered cut off.
func (l *loop) detectCutOff() {
	heartbeats, timeout := l.presence.LastSeen(), time.Duration(presence.DataCentreTimeout)
	if !l.usesReports() {
		heartbeats, timeout = l.lastHeartbeats(), place.MinSilence
	}
	delete(heartbeats, l.gateway.settings.DataCentre)
	cut := l.gateway.placer.SetHeartbeats(heartbeats, timeout)
	slices.Sort(cut)
	if !slices.Equal(cut, l.cutOff) {
		l.gateway.log.Warn().Strs("data_centres", cut).Msg("data centres considered cut off")
		l.cutOff = cut
	}
}

// lastHeartbeats returns when the last heartbeat of each data centre was received.
func (l *loop) lastHeartbeats() map[string]time.Time {
	last := make(map[string]time.Time)
	for _, h := range l.contact.Members.Hosts() {
		if h.LastSeen.After(last[h.DataCentre]) {
			last[h.DataCentre] = h.LastSeen
		}
	}
	return last
}

// reachable returns the other routers whose heartbeats arrive.
func (l *loop) reachable() []*member.Host {
	var hosts []*member.Host
	for _, h := range l.contact.Members.Hosts() {
		if h.Reachable {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// handleHeartbeat processes a heartbeat of another router.
func (l *loop) handleHeartbeat(r contact.Received) {
	host, event := l.contact.HandleHeartbeat(r)
	switch event {
	case member.Ignored:
		return
	case member.Restarted:
		l.replyToRestarted(host)
	}
	for _, h := range r.Heartbeat.Introduced {
		l.learnIntroduced(h)
	}
	l.receivedHeartbeat = true
	l.gateway.recordSpare(host.Name, r.Heartbeat)
	l.gateway.placer.ApplyReport(host.Name, decodeReport(r.Heartbeat))
	l.handleReport(host, r.Heartbeat.Report)
	l.handleRollouts(host.Name, host.DataCentre, r.Heartbeat)
	l.handleLeaving(host.Name, r.Heartbeat.LeavingTargets)
	l.handleEvacuations(host.Name, r.Heartbeat.Evacuations)
}

// replyToRestarted sends the identity and state of this router to a router that just started, if
// this one serves others. The new router then need not wait for the next regular heartbeats.
func (l *loop) replyToRestarted(h *member.Host) {
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

// learnIntroduced adds a router that another one named.
func (l *loop) learnIntroduced(h *zinccovev1.HostInfo) {
	addr, err := netip.ParseAddrPort(h.Peer)
	if err != nil {
		l.gateway.metrics.Inc(metric.PeerErrors)
		return
	}
	l.contact.Members.Upsert(member.Address{Name: h.Name, DataCentre: h.DataCentre, Peer: addr})
}

// learnAddresses adds the routers that the store lists.
func (l *loop) learnAddresses(hosts []platform.Host) {
	for _, h := range hosts {
		if h.Peer.IsValid() {
			l.contact.Members.Upsert(member.Address{Name: h.Name, DataCentre: h.DataCentre, Peer: h.Peer})
		}
	}
	l.updateHolders()
}

// learnHosts adds the routers of this data centre that the store lists. This router's entry is
// among them.
func (l *loop) learnHosts(hosts []platform.Host) {
	l.learnAddresses(hosts)
	l.gateway.log.Info().Int("routers", len(hosts)).Msg("router announced")
	l.updateRole(l.gateway.clock.Now())
	if len(hosts) > smallDataCentre {
		l.introduceToDataCentre()
	}
	close(l.gateway.routersKnown)
}

func (l *loop) expireHosts() {
	after := forgetTimeout
	if l.usesReports() {
		after = math.MaxInt64 // they are removed with their entries
	}
	removed, _ := l.contact.Expire(after)
	for _, h := range removed {
		l.gateway.placer.RemovePeer(h.Name)
	}
}
