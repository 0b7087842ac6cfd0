package route

import "slices"

// AllowedRegions returns the regions in which requests of a customer on a route may run: those
// that both allow. Nil allows all; an empty list allows none. The customer is nil for routes that
// need none.
func AllowedRegions(r *Route, c *Customer) []string {
	switch {
	case c == nil || c.Regions == nil:
		return r.Regions
	case r.Regions == nil:
		return c.Regions
	}
	both := make([]string, 0, len(r.Regions))
	for _, region := range r.Regions {
		if slices.Contains(c.Regions, region) {
			both = append(both, region)
		}
	}
	return both
}

// UnknownRegions returns the regions of routes and customers that are not among the known ones,
// sorted.
func (t *Table) UnknownRegions(known []string) []string {
	var unknown []string
	collect := func(regions []string) {
		for _, region := range regions {
			if !slices.Contains(known, region) {
				unknown = append(unknown, region)
			}
		}
	}
	for _, r := range t.Routes {
		collect(r.Regions)
	}
	for i := range t.Customers {
		collect(t.Customers[i].Regions)
	}
	slices.Sort(unknown)
	return slices.Compact(unknown)
}
