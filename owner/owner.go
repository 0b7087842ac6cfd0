// Package owner says which router answers for each target.
//
// In a fleet of hundreds of routers each sees one in some hundred requests of a target,
// and telling all others of each request costs more than the request. So one router of
// the target's data centre hears of everything that is placed there and answers whoever
// is about to place something. It follows from the names of the routers that are there,
// by rendezvous hashing: nobody is elected, and a router that comes or goes moves only
// the targets that are its own. Routers that see others differently for a while ask
// different ones, which costs accuracy: an answer is a hint, and a router that gets none
// in time goes by what it knows itself.
//
// A Table knows only routers, so that a target that comes or goes changes nothing, and a
// router that comes or goes concerns the targets of its own data centre.
//
// The package has no I/O. A Table is immutable.
//
// # Usage
//
//	t := owner.New(routers)
//	first, second := t.Of(target)
package owner

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinccove.example/zinccove/place"
)

// Router is a router that may answer for targets.
type Router struct {
	Name       string
	DataCentre string
	Peer       netip.AddrPort
}

// Target is a target that somebody is to answer for.
type Target struct {
	Hash       place.Hash
	DataCentre string
}

// Table holds the routers that answer for targets.
type Table struct {
	byDataCentre map[string][]candidate
	all          []candidate
}

type candidate struct {
	router *Router
	seed   uint64
}

// New returns the table of the routers that are there.
func New(routers []Router) *Table {
	t := &Table{byDataCentre: make(map[string][]candidate)}
	for i := range routers {
		r := &routers[i]
		c := candidate{router: r, seed: xxhash.Sum64String(r.Name)}
		t.byDataCentre[r.DataCentre] = append(t.byDataCentre[r.DataCentre], c)
		t.all = append(t.all, c)
	}
	return t
}

// HasRouter reports whether a data centre has a router. Targets of one that has none are
// answered for by any router.
func (t *Table) HasRouter(dataCentre string) bool { return len(t.byDataCentre[dataCentre]) > 0 }

// SameOwners reports whether the targets of a data centre have the same routers in another table,
// and whether the same data centres have none.
func (t *Table) SameOwners(o *Table, dataCentre string) bool {
	if len(t.byDataCentre) != len(o.byDataCentre) || len(t.byDataCentre[dataCentre]) == 0 {
		return false
	}
	return slices.EqualFunc(t.byDataCentre[dataCentre], o.byDataCentre[dataCentre], func(a, b candidate) bool { return a.seed == b.seed })
}

// Owners returns the router that answers for a target and the one that does if the first
// is silent; nil if there is none.
func (t *Table) Owners(target Target) (first, second *Router) {
	among := t.byDataCentre[target.DataCentre]
	if len(among) == 0 {
		among = t.all
	}
	var most, next uint64
	for _, c := range among {
		switch w := place.Mix(c.seed ^ uint64(target.Hash)); {
		case first == nil || w > most:
			second, next = first, most
			first, most = c.router, w
		case second == nil || w > next:
			second, next = c.router, w
		}
	}
	return first, second
}
