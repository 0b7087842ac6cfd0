package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"zinccove.example/zinccove/link"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/target"
)

const (
	// connectPart is the part of a request's objective that connecting to targets may
	// take in sum. A caller that is refused within it has the time for another router:
	// with 150 ms for each of three targets callers were told after 450 ms that
	// nothing was sent.
	connectPart = 1.0 / 8
	// leastConnect is the least time for one connection: twice what one takes between
	// data centres, and a target that takes some others first.
	leastConnect = 8 * time.Millisecond
)

// connectTime is how long connecting to the next target may take: half of what is
// left for connecting, so that another one can be tried.
func (f *flight) connectTime() time.Duration {
	if f.firstEvent > 0 {
		return link.MaxDialTimeout // the caller has a part of the answer already
	}
	left := f.connectLeft()
	if f.server.connects.typical() > slowConnect {
		return min(max(left, leastConnect), link.MaxDialTimeout)
	}
	return min(max(left/2, leastConnect), max(left, leastConnect), link.MaxDialTimeout)
}

// connectLeft is what is left of the time for connecting.
func (f *flight) connectLeft() time.Duration {
	return time.Duration(connectPart*float64(f.route.Objective)) - f.connecting
}

// connect returns a connection to the target on which the request may still be
// sent. Nothing was sent if it fails.
func (f *flight) connect() (*link.Conn, *target.Failure) {
	c, err := f.dial()
	if err != nil {
		return nil, f.notSent(err)
	}
	if err := f.mayBeSent(c); err != nil {
		f.detach()
		c.Close() //nolint:errcheck // nothing was sent
		return nil, f.notSent(err)
	}
	return c, nil
}

// notSent is the failure of an attempt of which nothing was sent.
func (f *flight) notSent(err error) *target.Failure { return f.fail(target.NotSent, 0, err, "connect") }

// dial takes or opens a connection.
func (f *flight) dial() (*link.Conn, error) {
	s, incarnation := f.server, f.run.Incarnation()
	freshness := link.ShortIdle
	if f.route.Retryable() {
		freshness = link.LongIdle
	}
	timeout := f.connectTime()
	began := s.options.Clock.Now()
	c, err := s.options.Links.Get(incarnation, f.run.Target.Address, freshness, timeout)
	took := s.options.Clock.Since(began)
	f.connecting += min(took, timeout)
	if err == nil && c.Reused {
		return c, nil
	}
	s.connects.note(incarnation, took)
	if err != nil && s.connects.troubled() {
		// Most connections are slow or fail, whatever the target: this router is in
		// trouble, so that nothing is learned about the target. A later End has no effect.
		f.run.End(place.NotSent)
	}
	return c, err
}

// mayBeSent makes c the connection of the request, unless the request was ended, its
// caller has gone or the target wants nothing new. On a busy host some time can pass until there
// is a connection, and requests may lie unread before: of a flood of 590 a second some
// reached targets 1.1 s after their callers had left.
func (f *flight) mayBeSent(c *link.Conn) error {
	if !f.attach(c) {
		return errInterrupted
	}
	if gone(f) {
		f.interrupt(callerGone)
		f.run.End(place.NotSent)
		return errCallerLeft
	}
	if f.run.Unavailable() {
		// That it wants nothing is no failure of the target's; the End in attempt has no
		// effect after this one.
		f.run.End(place.NotSent)
		return errDeclined
	}
	f.started()
	return nil
}

// connects are the latest new connections to targets. How long they take at most
// targets is how long this router's own part takes: a host without processor time
// or with a full link connects slowly to all of them.
type connects struct {
	clock clockwork.Clock

	mu     sync.Mutex
	latest [keptConnects]connectResult
	next   int
}

type connectResult struct {
	at     time.Time
	target string
	took   time.Duration
}

const (
	// keptConnects is the number of connections that are looked at: enough for a median
	// that four dead targets do not move.
	keptConnects = 9
	// connectsFor is how long a connection tells of the present: with a second a host
	// that bore 590 requests a second refused all for a second, then took all.
	connectsFor = 300 * time.Millisecond
	// leastConnects is the number of connections below which nothing is said.
	leastConnects = 5
	// usualConnect is the longest time of a connection at which a host is well: a small
	// one that takes and refuses as much as it can needs 20 to 40 ms, and callers do not
	// feel them.
	usualConnect = 45 * time.Millisecond
	// hopelessConnect is the time from which on hardly a stream is taken: a connection and
	// the first event that follows it pass the same host some four times, which is
	// then more than half of the shortest objective of streams.
	hopelessConnect = 90 * time.Millisecond
	// slowConnect is the time from which on connections are so slow that the first one
	// is given all the time for connecting: its target is not to blame.
	slowConnect = 15 * time.Millisecond
)

// note notes a new connection, or one that failed.
func (c *connects) note(target string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest[c.next] = connectResult{at: c.clock.Now(), target: target, took: took}
	c.next = (c.next + 1) % keptConnects
}

// typical is the median time of the latest connections, each target counted once; 0
// if there are few.
func (c *connects) typical() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	recent := make([]connectResult, 0, keptConnects)
	for _, r := range c.latest {
		if r.target != "" && now.Sub(r.at) < connectsFor {
			recent = append(recent, r)
		}
	}
	slices.SortFunc(recent, func(a, b connectResult) int {
		return cmp.Or(cmp.Compare(a.target, b.target), cmp.Compare(a.took, b.took))
	})
	recent = slices.CompactFunc(recent, func(a, b connectResult) bool { return a.target == b.target })
	if len(recent) < leastConnects {
		return 0
	}
	slices.SortFunc(recent, func(a, b connectResult) int { return cmp.Compare(a.took, b.took) })
	return recent[len(recent)/2].took
}

// troubled reports whether connections to most targets are slow.
func (c *connects) troubled() bool { return c.typical() > usualConnect }

// excess is the part of streams that this router cannot take by what connecting
// takes: 0 to 1.
func (c *connects) excess() float64 { return excess(c.typical(), usualConnect, hopelessConnect) }

// excess is where a time lies between one that is usual and one that is hopeless.
func excess(d, usual, hopeless time.Duration) float64 {
	return min(max((d-usual).Seconds()/(hopeless-usual).Seconds(), 0), 1)
}
