package gateway

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/member"
	"zinccove.example/zinccove/metric"
)

// sendHeartbeats sends a heartbeat to every known router.
func (l *loop) sendHeartbeats() {
	to := l.destinations()
	sent, _ := l.contact.Send(l.heartbeat(), to...)
	l.gateway.metrics.Add(metric.HeartbeatsSent, sent)
	l.contact.SendSuspects(to...)
}

// usesInterval is the interval between heartbeats that carry the usage of customers, which is a
// sum over four seconds.
const usesInterval = 400 * time.Millisecond

func (l *loop) usesDue() bool {
	now := l.gateway.clock.Now()
	if now.Sub(l.lastUses) < usesInterval {
		return false
	}
	l.lastUses = now
	return true
}

// contactEvery is the number of heartbeats between two that also go to unreachable routers and to
// contacts.
const contactEvery = 5

// destinations returns the addresses of the routers that are assumed alive and, periodically, also
// of unreachable routers and configured contacts.
func (l *loop) destinations() []netip.AddrPort {
	all := l.heartbeatCount%contactEvery == 1
	now := l.gateway.clock.Now()
	var to []netip.AddrPort
	known := make(map[netip.AddrPort]bool)
	for _, h := range l.contact.Members.Hosts() {
		if h.Peer.IsValid() && (h.Reachable || all || l.assumedAlive(h, now)) {
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
	l.heartbeatCount++
	hb := l.header()
	hb.LeavingTargets = l.leavingTargets()
	hb.Evacuations = l.recentEvacuations()
	if l.heartbeatCount <= identifyEvery || l.heartbeatCount%identifyEvery == 0 {
		hb.Host = l.contact.Identity()
		hb.Introduced = l.introductions()
	}
	if l.usesDue() {
		encodeUses(hb, l.gateway.placer)
	}
	return hb
}

// introductions names some reachable routers, in turn.
func (l *loop) introductions() []*zinccovev1.HostInfo {
	reachable := slices.DeleteFunc(l.reachable(), func(h *member.Host) bool { return !h.Peer.IsValid() })
	var list []*zinccovev1.HostInfo
	for range min(introductionsPerHeartbeat, len(reachable)) {
		h := reachable[l.nextIntroduction%len(reachable)]
		l.nextIntroduction++
		list = append(list, &zinccovev1.HostInfo{Name: h.Name, DataCentre: h.DataCentre, Peer: h.Peer.String()})
	}
	return list
}

// publish updates the status that operators read, and the gauges.
func (l *loop) publish(now time.Time) {
	g := l.gateway
	reachable := l.contact.Publish(&zinccovev1.RouterStatus{ConfigVersion: l.version(), Leaving: g.stopping.Load()})
	g.retries.SetBurst(retryBurst(g.settings.RetrySlack, max(reachable, l.aliveOthers)))
	g.metrics.Set(metric.RequestsRunning, float64(g.relay.Running()))
	if age, ok := g.routesConfirmed.age(now); ok {
		g.metrics.Set(metric.RoutesAge, age.Seconds())
	}
	if age, ok := g.targetsConfirmed.age(now); ok {
		g.metrics.Set(metric.TargetsAge, age.Seconds())
	}
	g.metrics.Set(metric.HeartbeatsForged, float64(g.transport.Forged()))
}

// heartbeatInterval returns the interval between heartbeats. It grows with the number of routers,
// so that the rate at which each of them receives heartbeats stays bounded. While this router
// starts, routers count too that it has received no heartbeat from: routers that start at the same
// time would otherwise send each other heartbeats at the shortest interval, and consider those
// failed that already use a longer one.
func (l *loop) heartbeatInterval() time.Duration {
	return max(l.gateway.settings.HeartbeatInterval, time.Duration(l.aliveOthers)*minReceiveInterval)
}

// heartbeatJitter is the relative jitter of the interval between two heartbeats.
const heartbeatJitter = 0.1

// scheduleHeartbeat draws the time of the next heartbeat.
func (l *loop) scheduleHeartbeat(now time.Time) {
	period := l.heartbeatInterval()
	l.nextHeartbeat = now.Add(heartbeatDelay(l.random, period, period > 2*l.heartbeatPeriod))
	l.heartbeatPeriod = period
}

// heartbeatDelay draws the delay until the next heartbeat. After the period grew, as when a router
// that starts has read the list of routers, the next heartbeat comes at any time within the
// period. Otherwise routers that start at the same time would all send at once and then all pause
// at once, so that whole data centres would count as cut off.
func heartbeatDelay(random *rand.Rand, period time.Duration, grew bool) time.Duration {
	if grew {
		return time.Duration(random.Int64N(int64(period)))
	}
	spread := 1 + heartbeatJitter*(2*random.Float64()-1)
	return time.Duration(spread * float64(period))
}

// failureTimeout returns how long routers that send a heartbeat each period may be silent before
// they count as unreachable.
func failureTimeout(period time.Duration) time.Duration {
	return max(minFailureTimeout, time.Duration(failureTimeoutPeriods*float64(period)))
}
