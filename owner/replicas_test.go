package owner

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/place"
)

// routersOf returns routers of data centres with the given sizes.
func routersOf(sizes ...int) []Router {
	var list []Router
	for dc, n := range sizes {
		for i := range n {
			list = append(list, Router{Name: fmt.Sprintf("dc%d-%d", dc, i), DataCentre: fmt.Sprint("dc", dc)})
		}
	}
	return list
}

func keyOf(i int) place.Hash { return place.HashOf(fmt.Sprint("stream", i)) }

// held reports how many of the replicas, except those at a failed router, are among the holders.
func held(replicas, holders []*Router, failed string) int {
	n := 0
	for _, r := range replicas {
		if r.Name != failed && slices.ContainsFunc(holders, func(h *Router) bool { return h.Name == r.Name }) {
			n++
		}
	}
	return n
}

func TestReplicasAreInSeveralDataCentres(t *testing.T) {
	for _, c := range []struct {
		sizes    []int
		replicas int
	}{{[]int{1}, 1}, {[]int{2}, 2}, {[]int{9}, 3}, {[]int{4, 4}, 4}, {[]int{3, 3, 2}, 3}, {[]int{59, 59, 59, 59, 59}, 3}} {
		table := New(routersOf(c.sizes...))
		for i := range 20 {
			list := table.Replicas(keyOf(i), "dc0")
			assert.Equal(t, len(list), c.replicas, "%v", c.sizes)
			assert.Equal(t, list[0].DataCentre, "dc0")
			seen := make(map[string]bool)
			for _, r := range list {
				seen[r.DataCentre] = true
			}
			assert.Equal(t, len(seen), min(len(c.sizes), maxReplicaDataCentres))
		}
	}
}

// TestReplicasAreFoundFromOtherDataCentres has routers look for replicas that a router of another
// data centre sent when one router had failed that they know as running, or the other way round.
func TestReplicasAreFoundFromOtherDataCentres(t *testing.T) {
	routers := routersOf(9, 9, 9, 9, 9)
	all := New(routers)
	for i := range 200 {
		lost := routers[i%len(routers)]
		others := slices.DeleteFunc(slices.Clone(routers), func(r Router) bool { return r.Name == lost.Name })
		without := New(others)
		for _, c := range []struct{ sender, finder *Table }{{all, all}, {without, all}, {all, without}} {
			replicas := c.sender.Replicas(keyOf(i), "dc0")
			for dc := range 5 {
				holders := c.finder.ReplicaHolders(keyOf(i), fmt.Sprint("dc", dc))
				assert.Assert(t, held(replicas, holders, lost.Name) >= 1, "key %d from dc%d", i, dc)
			}
		}
	}
}

// BenchmarkReplicas finds the routers for a stream in fleets of data centres of 82 routers.
func BenchmarkReplicas(b *testing.B) {
	for _, n := range []int{1, 3, 10, 20} {
		table := New(routersOf(slices.Repeat([]int{82}, n)...))
		b.Run(fmt.Sprint(n*82), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				table.Replicas(place.Hash(i*7919), "dc0")
			}
		})
	}
}
