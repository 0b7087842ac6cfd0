package quarantine

import "time"

// recentSet holds the keys that were added lately. Keys are dropped between half a period and a period
// after they were added last; those beyond the limit are not kept.
type recentSet[K comparable] struct {
	period time.Duration
	// limit bounds the keys of half a period.
	limit             int
	current, previous map[K]struct{}
	rotated           time.Time
}

func newRecentSet[K comparable](period time.Duration, limit int, now time.Time) recentSet[K] {
	return recentSet[K]{period: period, limit: limit, current: make(map[K]struct{}), rotated: now}
}

func (r *recentSet[K]) add(key K, now time.Time) {
	r.rotate(now)
	if len(r.current) < r.limit {
		r.current[key] = struct{}{}
	}
}

func (r *recentSet[K]) contains(key K, now time.Time) bool {
	r.rotate(now)
	_, lately := r.current[key]
	_, before := r.previous[key]
	return lately || before
}

func (r *recentSet[K]) rotate(now time.Time) {
	since := now.Sub(r.rotated)
	if since < r.period/2 {
		return
	}
	r.previous, r.current, r.rotated = r.current, make(map[K]struct{}), now
	if since >= r.period {
		r.previous = nil
	}
}
