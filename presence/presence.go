// Package presence finds out which routers of a large fleet are there.
//
// Heartbeats of all to all cost each router as much as there are routers, or come so rarely
// that a router that ends is noticed after half a minute. Here each router sends heartbeats
// to the relays of its cell alone (package feed), which report the routers of the cell that
// they do not hear to the leaders of their data centre; leaders tell each other, and the
// relays, which tell their cells. What a router sends and hears depends on the size of cells
// and data centres, and on what happens; a router that ends is known to all after some
// heartbeats and four reports, and reports are repeated, so that lost ones only cost time.
//
//	member --heartbeat--> relays --report--> leaders <--report--> leaders of other data centres
//	member <---report---- relays <--report-- leaders
//
// Relays and leaders follow from names, so that nobody is elected. Three of each report the
// same; a router is gone that none of them hears. Who hears no reports for some time takes
// it that those are gone that should send them, and goes on to the next.
//
// The package has no I/O. The control loop owns a Node.
//
// # Usage
//
//	n := presence.New(presence.Options{Host: name, DataCentre: dc, Clock: clock, Members: table, Random: random})
//	n.SetRole(feed.RoleOf(...))
//	for _, m := range n.Due() { ... }  // on every tick: what to send to whom
//	reply := n.Receive(host, message) // what came from a router
//	changed := n.Apply()               // on every tick: makes it known to Members
//
// # Limits
//
// A router that cannot be reached by its relays is taken for gone by all, also by those that
// could reach it. A data centre from which no reports come is gone after ReportTTL.
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
	// beatEvery is the time between heartbeats, and between reports without a change.
	beatEvery = 280 * time.Millisecond
	// beatSpread is the part of it by which two may be closer or further apart.
	beatSpread = 0.1
	// pushAfter is the least time between reports when something changed.
	pushAfter = 100 * time.Millisecond
	// silentAfter is the time without heartbeats or reports after which a router is gone.
	silentAfter = 5 * beatEvery
	// DataCentreTimeout is the time after which a data centre seems cut off from which
	// nothing was heard: word of its leaders takes two reports more than one of them, and one
	// may be lost.
	DataCentreTimeout = 4 * beatEvery
	// togetherWithin is the time within which reports count together.
	togetherWithin = 2 * beatEvery
	// ReportTTL is the time after which reports say nothing any more.
	ReportTTL = 13 * beatEvery
	// searched is the number of routers, drawn by chance, to which a leader turns in a data
	// centre from which nothing comes.
	searched = 2
	// mostReplies bounds the answers to routers that turn to the wrong one, in each period.
	mostReplies = 16
)

// Kind says on which way a message is, and so what its sums are of.
type Kind int

// The scopes.
const (
	// Heartbeat is a heartbeat to the relays of the own cell.
	Heartbeat Kind = iota
	// CellReport is a report of a cell to the leaders of its data centre.
	CellReport
	// DataCentreReport is a report of a data centre to the leaders of others.
	DataCentreReport
	// FleetReport is a report of the whole fleet to those who follow.
	FleetReport
)

// Message is to be sent to some routers.
type Message struct {
	Kind    Kind
	To      []netip.AddrPort
	Reports []Report
	// LastSeen is when a router of each data centre was last heard; in reports down only.
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

// Node is one router's part.
type Node struct {
	options Options
	role    feed.Role
	// known is the number of known routers of the data centre, this one included.
	known int
	board board
	// serves and leads are since when this router does so; zero if it does not.
	serves, leads time.Time
	// reported is when the last report came down, or those that should send it were given
	// up.
	reported time.Time
	// givenUp is when that was done.
	givenUp time.Time
	// relays are those of the own cell since a time.
	relays      []string
	relaysSince time.Time
	// last and next are when messages were sent and are due again; changed tells that there
	// is something new to say.
	last, next time.Time
	changed    bool
	said       []Report
	replies    int
	// lastSeen is when a router of each data centre was last lastSeen, by this router or by those
	// that report to it.
	lastSeen map[string]time.Time
}

// New returns a node that knows nothing of others yet.
func New(o Options) *Node {
	return &Node{options: o, board: newBoard(), reported: o.Clock.Now(), role: feed.Role{Leads: true, Serves: true}, known: 1, lastSeen: make(map[string]time.Time)}
}

// SetRole takes the router's role in its data centre, of which so many routers are known.
func (n *Node) SetRole(role feed.Role, known int) {
	now := n.options.Clock.Now()
	if role.Serves && !n.role.Serves || role.Leads && !n.role.Leads {
		n.board = newBoard() // what others made of older reports would count beside new ones
	}
	n.role, n.known = role, known
	n.serves = since(role.Serves, n.serves, now)
	n.leads = since(role.Leads, n.leads, now)
}

// since is from when something holds that holds now or not.
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
	n.board.drop(now.Add(-ReportTTL))
	n.look(now)
	n.suspect(now)
	if now.Before(n.next) && (!n.changed || now.Sub(n.last) < pushAfter) {
		return nil
	}
	n.last, n.next, n.changed, n.replies = now, now.Add(n.period()), false, 0
	return n.Messages()
}

// Messages returns the messages as they are now, whether they are due or not.
func (n *Node) Messages() []Message {
	list := []Message{{Kind: Heartbeat, To: addresses(n.hosts(n.role.Relays))}}
	if n.role.Serves {
		list = append(list, n.reports()...)
	}
	return slices.DeleteFunc(list, func(m Message) bool { return len(m.To) == 0 })
}

func (n *Node) period() time.Duration {
	spread := 1 + beatSpread*(2*n.options.Random.Float64()-1)
	return time.Duration(spread * float64(beatEvery))
}

// reports returns those of a relay or leader.
func (n *Node) reports() []Message {
	list := []Message{n.down(addresses(n.followers()))}
	// What the leaders of the data centre are told is what this router heard itself: they
	// find out together who is gone, and would else hear their own words again.
	var own []Report
	if r, ok := n.board.reports[n.cell()][n.options.Host]; ok {
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
		if !n.hears(dc) {
			others = append(others, n.search(dc)...)
		}
	}
	return append(list, Message{Kind: DataCentreReport, To: addresses(others), Reports: n.board.all(n.options.DataCentre)})
}

// down is a report of the whole fleet.
func (n *Node) down(to []netip.AddrPort) Message {
	return Message{Kind: FleetReport, To: to, Reports: n.board.all(""), LastSeen: maps.Clone(n.lastSeen)}
}

// cell is that of this router.
func (n *Node) cell() Cell {
	of := feed.CellCount(n.known)
	return Cell{DataCentre: n.options.DataCentre, Number: feed.CellOf(n.options.Host, of), Cells: of}
}

// CellName names the cell of a router in a data centre of which so many are known.
func CellName(host string, known int) string {
	of := feed.CellCount(known)
	return strconv.Itoa(feed.CellOf(host, of)) + "/" + strconv.Itoa(of)
}

// look looks at the cell that this router is a relay of. It says nothing of it before its
// routers had time to find out that it is.
func (n *Node) look(now time.Time) {
	if n.serves.IsZero() || now.Sub(n.serves) < silentAfter {
		return
	}
	cell := n.cell()
	r := Report{Cell: cell, At: now}
	for _, h := range n.options.Members.Hosts() {
		if h.DataCentre != cell.DataCentre || feed.CellOf(h.Name, cell.Cells) != cell.Number {
			continue
		}
		if now.Sub(latest(h.LastHeartbeat, h.Discovered, n.serves)) >= silentAfter {
			r.Failed = append(r.Failed, h.Key)
		}
		if h.Leaving {
			r.Leaving = append(r.Leaving, h.Key)
		}
	}
	slices.Sort(r.Failed)
	slices.Sort(r.Leaving)
	n.board.put(n.options.Host, r)
}

// suspect takes routers for gone that should have sent reports: for a router that is no relay
// the one that reports to it, and all relays if nothing comes from the others either.
func (n *Node) suspect(now time.Time) {
	if !n.leads.IsZero() {
		n.giveUp(n.leaders(n.options.DataCentre), n.leads, now)
		return
	}
	if now.Sub(n.reported) < silentAfter {
		return
	}
	first := now.Sub(n.givenUp) >= 2*silentAfter
	n.reported, n.givenUp = now, now
	switch {
	case n.role.Serves:
		n.giveUp(n.leaders(n.options.DataCentre), time.Time{}, now)
	case first && len(n.role.Sources) > 0:
		n.giveUp(n.hosts(n.role.Sources[:1]), time.Time{}, now)
	default:
		n.giveUp(n.hosts(n.role.Relays), time.Time{}, now)
	}
}

// giveUp takes routers for gone that are not heard, nor had time to be heard since.
func (n *Node) giveUp(hosts []*member.Host, since, now time.Time) {
	for _, h := range hosts {
		if now.Sub(latest(h.LastHeartbeat, h.Discovered, since)) >= silentAfter {
			n.options.Members.RecordReport(h, false, h.Leaving, now)
		}
	}
}

// Receive takes a message of another router; To does not count. It returns what to answer: a
// router that turns to one that does not lead learns from it who does.
func (n *Node) Receive(from *member.Host, m Message) (reply *Message) {
	now := n.options.Clock.Now()
	n.hear(from.DataCentre, now)
	for dc, at := range m.LastSeen {
		n.hear(dc, at)
	}
	for _, r := range m.Reports {
		if m.Kind == FleetReport && n.role.Leads && len(n.board.reports[r.Cell]) > 0 {
			continue // made of what leaders said, this one among them
		}
		n.board.put(from.Name, r)
	}
	if m.Kind == FleetReport {
		n.reported = now
	}
	if (m.Kind == CellReport || m.Kind == DataCentreReport) && !n.role.Leads && n.replies < mostReplies {
		n.replies++
		answer := n.down([]netip.AddrPort{from.Peer})
		return &answer
	}
	return nil
}

func (n *Node) hear(dataCentre string, at time.Time) {
	if n.lastSeen[dataCentre].Before(at) {
		n.lastSeen[dataCentre] = at
	}
}

// Apply makes the reports known to Members, and reports whether something changed.
func (n *Node) Apply() (changed bool) {
	all := n.board.all("")
	if !slices.EqualFunc(all, n.said, sameWord) {
		n.changed = true
	}
	n.said = all
	byCell := make(map[Cell]*Report, len(all))
	of := make(map[string][]int)
	for i := range all {
		r := &all[i]
		byCell[r.Cell] = r
		if dc := r.Cell.DataCentre; !slices.Contains(of[dc], r.Cell.Cells) {
			of[dc] = append(of[dc], r.Cell.Cells)
		}
	}
	for _, h := range n.options.Members.Hosts() {
		var best *Report
		for _, cells := range of[h.DataCentre] {
			r := byCell[Cell{DataCentre: h.DataCentre, Number: feed.CellOf(h.Name, cells), Cells: cells}]
			if r != nil && (best == nil || best.At.Before(r.At)) {
				best = r
			}
		}
		if best != nil && n.options.Members.RecordReport(h, !has(best.Failed, h.Key), has(best.Leaving, h.Key), best.At) {
			changed = true
		}
	}
	return changed
}

// LastSeen returns when a router of each data centre was last heard.
func (n *Node) LastSeen() map[string]time.Time { return maps.Clone(n.lastSeen) }

func sameWord(a, b Report) bool {
	return a.Cell == b.Cell && slices.Equal(a.Failed, b.Failed) && slices.Equal(a.Leaving, b.Leaving)
}

func has(keys []uint64, key uint64) bool {
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
