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
	sent := l.gateway.send(l.heartbeat(), to...)
	l.gateway.metrics.Add(metric.HeartbeatsSent, sent)
	l.gateway.tellSuspects(to...)
}

// send sends a datagram to some routers and returns for how many it left.
func (g *Gateway) send(hb *zinccovev1.Heartbeat, to ...netip.AddrPort) int {
	size, sent, err := g.transport.Send(hb, to...)
	if err != nil {
		g.metrics.Add(metric.PeerErrors, len(to)-sent)
	}
	g.metrics.Add(metric.ControlBytesSent, size*sent)
	return sent
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
	for _, h := range l.members.Hosts() {
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
		hb.Host = l.identity()
		hb.Introduced = l.introductions()
	}
	if l.usesDue() {
		encodeUses(hb, l.gateway.placer)
	}
	return hb
}

func (l *loop) identity() *zinccovev1.HostInfo {
	g := l.gateway
	return &zinccovev1.HostInfo{
		Name: g.settings.Host, DataCentre: g.settings.DataCentre,
		Control: g.control.Address().String(), Peer: g.transport.Address().String(),
		StartedUnixMs: l.started.UnixMilli(),
	}
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
	all := []*zinccovev1.RouterStatus{{
		Host: g.settings.Host, DataCentre: g.settings.DataCentre, ConfigVersion: l.version(), Reachable: true, Leaving: g.stopping.Load(),
	}}
	reachable := 0
	for _, h := range l.members.Hosts() {
		if h.Reachable {
			reachable++
		}
		all = append(all, h.Status(now))
	}
	l.published.Store(&all)
	g.retries.SetBurst(burstOf(g.settings.RetrySlack, max(reachable, l.others)))
	g.metrics.Set(metric.RequestsRunning, float64(g.relay.Running()))
	g.metrics.Set(metric.HostsReachable, float64(reachable))
	if age, ok := g.routesAnswered.age(now); ok {
		g.metrics.Set(metric.RoutesAge, age.Seconds())
	}
	if age, ok := g.targetsAnswered.age(now); ok {
		g.metrics.Set(metric.TargetsAge, age.Seconds())
	}
	suspected, barred := g.quarantine.Counts()
	g.metrics.Set(metric.SuspectsKnown, float64(suspected))
	g.metrics.Set(metric.BarredKnown, float64(barred))
	g.metrics.Set(metric.HeartbeatsForged, float64(g.transport.Forged()))
}

// statuses returns what is known of all routers as of the last tick.
func (l *loop) statuses() []*zinccovev1.RouterStatus {
	if p := l.published.Load(); p != nil {
		return *p
	}
	return nil
}
