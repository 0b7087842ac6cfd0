package place

import (
	"slices"
	"time"
)

// grade says how well a target may be used.
type grade int

const (
	// unusable targets leave, have ended, want a backoff, were tried before, are in a data
	// centre that is evacuated or in a region in which the request may not run.
	unusable grade = iota
	// doubtful targets seem cut off, fail much or are cold and bear little; they are
	// used only if there are no others.
	doubtful
	good
)

// leaves reports whether a target must get nothing new.
func (p *Placer) leaves(t *target) bool {
	return t.drains() || t.Unreadable || t.replaced || p.evacuated[t.DataCentre]
}

// drains reports whether the target is leaving, by its entry or by its own word.
func (t *target) drains() bool { return t.Draining || t.noticed != nil && t.noticed.Draining() }

// backsOff reports whether the target asked this router for a backoff that goes on. It is
// then not used even if there is no other: it would only turn requests away, and callers are
// better told at once.
func (t *target) backsOff(now time.Time) bool { return t.noticed != nil && t.noticed.BackingOff(now) }

// declines reports whether the target wants no more requests of this router for now.
func (t *target) declines(now time.Time) bool { return t.backsOff(now) || t.recovers(now) }

// spares reports whether a target is cold and bears little. All routers together
// may send it only a few requests a second; they send none while there are others.
func (s *service) spares(t *target, now time.Time) bool {
	return s.coldRate > 0 && now.Before(t.coldUntil)
}

func (p *Placer) grade(s *service, t *target, r Request, now time.Time) grade {
	switch {
	case !r.allows(t.region) || !r.Versions.allow(t.Version) || p.leaves(t) || t.declines(now) || slices.Contains(r.Tried, t.incarnation):
		return unusable
	case !t.circuit.allows(now) || p.cut[t.DataCentre] || s.grey(t, now) || s.spares(t, now):
		return doubtful
	}
	return good
}
