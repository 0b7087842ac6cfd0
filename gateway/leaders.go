package gateway

import (
	"net/netip"
	"slices"
	"time"

	"zinccove.example/zinccove/feed"
	"zinccove.example/zinccove/member"
)

// unheardFor is how long after its start a router takes it that others are there of
// which it only read in the store: all routers may start at once, and of 295 each one
// says only each 2.4 s who it is. With 5 s most took the lead for some seconds.
const unheardFor = 10 * time.Second

// findLeaders finds out which routers follow the store for others, by what is known of
// who is there.
func (l *loop) findLeaders(now time.Time) {
	there := l.hostsThere(now)
	l.countFollowers(there)
	own := there[l.gateway.settings.DataCentre]
	rank := feed.Rank(l.gateway.settings.Host, namesOf(own))
	l.gateway.ownRank.Store(int64(rank))
	leads := rank < feed.Leaders
	var leaders []leader
	if !leads {
		leaders = l.leadersAmong(own)
	}
	l.setLeaders(leads, leaders)
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

// countFollowers counts the other routers that follow the store, and those of them before
// this one by name.
func (l *loop) countFollowers(there map[string][]*member.Host) {
	self := l.gateway.settings
	followers, before := 0, 0
	for dc, hosts := range there {
		names := namesOf(hosts)
		most := feed.Leaders
		if dc == self.DataCentre && feed.Rank(self.Host, names) < feed.Leaders {
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

// leadersAmong returns the routers of this data centre that follow the store, in the order
// in which this one is to try them.
func (l *loop) leadersAmong(hosts []*member.Host) []leader {
	byName := make(map[string]*member.Host, len(hosts))
	for _, h := range hosts {
		byName[h.Name] = h
	}
	var leaders []leader
	for _, name := range feed.Order(l.gateway.settings.Host, namesOf(hosts)) {
		leaders = append(leaders, leader{name: name, control: l.controlOf(byName[name])})
	}
	return leaders
}

// setLeaders publishes whom this router follows, and logs it if that changed.
func (l *loop) setLeaders(leads bool, leaders []leader) {
	g := l.gateway
	if leads != g.leads.Load() || !slices.Equal(*g.leaders.Load(), leaders) {
		var through []string
		for _, x := range leaders {
			through = append(through, x.name)
		}
		g.log.Info().Bool("follows_store", leads).Strs("through", through).Int64("others_that_follow", g.followers.Load()).Msg("routers that follow the store")
	}
	g.leaders.Store(&leaders)
	g.leads.Store(leads)
}

// present reports whether a router counts as there.
func (l *loop) present(h *member.Host, now time.Time) bool {
	if h.Leaving {
		return false
	}
	return h.Reachable || h.Heard.IsZero() && h.DataCentre != "" && now.Sub(l.contact.Started) < unheardFor
}

// controlOf returns the control address of a router. One that was not heard yet uses
// the same port as this one.
func (l *loop) controlOf(h *member.Host) netip.AddrPort {
	if h.Control.IsValid() {
		return h.Control
	}
	return netip.AddrPortFrom(h.Peer.Addr(), l.gateway.control.Address().Port())
}
