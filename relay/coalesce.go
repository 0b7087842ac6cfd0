package relay

import "time"

// A router with little processor time left passes the events of a stream on together. Each event
// costs a wake-up, two reads and a write, so that the events of a stream cost more than all else
// about it.
const (
	// coalesceLoad is the share of the processor time in use from which on events are collected:
	// below, a host passes each on at once and still has time left for as much again.
	coalesceLoad = 0.5
	// coalesceShare is the share of the time within which events have to be passed on for which
	// they are collected; the rest is for the way to the caller and for a process that is behind.
	coalesceShare = 0.4
)

// coalesceInterval returns for how long events are collected; 0 passes them on at once.
// Those of requests that another router handed over always are, because that one has little
// processor time left.
func (f *flight) coalesceInterval() time.Duration {
	s := f.server
	if !f.takenOver && s.load() < coalesceLoad {
		return 0
	}
	return time.Duration(coalesceShare * float64(s.options.Limits.PassWithin))
}

// untilTick returns the time until the next multiple of an interval since a common start. The
// streams of a router so read at the same moments, and share their wake-ups.
func untilTick(since, interval time.Duration) time.Duration { return interval - since%interval }

// collect waits until events are to be read again, if this router collects them. The first event
// is passed on at once, and so is what has arrived already.
func (s *stream) collect() {
	f := s.flight
	if s.large || !s.passed || s.link.Reader.Buffered() > 0 {
		return
	}
	interval := f.coalesceInterval()
	if interval <= 0 {
		return
	}
	clock := f.server.options.Clock
	clock.Sleep(untilTick(clock.Since(f.server.started), interval))
}
