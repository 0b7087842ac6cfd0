package place

import "slices"

// liftVersions lifts the bound on versions that no target fulfils which takes requests.
//
// The load that it answers: targets of one version crash, or have not started, while a
// service moves between two. Its requests are served by the other one, unless that was rolled
// back.
func (p *Placer) liftVersions(s *service, r *Request) {
	if r.Versions == (Versions{}) || r.Versions.Strict {
		return
	}
	if !slices.ContainsFunc(s.targets, func(t *target) bool { return r.Versions.allow(t.Version) && !p.leaves(t) }) {
		r.Versions = Versions{}
	}
}
