package gateway

import (
	"net/netip"
	"slices"
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/member"
	"zinccove.example/zinccove/metric"
)

// beat sends a heartbeat to every known router.
func (l *loop) beat() {
	to := l.destinations()
	sent, _ := l.contact.Send(l.heartbeat(), to...)
	l.gateway.metrics.Add(metric.HeartbeatsSent, sent)
	l.contact.TellSuspects(to...)
}

// usesPeriod is the time between heartbeats that carry the use by customers,
// which is a sum over four seconds.
const usesPeriod = 400 * time.Millisecond

func (l *loop) usesDue() bool {
	now := l.gateway.clock.Now()
	if now.Sub(l.lastUses) < usesPeriod {
		return false
	}
	l.lastUses = now
	return true
}

// contactEvery is the number of heartbeats from one to silent routers and
// contacts to the next.
const contactEvery = 5

// destinations returns the addresses of the routers that count as there and, from time
// to time, of all others that may be.
func (l *loop) destinations() []netip.AddrPort {
	all := l.beats%contactEvery == 1
	now := l.gateway.clock.Now()
	var to []netip.AddrPort
	known := make(map[netip.AddrPort]bool)
	for _, h := range l.contact.Members.Hosts() {
		if h.Peer.IsValid() && (h.Reachable || all || l.present(h, now)) {
			to = append(to, h.Peer)
			known[h.Peer] = true
		}
	}
	if !all {
		return to
	}
	contacts := slices.Clone(l.gateway.settings.Seeds)
	for _, contact := range l.gateway.settings.Contacts {
		contacts = append(contacts, l.gateway.peerAddress(contact))
	}
	for _, addr := range contacts {
		if !known[addr] && addr != l.gateway.transport.Address() {
			to = append(to, addr)
		}
	}
	return to
}

func (l *loop) heartbeat() *zinccovev1.Heartbeat {
	l.beats++
	hb := l.header()
	hb.LeavingTargets = l.leavingTargets()
	hb.Evacuations = l.evacuationsToTell()
	if l.beats <= identifyEvery || l.beats%identifyEvery == 0 {
		hb.Host = l.contact.Identity()
		hb.Introduced = l.introductions()
	}
	if l.usesDue() {
		encodeUses(hb, l.gateway.placer)
	}
	return hb
}

// introductions names some reachable routers, by turns.
func (l *loop) introductions() []*zinccovev1.HostInfo {
	reachable := slices.DeleteFunc(l.reachable(), func(h *member.Host) bool { return !h.Peer.IsValid() })
	var list []*zinccovev1.HostInfo
	for range min(introductions, len(reachable)) {
		h := reachable[l.introduced%len(reachable)]
		l.introduced++
		list = append(list, &zinccovev1.HostInfo{Name: h.Name, DataCentre: h.DataCentre, Peer: h.Peer.String()})
	}
	return list
}

// publish makes the status that operators read, and the gauges.
func (l *loop) publish(now time.Time) {
	g := l.gateway
	reachable := l.contact.Publish(&zinccovev1.RouterStatus{ConfigVersion: l.version(), Leaving: g.stopping.Load()})
	g.retries.SetBurst(burstOf(g.settings.RetrySlack, max(reachable, l.others)))
	g.metrics.Set(metric.RequestsRunning, float64(g.relay.Running()))
	if age, ok := g.routesAnswered.age(now); ok {
		g.metrics.Set(metric.RoutesAge, age.Seconds())
	}
	if age, ok := g.targetsAnswered.age(now); ok {
		g.metrics.Set(metric.TargetsAge, age.Seconds())
	}
	g.metrics.Set(metric.HeartbeatsForged, float64(g.transport.Forged()))
}
