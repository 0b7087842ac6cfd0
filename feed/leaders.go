package feed

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// LeaderCount is the number of routers of each data centre that follow the store for the
	// others, and of relays of each cell: two may fail at the same moment without any router having
	// to wait for a timeout of its own.
	LeaderCount = 3
	// CellSize is the maximum average number of routers of a cell. Each relay serves a part of
	// them.
	CellSize = 64
)

// Role is what a router does for the others of its data centre.
//
// The first LeaderCount routers by name follow the store. In a large data centre the routers are
// distributed over cells by the hashes of their names, and the first LeaderCount of each cell, its
// relays, follow the leaders and serve the cell. So no router serves more routers than a cell has
// and the relays of all cells, however many there are. Routers that temporarily disagree on which
// routers are reachable may try some that do not serve, and then try the next.
type Role struct {
	// Rank is the index among the reachable routers of the data centre, by name.
	Rank int
	// Leads is set if the router follows the store.
	Leads bool
	// Serves is set if others may follow this router.
	Serves bool
	// Retains is set if the router retains rows for others: it serves, or is among the next that
	// will.
	Retains bool
	// Cell are the other routers of the cell, by name.
	Cell []string
	// Relays are the first LeaderCount other routers of the cell, by name.
	Relays []string
	// Sources are the routers to follow, in the order to try them; none if the router leads.
	Sources []string
}

// RoleOf returns the role of a router among the other reachable routers of its data centre. Known
// is the number of all known routers there, itself included.
func RoleOf(self string, others []string, known int) Role {
	all := append(slices.Clone(others), self)
	slices.Sort(all)
	cells := CellCount(known)
	own := CellOf(self, cells)
	r := Role{Rank: slices.Index(all, self)}
	var cell []string
	for _, name := range all {
		if CellOf(name, cells) == own {
			cell = append(cell, name)
		}
	}
	inCell := slices.Index(cell, self)
	r.Leads = r.Rank < LeaderCount
	r.Serves = r.Leads || inCell < LeaderCount
	r.Retains = r.Rank < 2*LeaderCount || inCell < 2*LeaderCount
	r.Cell = slices.Delete(cell, inCell, inCell+1)
	r.Relays = r.Cell[:min(LeaderCount, len(r.Cell))]
	leaders := without(all[:min(LeaderCount, len(all))], self)
	switch {
	case r.Leads:
	case r.Serves:
		r.Sources = rotate(leaders, inCell)
	default:
		r.Sources = rotate(r.Relays, inCell)
		for _, name := range leaders {
			if !slices.Contains(r.Sources, name) {
				r.Sources = append(r.Sources, name)
			}
		}
	}
	return r
}

// CellCount returns the number of cells of a data centre with the given number of known routers. It
// doubles when the cells would exceed CellSize, so that few routers change their cell.
func CellCount(routers int) int {
	full := (routers + CellSize - 1) / CellSize
	if full <= 1 {
		return 1
	}
	return 1 << bits.Len(uint(full-1))
}

// CellOf returns the index of a router's cell, from 0 on, among the given number of cells.
func CellOf(name string, cells int) int { return int(xxhash.Sum64String(name) % uint64(cells)) }

// Relays returns the relays of a cell among the routers of a data centre, by name.
func Relays(cell, cells int, routers []string) []string {
	var first []string
	for _, name := range slices.Sorted(slices.Values(routers)) {
		if CellOf(name, cells) == cell && len(first) < LeaderCount {
			first = append(first, name)
		}
	}
	return first
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// rotate makes routers begin with different sources, so that each source serves a part of them.
func rotate(names []string, by int) []string {
	if len(names) == 0 {
		return nil
	}
	begin := by % len(names)
	return slices.Concat(names[begin:], names[:begin])
}
