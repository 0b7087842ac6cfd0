package place

import "slices"

// liftVersions lifts a restriction on versions that no target that accepts requests meets.
// Targets of one version may crash, or may not have started, during the rollout of a service from
// one version to another. Requests are then served by the other version, unless that was rolled
// back. A resumed stream keeps to its own version, whichever the rollout selects for new requests.
func (p *Placer) liftVersions(s *service, r *Request) {
	if r.Versions == (Versions{}) || r.Versions.Strict {
		return
	}
	if r.Resumed {
		r.Versions = Versions{}
		return
	}
	if !slices.ContainsFunc(s.targets, func(t *target) bool { return r.Versions.allow(t.Version) && !p.closedToNew(t) }) {
		r.Versions = Versions{}
	}
}
