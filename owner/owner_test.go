package owner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/place"
)

// fleet returns 5 data centres with so many routers each, and 320 targets.
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
	table := New(targets, routers)
	most := 0
	for _, r := range routers {
		most = max(most, len(table.Owned(r.Name)))
	}
	assert.Assert(t, most <= 6, "one router answers for %d of 320 targets", most)
	for _, x := range targets {
		first, second := table.Of(x.Hash)
		assert.Equal(t, first.DataCentre, x.DataCentre)
		assert.Equal(t, second.DataCentre, x.DataCentre)
		assert.Assert(t, first != second)
	}
}

// TestLostRouterMovesOnlyItsTargets also holds that the next router of a target is the
// one that answers once the first is known to be lost.
func TestLostRouterMovesOnlyItsTargets(t *testing.T) {
	targets, routers := fleet(59)
	before := New(targets, routers)
	lost := routers[17].Name
	after := New(targets, append(append([]Router{}, routers[:17]...), routers[18:]...))
	for _, x := range targets {
		first, second := before.Of(x.Hash)
		now, _ := after.Of(x.Hash)
		if first.Name == lost {
			assert.Equal(t, now.Name, second.Name)
		} else {
			assert.Equal(t, now.Name, first.Name)
		}
	}
}

func TestDataCentreWithoutRoutersIsAnsweredForElsewhere(t *testing.T) {
	targets, routers := fleet(3)
	table := New(targets, routers[:3])
	first, _ := table.Of(targets[319].Hash)
	assert.Equal(t, first.DataCentre, "dc0")
	first, second := New(targets, nil).Of(targets[0].Hash)
	assert.Assert(t, first == nil && second == nil)
}

// BenchmarkNew finds out who answers for 320 targets among 295 routers, which is done
// when a router or target comes or goes.
func BenchmarkNew(b *testing.B) {
	targets, routers := fleet(59)
	for b.Loop() {
		New(targets, routers)
	}
}
