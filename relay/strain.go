package relay

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// strain tells whether this router has been in trouble for a while, so that the
// balancer had better send new callers to others. Refusals alone cannot help a host
// whose link is full: the bytes of a request are there before it can be refused.
type strain struct {
	clock clockwork.Clock
	// since is when the trouble began, calm when it was last over; zero if it never was.
	since, calm time.Time
	out         atomic.Bool
}

const (
	// strainedPart is the part of streams that is refused from which on a router is in
	// trouble.
	strainedPart = 0.5
	// strainedFor is how long it has to be in trouble before it says so, calmFor how long
	// it has to be well before it takes callers again. The balancer looks each second and
	// sends all of a flood to the next host then; the longer this one stays away, the more
	// hosts share it, as callers keep the connections on which they are served.
	strainedFor = 500 * time.Millisecond
	calmFor     = 8 * time.Second
)

// note takes the part of streams that is refused now, and reports whether the state
// changed.
func (s *strain) note(part float64) (changed bool) {
	now := s.clock.Now()
	if part >= strainedPart {
		s.calm = time.Time{}
		if s.since.IsZero() {
			s.since = now
		}
		return now.Sub(s.since) >= strainedFor && s.out.CompareAndSwap(false, true)
	}
	s.since = time.Time{}
	if s.calm.IsZero() {
		s.calm = now
	}
	return now.Sub(s.calm) >= calmFor && s.out.CompareAndSwap(true, false)
}

// Overloaded reports whether new callers had better go to other routers.
func (s *Server) Overloaded() bool { return s.strain.out.Load() }
