package gateway

import (
	"maps"
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
	g := l.gateway
	self := g.settings
	names := map[string][]string{self.DataCentre: {self.Host}}
	hosts := make(map[string]*member.Host)
	l.others = 0
	for _, h := range l.members.Hosts() {
		if l.present(h, now) {
			l.others++
			names[h.DataCentre] = append(names[h.DataCentre], h.Name)
			hosts[h.Name] = h
		}
	}
	// The list of hosts is in the order of names, but for this one.
	own := slices.DeleteFunc(slices.Clone(names[self.DataCentre]), func(name string) bool { return name == self.Host })
	rank := feed.Rank(self.Host, own)
	leads := rank < feed.Leaders
	g.ownRank.Store(int64(rank))
	var leaders []leader
	if !leads {
		for _, name := range feed.Order(self.Host, own) {
			leaders = append(leaders, leader{name: name, control: l.controlOf(hosts[name])})
		}
	}
	followers, before := 0, 0
	for dc := range maps.Keys(names) {
		slices.Sort(names[dc])
		for _, name := range names[dc][:min(feed.Leaders, len(names[dc]))] {
			if name == self.Host {
				continue
			}
			followers++
			if name < self.Host {
				before++
			}
		}
	}
	g.followers.Store(int64(followers))
	g.rank.Store(int64(before))
	if old := *g.leaders.Load(); leads != g.leads.Load() || !slices.Equal(old, leaders) {
		var through []string
		for _, x := range leaders {
			through = append(through, x.name)
		}
		g.log.Info().Bool("follows_store", leads).Strs("through", through).Int("others_that_follow", followers).Msg("routers that follow the store")
	}
	g.leaders.Store(&leaders)
	g.leads.Store(leads)
}

// present reports whether a router counts as there.
func (l *loop) present(h *member.Host, now time.Time) bool {
	if h.Leaving {
		return false
	}
	return h.Reachable || h.Heard.IsZero() && h.DataCentre != "" && now.Sub(l.started) < unheardFor
}

// controlOf returns the control address of a router. One that was not heard yet uses
// the same port as this one.
func (l *loop) controlOf(h *member.Host) netip.AddrPort {
	if h.Control.IsValid() {
		return h.Control
	}
	return netip.AddrPortFrom(h.Peer.Addr(), l.gateway.control.Address().Port())
}
