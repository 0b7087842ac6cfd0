package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinccove.example/zinccove/place"
)

const (
	// maxReplicaDataCentres is the number of data centres over which replicas are spread.
	maxReplicaDataCentres = 3
	// MinReplicas is the minimum number of replicas in a fleet of as many routers.
	MinReplicas = 3
)

// Replicas returns the routers to which a router of a data centre sends the replicas of a value:
// one in its own data centre and in each of two others, or more if there are fewer data centres.
// The other data centres and the routers follow from the key.
func (t *Table) Replicas(key place.Hash, dataCentre string) []*Router {
	return t.replicas(key, dataCentre, 0)
}

// ReplicaHolders returns the routers at which a router of a data centre looks for the replicas of a
// value. In each data centre it is one more than Replicas returns, because a router that failed or
// is new may have been left out there.
func (t *Table) ReplicaHolders(key place.Hash, dataCentre string) []*Router {
	return t.replicas(key, dataCentre, 1)
}

func (t *Table) replicas(key place.Hash, dataCentre string, spare int) []*Router {
	names := t.replicaDataCentres(key, dataCentre)
	each := (MinReplicas + len(names) - 1) / max(len(names), 1)
	var list []*Router
	for _, name := range names {
		list = append(list, highest(t.byDataCentre[name], key, each+spare)...)
	}
	return list
}

// replicaDataCentres returns a data centre, if it has routers, and those of the others that rank
// highest for a key.
func (t *Table) replicaDataCentres(key place.Hash, dataCentre string) []string {
	var names []string
	for name := range t.byDataCentre {
		if name != dataCentre {
			names = append(names, name)
		}
	}
	weight := func(name string) uint64 { return place.Mix(xxhash.Sum64String(name) ^ uint64(key)) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	if t.HasRouter(dataCentre) {
		names = append([]string{dataCentre}, names...)
	}
	return names[:min(len(names), maxReplicaDataCentres)]
}

// highest returns the n candidates that rank highest for a key, in that order.
func highest(among []candidate, key place.Hash, n int) []*Router {
	type ranked struct {
		router *Router
		weight uint64
	}
	list := make([]ranked, 0, n+1)
	for _, c := range among {
		w := place.Mix(c.seed ^ uint64(key))
		if len(list) == n && w <= list[n-1].weight {
			continue
		}
		at, _ := slices.BinarySearchFunc(list, w, func(r ranked, w uint64) int { return cmp.Compare(w, r.weight) })
		list = slices.Insert(list, at, ranked{c.router, w})[:min(n, len(list)+1)]
	}
	routers := make([]*Router, len(list))
	for i, r := range list {
		routers[i] = r.router
	}
	return routers
}
