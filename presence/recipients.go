package presence

import (
	"net/netip"
	"slices"

	"zinccove.example/zinccove/feed"
	"zinccove.example/zinccove/member"
)

// dataCentres returns the data centres of all known routers.
func (n *Node) dataCentres() []string {
	list := []string{n.options.DataCentre}
	for _, h := range n.options.Members.Hosts() {
		if h.DataCentre != "" && !slices.Contains(list, h.DataCentre) {
			list = append(list, h.DataCentre)
		}
	}
	return list
}

// hasReportsOn reports whether there are reports on a data centre.
func (n *Node) hasReportsOn(dataCentre string) bool {
	return slices.ContainsFunc(n.applied, func(r Report) bool { return r.Cell.DataCentre == dataCentre })
}

// leaders returns the leaders of a data centre as far as this router knows, without itself.
func (n *Node) leaders(dataCentre string) []*member.Host {
	remaining := feed.LeaderCount
	if dataCentre == n.options.DataCentre && n.role.Leads {
		remaining--
	}
	var list []*member.Host
	for _, h := range n.options.Members.Hosts() {
		if remaining > 0 && h.DataCentre == dataCentre && presumedReachable(h) {
			list = append(list, h)
			remaining--
		}
	}
	return list
}

// presumedReachable reports whether a router may be reachable: it is not known to have failed.
func presumedReachable(h *member.Host) bool {
	return h.Reachable || h.LastSeen.IsZero() && h.LastReport.IsZero()
}

// candidateLeaders returns routers of a data centre that may know its leaders.
func (n *Node) candidateLeaders(dataCentre string) []*member.Host {
	var inDataCentre []*member.Host
	for _, h := range n.options.Members.Hosts() {
		if h.DataCentre == dataCentre {
			inDataCentre = append(inDataCentre, h)
		}
	}
	list := slices.Clone(inDataCentre[:min(feed.LeaderCount, len(inDataCentre))])
	for range min(randomCandidates, len(inDataCentre)) {
		list = append(list, inDataCentre[n.options.Random.IntN(len(inDataCentre))])
	}
	return list
}

// followers returns the routers to which this router sends fleet reports: its part of the cell that
// it is a relay of, and the relays of all cells if it leads. Leaders need no reports of others.
func (n *Node) followers() []*member.Host {
	own := n.cell()
	cells := make(map[int][]string)
	names := []string{n.options.Host}
	ownFailed := n.cellReports.byCell[own][n.options.Host].Failed // not yet confirmed by the other reporters
	for _, h := range n.options.Members.Hosts() {
		if h.DataCentre == own.DataCentre && presumedReachable(h) && !contains(ownFailed, h.Key) {
			names = append(names, h.Name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		number := feed.CellOf(name, own.Cells)
		cells[number] = append(cells[number], name)
	}
	list := n.reportRecipients(cells[own.Number])
	if n.role.Leads {
		for number := range own.Cells {
			list = append(list, relaysOf(cells[number])...)
		}
	}
	leaders := names[:min(feed.LeaderCount, len(names))]
	return n.hosts(slices.DeleteFunc(list, func(name string) bool { return slices.Contains(leaders, name) }))
}

func relaysOf(cell []string) []string { return cell[:min(feed.LeaderCount, len(cell))] }

// reportRecipients returns the routers of a cell to which this router reports: the relays divide
// the other routers among themselves. For a while after a change of relays each of them reports to
// all, until the new relay has detected that it is one.
func (n *Node) reportRecipients(cell []string) []string {
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

// hosts returns the known routers with the given names, without this one.
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
