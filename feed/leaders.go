package feed

import "slices"

// Leaders is the number of routers of each data centre that follow the store for the
// others: two may be lost in the same moment without a router that has to find out by
// a time-out of its own.
const Leaders = 3

// Rank returns the place of a router among those of its data centre that can be
// reached, in the order of their names. Ranks below Leaders follow the store.
func Rank(self string, others []string) int {
	rank := 0
	for _, name := range others {
		if name < self {
			rank++
		}
	}
	return rank
}

// Order returns the first leaders among the other routers of a data centre in the
// order in which a router is to try them. Routers begin with different ones, so that
// each leader serves a part of them.
func Order(self string, others []string) []string {
	sorted := slices.Sorted(slices.Values(others))
	first := sorted[:min(Leaders, len(sorted))]
	if len(first) == 0 {
		return nil
	}
	begin := Rank(self, others) % len(first)
	return slices.Concat(first[begin:], first[:begin])
}
