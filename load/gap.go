package load

import "math"

// gap is the largest difference of service between two customers.
type gap struct {
	tokens float64
	a, b   int
}

// largestGap looks at each two customers over each longest run of points at
// which both are backlogged.
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

// pairGap returns the largest change of the difference between a and b.
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
