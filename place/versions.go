package place

import (
	"maps"
	"slices"
	"time"
)

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

// RestartHistory records that versions may have come and departed since the last list of targets
// without this router having seen them.
func (p *Placer) RestartHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.targetsSince.IsZero() {
		p.targetsSince = p.clock.Now()
	}
}

// KnowsTargets reports whether targets of all the given ids are listed.
func (p *Placer) KnowsTargets(ids []string) bool {
	if len(ids) == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[string]bool, len(p.targets))
	for _, t := range p.targets {
		known[t.ID] = true
	}
	return !slices.ContainsFunc(ids, func(id string) bool { return !known[id] })
}

// departureTTL is how long departed versions are remembered: longer than any stream lasts, and than
// targets serve on after they departed.
const departureTTL = 10 * time.Minute

// recordDeparture records that a target of a version was removed or changed its version.
func (s *service) recordDeparture(version string, now time.Time) {
	maps.DeleteFunc(s.departedVersions, func(_ string, at time.Time) bool { return now.Sub(at) >= departureTTL })
	s.departedVersions[version] = now
}

// OnlyVersion returns the version of all targets that a service had within a time, however they
// departed. Linger is how long targets serve on after they departed, for routers that do not know
// it. The version is not known if there were several, if no target is left, or if this router does
// not know the targets for that time.
func (p *Placer) OnlyVersion(service string, within, linger time.Duration) (version string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	s := p.services[service]
	if s == nil || len(s.targets) == 0 || p.targetsSince.IsZero() || now.Sub(p.targetsSince) < within {
		return "", false
	}
	version = s.targets[0].Version
	for v, at := range s.departedVersions {
		if v != version && now.Sub(at) < within+linger {
			return "", false
		}
	}
	if version == "" || slices.ContainsFunc(s.targets, func(t *target) bool { return t.Version != version }) {
		return "", false
	}
	return version, true
}
