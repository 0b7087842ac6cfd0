package gateway

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/owner"
	"zinccove.example/zinccove/peer"
	"zinccove.example/zinccove/place"
)

// listenForPeers opens an address for datagrams on loopback.
func listenForPeers(t testing.TB, receive func(*zinccovev1.Heartbeat, netip.AddrPort, int)) *peer.Transport {
	t.Helper()
	transport, err := peer.Listen(peer.Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Clock: clockwork.NewRealClock(), Key: []byte(testFleetKey), Receive: receive,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, transport.Close()) })
	return transport
}

// nobody receives datagrams that no test looks at.
func nobody(*zinccovev1.Heartbeat, netip.AddrPort, int) {}

// newAskers returns routers that answer each other's questions on loopback, and the clock
// of their waiting. The ones named in silent get questions and leave them open.
func newAskers(t *testing.T, n int, silent *sync.Map) ([]*Gateway, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	var (
		all     []*Gateway
		routers []owner.Router
	)
	for i := range n {
		g := newReader(t, fmt.Sprintf("r%d", i))
		g.clock = clock
		g.asker, g.loop = newAsker(g), newLoop(g)
		g.transport = listenForPeers(t, func(hb *zinccovev1.Heartbeat, from netip.AddrPort, _ int) {
			switch {
			case hb.Question != nil:
				if _, ok := silent.Load(g.settings.Host); !ok {
					g.answer(hb.Question, from)
				}
			case hb.Answer != nil:
				g.asker.take(hb.Answer)
			}
		})
		all = append(all, g)
		routers = append(routers, owner.Router{Name: g.settings.Host, DataCentre: "dc", Peer: g.transport.Address()})
	}
	table := owner.New(routers)
	for _, g := range all {
		g.owners.Store(table)
	}
	return all, clock
}

// answerTime is how long a router that answers may take on a busy host.
const answerTime = 5 * time.Second

// askUntil asks questions, and has the time for answers pass after so long: none waits
// longer than askTime, however busy the host is.
func askUntil(t *testing.T, clock *clockwork.FakeClock, g *Gateway, questions []place.Query, passes time.Duration) []place.Reply {
	t.Helper()
	answers := make(chan []place.Reply, 1)
	var group errgroup.Group
	group.Go(func() error {
		answers <- g.asker.ask(questions)
		return nil
	})
	select {
	case a := <-answers:
		return a
	case <-time.After(passes):
	}
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(askTime - time.Nanosecond)
	select {
	case <-answers:
		t.Fatal("given up before its time")
	case <-time.After(10 * time.Millisecond):
	}
	clock.Advance(time.Nanosecond)
	assert.NilError(t, group.Wait())
	return <-answers
}

// byName returns the router with a name.
func byName(all []*Gateway, r *owner.Router) *Gateway {
	for _, g := range all {
		if g.settings.Host == r.Name {
			return g
		}
	}
	return nil
}

// another returns a router that is none of the two that may answer.
func another(all []*Gateway, first, second *owner.Router) *Gateway {
	for _, g := range all {
		if g.settings.Host != first.Name && g.settings.Host != second.Name {
			return g
		}
	}
	return nil
}

func TestRouterThatAnswersForATargetKnowsWhatOthersPlacedThere(t *testing.T) {
	all, clock := newAskers(t, 4, new(sync.Map))
	first, second := all[0].owners.Load().Owners(owner.Target{Hash: place.HashOf("t")})
	byName(all, first).placer.Place(ask("a"))
	g := another(all, first, second)
	r := ask("b")
	answers := askUntil(t, clock, g, g.placer.Queries(r), answerTime)
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, answers[0].Requests, 1)
	assert.Equal(t, answers[0].PendingTokens, 1000)
	assert.Equal(t, len(byName(all, first).asker.ask(g.placer.Queries(r))), 0, "nobody asks itself")
}

// TestSilentRouterDelaysFewRequests has the router that answers for a target stand
// still: each question costs some milliseconds, and soon the next router is asked.
func TestSilentRouterDelaysFewRequests(t *testing.T) {
	silent := new(sync.Map)
	all, clock := newAskers(t, 4, silent)
	first, second := all[0].owners.Load().Owners(owner.Target{Hash: place.HashOf("t")})
	silent.Store(first.Name, true)
	byName(all, second).placer.Place(ask("a"))
	g := another(all, first, second)
	questions := g.placer.Queries(ask("b"))
	for range silentAfter {
		assert.Equal(t, len(askUntil(t, clock, g, questions, 50*time.Millisecond)), 0)
	}
	answers := askUntil(t, clock, g, questions, answerTime)
	assert.Equal(t, len(answers), 1, "the next one answers")
	assert.Equal(t, answers[0].Requests, 1)
	assert.Equal(t, g.asker.ownerOf(place.HashOf("t")).Name, second.Name, "it is told of what is placed, too")
	assert.Equal(t, len(g.asker.open), 0, "nothing is left of open questions")
}

func TestLateAnswersAreDropped(t *testing.T) {
	all, _ := newAskers(t, 1, new(sync.Map))
	g := all[0]
	g.asker.take(&zinccovev1.Answer{Number: 77})
	assert.Equal(t, len(g.asker.open), 0)
}
