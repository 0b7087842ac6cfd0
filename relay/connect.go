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
	// connectShare is the share of a request's objective that connecting to targets may take in
	// sum. A caller that is refused within it has time to try another router: with 150 ms for
	// each of three targets, callers learned only after 450 ms that nothing was sent.
	connectShare = 1.0 / 8
	// minConnectTimeout is the shortest timeout for one connection: twice the time of a
	// connection between data centres, with a target that accepts some other connections first.
	minConnectTimeout = 8 * time.Millisecond
)

// connectTimeout returns how long connecting to the next target may take: half of the remaining
// connect budget, so that another target can be tried.
func (f *flight) connectTimeout() time.Duration {
	if f.firstEvent > 0 {
		return link.MaxDialTimeout // the caller already has a part of the response
	}
	left := f.connectBudget()
	history := &f.server.connectHistory
	if max(history.median(), history.distance(f.run.Target.DataCentre)) > slowConnect {
		return min(max(left, minConnectTimeout), link.MaxDialTimeout)
	}
	return min(max(left/2, minConnectTimeout), max(left, minConnectTimeout), link.MaxDialTimeout)
}

// connectBudget returns the remaining time for connecting.
func (f *flight) connectBudget() time.Duration {
	return time.Duration(connectShare*float64(f.route.Objective)) - f.connectSpent
}

// connect returns a connection to the target on which the request may still be sent. If it
// fails, nothing was sent.
func (f *flight) connect() (*link.Conn, *target.Failure) {
	c, err := f.dial()
	if err != nil {
		return nil, f.notSent(err)
	}
	if err := f.prepareSend(c); err != nil {
		f.detach()
		c.Close() //nolint:errcheck // nothing was sent
		return nil, f.notSent(err)
	}
	return c, nil
}

// notSent returns the failure of an attempt that sent nothing.
func (f *flight) notSent(err error) *target.Failure { return f.fail(target.NotSent, 0, err, "connect") }

// dial takes an idle connection from the pool or opens a new one.
func (f *flight) dial() (*link.Conn, error) {
	s, incarnation := f.server, f.run.Incarnation()
	freshness := link.ShortIdle
	if f.route.Retryable() {
		freshness = link.LongIdle
	}
	timeout := f.connectTimeout()
	began := s.options.Clock.Now()
	c, err := s.options.Links.Get(incarnation, f.run.Target.Address, freshness, timeout)
	took := s.options.Clock.Since(began)
	f.connectSpent += min(took, timeout)
	if err == nil && c.Reused {
		return c, nil
	}
	s.connectHistory.record(f.run.Target.DataCentre, incarnation, took, err == nil)
	if err != nil && s.connectHistory.impaired() {
		// Most connections are slow or fail, whatever the target. The cause is this router, so
		// the attempt is no evidence about the target. A later End has no effect.
		f.run.End(place.NotSent)
	}
	return c, err
}

// prepareSend makes c the connection of the request, unless the request was cancelled, its
// caller closed the connection or the target no longer accepts requests. On a busy host some
// time can pass until there is a connection, and requests may lie unread before that: in a
// flood of 590 requests per second some reached targets 1.1 s after their callers had closed
// the connection.
func (f *flight) prepareSend(c *link.Conn) error {
	if !f.attach(c) {
		return errInterrupted
	}
	if callerClosed(f) {
		f.interrupt(causeCallerClosed)
		f.run.End(place.NotSent)
		return errCallerClosed
	}
	if f.run.Unavailable() {
		// A target that accepts no requests has not failed. The End in attempt has no effect
		// after this one.
		f.run.End(place.NotSent)
		return errDeclined
	}
	f.markDispatched()
	return nil
}

// connectHistory holds the latest new connections to targets. The median of what they took beyond
// the distance of their data centres shows the delay of this router itself: a host without
// processor time or with a saturated link connects slowly to all targets.
type connectHistory struct {
	clock clockwork.Clock

	mu     sync.Mutex
	latest [connectSamples]connectResult
	next   int
	// distances holds the shortest connections by data centre.
	distances map[string]*minimum
}

func newConnectHistory(clock clockwork.Clock) connectHistory {
	return connectHistory{clock: clock, distances: make(map[string]*minimum)}
}

type connectResult struct {
	at     time.Time
	target string
	// delay is what the connection took beyond the distance of the target.
	delay time.Duration
}

// minimum is the shortest of the times recorded in the current and the previous distanceWindow.
type minimum struct {
	current, previous time.Duration
	since             time.Time
}

// record adds a time.
func (m *minimum) record(d time.Duration, now time.Time) {
	switch age := now.Sub(m.since); {
	case age >= 2*distanceWindow:
		m.current, m.previous, m.since = d, d, now
	case age >= distanceWindow:
		m.current, m.previous, m.since = d, m.current, now
	default:
		m.current = min(m.current, d)
	}
}

func (m *minimum) value() time.Duration { return min(m.current, m.previous) }

const (
	// connectSamples is the number of connections in the history: enough for a median that four
	// failed targets do not change.
	connectSamples = 9
	// connectSampleTTL is how long a connection counts: with one second, a host that received
	// 590 requests per second refused all of them for a second and then accepted all.
	connectSampleTTL = 300 * time.Millisecond
	// minConnectSamples is the number of connections below which there is no median.
	minConnectSamples = 5
	// distanceWindow is the time after which a shorter connection to a data centre is forgotten, as
	// the path to it may change. Even an overloaded host connects fast once in a while.
	distanceWindow = time.Minute
	// normalConnect is the longest median at which a host is not overloaded: a small host that
	// accepts and refuses requests at its full capacity needs 20 to 40 ms for a connection,
	// which callers do not notice.
	normalConnect = 45 * time.Millisecond
	// saturatedConnect is the median from which on hardly any stream is admitted. A connection
	// and the first event that follows it pass the same host some four times, which then takes
	// more than half of the shortest objective of streams.
	saturatedConnect = 90 * time.Millisecond
	// slowConnect is the median, or the distance of the target, from which on the first connection
	// gets the complete connect budget, because its target is not the cause of the delay.
	slowConnect = 15 * time.Millisecond
)

// record adds a new connection to a target of a data centre, or a failure to connect.
func (c *connectHistory) record(dataCentre, target string, took time.Duration, connected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if connected {
		c.recordDistance(dataCentre, took, now)
	}
	c.latest[c.next] = connectResult{at: now, target: target, delay: max(took-c.shortest(dataCentre), 0)}
	c.next = (c.next + 1) % connectSamples
}

func (c *connectHistory) recordDistance(dataCentre string, took time.Duration, now time.Time) {
	m := c.distances[dataCentre]
	if m == nil {
		m = new(minimum)
		c.distances[dataCentre] = m
	}
	m.record(took, now)
}

// distance returns the shortest time that a connection to a target of a data centre took lately; 0
// if there was none.
func (c *connectHistory) distance(dataCentre string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shortest(dataCentre)
}

// shortest is distance while c.mu is held.
func (c *connectHistory) shortest(dataCentre string) time.Duration {
	if m := c.distances[dataCentre]; m != nil {
		return m.value()
	}
	return 0
}

// median returns the median delay of the latest connections, counting each target once; 0 if there
// are too few.
func (c *connectHistory) median() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	recent := make([]connectResult, 0, connectSamples)
	for _, r := range c.latest {
		if r.target != "" && now.Sub(r.at) < connectSampleTTL {
			recent = append(recent, r)
		}
	}
	slices.SortFunc(recent, func(a, b connectResult) int {
		return cmp.Or(cmp.Compare(a.target, b.target), cmp.Compare(a.delay, b.delay))
	})
	recent = slices.CompactFunc(recent, func(a, b connectResult) bool { return a.target == b.target })
	if len(recent) < minConnectSamples {
		return 0
	}
	slices.SortFunc(recent, func(a, b connectResult) int { return cmp.Compare(a.delay, b.delay) })
	return recent[len(recent)/2].delay
}

// impaired reports whether connections to most targets are slow.
func (c *connectHistory) impaired() bool { return c.median() > normalConnect }

// excess returns the share of streams, 0 to 1, that this router cannot serve in time, estimated
// from the duration of connecting.
func (c *connectHistory) excess() float64 { return excess(c.median(), normalConnect, saturatedConnect) }

// excess returns the position of d between low (0) and high (1).
func excess(d, low, high time.Duration) float64 {
	return min(max((d-low).Seconds()/(high-low).Seconds(), 0), 1)
}
