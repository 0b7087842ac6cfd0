package dispatch

import (
	"cmp"
	"slices"

	"zinccove.example/zinccove/fair"
	"zinccove.example/zinccove/share"
)

// demandBuilder collects the demand of a pool as the input of package share. Routers
// are ordered by name and customers by number, so that all routers compute the
// same result.
type demandBuilder struct {
	pool      *pool
	routers   map[string]int
	customers map[fair.Customer]*share.Customer
	requests  map[fair.Customer]map[string]int
}

func newDemandBuilder(p *pool) *demandBuilder {
	return &demandBuilder{
		pool:      p,
		routers:   make(map[string]int),
		customers: make(map[fair.Customer]*share.Customer),
		requests:  make(map[fair.Customer]map[string]int),
	}
}

func (s *demandBuilder) add(host string, c fair.Customer, queued, running int) {
	if queued+running == 0 {
		return
	}
	cu := s.customers[c]
	if cu == nil {
		cu = &share.Customer{Weight: float64(s.pool.customer(c).weight), Level: s.pool.queue.Level(c)}
		s.customers[c] = cu
		s.requests[c] = make(map[string]int)
	}
	cu.Waiting = cu.Waiting || queued > 0
	s.requests[c][host] += queued + running
	s.routers[host] = 0
}

func (s *demandBuilder) input() share.Input {
	names := make([]string, 0, len(s.routers))
	for name := range s.routers {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		s.routers[name] = i
	}
	in := share.Input{Slots: s.pool.slots(), Routers: len(names), CatchUpLag: s.pool.options.CatchUpLag}
	numbers := make([]fair.Customer, 0, len(s.customers))
	for c := range s.customers {
		numbers = append(numbers, c)
	}
	slices.Sort(numbers)
	for _, c := range numbers {
		cu := s.customers[c]
		for host, n := range s.requests[c] {
			cu.Demand = append(cu.Demand, share.RouterDemand{Router: s.routers[host], Requests: n})
		}
		slices.SortFunc(cu.Demand, func(a, b share.RouterDemand) int { return cmp.Compare(a.Router, b.Router) })
		in.Customers = append(in.Customers, *cu)
	}
	return in
}

// quotas returns this router's quota at each usable target.
func (s *demandBuilder) quotas(dataCentres map[string]string, slots []int, self int) []int {
	now := s.pool.options.Clock.Now()
	var targets []share.Target
	for _, t := range s.pool.targets {
		if t.usable(now) {
			targets = append(targets, share.Target{Slots: int(t.config.Slots), DataCentre: t.config.DataCentre})
		}
	}
	centres := make([]string, len(s.routers))
	for host, i := range s.routers {
		centres[i] = dataCentres[host]
	}
	centres[self] = s.pool.options.DataCentre
	return share.Assign(targets, centres, slots, self)
}
