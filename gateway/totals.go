package gateway

import (
	"maps"
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/member"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/presence"
)

// group names routers whose use is summed up together: a cell of this data centre, or another
// data centre.
type group struct {
	dataCentre string
	cell       string
}

// totalsBoard keeps the latest sums of groups by who told them.
type totalsBoard map[group]map[string]place.Totals

func (b totalsBoard) put(g group, from string, t place.Totals) {
	if b[g] == nil {
		b[g] = make(map[string]place.Totals)
	}
	b[g][from] = t
}

// drop forgets sums from before a time.
func (b totalsBoard) drop(before time.Time) {
	for g, of := range b {
		maps.DeleteFunc(of, func(_ string, t place.Totals) bool { return t.AsOf.Before(before) })
		if len(of) == 0 {
			delete(b, g)
		}
	}
}

// latest returns the newest sum of a group.
func (b totalsBoard) latest(g group) (t place.Totals, ok bool) {
	for _, x := range b[g] {
		if !ok || t.AsOf.Before(x.AsOf) {
			t, ok = x, true
		}
	}
	return t, ok
}

// totalsOf returns the sums that go with messages of a scope: those of the own cell up, those
// of the data centre across, those of the fleet down.
func (l *loop) totalsOf(scope presence.Kind, now time.Time) (t place.Totals, ok bool) {
	switch {
	case scope == presence.CellReport:
		t, ok = l.gateway.placer.TotalsSince(now.Add(-totalsAge)), true
	case scope == presence.DataCentreReport:
		t, ok = l.dataCentreTotals(now), true
	case scope == presence.FleetReport && l.role.Leads:
		t, ok = l.fleetTotals(now), true
	case scope == presence.FleetReport:
		t, ok = l.totals.latest(group{})
	}
	return t, ok
}

// totalsAge is how old the use of a router may be that is summed up.
const totalsAge = 2 * time.Second

// dataCentreTotals sums up the cells of this data centre.
func (l *loop) dataCentreTotals(now time.Time) place.Totals {
	sum := l.gateway.placer.TotalsSince(now.Add(-totalsAge))
	own := l.ownGroup()
	for g := range l.totals {
		if t, ok := l.totals.latest(g); ok && g.dataCentre == own.dataCentre && g != own {
			sum.Add(t)
		}
	}
	return sum
}

// fleetTotals sums up this data centre and the others, and has them compare customers here.
func (l *loop) fleetTotals(now time.Time) place.Totals {
	sum := l.dataCentreTotals(now)
	for g := range l.totals {
		if t, ok := l.totals.latest(g); ok && g.dataCentre != "" && g.dataCentre != l.gateway.settings.DataCentre {
			sum.Add(t)
		}
	}
	l.gateway.placer.SetTotals(sum)
	return sum
}

// ownGroup is the cell of this router.
func (l *loop) ownGroup() group { return l.groupOf(l.gateway.settings.Host) }

// groupOf is the cell of a router of this data centre.
func (l *loop) groupOf(host string) group {
	return group{dataCentre: l.gateway.settings.DataCentre, cell: presence.CellName(host, l.knownInDataCentre())}
}

// hearTotals takes the sums of another router.
func (l *loop) hearTotals(host *member.Host, scope presence.Kind, t place.Totals) {
	switch scope {
	case presence.CellReport:
		l.totals.put(l.groupOf(host.Name), host.Name, t)
	case presence.DataCentreReport:
		l.totals.put(group{dataCentre: host.DataCentre}, host.Name, t)
	case presence.FleetReport:
		l.totals.put(group{}, host.Name, t)
		l.gateway.placer.SetTotals(t)
	}
}

func encodeTotals(t place.Totals, now time.Time) *zinccovev1.Totals {
	enc := &zinccovev1.Totals{Others: uint32(max(t.OtherCustomers, 0)), Rest: encodeUse(0, t.OtherUsage), AgeMs: sinceMs(t.AsOf, now)}
	for customer, use := range t.Usage {
		enc.Uses = append(enc.Uses, encodeUse(customer, use))
	}
	return enc
}

func decodeTotals(enc *zinccovev1.Totals, now time.Time) place.Totals {
	t := place.Totals{
		Usage: decodeUses(enc.Uses), OtherCustomers: int(enc.Others), AsOf: now.Add(-time.Duration(enc.AgeMs) * time.Millisecond),
	}
	if enc.Rest != nil {
		t.OtherUsage = decodeUse(enc.Rest)
	}
	return t
}
