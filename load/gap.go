package load

import "math"

// gap is the largest difference in service per unit of weight between two customers, a and b.
type gap struct {
	tokens float64
	a, b   int
}

// largestGap returns the largest gap over all pairs of customers. A pair is compared over each
// maximal run of consecutive points at which both customers are backlogged.
func largestGap(series []point, customers int) gap {
	var worst gap
	for a := range customers {
		for b := a + 1; b < customers; b++ {
			if g := pairGap(series, a, b); g > worst.tokens {
				worst = gap{tokens: g, a: a, b: b}
			}
		}
	}
	return worst
}

// pairGap returns the largest change of the difference in service between a and b within one run
// of points at which both are backlogged.
func pairGap(series []point, a, b int) float64 {
	worst := 0.0
	low, high := math.Inf(1), math.Inf(-1)
	for i := range series {
		p := &series[i]
		if !p.backlogged[a] || !p.backlogged[b] {
			low, high = math.Inf(1), math.Inf(-1)
			continue
		}
		d := p.service[a] - p.service[b]
		low, high = min(low, d), max(high, d)
		worst = max(worst, high-low)
	}
	return worst
}
