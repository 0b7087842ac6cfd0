// Package share splits the slots of a pool among the routers that request them.
//
// Every router computes the split for itself from the same exchanged counters,
// so no message is needed for it. Customers get slots in proportion to their
// weights, none more than it can use; a customer whose level lags gets more
// until it has caught up. The slots of a customer go to the routers where its
// requests are. Routers that have received different counters may compute splits
// whose sum exceeds the slots for one exchange period; the excess then waits
// inside the targets.
//
// The package has no I/O, clock, randomness or state.
//
// # Usage
//
//	slots, spare := share.Allocate(share.Input{Slots: 72, Routers: 9, Customers: cs, CatchUpLag: 4000})
//	window := slots[self] + spare
package share

import (
	"cmp"
	"math"
	"slices"
)

// Input holds the inputs of a split.
type Input struct {
	// Slots is the number of requests that the pool's targets run at once.
	Slots int
	// Routers is the number of routers that request slots.
	Routers   int
	Customers []Customer
	// CatchUpLag is the lag, in cost per unit of weight, that doubles the weight of a customer; 0
	// disables the boost of lagging customers.
	CatchUpLag float64
}

// Customer is the demand of one customer.
type Customer struct {
	Weight float64
	// Level is the service received per unit of weight.
	Level float64
	// Waiting customers have requests queued, so their lag counts.
	Waiting bool
	// Demand is the number of queued and running requests by router.
	Demand []RouterDemand
}

// RouterDemand is the demand of one customer at one router.
type RouterDemand struct {
	Router   int
	Requests int
}

// maxBoost bounds the factor on the weight of a lagging customer.
const maxBoost = 8

func (c *Customer) requests() int {
	n := 0
	for _, p := range c.Demand {
		n += p.Requests
	}
	return n
}

// Allocate returns the slots of each router and the slots that no router requests. Their sum is
// in.Slots.
func Allocate(in Input) (slots []int, spare int) {
	parts := fill(in)
	exact := make([]float64, in.Routers)
	sum := 0.0
	for i := range in.Customers {
		c := &in.Customers[i]
		total := float64(c.requests())
		for _, p := range c.Demand {
			exact[p.Router] += parts[i] * float64(p.Requests) / total
		}
		sum += parts[i]
	}
	granted := min(int(math.Round(sum)), in.Slots)
	return round(exact, granted), in.Slots - granted
}

// fill returns the slots of each customer: in proportion to weights, at most the demand, until
// either slots or demand are used up.
func fill(in Input) []float64 {
	parts := make([]float64, len(in.Customers))
	weights := boosted(in)
	order := make([]int, len(in.Customers))
	weightLeft := 0.0
	for i := range order {
		order[i] = i
		weightLeft += weights[i]
	}
	need := func(i int) float64 { return float64(in.Customers[i].requests()) / weights[i] }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(need(a), need(b)) })
	left := float64(in.Slots)
	for _, i := range order {
		parts[i] = min(float64(in.Customers[i].requests()), left*weights[i]/weightLeft)
		left -= parts[i]
		weightLeft -= weights[i]
	}
	return parts
}

// boosted returns the weights, increased by the lag of waiting customers.
func boosted(in Input) []float64 {
	maxLevel := math.Inf(-1)
	for i := range in.Customers {
		if c := &in.Customers[i]; c.Waiting {
			maxLevel = max(maxLevel, c.Level)
		}
	}
	weights := make([]float64, len(in.Customers))
	for i := range in.Customers {
		c := &in.Customers[i]
		weights[i] = c.Weight
		if c.Waiting && in.CatchUpLag > 0 {
			weights[i] *= min(1+(maxLevel-c.Level)/in.CatchUpLag, maxBoost)
		}
	}
	return weights
}

// round rounds exact parts to whole ones whose sum is total, by largest remainder; ties go to the
// lower index.
func round(exact []float64, total int) []int {
	whole := make([]int, len(exact))
	order := make([]int, len(exact))
	for i, x := range exact {
		whole[i] = int(x)
		total -= whole[i]
		order[i] = i
	}
	rest := func(i int) float64 { return exact[i] - float64(whole[i]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rest(b), rest(a)) })
	for _, i := range order[:min(max(total, 0), len(order))] {
		whole[i]++
	}
	return whole
}

// Target is a target with its slots.
type Target struct {
	Slots      int
	DataCentre string
}

// Assign returns how many of its slots the router self uses at each target. dataCentres are those
// of the routers; want is the slots of each router, whose sum must not exceed the targets' slots.
// Routers use slots of their own data centre first, in turn over its targets, so that every
// router computes the same assignment and no slot is used twice.
func Assign(targets []Target, dataCentres []string, want []int, self int) []int {
	p := assignment{free: make([]int, len(targets)), remaining: slices.Clone(want), own: make([]int, len(targets)), self: self}
	for i := range targets {
		p.free[i] = targets[i].Slots
	}
	byCentre := make(map[string][]int)
	var all []int
	for i := range targets {
		byCentre[targets[i].DataCentre] = append(byCentre[targets[i].DataCentre], i)
		all = append(all, i)
	}
	cursors := make(map[string]*int)
	for r, dc := range dataCentres {
		if cursors[dc] == nil {
			cursors[dc] = new(int)
		}
		p.take(r, byCentre[dc], cursors[dc])
	}
	rest := 0
	for r := range dataCentres {
		p.take(r, all, &rest)
	}
	return p.own
}

// assignment is the state of Assign.
type assignment struct {
	free      []int
	remaining []int
	own       []int
	self      int
}

// take gives router r slots of the candidates in turn, beginning at cursor.
func (p *assignment) take(r int, candidates []int, cursor *int) {
	full := 0
	for p.remaining[r] > 0 && full < len(candidates) {
		t := candidates[*cursor%len(candidates)]
		*cursor++
		if p.free[t] == 0 {
			full++
			continue
		}
		full = 0
		p.free[t]--
		p.remaining[r]--
		if r == p.self {
			p.own[t]++
		}
	}
}
