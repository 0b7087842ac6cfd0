package place

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestLargeRequestsExceedCredit guards against routers that each serve one request more than their part.
func TestLargeRequestsExceedCredit(t *testing.T) {
	const rate, cost, seconds = 1000, 5000, 60
	clock := clockwork.NewFakeClock()
	c := credit{at: clock.Now()}
	served := 0
	for range seconds * 100 {
		clock.Advance(10 * time.Millisecond)
		if c.refill(rate, clock.Now()); c.tokens > 0 {
			c.tokens -= cost
			served += cost
		}
	}
	assert.Assert(t, served <= rate*seconds+cost, "%d", served)
	assert.Assert(t, served >= rate*seconds-cost, "%d", served)
}

// TestCustomersAreHeldWhileNoneLacks covers who is bounded, and when the level is contested.
func TestCustomersAreHeldWhileNoneLacks(t *testing.T) {
	s := computeShares(map[Hash]Usage{
		HashOf("starved"): {Requested: 5000, Served: 300}, HashOf("far"): {Requested: 5000, Served: 2000}, HashOf("small"): {Requested: 700, Served: 700},
	}, 600)
	assert.Equal(t, s.evenLevel, 1150)
	p, clock := newTestPlacer(t)
	p.updateHolds(&s, clock.Now())
	assert.Equal(t, s.aheadLevel, 1150)
	assert.Assert(t, p.bounded("far", &s) && !p.bounded("starved", &s) && !p.bounded("small", &s))
	clock.Advance(usageWindow)
	s = computeShares(map[Hash]Usage{HashOf("starved"): {Requested: 900, Served: 800}, HashOf("far"): {Requested: 2000, Served: 1000}}, 600)
	p.updateHolds(&s, clock.Now())
	assert.Assert(t, !p.bounded("far", &s) && !p.bounded("starved", &s))
}

// TestStartedFleetIsHeldToWhatItServes guards against a level that keeps engines idle after a start.
func TestStartedFleetIsHeldToWhatItServes(t *testing.T) {
	p, clock := newTestPlacer(t)
	s := computeShares(map[Hash]Usage{
		HashOf("first"): {Requested: 5000, Served: 300}, HashOf("second"): {Requested: 5000, Served: 100}, HashOf("third"): {Requested: 5000, Served: 10},
	}, 9000)
	p.updateHolds(&s, clock.Now())
	assert.Assert(t, !p.bounded("first", &s) && !p.bounded("second", &s))
}
