package gateway

import (
	"context"
	"net/netip"
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
	// meshLimit is the most routers of which each sends heartbeats to all others. Beyond,
	// they come so rarely that a router that ends is noticed late.
	meshLimit = 128
	// totalsEvery is the least time between reports that carry sums of use.
	totalsEvery = 400 * time.Millisecond
	// toldCustomers is the most customers that sums tell one by one.
	toldCustomers = 64
)

// reporting reports whether the fleet is so large that routers report on each other.
func (l *loop) reporting() bool { return len(l.contact.Members.Hosts()) >= meshLimit }

// exchange sends the heartbeats and reports that are due, and makes known what came.
func (l *loop) exchange(now time.Time) {
	l.contact.Members.SetTimeout(presence.ReportTTL)
	l.noteMany()
	if l.reported || l.ticks%leadEvery == 0 {
		l.reported = false
		if l.presence.Apply() {
			l.findLeaders(now)
		}
	}
	withTotals := now.Sub(l.lastTotals) >= totalsEvery
	messages := l.presence.Due()
	for _, m := range messages {
		l.sendMessage(m, withTotals)
	}
	if withTotals && len(messages) > 0 {
		l.lastTotals = now
		l.totals.drop(now.Add(-presence.ReportTTL))
	}
}

// noteMany has the entries of routers followed from now on.
func (l *loop) noteMany() {
	l.gateway.large.Store(true)
	select {
	case <-l.gateway.many:
	default:
		close(l.gateway.many)
	}
}

// takeRouters takes changed entries of routers. One that is removed although its router runs
// is written again.
func (l *loop) takeRouters(b platform.Batch) {
	g := l.gateway
	hosts, err := platform.DecodeHosts(b)
	if err != nil {
		g.metrics.Inc(metric.EntriesRejected)
		g.log.Warn().Err(err).Msg("router entries rejected")
	}
	l.learnAddresses(hosts)
	for _, c := range b.Changes {
		switch {
		case !c.Removed:
		case c.Key == g.settings.Host:
			g.withdrawn.Store(true)
			g.announceAgain()
		default:
			l.contact.Members.Remove(c.Key)
		}
	}
}

const (
	// withdrawEvery is the least time between removals of entries of routers that are gone.
	withdrawEvery = 10 * time.Second
	// mostWithdrawn bounds the entries of one removal.
	mostWithdrawn = 64
)

// withdraw has the entries of routers of this data centre removed that are gone for long, if
// this router is the first there: reports name each one that has an entry and is not heard.
func (l *loop) withdraw(ctx context.Context, now time.Time) {
	if l.role.Rank > 0 || now.Sub(l.withdrew) < withdrawEvery {
		return
	}
	l.withdrew = now
	names := l.goneForLong(now)
	if len(names) == 0 {
		return
	}
	g := l.gateway
	g.group.Go(func() error {
		err := g.store.RemoveRouters(ctx, g.ownPart(), names...)
		g.log.Info().Err(err).Strs("routers", names).Msg("entries of routers that are gone removed")
		return nil
	})
}

// goneForLong returns routers of this data centre that are gone for long; none while this one
// hears few others, as it may be cut off itself.
func (l *loop) goneForLong(now time.Time) []string {
	var names []string
	heard := 0
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
			heard++
		case now.Sub(last) > forgetAfter && len(names) < mostWithdrawn:
			names = append(names, h.Name)
		}
	}
	if heard < len(names) {
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
		hb.Evacuations = l.evacuationsToTell()
		hb.LeavingTargets = l.leavingTargets()
	}
	for _, part := range l.reportParts(hb, m, withTotals) {
		sent, _ := l.contact.Send(part, m.To...)
		g.metrics.Add(metric.HeartbeatsSent, sent)
	}
}

// reportParts returns a report in datagrams: the cells in as many as they need, and the sums
// in one of their own.
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
		if !room.takes(cell) {
			at = next()
			room.left = peer.MaxBody - proto.Size(at) - itemOverhead
			room.takes(cell)
		}
		at.Report.Cells = append(at.Report.Cells, cell)
	}
	if totals, ok := l.totalsOf(m.Kind, now); ok && withTotals {
		at := next()
		at.Report.Totals = fitTotals(totals, now, peer.MaxBody-proto.Size(at)-itemOverhead)
	}
	return list
}

// fitTotals encodes sums in so many bytes, with as many customers told one by one as fit.
func fitTotals(t place.Totals, now time.Time, room int) *zinccovev1.Totals {
	const step = 8
	for most := toldCustomers; ; most -= step {
		t.Trim(max(most, 0))
		enc := encodeTotals(t, now)
		if most <= 0 || proto.Size(enc)+itemOverhead <= room {
			return enc
		}
	}
}

// mostGone and mostLeaving bound the routers that a report on a cell names, so that it fits a
// datagram; cells are smaller, and stop a part of their routers at a time.
const (
	mostGone    = 100
	mostLeaving = 40
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
		Gone: r.Failed[:min(len(r.Failed), mostGone)], Leaving: r.Leaving[:min(len(r.Leaving), mostLeaving)],
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

// hearReport takes the report of a router.
func (l *loop) hearReport(host *member.Host, r *zinccovev1.Report) {
	if r == nil {
		return
	}
	now := l.gateway.clock.Now()
	scope := decodeScope(r.Scope)
	if r.Totals != nil {
		l.hearTotals(host, scope, decodeTotals(r.Totals, now))
		return
	}
	l.reported = l.reported || len(r.Cells) > 0
	m := presence.Message{Kind: scope, Reports: decodeCells(r.Cells, now), LastSeen: decodeHeard(r.Heard, now)}
	if reply := l.presence.Receive(host, m); reply != nil {
		l.sendMessage(*reply, false)
	}
}

// greet tells the routers of the data centre of this one, which just read who they are: those
// that read the list before it do not know it yet.
func (l *loop) greet() {
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
