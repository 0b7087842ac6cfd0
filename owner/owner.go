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
// The package has no I/O. A Table is immutable.
//
// # Usage
//
//	t := owner.New(targets, routers)
//	first, second := t.Of(target)
package owner

import (
	"net/netip"

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

// pair are the routers of a target: the one that answers for it and the next one.
type pair struct{ first, second *Router }

// Table holds the routers of all targets.
type Table struct{ pairs map[place.Hash]pair }

// New finds the routers of targets among those that are there. Targets of data centres
// without a router go to any.
func New(targets []Target, routers []Router) *Table {
	byDataCentre := make(map[string][]candidate)
	var all []candidate
	for i := range routers {
		c := candidate{router: &routers[i], seed: xxhash.Sum64String(routers[i].Name)}
		byDataCentre[c.router.DataCentre] = append(byDataCentre[c.router.DataCentre], c)
		all = append(all, c)
	}
	t := &Table{pairs: make(map[place.Hash]pair, len(targets))}
	for _, target := range targets {
		among := byDataCentre[target.DataCentre]
		if len(among) == 0 {
			among = all
		}
		t.pairs[target.Hash] = choose(target.Hash, among)
	}
	return t
}

type candidate struct {
	router *Router
	seed   uint64
}

// choose returns the two routers with the greatest weights.
func choose(target place.Hash, among []candidate) pair {
	var p pair
	var first, second uint64
	for _, c := range among {
		switch w := place.Mix(c.seed ^ uint64(target)); {
		case p.first == nil || w > first:
			p.second, second = p.first, first
			p.first, first = c.router, w
		case p.second == nil || w > second:
			p.second, second = c.router, w
		}
	}
	return p
}

// Of returns the router that answers for a target and the one that does if the first
// is silent; nil if there is none.
func (t *Table) Of(target place.Hash) (first, second *Router) {
	p := t.pairs[target]
	return p.first, p.second
}

// Owned returns the targets for which a router answers.
func (t *Table) Owned(name string) map[place.Hash]bool {
	owned := make(map[place.Hash]bool)
	for h, p := range t.pairs {
		if p.first != nil && p.first.Name == name {
			owned[h] = true
		}
	}
	return owned
}
