package gateway

import (
	"maps"
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/member"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/presence"
)

// group identifies routers whose usage is summed up together: a cell of this data centre, or
// another data centre.
type group struct {
	dataCentre string
	cell       string
}

// totalsTable holds the latest totals of groups by the router that sent them.
type totalsTable map[group]map[string]place.Totals

func (b totalsTable) put(g group, from string, t place.Totals) {
	if b[g] == nil {
		b[g] = make(map[string]place.Totals)
	}
	b[g][from] = t
}

// drop removes totals from before a time.
func (b totalsTable) drop(before time.Time) {
	for g, of := range b {
		maps.DeleteFunc(of, func(_ string, t place.Totals) bool { return t.AsOf.Before(before) })
		if len(of) == 0 {
			delete(b, g)
		}
	}
}

// latest returns the newest totals of a group.
func (b totalsTable) latest(g group) (t place.Totals, ok bool) {
	for _, x := range b[g] {
		if !ok || t.AsOf.Before(x.AsOf) {
			t, ok = x, true
		}
	}
	return t, ok
}

// totalsOf returns the totals that messages of a scope carry: those of the own cell up, those of
// the data centre across, those of the fleet down.
func (l *loop) totalsOf(scope presence.Kind, now time.Time) (t place.Totals, ok bool) {
	switch {
	case scope == presence.CellReport:
		t, ok = l.gateway.placer.TotalsSince(now.Add(-maxUseAge)), true
	case scope == presence.DataCentreReport:
		t, ok = l.dataCentreTotals(now), true
	case scope == presence.FleetReport && l.role.Leads:
		t, ok = l.fleetTotals(now), true
	case scope == presence.FleetReport:
		t, ok = l.totals.latest(group{})
	}
	return t, ok
}

// maxUseAge is the maximum age of a router's usage that is included in totals.
const maxUseAge = 2 * time.Second

// dataCentreTotals sums up the cells of this data centre.
func (l *loop) dataCentreTotals(now time.Time) place.Totals {
	sum := l.gateway.placer.TotalsSince(now.Add(-maxUseAge))
	own := l.ownGroup()
	for g := range l.totals {
		if t, ok := l.totals.latest(g); ok && g.dataCentre == own.dataCentre && g != own {
			sum.Add(t)
		}
	}
	return sum
}

// fleetTotals sums up this data centre and the others, and passes the result to the placer, which
// compares customers by it.
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

// ownGroup returns the cell of this router.
func (l *loop) ownGroup() group { return l.groupOf(l.gateway.settings.Host) }

// groupOf returns the cell of a router of this data centre.
func (l *loop) groupOf(host string) group {
	return group{dataCentre: l.gateway.settings.DataCentre, cell: presence.CellName(host, l.knownInDataCentre())}
}

// handleTotals processes the totals of another router.
func (l *loop) handleTotals(host *member.Host, scope presence.Kind, t place.Totals) {
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
