package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exact returns the uses of many customers, a few of them large, and what routers told of
// them in parts.
func exact(random *rand.Rand, customers, routers int) (sum map[Hash]Use, parts []Totals) {
	sum = make(map[Hash]Use)
	for range routers {
		part := Totals{Uses: make(map[Hash]Use), At: time.Unix(int64(random.IntN(100)), 0)}
		for range 10 {
			c := int(float64(customers) * random.Float64() * random.Float64() * random.Float64())
			h := HashOf(fmt.Sprint(c))
			u := Use{Asked: 1000 + random.IntN(20_000), CallsAsked: random.IntN(3)}
			u.Served, u.CallsServed = u.Asked*9/10, u.CallsAsked
			useSums(part.Uses).add(map[Hash]Use{h: u})
			useSums(sum).add(map[Hash]Use{h: u})
		}
		parts = append(parts, part)
	}
	return sum, parts
}

// TestSumsOverATreeCompareCustomersAsTheExactOnes sums up the uses of a fleet by cells and
// data centres, with the largest customers told one by one. The levels have to be within a
// twentieth of the exact ones, and nobody within its share may count as above it.
func TestSumsOverATreeCompareCustomersAsTheExactOnes(t *testing.T) {
	const told = 64
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
				ofCell.Trim(told)
				ofDC.Add(ofCell)
			}
			ofDC.Trim(told)
			fleet.Add(ofDC)
		}
		fleet.Trim(told)
		want, got := computeShares(sum, 0), computeShares(fleet.compared(nil), 0)
		within := func(what string, got, want int) {
			t.Helper()
			assert.Assert(t, got >= want*19/20 && got <= want*21/20, "%s of %d routers: %d, exactly %d", what, routers, got, want)
		}
		within("asked", got.asked, want.asked)
		within("even level", got.even, want.even)
		for h, u := range sum {
			if u.Served < want.even*9/10 {
				assert.Assert(t, got.uses[h].Served <= got.even)
			}
		}
		for _, p := range parts {
			assert.Assert(t, !p.At.Before(fleet.At), "the age is that of the oldest part")
		}
	}
}

// TestTotalsCountWhileTheyAreNew has a customer that all of the fleet serves, and this
// router not at all; then its own use is newer than the totals.
func TestTotalsCountWhileTheyAreNew(t *testing.T) {
	p, clock := newTestPlacer(t)
	flood, other := HashOf("flood"), HashOf("other")
	p.SetTotals(Totals{At: clock.Now(), Uses: map[Hash]Use{flood: {Asked: 9_000_000, Served: 3_000_000}, other: {Asked: 1000, Served: 500}}})
	standing := func(customer string) standing { return p.currentShares(clock.Now()).standing(customer) }
	assert.Assert(t, standing("flood").above)
	assert.Assert(t, !standing("other").above)
	p.SetTotals(Totals{At: clock.Now().Add(-time.Second), Uses: map[Hash]Use{}})
	clock.Advance(sharesFor)
	assert.Assert(t, standing("flood").above, "older totals change nothing")
	clock.Advance(totalsFor)
	assert.Assert(t, !standing("flood").above, "what is old does not count")
}

func TestOwnUseNewerThanTheTotalsCounts(t *testing.T) {
	own := map[Hash]Use{HashOf("a"): {Asked: 500, Served: 400}, HashOf("b"): {Asked: 70, Served: 70}}
	totals := Totals{Uses: map[Hash]Use{HashOf("a"): {Asked: 100, Served: 100, CallsAsked: 5}}, Others: 2, Rest: Use{Asked: 100, Served: 100}}
	uses := totals.compared(own)
	assert.Equal(t, uses[HashOf("a")], Use{Asked: 500, Served: 400, CallsAsked: 5})
	assert.Equal(t, uses[HashOf("b")], own[HashOf("b")])
	assert.Equal(t, len(uses), 3, "one customer is among the rest")
}
