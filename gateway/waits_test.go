package gateway

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/relay"
)

// waitingRequest returns routers, the wait of a request for a target that another router than the
// first owns, and that owner.
func waitingRequest(t *testing.T, silent *sync.Map) (asker, holder *Gateway, w *place.Wait) {
	t.Helper()
	all, _ := newQueriers(t, 3, silent)
	asker = all[0]
	for i := range 100 {
		for _, q := range asker.placer.Queries(newRequest(string(rune('a' + i)))) {
			if r := asker.querier.ownerOf(q.Target); r.Name != asker.settings.Host {
				w = &place.Wait{Queries: []place.Query{q}, Limit: time.Second, InTime: time.Second, Left: 3 * time.Second, CustomerPriority: 2, RoutePriority: 1, Share: 0.5}
				return asker, gatewayOf(all, r), w
			}
		}
	}
	t.Fatal("all owned by one router")
	return nil, nil, nil
}

// granted waits until a router grants a place.
func granted(t *testing.T, holder *Gateway, asked *relay.Wait) (place.Grant, bool) {
	t.Helper()
	for deadline := time.Now().Add(replyTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		holder.loop.checkWaits()
		select {
		case g, ok := <-asked.Grants:
			return g, ok
		default:
		}
	}
	t.Fatal("no grant")
	return place.Grant{}, false
}

func TestWaitIsGrantedByTheOwner(t *testing.T) {
	asker, holder, w := waitingRequest(t, new(sync.Map))
	asked := asker.waits.begin(w)
	g, ok := granted(t, holder, asked)
	assert.Assert(t, ok && g.Reply.Target == w.Queries[0].Target)
	assert.Assert(t, g.Key.Router.IsValid())
	asked.End(nil)
	for deadline := time.Now().Add(replyTimeout); ; time.Sleep(time.Millisecond) {
		if _, _, next := holder.placer.CheckWaits(); next == 0 {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "the place is returned")
	}
}

// TestOwnerTellsThatItKeepsNoWait removes the target at its owner.
func TestOwnerTellsThatItKeepsNoWait(t *testing.T) {
	asker, holder, w := waitingRequest(t, new(sync.Map))
	holder.placer.SetTargets(nil, nil)
	asked := asker.waits.begin(w)
	select {
	case _, ok := <-asked.Grants:
		assert.Assert(t, !ok, "no owner keeps it")
	case <-time.After(replyTimeout):
		t.Fatal("not told")
	}
}

// TestGrantOfAnEndedWaitIsReturned has a request leave while its place is granted.
func TestGrantOfAnEndedWaitIsReturned(t *testing.T) {
	asker, holder, w := waitingRequest(t, new(sync.Map))
	key := place.WaitKey{Router: asker.transport.Address(), Number: 99}
	assert.Assert(t, holder.placer.AddWait(key, w, w.Queries[0]))
	holder.loop.checkWaits()
	for deadline := time.Now().Add(replyTimeout); ; time.Sleep(time.Millisecond) {
		if _, _, next := holder.placer.CheckWaits(); next == 0 {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "the place is returned")
	}
}

// TestSilentOwnerGrantsNothing has the owner die: the wait ends without a trace.
func TestSilentOwnerGrantsNothing(t *testing.T) {
	silent := new(sync.Map)
	asker, holder, w := waitingRequest(t, silent)
	silent.Store(holder.settings.Host, true)
	asked := asker.waits.begin(w)
	select {
	case <-asked.Grants:
		t.Fatal("granted")
	case <-time.After(20 * time.Millisecond):
	}
	asked.End(nil)
	assert.Equal(t, len(asker.waits.pending), 0)
}

func TestWaitRoundTrip(t *testing.T) {
	_, _, w := waitingRequest(t, new(sync.Map))
	got, q := decodeWait(encodeWait(1, w, w.Queries[0]))
	assert.Equal(t, q.Target, w.Queries[0].Target)
	got.Queries = w.Queries
	assert.DeepEqual(t, got, w)
}
