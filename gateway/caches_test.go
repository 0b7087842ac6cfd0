package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/roster"
	"zinccove.example/zinccove/route"
	"zinccove.example/zinccove/settings"
)

// reportingTarget is an engine that reports what it caches.
type reportingTarget struct {
	epoch atomic.Int64
	kept  atomic.Bool
	lost  atomic.Bool
	calls atomic.Int64
}

func (r *reportingTarget) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	tokens, sign := 0, "-"
	if r.kept.Load() {
		tokens, sign = 900, "+"
	}
	if q.URL.Path == "/-/kv-list" {
		fmt.Fprintf(w, `{"epoch":%d,"nextToken":1,"held":[["","shared",%d,"m"]]}`, r.epoch.Load(), tokens)
		return
	}
	r.calls.Add(1)
	lost := r.lost.Load() && q.URL.Query().Get("since") == "0"
	fmt.Fprintf(w, `{"epoch":%d,"nextToken":1,"lost":%t,"events":[[1,"%s","","shared",%d,"m"]]}`, r.epoch.Load(), lost, sign, tokens)
}

// newCacheOwner returns a router that may own one engine of a service that offers a number of
// calls.
func newCacheOwner(t *testing.T, address netip.AddrPort, enabled bool, calls int) *loop {
	t.Helper()
	clock := clockwork.NewRealClock()
	table, err := route.New(route.Spec{Version: 1, Services: []route.Service{{Name: "m", Engine: &route.Engine{Slots: 64, CacheTokens: 100_000, EventCalls: calls}}}})
	assert.NilError(t, err)
	metrics, err := metric.New()
	assert.NilError(t, err)
	g := &Gateway{clock: clock, metrics: metrics, log: zerolog.Nop(), settings: &settings.Settings{CacheEvents: enabled}, placer: place.New(place.Options{Clock: clock})}
	g.placer.SetTargets([]*roster.Target{{ID: "t", Service: "m", Slots: 64, Address: address}}, table)
	g.caches = g.newCaches()
	t.Cleanup(func() {
		assert.NilError(t, g.closeCaches())
		assert.NilError(t, metrics.Close())
	})
	return &loop{gateway: g}
}

// own makes a router the owner of the engine, or another one.
func (l *loop) own(owned bool) {
	targets := make(map[place.Hash]bool)
	if owned {
		targets[place.HashOf((&roster.Target{ID: "t"}).Incarnation())] = true
	}
	l.gateway.placer.SetOwned(targets)
	l.followCaches()
}

// awaitPrefill waits until the owner expects a number of tokens to prefill for a request.
func (l *loop) awaitPrefill(t *testing.T, tokens int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		a, ok := l.gateway.placer.Reply(l.gateway.placer.Queries(newRequest("a"))[0])
		if !ok || a.PrefillTokens != tokens {
			return poll.Continue("%d tokens instead of %d", a.PrefillTokens, tokens)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func newReportingTarget(t *testing.T) (*reportingTarget, netip.AddrPort) {
	t.Helper()
	r := new(reportingTarget)
	r.epoch.Store(1)
	r.kept.Store(true)
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return r, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func TestOwnerKnowsWhatItsTargetCaches(t *testing.T) {
	target, address := newReportingTarget(t)
	l := newCacheOwner(t, address, true, 1)
	l.awaitPrefill(t, 1000)
	l.own(true)
	l.awaitPrefill(t, 100)
	target.kept.Store(false)
	l.awaitPrefill(t, 1000)
	target.kept.Store(true)
	target.epoch.Add(1)
	l.awaitPrefill(t, 100)
}

func TestNextOwnerLearnsWhatTheTargetCaches(t *testing.T) {
	_, address := newReportingTarget(t)
	first, next := newCacheOwner(t, address, true, 1), newCacheOwner(t, address, true, 1)
	first.own(true)
	first.awaitPrefill(t, 100)
	first.own(false)
	next.own(true)
	next.awaitPrefill(t, 100)
	first.awaitPrefill(t, 1000)
}

func TestListIsReadAfterEventsWereLost(t *testing.T) {
	target, address := newReportingTarget(t)
	target.lost.Store(true)
	l := newCacheOwner(t, address, true, 1)
	l.own(true)
	l.awaitPrefill(t, 100)
}

func TestEnginesAreOnlyFollowedIfTheyOfferItAndItIsEnabled(t *testing.T) {
	target, address := newReportingTarget(t)
	for _, l := range []*loop{newCacheOwner(t, address, false, 1), newCacheOwner(t, address, true, 0)} {
		l.own(true)
		if l.gateway.caches != nil {
			assert.Equal(t, l.gateway.caches.Len(), 0)
		}
	}
	assert.Equal(t, target.calls.Load(), int64(0))
}
