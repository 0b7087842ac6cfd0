package place

import "slices"

// hasTargetFor reports whether a service has a target in a region in which a request may run.
// Without one the request is refused for a separate reason: no target that recovers in another
// region can serve it.
func (s *service) hasTargetFor(r *Request) bool {
	if r.Regions == nil {
		return true
	}
	return slices.ContainsFunc(s.targets, func(t *target) bool { return r.allows(t.region) })
}
