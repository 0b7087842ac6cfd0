// Package presence detects which routers of a large fleet are reachable.
//
// If each router sent heartbeats to all others, their cost would grow with the number of routers,
// or they would be so rare that a failure is detected only after half a minute. Instead each router
// sends heartbeats only to the relays of its cell (package feed). Relays report the routers of the
// cell from which they receive no heartbeats to the leaders of their data centre. Leaders send
// reports to each other and to the relays, and the relays to their cells. What a router sends and
// receives depends on the size of cells and data centres and on the number of changes. All routers
// know of a failure after some heartbeats and four reports. Reports are repeated, so that a lost
// report only delays detection.
//
//	member --heartbeat--> relays --report--> leaders <--report--> leaders of other data centres
//	member <---report---- relays <--report-- leaders
//
// Relays and leaders are derived from the names of the routers, so that no election is needed.
// Three relays, and three leaders, report the same; a router counts as failed if none of them
// receives its heartbeats. A router that receives no reports for some time assumes that the senders
// of its reports have failed, and uses the next ones.
//
// The package has no I/O. The control loop owns a Node.
//
// # Usage
//
//	n := presence.New(presence.Options{Host: name, DataCentre: dc, Clock: clock, Members: table, Random: random})
//	n.SetRole(feed.RoleOf(...))
//	for _, m := range n.Due() { ... } // on every tick: the messages to send
//	reply := n.Receive(host, message)  // a message from a router
//	changed := n.Apply()               // on every tick: updates Members
//
// # Limits
//
// A router that its relays cannot reach counts as failed for all routers, even for those that could
// reach it. A data centre from which no reports arrive counts as failed after ReportTTL.
package presence

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"zinccove.example/zinccove/feed"
	"zinccove.example/zinccove/member"
)

const (
	// heartbeatInterval is the time between heartbeats, and between reports without a change.
	heartbeatInterval = 280 * time.Millisecond
	// heartbeatJitter is the fraction of heartbeatInterval by which an interval may vary.
	heartbeatJitter = 0.1
	// minReportInterval is the minimum time between reports when something changed.
	minReportInterval = 100 * time.Millisecond
	// failureTimeout is the time without heartbeats or reports after which a router has failed.
	failureTimeout = 5 * heartbeatInterval
	// DataCentreTimeout is the time after the last message from a data centre after which it counts
	// as cut off. Information from its leaders passes through two more reports than that of a
	// single router, and one of them may be lost.
	DataCentreTimeout = 4 * heartbeatInterval
	// mergeWindow is the maximum age difference of reports that are merged.
	mergeWindow = 2 * heartbeatInterval
	// ReportTTL is the age at which reports expire.
	ReportTTL = 13 * heartbeatInterval
	// randomCandidates is the number of randomly chosen routers to which a leader sends reports in
	// a data centre from which none arrive.
	randomCandidates = 2
	// maxReplies bounds the replies to routers that sent a report to a router that does not lead,
	// in each heartbeat interval.
	maxReplies = 16
)

// Kind is the kind of a message. It determines what its reports and totals cover.
type Kind int

// The kinds of messages.
const (
	// Heartbeat is a heartbeat to the relays of the sender's cell.
	Heartbeat Kind = iota
	// CellReport is a report on a cell to the leaders of its data centre.
	CellReport
	// DataCentreReport is a report on a data centre to the leaders of the others.
	DataCentreReport
	// FleetReport is a report on the whole fleet to the routers that follow the sender.
	FleetReport
)

// Message is a message to be sent to some routers.
type Message struct {
	Kind    Kind
	To      []netip.AddrPort
	Reports []Report
	// LastSeen is when a router of each data centre was last known to be reachable; only fleet
	// reports carry it.
	LastSeen map[string]time.Time
}

// Options configure a Node. All are required.
type Options struct {
	Host       string
	DataCentre string
	Clock      clockwork.Clock
	Members    *member.Table
	Random     *rand.Rand
}

// Node is one router's part in failure detection.
type Node struct {
	options Options
	role    feed.Role
	// known is the number of known routers of the data centre, this one included.
	known       int
	cellReports reportSet
	// servesSince and leadsSince are the times since which this router serves or leads; zero if it
	// does not.
	servesSince, leadsSince time.Time
	// lastFleetReport is when the last fleet report arrived, or when the routers that should have
	// sent it were last marked as failed.
	lastFleetReport time.Time
	// lastGivenUp is when routers that should have sent a fleet report were last marked as failed.
	lastGivenUp time.Time
	// relays are the relays of this router's cell since relaysSince.
	relays      []string
	relaysSince time.Time
	// lastSent is when messages were last sent, nextDue when they are due again; changed is set if
	// there are changes to report.
	lastSent, nextDue time.Time
	changed           bool
	applied           []Report
	replies           int
	// lastSeen is when a router of each data centre was last known to be reachable, from messages
	// to this router or from the reports that it received.
	lastSeen map[string]time.Time
}

// New returns a node that knows no other routers yet.
func New(o Options) *Node {
	return &Node{options: o, cellReports: newReportSet(), lastFleetReport: o.Clock.Now(), role: feed.Role{Leads: true, Serves: true}, known: 1, lastSeen: make(map[string]time.Time)}
}

// SetRole sets the router's role in its data centre. Known is the number of known routers there,
// this one included.
func (n *Node) SetRole(role feed.Role, known int) {
	now := n.options.Clock.Now()
	if role.Serves && !n.role.Serves || role.Leads && !n.role.Leads {
		n.cellReports = newReportSet() // older reports of others would be merged with new ones
	}
	n.role, n.known = role, known
	n.servesSince = since(role.Serves, n.servesSince, now)
	n.leadsSince = since(role.Leads, n.leadsSince, now)
}

// since returns the start of a condition: the zero time if it does not hold, now if it began to
// hold, and before if it continues to hold.
func since(holds bool, before, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	}
	return before
}

// Due returns the messages that are due now.
func (n *Node) Due() []Message {
	now := n.options.Clock.Now()
	n.cellReports.drop(now.Add(-ReportTTL))
	n.observeCell(now)
	n.failSilentSenders(now)
	if now.Before(n.nextDue) && (!n.changed || now.Sub(n.lastSent) < minReportInterval) {
		return nil
	}
	n.lastSent, n.nextDue, n.changed, n.replies = now, now.Add(n.period()), false, 0
	return n.Messages()
}

// Messages returns the current messages, whether they are due or not.
func (n *Node) Messages() []Message {
	list := []Message{{Kind: Heartbeat, To: addresses(n.hosts(n.role.Relays))}}
	if n.role.Serves {
		list = append(list, n.reportMessages()...)
	}
	return slices.DeleteFunc(list, func(m Message) bool { return len(m.To) == 0 })
}

func (n *Node) period() time.Duration {
	spread := 1 + heartbeatJitter*(2*n.options.Random.Float64()-1)
	return time.Duration(spread * float64(heartbeatInterval))
}

// reportMessages returns the messages of a relay or leader.
func (n *Node) reportMessages() []Message {
	list := []Message{n.fleetReport(addresses(n.followers()))}
	// The leaders of the data centre receive only what this router observed itself: they derive
	// together which routers failed, and would otherwise receive their own reports again.
	var own []Report
	if r, ok := n.cellReports.byCell[n.cell()][n.options.Host]; ok {
		own = append(own, r)
	}
	list = append(list, Message{Kind: CellReport, To: addresses(n.leaders(n.options.DataCentre)), Reports: own})
	if !n.role.Leads {
		return list
	}
	var others []*member.Host
	for _, dc := range n.dataCentres() {
		if dc == n.options.DataCentre {
			continue
		}
		others = append(others, n.leaders(dc)...)
		if !n.hasReportsOn(dc) {
			others = append(others, n.candidateLeaders(dc)...)
		}
	}
	return append(list, Message{Kind: DataCentreReport, To: addresses(others), Reports: n.cellReports.all(n.options.DataCentre)})
}

// fleetReport returns a report on the whole fleet.
func (n *Node) fleetReport(to []netip.AddrPort) Message {
	return Message{Kind: FleetReport, To: to, Reports: n.cellReports.all(""), LastSeen: maps.Clone(n.lastSeen)}
}

// cell returns the cell of this router.
func (n *Node) cell() Cell {
	of := feed.CellCount(n.known)
	return Cell{DataCentre: n.options.DataCentre, Number: feed.CellOf(n.options.Host, of), Cells: of}
}

// CellName returns the name of a router's cell in a data centre with the given number of known
// routers.
func CellName(host string, known int) string {
	of := feed.CellCount(known)
	return strconv.Itoa(feed.CellOf(host, of)) + "/" + strconv.Itoa(of)
}

// observeCell records a report on the cell that this router is a relay of. It makes none until the
// cell's routers had time to detect that this router is their relay.
func (n *Node) observeCell(now time.Time) {
	if n.servesSince.IsZero() || now.Sub(n.servesSince) < failureTimeout {
		return
	}
	cell := n.cell()
	r := Report{Cell: cell, At: now}
	for _, h := range n.options.Members.Hosts() {
		if h.DataCentre != cell.DataCentre || feed.CellOf(h.Name, cell.Cells) != cell.Number {
			continue
		}
		if now.Sub(latest(h.LastHeartbeat, h.Discovered, n.servesSince)) >= failureTimeout {
			r.Failed = append(r.Failed, h.Key)
		}
		if h.Leaving {
			r.Leaving = append(r.Leaving, h.Key)
		}
	}
	slices.Sort(r.Failed)
	slices.Sort(r.Leaving)
	n.cellReports.put(n.options.Host, r)
}

// failSilentSenders marks routers as failed that should have sent reports: for a router that is not
// a relay, first the one that reports to it, and then all relays if no reports arrive from the
// others either.
func (n *Node) failSilentSenders(now time.Time) {
	if !n.leadsSince.IsZero() {
		n.markFailed(n.leaders(n.options.DataCentre), n.leadsSince, now)
		return
	}
	if now.Sub(n.lastFleetReport) < failureTimeout {
		return
	}
	first := now.Sub(n.lastGivenUp) >= 2*failureTimeout
	n.lastFleetReport, n.lastGivenUp = now, now
	switch {
	case n.role.Serves:
		n.markFailed(n.leaders(n.options.DataCentre), time.Time{}, now)
	case first && len(n.role.Sources) > 0:
		n.markFailed(n.hosts(n.role.Sources[:1]), time.Time{}, now)
	default:
		n.markFailed(n.hosts(n.role.Relays), time.Time{}, now)
	}
}

// markFailed marks routers as failed from which no heartbeats arrive and that had time to send one
// since the given time.
func (n *Node) markFailed(hosts []*member.Host, since, now time.Time) {
	for _, h := range hosts {
		if now.Sub(latest(h.LastHeartbeat, h.Discovered, since)) >= failureTimeout {
			n.options.Members.RecordReport(h, false, h.Leaving, now)
		}
	}
}

// Receive handles a message from another router; it ignores Message.To. It returns the reply, if
// any: a router that sent a report to one that does not lead learns from the reply which routers
// lead.
func (n *Node) Receive(from *member.Host, m Message) (reply *Message) {
	now := n.options.Clock.Now()
	n.recordSeen(from.DataCentre, now)
	for dc, at := range m.LastSeen {
		n.recordSeen(dc, at)
	}
	for _, r := range m.Reports {
		if m.Kind == FleetReport && n.role.Leads && len(n.cellReports.byCell[r.Cell]) > 0 {
			continue // derived from the reports of leaders, this one included
		}
		n.cellReports.put(from.Name, r)
	}
	if m.Kind == FleetReport {
		n.lastFleetReport = now
	}
	if (m.Kind == CellReport || m.Kind == DataCentreReport) && !n.role.Leads && n.replies < maxReplies {
		n.replies++
		answer := n.fleetReport([]netip.AddrPort{from.Peer})
		return &answer
	}
	return nil
}

func (n *Node) recordSeen(dataCentre string, at time.Time) {
	if n.lastSeen[dataCentre].Before(at) {
		n.lastSeen[dataCentre] = at
	}
}

// Apply records the merged reports in Members, and reports whether any member changed.
func (n *Node) Apply() (changed bool) {
	all := n.cellReports.all("")
	if !slices.EqualFunc(all, n.applied, sameContent) {
		n.changed = true
	}
	n.applied = all
	byCell := make(map[Cell]*Report, len(all))
	cellCounts := make(map[string][]int)
	for i := range all {
		r := &all[i]
		byCell[r.Cell] = r
		if dc := r.Cell.DataCentre; !slices.Contains(cellCounts[dc], r.Cell.Cells) {
			cellCounts[dc] = append(cellCounts[dc], r.Cell.Cells)
		}
	}
	for _, h := range n.options.Members.Hosts() {
		var best *Report
		for _, cells := range cellCounts[h.DataCentre] {
			r := byCell[Cell{DataCentre: h.DataCentre, Number: feed.CellOf(h.Name, cells), Cells: cells}]
			if r != nil && (best == nil || best.At.Before(r.At)) {
				best = r
			}
		}
		if best != nil && n.options.Members.RecordReport(h, !contains(best.Failed, h.Key), contains(best.Leaving, h.Key), best.At) {
			changed = true
		}
	}
	return changed
}

// LastSeen returns when a router of each data centre was last known to be reachable.
func (n *Node) LastSeen() map[string]time.Time { return maps.Clone(n.lastSeen) }

func sameContent(a, b Report) bool {
	return a.Cell == b.Cell && slices.Equal(a.Failed, b.Failed) && slices.Equal(a.Leaving, b.Leaving)
}

func contains(keys []uint64, key uint64) bool {
	_, ok := slices.BinarySearch(keys, key)
	return ok
}

func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
