// Package owner determines which router is the owner of each target: the one that is authoritative
// for its load.
//
// In a fleet of hundreds of routers each sees about one in some hundred requests to a target, and
// notifying all others of each request costs more than the request. So one router of the target's
// data centre, the owner, receives updates on all requests placed there and replies to the queries
// of routers that are about to place one. The owner is derived from the names of the reachable
// routers by rendezvous hashing, without an election; a router that joins or leaves moves only its
// own targets. Routers that temporarily disagree on which routers are reachable query different
// owners, which costs accuracy only: a reply is a hint, and a router that receives none in time
// uses its own knowledge.
//
// A Table knows only routers. A target that is added or removed does not change it, and a router
// that joins or leaves affects only the targets of its own data centre.
//
// The package has no I/O. A Table is immutable.
//
// # Usage
//
//	t := owner.New(routers)
//	first, second := t.Owners(target)
package owner

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinccove.example/zinccove/place"
)

// Router is a router that may own targets.
type Router struct {
	Name       string
	DataCentre string
	Peer       netip.AddrPort
}

// Target is a target to find the owner of.
type Target struct {
	Hash       place.Hash
	DataCentre string
}

// Table holds the routers that may own targets.
type Table struct {
	byDataCentre map[string][]candidate
	all          []candidate
}

type candidate struct {
	router *Router
	seed   uint64
}

// New returns the table of the reachable routers.
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

// Len returns the number of routers.
func (t *Table) Len() int { return len(t.all) }

// HasRouter reports whether a data centre has a router. The targets of a data centre without one
// are owned by routers of any data centre.
func (t *Table) HasRouter(dataCentre string) bool { return len(t.byDataCentre[dataCentre]) > 0 }

// SameOwners reports whether a data centre has the same routers, at least one, in both tables, and
// both cover the same number of data centres.
func (t *Table) SameOwners(o *Table, dataCentre string) bool {
	if len(t.byDataCentre) != len(o.byDataCentre) || len(t.byDataCentre[dataCentre]) == 0 {
		return false
	}
	return slices.EqualFunc(t.byDataCentre[dataCentre], o.byDataCentre[dataCentre], func(a, b candidate) bool { return a.seed == b.seed })
}

// Owners returns the owner of a target and the router that takes over if the owner fails; nil if
// there is none.
func (t *Table) Owners(target Target) (first, second *Router) {
	among := t.byDataCentre[target.DataCentre]
	if len(among) == 0 {
		among = t.all
	}
	var highest, next uint64
	for _, c := range among {
		switch w := place.Mix(c.seed ^ uint64(target.Hash)); {
		case first == nil || w > highest:
			second, next = first, highest
			first, highest = c.router, w
		case second == nil || w > next:
			second, next = c.router, w
		}
	}
	return first, second
}
