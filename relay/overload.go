package relay

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// overload decides whether this router has been overloaded for so long that the balancer should
// send new callers to other routers. Refusals alone cannot relieve a host whose link is
// saturated: the bytes of a request have arrived before it can be refused.
type overload struct {
	clock clockwork.Clock
	// refused is the weighted mean share of refused streams.
	refused float64
	// since is when the overload began, calmSince when it last ended; zero if it has not.
	since, calmSince time.Time
	// activeSince is when it was first reported, nil while it is not.
	activeSince atomic.Pointer[time.Time]
}

const (
	// overloadShare is the mean share of refused streams from which on a router is overloaded:
	// other routers are usually idle and would serve these streams. refusedWeight is the weight of
	// one interval in that mean, because a flood has intervals with few refusals.
	overloadShare = 0.25
	refusedWeight = 0.5
	// overloadDelay is how long a router has to be overloaded before it reports this,
	// recoveryDelay how long it has to be without overload before it accepts callers again. The
	// balancer checks each second and then sends a complete flood to the next host; the longer
	// this router stays out, the more hosts share the flood, as callers keep the connections on
	// which they are served.
	overloadDelay = 200 * time.Millisecond
	recoveryDelay = 8 * time.Second
)

// update takes the share of streams that were refused since the last call, and reports whether the
// state changed.
func (s *overload) update(refused float64) (changed bool) {
	now := s.clock.Now()
	s.refused += refusedWeight * (refused - s.refused)
	if s.refused >= overloadShare {
		s.calmSince = time.Time{}
		if s.since.IsZero() {
			s.since = now
		}
		return now.Sub(s.since) >= overloadDelay && s.activeSince.CompareAndSwap(nil, &now)
	}
	s.since = time.Time{}
	if s.calmSince.IsZero() {
		s.calmSince = now
	}
	return now.Sub(s.calmSince) >= recoveryDelay && s.activeSince.Swap(nil) != nil
}

// active reports whether this router reports that it is overloaded.
func (s *overload) active() bool { return s.activeSince.Load() != nil }

// unnoticed returns how much longer the balancer may send callers here, if it notices within a
// delay that a router is not ready.
func (s *overload) unnoticed(delay time.Duration) time.Duration {
	since := s.activeSince.Load()
	if since == nil {
		return 0
	}
	return delay - s.clock.Since(*since)
}

// Overloaded reports whether new callers should go to other routers.
func (s *Server) Overloaded() bool { return s.overload.active() }
