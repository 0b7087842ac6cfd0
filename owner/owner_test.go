package owner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/place"
)

// fleet returns 5 data centres with the given number of routers each, and 320 targets.
func fleet(routers int) ([]Target, []Router) {
	var rs []Router
	var ts []Target
	for dc := range 5 {
		name := fmt.Sprint("dc", dc)
		for i := range routers {
			rs = append(rs, Router{Name: fmt.Sprintf("%s-%d", name, i), DataCentre: name})
		}
		for i := range 64 {
			ts = append(ts, Target{Hash: place.HashOf(fmt.Sprint(name, i)), DataCentre: name})
		}
	}
	return ts, rs
}

func TestTargetsAreSpreadOverTheRoutersOfTheirDataCentre(t *testing.T) {
	targets, routers := fleet(59)
	table := New(routers)
	owned := make(map[string]int)
	most := 0
	for _, x := range targets {
		first, _ := table.Owners(x)
		owned[first.Name]++
		most = max(most, owned[first.Name])
	}
	assert.Assert(t, most <= 6, "one router owns %d of 320 targets", most)
	for _, x := range targets {
		first, second := table.Owners(x)
		assert.Equal(t, first.DataCentre, x.DataCentre)
		assert.Equal(t, second.DataCentre, x.DataCentre)
		assert.Assert(t, first != second)
	}
}

// TestLostRouterMovesOnlyItsTargets also checks that the second owner of a target becomes its owner
// once the first is known to have failed.
func TestLostRouterMovesOnlyItsTargets(t *testing.T) {
	targets, routers := fleet(59)
	before := New(routers)
	lost := routers[17].Name
	after := New(append(append([]Router{}, routers[:17]...), routers[18:]...))
	for _, x := range targets {
		first, second := before.Owners(x)
		now, _ := after.Owners(x)
		if first.Name == lost {
			assert.Equal(t, now.Name, second.Name)
		} else {
			assert.Equal(t, now.Name, first.Name)
		}
	}
}

func TestTargetsWithoutRoutersAreOwnedElsewhere(t *testing.T) {
	targets, routers := fleet(3)
	table := New(routers[:3])
	first, _ := table.Owners(targets[319])
	assert.Equal(t, first.DataCentre, "dc0")
	first, second := New(nil).Owners(targets[0])
	assert.Assert(t, first == nil && second == nil)
}

// BenchmarkOf finds the owner of a target among the routers of a data centre.
func BenchmarkOf(b *testing.B) {
	for _, n := range []int{20, 59, 197, 400} {
		targets, routers := fleet(n)
		table := New(routers)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				table.Owners(targets[0])
			}
		})
	}
}
