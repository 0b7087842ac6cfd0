package place

import "slices"

// hasTargetFor reports whether a service has a target in a region in which a request may
// run. Without one the request is refused under a name of its own: no target that comes
// back elsewhere can serve it.
func (s *service) hasTargetFor(r *Request) bool {
	if r.Regions == nil {
		return true
	}
	return slices.ContainsFunc(s.targets, func(t *target) bool { return r.allows(t.region) })
}
