package presence

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Cell names a cell of a data centre: the routers whose names hash to a number among so many.
type Cell struct {
	DataCentre    string
	Number, Cells int
}

// Report is what a router says of a cell. All of its routers are there but those that are
// gone, so that its size does not grow with the cell.
type Report struct {
	Cell Cell
	// At is when they were looked at.
	At time.Time
	// Failed and Leaving are the keys of routers, in order.
	Failed, Leaving []uint64
}

// board keeps the latest reports of all cells by reporter.
type board struct {
	reports map[Cell]map[string]Report
}

func newBoard() board { return board{reports: make(map[Cell]map[string]Report)} }

// put keeps a report unless a later one of the same reporter is there.
func (b *board) put(from string, r Report) {
	of := b.reports[r.Cell]
	if of == nil {
		of = make(map[string]Report)
		b.reports[r.Cell] = of
	}
	if known, ok := of[from]; !ok || known.At.Before(r.At) {
		of[from] = r
	}
}

// drop forgets reports from before a time.
func (b *board) drop(before time.Time) {
	for cell, of := range b.reports {
		maps.DeleteFunc(of, func(_ string, r Report) bool { return r.At.Before(before) })
		if len(of) == 0 {
			delete(b.reports, cell)
		}
	}
}

// merged returns what the reporters of a cell say together: a router is gone that none of
// them hears, as one of them alone may have trouble of its own. What one said earlier than the
// others does not count: the router may have ended since.
func (b *board) merged(cell Cell) (sum Report, ok bool) {
	of := b.reports[cell]
	for _, r := range of {
		if sum.At.Before(r.At) {
			sum.At = r.At
		}
	}
	first := true
	for _, r := range of {
		switch {
		case sum.At.Sub(r.At) >= togetherWithin:
			continue
		case first:
			sum.Failed = r.Failed
		default:
			sum.Failed = common(sum.Failed, r.Failed)
		}
		first = false
		sum.Leaving = append(sum.Leaving, r.Leaving...)
	}
	slices.Sort(sum.Leaving)
	sum.Cell, sum.Leaving = cell, slices.Compact(sum.Leaving)
	return sum, !first
}

// all returns the merged reports of all cells, or of those of one data centre, in order.
func (b *board) all(dataCentre string) []Report {
	var list []Report
	for cell := range b.reports {
		if dataCentre != "" && cell.DataCentre != dataCentre {
			continue
		}
		if r, ok := b.merged(cell); ok {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Cell.DataCentre, b.Cell.DataCentre), cmp.Compare(a.Cell.Cells, b.Cell.Cells), cmp.Compare(a.Cell.Number, b.Cell.Number))
	})
	return list
}

// common returns the keys that are in both of two ordered lists.
func common(a, b []uint64) []uint64 {
	var both []uint64
	for _, key := range a {
		if _, ok := slices.BinarySearch(b, key); ok {
			both = append(both, key)
		}
	}
	return both
}
