package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/peer"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/presence"
)

// TestReportsFitDatagrams reports an outage in forty cells, with totals of many customers and
// everything else that reports carry.
func TestReportsFitDatagrams(t *testing.T) {
	l := newLargeFleetLoop(t)
	now := l.gateway.clock.Now()
	m := presence.Message{Kind: presence.FleetReport, To: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")}}
	for i := range 40 {
		r := presence.Report{Cell: presence.Cell{DataCentre: fmt.Sprint("data-centre-", i/8), Number: i % 8, Cells: 8}, At: now.Add(-time.Second)}
		for key := range uint64(300) {
			r.Failed = append(r.Failed, key<<32)
			r.Leaving = append(r.Leaving, key<<33)
		}
		m.Reports = append(m.Reports, r)
	}
	totals := place.Totals{Usage: make(map[place.Hash]place.Usage), OtherCustomers: 1000, OtherUsage: place.Usage{Requested: 1 << 30, Served: 1 << 30}, AsOf: now}
	for i := range maxTotalsCustomers {
		totals.Usage[place.HashOf(fmt.Sprint(i))] = place.Usage{Requested: 1 << 28, Served: 1 << 28, CallsRequested: 1 << 20, CallsServed: 1 << 20}
	}
	l.totals.put(group{}, "leader", totals)
	for i := range 2 * maxLeaving {
		l.leaving[place.HashOf(fmt.Sprint(i))] = departure{at: now}
	}
	hb := l.header()
	hb.Host = l.contact.Identity()
	hb.Report = &zinccovev1.Report{Scope: scopes[m.Kind]}
	hb.LeavingTargets = l.leavingTargets()
	parts := l.reportParts(hb, m, true)
	cells, listed := 0, 0
	for _, part := range parts {
		assert.Assert(t, proto.Size(part) <= peer.MaxBody, "%d bytes", proto.Size(part))
		assert.Assert(t, part.Host != nil, "each names its sender")
		cells += len(decodeCells(part.Report.Cells, now))
		if part.Report.Totals != nil {
			got := decodeTotals(part.Report.Totals, now)
			listed = len(got.Usage)
			assert.Assert(t, got.OtherCustomers == 1000 && got.OtherUsage.Requested >= totals.OtherUsage.Requested)
		}
	}
	assert.Equal(t, cells, 40)
	assert.Assert(t, listed >= maxTotalsCustomers/2, "%d individual customers", listed)
}

// TestTotalsCountEachRouterOnce has several relays of two cells and several leaders of another
// data centre send the same totals. Each total must count once.
func TestTotalsCountEachRouterOnce(t *testing.T) {
	l := newLargeFleetLoop(t)
	clock := l.gateway.clock
	for i := range 200 {
		l.receiveHost(fmt.Sprintf("a%03d", i), "dc-0", uint64(i+1))
	}
	l.receiveHost("b1", "dc-1", 1001)
	l.receiveHost("b2", "dc-1", 1002)
	customer := place.HashOf("c")
	sums := func(asked int) place.Totals {
		return place.Totals{Usage: map[place.Hash]place.Usage{customer: {Requested: asked, Served: asked}}, AsOf: clock.Now()}
	}
	byCell := make(map[group][]string)
	for i := range 200 {
		name := fmt.Sprintf("a%03d", i)
		byCell[l.groupOf(name)] = append(byCell[l.groupOf(name)], name)
	}
	cells := 0
	for g, names := range byCell {
		if g == l.ownGroup() {
			continue // this router computes the totals of its own cell
		}
		cells++
		for _, name := range names[:3] {
			l.handleTotals(l.host(name), presence.CellReport, sums(100))
		}
	}
	assert.Assert(t, cells >= 2)
	for _, name := range []string{"b1", "b2"} {
		l.handleTotals(l.host(name), presence.DataCentreReport, sums(1000))
	}
	assert.Equal(t, l.dataCentreTotals(clock.Now()).Usage[customer].Requested, 100*cells)
	assert.Equal(t, l.fleetTotals(clock.Now()).Usage[customer].Requested, 100*cells+1000)
}

// TestEntriesOfFailedRoutersAreWithdrawn has some routers fail, and then this router lose contact
// to all others. In the second case it must remove no entries.
func TestEntriesOfFailedRoutersAreWithdrawn(t *testing.T) {
	l := newLargeFleetLoop(t)
	clock := l.gateway.clock.(*clockwork.FakeClock)
	for i := range 20 {
		l.receiveHost(fmt.Sprintf("a%02d", i), "dc-0", uint64(i+1))
		l.receiveHost(fmt.Sprintf("b%02d", i), "dc-1", uint64(i+101))
	}
	for i := range 3 {
		l.host(fmt.Sprintf("a%02d", i)).Reachable = false
	}
	l.host("b00").Reachable = false
	assert.Equal(t, len(l.longFailed(clock.Now())), 0, "they may come back")
	clock.Advance(forgetTimeout + time.Second)
	assert.DeepEqual(t, l.longFailed(clock.Now()), []string{"a00", "a01", "a02"})
	for i := range 17 {
		l.host(fmt.Sprintf("a%02d", i)).Reachable = false
	}
	assert.Equal(t, len(l.longFailed(clock.Now())), 0, "it may be cut off itself")
}
