package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exact returns the usage of many customers, a few of them large, and the reports of the routers
// from which it is summed up.
func exact(random *rand.Rand, customers, routers int) (sum map[Hash]Usage, parts []Totals) {
	sum = make(map[Hash]Usage)
	for range routers {
		part := Totals{Usage: make(map[Hash]Usage), AsOf: time.Unix(int64(random.IntN(100)), 0)}
		for range 10 {
			c := int(float64(customers) * random.Float64() * random.Float64() * random.Float64())
			h := HashOf(fmt.Sprint(c))
			u := Usage{Requested: 1000 + random.IntN(20_000), CallsRequested: random.IntN(3)}
			u.Served, u.CallsServed = u.Requested*9/10, u.CallsRequested
			usageSums(part.Usage).add(map[Hash]Usage{h: u})
			usageSums(sum).add(map[Hash]Usage{h: u})
		}
		parts = append(parts, part)
	}
	return sum, parts
}

// TestTreeOfTotalsComparesCustomersLikeExactSums sums up the usage of a fleet by cells and data
// centres, with the largest customers listed one by one. The levels have to be within a twentieth
// of the exact ones, and no customer within its share may count as above it.
func TestTreeOfTotalsComparesCustomersLikeExactSums(t *testing.T) {
	const listed = 64
	for _, routers := range []int{100, 985, 2000} {
		random := rand.New(rand.NewPCG(uint64(routers), 1))
		sum, parts := exact(random, 333, routers)
		var fleet Totals
		for dc := range 5 {
			var ofDC Totals
			for cell := dc * len(parts) / 5; cell < (dc+1)*len(parts)/5; cell += 50 {
				var ofCell Totals
				for _, p := range parts[cell:min(cell+50, (dc+1)*len(parts)/5)] {
					ofCell.Add(p)
				}
				ofCell.Trim(listed)
				ofDC.Add(ofCell)
			}
			ofDC.Trim(listed)
			fleet.Add(ofDC)
		}
		fleet.Trim(listed)
		want, got := computeShares(sum, 0), computeShares(fleet.comparableUsage(nil), 0)
		within := func(what string, got, want int) {
			t.Helper()
			assert.Assert(t, got >= want*19/20 && got <= want*21/20, "%s of %d routers: %d, exactly %d", what, routers, got, want)
		}
		within("asked", got.requested, want.requested)
		within("even level", got.evenLevel, want.evenLevel)
		for h, u := range sum {
			if u.Served < want.evenLevel*9/10 {
				assert.Assert(t, got.usage[h].Served <= got.evenLevel)
			}
		}
		for _, p := range parts {
			assert.Assert(t, !p.AsOf.Before(fleet.AsOf), "the age is that of the oldest part")
		}
	}
}

// TestTotalsCountUntilTheyExpire uses totals with a customer that all of the fleet serves except
// this router; older totals change nothing, and expired ones are not used.
func TestTotalsCountUntilTheyExpire(t *testing.T) {
	p, clock := newTestPlacer(t)
	flood, other := HashOf("flood"), HashOf("other")
	p.SetTotals(Totals{AsOf: clock.Now(), Usage: map[Hash]Usage{flood: {Requested: 9_000_000, Served: 3_000_000}, other: {Requested: 1000, Served: 500}}})
	standing := func(customer string) standing { return p.currentShares(clock.Now()).standing(customer) }
	assert.Assert(t, standing("flood").above)
	assert.Assert(t, !standing("other").above)
	p.SetTotals(Totals{AsOf: clock.Now().Add(-time.Second), Usage: map[Hash]Usage{}})
	clock.Advance(sharesTTL)
	assert.Assert(t, standing("flood").above, "older totals must not replace newer ones")
	clock.Advance(totalsTTL)
	assert.Assert(t, !standing("flood").above, "expired totals must not be used")
}

func TestNewerOwnUsageCounts(t *testing.T) {
	own := map[Hash]Usage{HashOf("a"): {Requested: 500, Served: 400}, HashOf("b"): {Requested: 70, Served: 70}}
	totals := Totals{Usage: map[Hash]Usage{HashOf("a"): {Requested: 100, Served: 100, CallsRequested: 5}}, OtherCustomers: 2, OtherUsage: Usage{Requested: 100, Served: 100}}
	uses := totals.comparableUsage(own)
	assert.Equal(t, uses[HashOf("a")], Usage{Requested: 500, Served: 400, CallsRequested: 5})
	assert.Equal(t, uses[HashOf("b")], own[HashOf("b")])
	assert.Equal(t, len(uses), 3, "one customer is among the others")
}
