package gateway

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/contact"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/origin"
	"zinccove.example/zinccove/owner"
	"zinccove.example/zinccove/place"
)

var testOrigin = origin.Origin{Service: "model", Version: "v1"}

// recordOrigin has a router record an origin and waits until its replicas have it. It returns the
// routers that have.
func recordOrigin(t *testing.T, all []*Gateway, k origin.Key) (holders []*Gateway) {
	t.Helper()
	all[0].origins.record(k, testOrigin, time.Minute)
	want := map[string]bool{all[0].settings.Host: true}
	for _, r := range all[0].owners.Load().Replicas(place.Hash(k), all[0].settings.DataCentre) {
		want[r.Name] = true
	}
	for deadline := time.Now().Add(replyTimeout); len(holders) < len(want); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d of %d replicas", len(holders), len(want))
		holders = nil
		for _, g := range all {
			if _, ok := g.origins.table.Get(k); ok {
				holders = append(holders, g)
			}
		}
	}
	return holders
}

func TestOriginIsFoundAtEveryRouter(t *testing.T) {
	all, _ := newQueriers(t, 9, new(sync.Map))
	for i := range 20 {
		k := origin.KeyOf("c", "route", fmt.Sprint(i))
		recordOrigin(t, all, k)
		for _, g := range all {
			from, ok := g.origins.find(k)
			assert.Assert(t, ok && from == testOrigin, "%s", g.settings.Host)
		}
	}
	_, ok := all[0].origins.find(origin.KeyOf("c", "route", "none"))
	assert.Assert(t, !ok, "all reply that they know none, so that nobody waits")
}

// TestOriginIsFoundWhenItsRouterAndReplicasFail silences the router that began a stream and all
// routers with replicas but one.
func TestOriginIsFoundWhenItsRouterAndReplicasFail(t *testing.T) {
	silent := new(sync.Map)
	all, clock := newQueriers(t, 9, silent)
	k := origin.KeyOf("c", "route", "r")
	holders := recordOrigin(t, all, k)
	last := holders[len(holders)-1]
	isHolder := make(map[*Gateway]bool)
	for _, g := range holders {
		isHolder[g] = true
		silent.Store(g.settings.Host, g != last)
	}
	silent.Delete(last.settings.Host)
	var asker *Gateway
	for _, g := range all {
		if !isHolder[g] {
			asker = g
		}
	}
	from, ok := asker.origins.find(k)
	assert.Assert(t, ok && from == testOrigin)

	silent.Store(last.settings.Host, true)
	var group errgroup.Group
	group.Go(func() error {
		_, ok = asker.origins.find(k)
		return nil
	})
	for range originRounds {
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(originRoundTime)
	}
	assert.NilError(t, group.Wait())
	assert.Assert(t, !ok, "nobody replies")
}

// TestReplyOfSlowRouterCounts has the only router that knows an origin reply after a round is over.
func TestReplyOfSlowRouterCounts(t *testing.T) {
	silent := new(sync.Map)
	all, clock := newQueriers(t, 4, silent)
	for _, g := range all {
		silent.Store(g.settings.Host, true)
	}
	g := all[0]
	var (
		group errgroup.Group
		from  origin.Origin
		ok    bool
	)
	group.Go(func() error {
		from, ok = g.origins.find(origin.KeyOf("c", "route", "r"))
		return nil
	})
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	asked := g.origins.number.Load()
	clock.Advance(originRoundTime)
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	late := &zinccovev1.OriginReply{Number: asked, Origin: &zinccovev1.StreamOrigin{Service: testOrigin.Service, Version: testOrigin.Version}}
	g.origins.handleReply(late, all[1].transport.Address())
	assert.NilError(t, group.Wait())
	assert.Assert(t, ok && from == testOrigin)
}

// TestOriginIsSentToRoutersThatWereNotHeardYet has a router begin a stream before any other is
// reachable.
func TestOriginIsSentToRoutersThatWereNotHeardYet(t *testing.T) {
	all, _ := newQueriers(t, 6, new(sync.Map))
	first := all[0]
	routers := first.owners.Load()
	first.origins.routers.Store(routers)
	first.owners.Store(owner.New([]owner.Router{{Name: first.settings.Host, DataCentre: "dc", Peer: first.transport.Address()}}))
	k := origin.KeyOf("c", "route", "r")
	first.origins.record(k, testOrigin, time.Minute)
	for _, r := range routers.Replicas(place.Hash(k), "dc") {
		for deadline := time.Now().Add(replyTimeout); ; time.Sleep(time.Millisecond) {
			if _, ok := gatewayOf(all, r).origins.table.Get(k); ok {
				break
			}
			assert.Assert(t, time.Now().Before(deadline), "%s has no replica", r.Name)
		}
	}
}

// TestStartedRouterWaitsForRouters has a router that knows no others yet.
func TestStartedRouterWaitsForRouters(t *testing.T) {
	all, clock := newQueriers(t, 9, new(sync.Map))
	k := origin.KeyOf("c", "route", "r")
	holders := recordOrigin(t, all, k)
	g := all[slices.IndexFunc(all, func(g *Gateway) bool { return !slices.Contains(holders, g) })]
	routers := g.owners.Load()
	g.started = clock.Now()
	g.owners.Store(owner.New(nil))
	var (
		group errgroup.Group
		from  origin.Origin
		ok    bool
	)
	group.Go(func() error {
		from, ok = g.origins.find(k)
		return nil
	})
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	g.owners.Store(routers)
	clock.Advance(originRoundTime)
	assert.NilError(t, group.Wait())
	assert.Assert(t, ok && from == testOrigin)
}

// BenchmarkOriginIsRecorded sends the origin of a stream in fleets of data centres of 82 routers, and
// reports the bytes on the wire.
func BenchmarkOriginIsRecorded(b *testing.B) {
	for _, dcs := range []int{1, 4, 10, 20} {
		b.Run(fmt.Sprint(82*dcs), func(b *testing.B) {
			transport := listenForPeers(b, discardDatagrams)
			var routers []owner.Router
			for i := range 82 * dcs {
				routers = append(routers, owner.Router{Name: fmt.Sprint("front-", i), DataCentre: fmt.Sprint("dc-", i%dcs), Peer: transport.Address()})
			}
			g := newControlParts(b).gateway(clockwork.NewRealClock(), "front-0", "dc-0")
			g.transport = transport
			g.origins, g.loop = newOrigins(g), newLoop(g)
			g.owners.Store(owner.New(routers))
			bytes := 0
			g.loop.contact = contact.New(contact.Options{Host: "front-0", Clock: g.clock, Metrics: g.metrics, Send: func(hb *zinccovev1.Heartbeat, to ...netip.AddrPort) (int, int, error) {
				size, sent, err := transport.Send(hb, to...)
				bytes += size * sent
				return size, sent, err
			}})
			for i := 0; b.Loop(); i++ {
				g.origins.record(origin.KeyOf("customer", "r-56thqja", fmt.Sprint(i)), origin.Origin{Service: "jeje30a", Version: "v1.1"}, 8*time.Second)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/op-sent")
		})
	}
}
