package feed

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func routers(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("r%04d", i)
	}
	return all
}

// TestEveryRouterIsServedByFew checks data centres of all sizes: only the leaders follow the store,
// each router has a source that serves it and reaches the store in two steps at most, and no router
// serves more than a part of a cell and the relays of all cells.
func TestEveryRouterIsServedByFew(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 9, 59, 64, 65, 217, 435, 1000} {
		all := routers(n)
		roles := make(map[string]Role)
		served := make(map[string]int)
		leads := 0
		for i, self := range all {
			r := RoleOf(self, slices.Delete(slices.Clone(all), i, i+1), n)
			roles[self] = r
			assert.Equal(t, r.Rank, i)
			if r.Leads {
				leads++
				assert.Equal(t, len(r.Sources), 0)
				continue
			}
			served[r.Sources[0]]++
			assert.Assert(t, len(r.Sources) >= LeaderCount)
		}
		assert.Equal(t, leads, min(LeaderCount, n))
		for _, self := range all {
			for _, source := range roles[self].Sources {
				assert.Assert(t, roles[source].Serves, "%s follows %s", self, source)
				assert.Assert(t, roles[source].Retains)
				if !roles[source].Leads {
					assert.Assert(t, !roles[self].Serves, "relays follow leaders")
				}
			}
		}
		for source, count := range served {
			assert.Assert(t, count <= CellSize/LeaderCount*2+LeaderCount*CellCount(n), "%s serves %d of %d", source, count, n)
		}
	}
}

// TestSmallDataCentresAreOneCell checks that the leaders serve all others of a small data centre.
func TestSmallDataCentresAreOneCell(t *testing.T) {
	all := routers(CellSize)
	for i, self := range all {
		r := RoleOf(self, slices.Delete(slices.Clone(all), i, i+1), len(all))
		assert.Equal(t, r.Serves, r.Leads)
		assert.Equal(t, len(r.Cell), len(all)-1)
		if !r.Leads {
			assert.Equal(t, len(r.Sources), LeaderCount)
		}
	}
}

// TestLossOfRoutersKeepsCells removes half of the routers of a data centre: the others must stay in
// their cells.
func TestLossOfRoutersKeepsCells(t *testing.T) {
	all := routers(217)
	before := RoleOf(all[200], append(slices.Clone(all[:200]), all[201:]...), len(all))
	after := RoleOf(all[200], append(slices.Clone(all[100:200]), all[201:]...), len(all))
	for _, name := range after.Cell {
		assert.Assert(t, slices.Contains(before.Cell, name))
	}
	assert.Equal(t, after.Rank, 100)
}

// TestRelaysAreThoseOfTheirCell compares the relays of each cell with the roles of its routers.
func TestRelaysAreThoseOfTheirCell(t *testing.T) {
	all := routers(217)
	cells := CellCount(len(all))
	for i, self := range all {
		r := RoleOf(self, slices.Delete(slices.Clone(all), i, i+1), len(all))
		isRelay := slices.Contains(Relays(CellOf(self, cells), cells, all), self)
		assert.Equal(t, r.Serves, isRelay || r.Leads)
	}
}
