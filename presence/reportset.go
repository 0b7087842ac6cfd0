package presence

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Cell identifies a cell of a data centre: the routers whose names hash to Number modulo Cells.
type Cell struct {
	DataCentre    string
	Number, Cells int
}

// Report is a router's report on a cell. All routers of the cell that are not listed as failed are
// reachable, so that the size of a report does not grow with the cell.
type Report struct {
	Cell Cell
	// At is when the cell was observed.
	At time.Time
	// Failed and Leaving are the sorted keys of routers.
	Failed, Leaving []uint64
}

// reportSet holds the latest report on each cell by each reporter.
type reportSet struct {
	byCell map[Cell]map[string]Report
}

func newReportSet() reportSet { return reportSet{byCell: make(map[Cell]map[string]Report)} }

// put stores a report unless a later one by the same reporter is stored.
func (b *reportSet) put(from string, r Report) {
	of := b.byCell[r.Cell]
	if of == nil {
		of = make(map[string]Report)
		b.byCell[r.Cell] = of
	}
	if known, ok := of[from]; !ok || known.At.Before(r.At) {
		of[from] = r
	}
}

// drop removes reports from before a time.
func (b *reportSet) drop(before time.Time) {
	for cell, of := range b.byCell {
		maps.DeleteFunc(of, func(_ string, r Report) bool { return r.At.Before(before) })
		if len(of) == 0 {
			delete(b.byCell, cell)
		}
	}
}

// merged returns the merged report on a cell. A router counts as failed only if all reporters
// report so, as a single reporter may have a fault of its own. Reports that are older than the
// latest by mergeWindow or more do not count: the routers may have failed since.
func (b *reportSet) merged(cell Cell) (sum Report, ok bool) {
	of := b.byCell[cell]
	for _, r := range of {
		if sum.At.Before(r.At) {
			sum.At = r.At
		}
	}
	first := true
	for _, r := range of {
		switch {
		case sum.At.Sub(r.At) >= mergeWindow:
			continue
		case first:
			sum.Failed = r.Failed
		default:
			sum.Failed = intersection(sum.Failed, r.Failed)
		}
		first = false
		sum.Leaving = append(sum.Leaving, r.Leaving...)
	}
	slices.Sort(sum.Leaving)
	sum.Cell, sum.Leaving = cell, slices.Compact(sum.Leaving)
	return sum, !first
}

// all returns the sorted merged reports on all cells, or on those of one data centre.
func (b *reportSet) all(dataCentre string) []Report {
	var list []Report
	for cell := range b.byCell {
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

// intersection returns the keys that are in both of two sorted lists.
func intersection(a, b []uint64) []uint64 {
	var both []uint64
	for _, key := range a {
		if _, ok := slices.BinarySearch(b, key); ok {
			both = append(both, key)
		}
	}
	return both
}
