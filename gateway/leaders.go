package gateway

import (
	"net/netip"
	"slices"
	"time"

	"zinccove.example/zinccove/feed"
	"zinccove.example/zinccove/member"
)

// unheardFor is how long after its start a router takes it that others are there of
// which it only read in the store: all routers may start at once, and those that have not
// heard of the others yet would all take the lead.
const unheardFor = 10 * time.Second

// findLeaders finds out which routers follow the store for others, by what is known of
// who is there.
func (l *loop) findLeaders(now time.Time) {
	there := l.hostsThere(now)
	l.countFollowers(there)
	g := l.gateway
	known := l.knownInDataCentre()
	role := feed.RoleOf(g.settings.Host, namesOf(there[g.settings.DataCentre]), known)
	g.ownRank.Store(int64(role.Rank))
	g.known.Store(int64(known))
	l.setRole(role, l.leadersOf(role.Sources))
	l.presence.SetRole(role, known)
}

// knownInDataCentre is the number of routers of this data centre, this one and those that
// cannot be reached included.
func (l *loop) knownInDataCentre() int {
	known := 1
	for _, h := range l.contact.Members.Hosts() {
		if h.DataCentre == l.gateway.settings.DataCentre {
			known++
		}
	}
	return known
}

// hostsThere returns the other routers that count as there by data centre, in the order
// of their names, and counts them.
func (l *loop) hostsThere(now time.Time) map[string][]*member.Host {
	there := make(map[string][]*member.Host)
	l.others = 0
	for _, h := range l.contact.Members.Hosts() {
		if l.present(h, now) {
			l.others++
			there[h.DataCentre] = append(there[h.DataCentre], h)
		}
	}
	return there
}

func namesOf(hosts []*member.Host) []string {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
	}
	return names
}

// rankOf is the place of a name among others in order.
func rankOf(name string, others []string) int {
	rank, _ := slices.BinarySearch(others, name)
	return rank
}

// countFollowers counts the other routers that follow the store, and those of them before
// this one by name.
func (l *loop) countFollowers(there map[string][]*member.Host) {
	self := l.gateway.settings
	followers, before := 0, 0
	for dc, hosts := range there {
		names := namesOf(hosts)
		most := feed.LeaderCount
		if dc == self.DataCentre && rankOf(self.Host, names) < feed.LeaderCount {
			most-- // this one is among them
		}
		for _, name := range names[:min(most, len(names))] {
			followers++
			if name < self.Host {
				before++
			}
		}
	}
	l.gateway.followers.Store(int64(followers))
	l.gateway.rank.Store(int64(before))
}

// leadersOf returns the routers to follow by their names.
func (l *loop) leadersOf(names []string) []leader {
	var leaders []leader
	for _, name := range names {
		if h, ok := l.contact.Members.Host(name); ok {
			leaders = append(leaders, leader{name: name, control: l.controlOf(h)})
		}
	}
	return leaders
}

// setRole publishes what this router does for others and whom it follows, and logs it if
// that changed.
func (l *loop) setRole(role feed.Role, leaders []leader) {
	g := l.gateway
	if role.Leads != g.leads.Load() || role.Serves != g.serves.Load() || !slices.Equal(*g.leaders.Load(), leaders) {
		g.log.Info().Bool("follows_store", role.Leads).Bool("serves", role.Serves).Strs("through", role.Sources).
			Int("cell", len(role.Cell)+1).Int64("others_that_follow", g.followers.Load()).Msg("routers that follow the store")
	}
	g.leaders.Store(&leaders)
	g.leads.Store(role.Leads)
	g.serves.Store(role.Serves)
	g.logs.setKeeping(role.Retains && len(role.Cell) > 0)
	l.role = role
}

// present reports whether a router counts as there.
func (l *loop) present(h *member.Host, now time.Time) bool {
	if h.Leaving {
		return false
	}
	return h.Reachable || h.LastSeen.IsZero() && h.DataCentre != "" && now.Sub(l.contact.Started) < unheardFor
}

// controlOf returns the control address of a router. One that was not heard yet uses
// the same port as this one.
func (l *loop) controlOf(h *member.Host) netip.AddrPort {
	if h.Control.IsValid() {
		return h.Control
	}
	return netip.AddrPortFrom(h.Peer.Addr(), l.gateway.control.Address().Port())
}
