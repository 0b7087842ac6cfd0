package gateway

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/member"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/peer"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/presence"
)

const (
	// meshLimit is the number of known routers from which on a router sends reports instead of
	// heartbeats to all others. In larger fleets such heartbeats would be so rare that a failed
	// router is noticed late.
	meshLimit = 128
	// totalsInterval is the minimum interval between reports that carry usage totals: less than that
	// between reports, so that each regular report carries them. What customers were served since
	// the totals of four reports ago is admitted beyond their shares.
	totalsInterval = 200 * time.Millisecond
	// maxTotalsCustomers is the maximum number of customers that usage totals list individually.
	maxTotalsCustomers = 64
)

// usesReports reports whether this router exchanges reports with the others instead of heartbeats
// to all.
func (l *loop) usesReports() bool { return l.gateway.reporting.Load() }

// exchangeReports applies the reports that were received and sends the heartbeats and reports that
// are due.
func (l *loop) exchangeReports(now time.Time) {
	l.contact.Members.SetTimeout(presence.ReportTTL)
	if l.reportsPending || l.ticks%roleTicks == 0 {
		l.reportsPending = false
		if l.presence.Apply() {
			l.updateRole(now)
		}
	}
	withTotals := now.Sub(l.lastTotals) >= totalsInterval
	messages := l.presence.Due()
	for _, m := range messages {
		l.sendMessage(m, withTotals)
	}
	l.contact.SendSuspects(recipients(messages)...)
	if withTotals && len(messages) > 0 {
		l.lastTotals = now
		l.totals.drop(now.Add(-presence.ReportTTL))
	}
}

// recipients returns the addresses to which messages are sent, each once.
func recipients(messages []presence.Message) []netip.AddrPort {
	var to []netip.AddrPort
	for _, m := range messages {
		to = append(to, m.To...)
	}
	slices.SortFunc(to, netip.AddrPort.Compare)
	return slices.Compact(to)
}

// startReporting has this router exchange reports, and follow the entries of routers, from now on. It is
// called once this router knows many others, and once it receives a report, whose sender knows them.
// All routers have to exchange the same: one that only sends heartbeats reports on nobody, and to it
// all routers seem failed that only send reports. For the same reason a router does not return to
// heartbeats when fewer routers are left.
func (l *loop) startReporting() {
	l.gateway.reporting.Store(true)
	l.gateway.quarantine.SetForwarding(true)
	select {
	case <-l.gateway.reportingStarted:
	default:
		close(l.gateway.reportingStarted)
	}
}

// applyRouters applies changed entries of routers. If the entry of this router was removed, it is
// written again.
func (l *loop) applyRouters(b platform.Batch) {
	g := l.gateway
	hosts, rejected := platform.DecodeHosts(b)
	g.logRejected(rejected)
	l.learnAddresses(hosts)
	for _, c := range b.Changes {
		switch {
		case !c.Removed:
		case c.Key == g.settings.Host:
			g.entryRemoved.Store(true)
			g.announceAgain()
		default:
			l.contact.Members.Remove(c.Key)
		}
	}
}

const (
	// withdrawInterval is the minimum interval between removals of entries of failed routers.
	withdrawInterval = 10 * time.Second
	// maxWithdrawn bounds the entries of one removal.
	maxWithdrawn = 64
)

// withdrawFailed removes the entries of routers of this data centre that failed long ago, if this
// router is the first by name there. Reports name each router that has an entry and sends no
// heartbeats, so old entries take space in them.
func (l *loop) withdrawFailed(ctx context.Context, now time.Time) {
	if l.role.Rank > 0 || now.Sub(l.lastWithdrawal) < withdrawInterval {
		return
	}
	l.lastWithdrawal = now
	names := l.longFailed(now)
	if len(names) == 0 {
		return
	}
	g := l.gateway
	g.group.Go(func() error {
		err := g.store.RemoveRouters(ctx, g.ownPart(), names...)
		g.log.Info().Err(err).Strs("routers", names).Msg("removed entries of failed routers")
		return nil
	})
}

// longFailed returns the routers of this data centre that failed long ago. It returns none while
// this router receives heartbeats of fewer others than that, as it may be cut off itself.
func (l *loop) longFailed(now time.Time) []string {
	var names []string
	reachable := 0
	for _, h := range l.contact.Members.Hosts() {
		if h.DataCentre != l.gateway.settings.DataCentre {
			continue
		}
		last := h.LastSeen
		if last.Before(h.Discovered) {
			last = h.Discovered
		}
		switch {
		case h.Reachable:
			reachable++
		case now.Sub(last) > forgetTimeout && len(names) < maxWithdrawn:
			names = append(names, h.Name)
		}
	}
	if reachable < len(names) {
		return nil
	}
	return names
}

// sendMessage sends a heartbeat or report.
func (l *loop) sendMessage(m presence.Message, withTotals bool) {
	g := l.gateway
	hb := l.header()
	hb.Host = l.contact.Identity()
	hb.Report = &zinccovev1.Report{Scope: scopes[m.Kind]}
	hb.Report.Heard = encodeHeard(m.LastSeen, l.gateway.clock.Now())
	hb.Rollouts = l.rolloutsOf(m.Kind)
	if m.Kind == presence.Heartbeat {
		encodeUses(hb, g.placer)
	} else {
		hb.Evacuations = l.recentEvacuations()
		hb.LeavingTargets = l.leavingTargets()
	}
	for _, part := range l.reportParts(hb, m, withTotals) {
		sent, _ := l.contact.Send(part, m.To...)
		g.metrics.Add(metric.HeartbeatsSent, sent)
	}
}

// reportParts returns a report as datagrams: the cells in as many as they need, and the totals in
// one of their own.
func (l *loop) reportParts(hb *zinccovev1.Heartbeat, m presence.Message, withTotals bool) []*zinccovev1.Heartbeat {
	now := l.gateway.clock.Now()
	list := []*zinccovev1.Heartbeat{hb}
	room := room{left: peer.MaxBody - proto.Size(hb) - itemOverhead}
	next := func() *zinccovev1.Heartbeat {
		more := l.header()
		more.Host = hb.Host
		more.Report = &zinccovev1.Report{Scope: hb.Report.Scope}
		list = append(list, more)
		return more
	}
	at := hb
	for _, r := range m.Reports {
		cell := encodeCell(r, now)
		if !room.reserve(cell) {
			at = next()
			room.left = peer.MaxBody - proto.Size(at) - itemOverhead
			room.reserve(cell)
		}
		at.Report.Cells = append(at.Report.Cells, cell)
	}
	if totals, ok := l.totalsOf(m.Kind, now); ok && withTotals {
		at := next()
		at.Report.Totals = fitTotals(totals, now, peer.MaxBody-proto.Size(at)-itemOverhead)
	}
	return list
}

// fitTotals encodes totals in the given number of bytes, with as many individual customers as fit.
func fitTotals(t place.Totals, now time.Time, room int) *zinccovev1.Totals {
	const step = 8
	for limit := maxTotalsCustomers; ; limit -= step {
		t.Trim(max(limit, 0))
		enc := encodeTotals(t, now)
		if limit <= 0 || proto.Size(enc)+itemOverhead <= room {
			return enc
		}
	}
}

// maxCellFailed and maxCellLeaving bound the routers that a report on a cell names, so that it
// fits a datagram. Cells are smaller than that, and only a part of their routers stops at a time.
const (
	maxCellFailed  = 100
	maxCellLeaving = 40
)

var scopes = map[presence.Kind]zinccovev1.Report_Scope{
	presence.Heartbeat: zinccovev1.Report_SCOPE_BEAT, presence.CellReport: zinccovev1.Report_SCOPE_UP,
	presence.DataCentreReport: zinccovev1.Report_SCOPE_ACROSS, presence.FleetReport: zinccovev1.Report_SCOPE_DOWN,
}

func decodeScope(s zinccovev1.Report_Scope) presence.Kind {
	for scope, code := range scopes {
		if code == s {
			return scope
		}
	}
	return presence.Heartbeat
}

func encodeHeard(heard map[string]time.Time, now time.Time) []*zinccovev1.DataCentreHeard {
	var list []*zinccovev1.DataCentreHeard
	for dc, at := range heard {
		list = append(list, &zinccovev1.DataCentreHeard{DataCentre: dc, AgeMs: sinceMs(at, now)})
	}
	return list
}

func decodeHeard(list []*zinccovev1.DataCentreHeard, now time.Time) map[string]time.Time {
	heard := make(map[string]time.Time, len(list))
	for _, h := range list {
		heard[h.DataCentre] = now.Add(-time.Duration(h.AgeMs) * time.Millisecond)
	}
	return heard
}

func encodeCell(r presence.Report, now time.Time) *zinccovev1.CellReport {
	return &zinccovev1.CellReport{
		DataCentre: r.Cell.DataCentre, Number: uint32(r.Cell.Number), Of: uint32(r.Cell.Cells), AgeMs: sinceMs(r.At, now),
		Gone: r.Failed[:min(len(r.Failed), maxCellFailed)], Leaving: r.Leaving[:min(len(r.Leaving), maxCellLeaving)],
	}
}

func decodeCells(cells []*zinccovev1.CellReport, now time.Time) []presence.Report {
	var list []presence.Report
	for _, c := range cells {
		if c.Of == 0 || c.Number >= c.Of {
			continue
		}
		list = append(list, presence.Report{
			Cell: presence.Cell{DataCentre: c.DataCentre, Number: int(c.Number), Cells: int(c.Of)},
			At:   now.Add(-time.Duration(c.AgeMs) * time.Millisecond), Failed: c.Gone, Leaving: c.Leaving,
		})
	}
	return list
}

// handleReport processes the report of a router.
func (l *loop) handleReport(host *member.Host, r *zinccovev1.Report) {
	if r == nil {
		return
	}
	l.startReporting()
	now := l.gateway.clock.Now()
	scope := decodeScope(r.Scope)
	if r.Totals != nil {
		l.handleTotals(host, scope, decodeTotals(r.Totals, now))
		return
	}
	l.reportsPending = l.reportsPending || len(r.Cells) > 0
	m := presence.Message{Kind: scope, Reports: decodeCells(r.Cells, now), LastSeen: decodeHeard(r.Heard, now)}
	if reply := l.presence.Receive(host, m); reply != nil {
		l.sendMessage(*reply, false)
	}
}

// introduceToDataCentre sends the identity of this router to the routers of its data centre, which
// it has just read from the store: routers that read the list earlier do not know it yet.
func (l *loop) introduceToDataCentre() {
	hb := l.header()
	hb.Host = l.contact.Identity()
	hb.Partial = true
	var to []netip.AddrPort
	for _, h := range l.contact.Members.Hosts() {
		if h.DataCentre == l.gateway.settings.DataCentre && h.Peer.IsValid() {
			to = append(to, h.Peer)
		}
	}
	l.contact.Send(hb, to...)
}
