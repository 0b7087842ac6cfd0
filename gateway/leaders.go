package gateway

import (
	"net/netip"
	"slices"
	"time"

	"zinccove.example/zinccove/feed"
	"zinccove.example/zinccove/member"
)

// startupGrace is how long after its start a router assumes that routers are alive of which it
// only read the entry in the store. All routers may start at the same time, and those that have
// not received heartbeats yet would otherwise all become leaders.
const startupGrace = 10 * time.Second

// updateRole determines which routers follow the store for others, from the routers that are
// assumed alive, and sets the role of this one.
func (l *loop) updateRole(now time.Time) {
	alive := l.aliveHosts(now)
	l.countFollowers(alive)
	g := l.gateway
	g.placer.SetFleet(l.positionAmong(alive), l.aliveOthers+1)
	known := l.knownInDataCentre()
	role := feed.RoleOf(g.settings.Host, namesOf(alive[g.settings.DataCentre]), known)
	g.dataCentreRank.Store(int64(role.Rank))
	g.dataCentreSize.Store(int64(known))
	l.setRole(role, l.leadersOf(role.Sources))
	l.presence.SetRole(role, known)
}

// knownInDataCentre returns the number of known routers of this data centre, including this one
// and unreachable ones.
func (l *loop) knownInDataCentre() int {
	known := 1
	for _, h := range l.contact.Members.Hosts() {
		if h.DataCentre == l.gateway.settings.DataCentre {
			known++
		}
	}
	return known
}

// aliveHosts returns the other routers that are assumed alive by data centre, in the order of
// their names, and counts them.
func (l *loop) aliveHosts(now time.Time) map[string][]*member.Host {
	alive := make(map[string][]*member.Host)
	l.aliveOthers = 0
	for _, h := range l.contact.Members.Hosts() {
		if l.assumedAlive(h, now) {
			l.aliveOthers++
			alive[h.DataCentre] = append(alive[h.DataCentre], h)
		}
	}
	return alive
}

// positionAmong returns the position of this router among the others by name, over all data
// centres.
func (l *loop) positionAmong(alive map[string][]*member.Host) int {
	position := 0
	for _, hosts := range alive {
		position += rankOf(l.gateway.settings.Host, namesOf(hosts))
	}
	return position
}

func namesOf(hosts []*member.Host) []string {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
	}
	return names
}

// rankOf returns the position of a name among sorted others.
func rankOf(name string, others []string) int {
	rank, _ := slices.BinarySearch(others, name)
	return rank
}

// countFollowers counts the other routers that follow the store directly, and those of them whose
// name sorts before this one's.
func (l *loop) countFollowers(alive map[string][]*member.Host) {
	self := l.gateway.settings
	followers, before := 0, 0
	for dc, hosts := range alive {
		names := namesOf(hosts)
		limit := feed.LeaderCount
		if dc == self.DataCentre && rankOf(self.Host, names) < feed.LeaderCount {
			limit-- // this router is one of the leaders there
		}
		for _, name := range names[:min(limit, len(names))] {
			followers++
			if name < self.Host {
				before++
			}
		}
	}
	l.gateway.followers.Store(int64(followers))
	l.gateway.followerRank.Store(int64(before))
}

// leadersOf returns the routers to follow, by their names.
func (l *loop) leadersOf(names []string) []leader {
	var leaders []leader
	for _, name := range names {
		if h, ok := l.contact.Members.Host(name); ok {
			leaders = append(leaders, leader{name: name, control: l.controlAddress(h)})
		}
	}
	return leaders
}

// setRole publishes the role of this router and the leaders that it follows, and logs them if they
// changed.
func (l *loop) setRole(role feed.Role, leaders []leader) {
	g := l.gateway
	if role.Leads != g.leads.Load() || role.Serves != g.serves.Load() || !slices.Equal(*g.leaders.Load(), leaders) {
		g.log.Info().Bool("follows_store", role.Leads).Bool("serves", role.Serves).Strs("through", role.Sources).
			Int("cell", len(role.Cell)+1).Int64("others_that_follow", g.followers.Load()).Msg("role or leaders of this router changed")
	}
	g.leaders.Store(&leaders)
	g.leads.Store(role.Leads)
	g.serves.Store(role.Serves)
	g.logs.setKeeping(role.Retains && len(role.Cell) > 0)
	l.role = role
}

// assumedAlive reports whether a router is assumed alive.
func (l *loop) assumedAlive(h *member.Host, now time.Time) bool {
	if h.Leaving {
		return false
	}
	return h.Reachable || h.LastSeen.IsZero() && h.DataCentre != "" && now.Sub(l.contact.Started) < startupGrace
}

// controlAddress returns the control address of a router. Before its first heartbeat arrives, the
// port is assumed to be that of this router.
func (l *loop) controlAddress(h *member.Host) netip.AddrPort {
	if h.Control.IsValid() {
		return h.Control
	}
	return netip.AddrPortFrom(h.Peer.Addr(), l.gateway.control.Address().Port())
}
