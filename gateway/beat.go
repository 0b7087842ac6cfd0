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

// beat sends a heartbeat to every known router.
func (l *loop) beat() {
	to := l.destinations()
	sent, _ := l.contact.Send(l.heartbeat(), to...)
	l.gateway.metrics.Add(metric.HeartbeatsSent, sent)
	l.contact.SendSuspects(to...)
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

// beatInterval grows with the number of routers, so that what each of them
// receives stays the same. Those that are not heard yet count too while this router
// starts: routers that start at once would else send each other heartbeats at the shortest
// interval, and take those for lost that already send theirs at a longer one.
func (l *loop) beatInterval() time.Duration {
	return max(l.gateway.settings.HeartbeatInterval, time.Duration(l.others)*beatCost)
}

// beatSpread is the part of the period by which two heartbeats may be closer or further
// apart than usual.
const beatSpread = 0.1

// scheduleBeat draws when the next heartbeat comes.
func (l *loop) scheduleBeat(now time.Time) {
	period := l.beatInterval()
	l.nextBeat = now.Add(untilBeat(l.random, period, period > 2*l.period))
	l.period = period
}

// untilBeat draws the time to the next heartbeat. The next one after the period grew, as
// when a router that starts has read who is there, comes at any time in it: routers that
// start at once would otherwise all speak at once and then be silent together, so that whole
// data centres count as cut off.
func untilBeat(random *rand.Rand, period time.Duration, grew bool) time.Duration {
	if grew {
		return time.Duration(random.Int64N(int64(period)))
	}
	spread := 1 + beatSpread*(2*random.Float64()-1)
	return time.Duration(spread * float64(period))
}

// silenceTime is how long routers may be silent that send a heartbeat each period.
func silenceTime(period time.Duration) time.Duration {
	return max(silence, time.Duration(missedBeats*float64(period)))
}
