package presence

import (
	"net/netip"
	"slices"

	"zinccove.example/zinccove/feed"
	"zinccove.example/zinccove/member"
)

// dataCentres returns those of all known routers.
func (n *Node) dataCentres() []string {
	list := []string{n.options.DataCentre}
	for _, h := range n.options.Members.Hosts() {
		if h.DataCentre != "" && !slices.Contains(list, h.DataCentre) {
			list = append(list, h.DataCentre)
		}
	}
	return list
}

// hears reports whether reports on a data centre come.
func (n *Node) hears(dataCentre string) bool {
	return slices.ContainsFunc(n.said, func(r Report) bool { return r.Cell.DataCentre == dataCentre })
}

// leaders returns the leaders of a data centre, as far as this router knows, but itself.
func (n *Node) leaders(dataCentre string) []*member.Host {
	left := feed.LeaderCount
	if dataCentre == n.options.DataCentre && n.role.Leads {
		left--
	}
	var list []*member.Host
	for _, h := range n.options.Members.Hosts() {
		if left > 0 && h.DataCentre == dataCentre && here(h) {
			list = append(list, h)
			left--
		}
	}
	return list
}

// here reports whether a router may be there: it is not known to be gone.
func here(h *member.Host) bool { return h.Reachable || h.LastSeen.IsZero() && h.LastReport.IsZero() }

// search returns routers of a data centre that may know who leads there.
func (n *Node) search(dataCentre string) []*member.Host {
	var of []*member.Host
	for _, h := range n.options.Members.Hosts() {
		if h.DataCentre == dataCentre {
			of = append(of, h)
		}
	}
	list := slices.Clone(of[:min(feed.LeaderCount, len(of))])
	for range min(searched, len(of)) {
		list = append(list, of[n.options.Random.IntN(len(of))])
	}
	return list
}

// followers returns those to whom this router reports down: its part of the cell that it is
// a relay of, and the relays of all cells if it leads. Leaders need no reports of others.
func (n *Node) followers() []*member.Host {
	own := n.cell()
	cells := make(map[int][]string)
	names := []string{n.options.Host}
	silent := n.board.reports[own][n.options.Host].Failed // before the others agree
	for _, h := range n.options.Members.Hosts() {
		if h.DataCentre == own.DataCentre && here(h) && !has(silent, h.Key) {
			names = append(names, h.Name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		number := feed.CellOf(name, own.Cells)
		cells[number] = append(cells[number], name)
	}
	list := n.share(cells[own.Number])
	if n.role.Leads {
		for number := range own.Cells {
			list = append(list, relaysOf(cells[number])...)
		}
	}
	leaders := names[:min(feed.LeaderCount, len(names))]
	return n.hosts(slices.DeleteFunc(list, func(name string) bool { return slices.Contains(leaders, name) }))
}

func relaysOf(cell []string) []string { return cell[:min(feed.LeaderCount, len(cell))] }

// share returns the routers of a cell that this one reports to: its relays share those that
// are none. For a while after one was lost each reports to all, until the next one knows
// that it is a relay.
func (n *Node) share(cell []string) []string {
	now := n.options.Clock.Now()
	relays := relaysOf(cell)
	if !slices.Equal(relays, n.relays) {
		n.relays, n.relaysSince = slices.Clone(relays), now
	}
	own := slices.Index(relays, n.options.Host)
	if own < 0 {
		return nil
	}
	others := cell[len(relays):]
	if now.Sub(n.relaysSince) < ReportTTL {
		return others
	}
	var names []string
	for i, name := range others {
		if i%len(relays) == own {
			names = append(names, name)
		}
	}
	return names
}

// hosts returns the routers with some names, but this one.
func (n *Node) hosts(names []string) []*member.Host {
	var list []*member.Host
	for _, name := range names {
		if h, ok := n.options.Members.Host(name); ok {
			list = append(list, h)
		}
	}
	return list
}

func addresses(hosts []*member.Host) []netip.AddrPort {
	var list []netip.AddrPort
	for _, h := range hosts {
		if h.Peer.IsValid() && !slices.Contains(list, h.Peer) {
			list = append(list, h.Peer)
		}
	}
	return list
}
