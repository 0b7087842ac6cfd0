package place

import (
	"slices"
	"time"
)

// grade ranks how suitable a target is for a request.
type grade int

const (
	// unusable targets are draining, have ended, asked for a backoff, were tried before, are warming
	// up and get no request of this router now, or are in an evacuated data centre or in a region in
	// which the request may not run.
	unusable grade = iota
	// degraded targets seem to be cut off, fail often, or are warming up and can serve only a low
	// rate. They are used only if there are no others.
	degraded
	good
)

// closedToNew reports whether a target must get no new requests.
func (p *Placer) closedToNew(t *target) bool {
	return t.draining() || t.Unreadable || t.replaced || p.evacuated[t.DataCentre]
}

// draining reports whether the target is draining, according to its entry or its own
// announcement.
func (t *target) draining() bool { return t.Draining || t.announced != nil && t.announced.Draining() }

// inBackoff reports whether the target asked this router for a backoff that has not ended. The
// target is then not used even if there is no other: it would refuse the requests, and an
// immediate refusal by the router is better for callers.
func (t *target) inBackoff(now time.Time) bool {
	return t.announced != nil && t.announced.BackingOff(now)
}

// unavailable reports whether this router must send the target no further requests for now.
func (t *target) unavailable(now time.Time) bool { return t.inBackoff(now) || t.recovering(now) }

// warmingUp reports whether a target is warming up and can serve only a low rate. It gets no requests
// while there are other targets.
func (s *service) warmingUp(t *target, now time.Time) bool {
	return s.warmUpRate > 0 && now.Before(t.warmUpUntil)
}

func (p *Placer) grade(s *service, t *target, r Request, now time.Time) grade {
	switch {
	case !r.allows(t.region) || !r.allowsVersion(t.Version) || p.closedToNew(t) || t.unavailable(now) || slices.Contains(r.Tried, t.incarnation):
		return unusable
	case s.warmingUp(t, now) && !p.admitsWarmingUp(s, t, now):
		return unusable
	case !t.circuit.allows(now) || p.cutOff[t.DataCentre] || s.grayFailing(t, now) || s.warmingUp(t, now):
		return degraded
	}
	return good
}
