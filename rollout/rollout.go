// Package rollout shifts the traffic of a service to a new version of its targets in steps, and
// evaluates the version by the outcomes of its requests.
//
// An order names the version and the maximum duration of the rollout. The share of requests that
// the new version gets depends only on the time since the order, so that all routers agree without
// messages. It is small for most of the time, while the outcomes are compared with those of the
// old version, route by route; then it grows in steps; then all requests go to the new version, so
// that requests at the old targets can end before these are stopped. Over the complete rollout, a
// version that turns bad in the small steps or within a second after them gets less than the
// configured share of the requests. Every router evaluates the counts of all routers that it
// receives counts from. A version that one of them finds bad gets no more requests from any; one
// with too few requests for an evaluation keeps the first, small share, even when the deadline is
// near.
//
// The states of an order are running, complete and rolled back; the last two are final. The caller
// decides which router writes them, with a conditional write, so that one of two different states
// wins; a router that has received either keeps it.
//
// The package has no I/O. A Set is safe for concurrent use.
//
// # Usage
//
//	s := rollout.New(rollout.Options{Clock: clock, ExposeShare: 0.1})
//	s.Put(order)                                // as read from the store
//	c := s.Choose(service, rand.Float64())      // for each request
//	s.Record(service, route, version, outcome)  // for each finished request
//	counts := s.Counts(nil)                     // to send to other routers
//	s.Receive(router, counts)
//	for _, e := range s.Evaluate() { ... }      // states to be written
//	s.SetState(service, version, state)         // as read from the store
package rollout

import (
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"zinccove.example/zinccove/revision"
)

// State is the progress of an order.
type State string

// The states of orders.
const (
	Running    State = "running"
	Complete   State = "complete"
	RolledBack State = "rolled_back"
)

// Final reports whether a state never changes.
func (s State) Final() bool { return s == Complete || s == RolledBack }

// Order requests the rollout of a version of a service.
type Order struct {
	Service string
	Version string
	// Duration is the time within which the rollout has to be complete or rolled back.
	Duration time.Duration
	// Revision is the revision at which the order was written, At the time.
	Revision revision.Revision
	At       time.Time
}

// step is the share of requests that applies from a fraction of the duration on.
type step struct{ from, share float64 }

// steps holds shares relative to ExposeShare. Before all requests go to the new version, it gets
// less than six tenths of that share; the rest is reserved for requests that it gets until it is
// found bad. A quarter of the duration is left for the requests running at the old targets.
var steps = []step{{0, 0.2}, {0.55, 1}, {0.65, 3}, {0.71, 6}}

const (
	// fullFrom is the fraction of the duration after which all requests go to the new version,
	// deadlineMargin the time reserved at its end for writing the state and notifying routers.
	fullFrom       = 0.74
	deadlineMargin = 300 * time.Millisecond
	// minRequests is the number of finished requests that a version needs before it gets more than
	// the first share.
	minRequests = 20
)

// Outcome is how one request ended at a target.
type Outcome struct {
	// Failed means that the target failed.
	Failed bool
	// Duration is how long the response took, Size a measure of its content, such as the number of
	// events plus one; the duration of a route's responses is about proportional to their size.
	Duration time.Duration
	Size     float64
}

// Choice restricts the targets of a service that a request may be sent to.
type Choice struct {
	// Only is the version that the request has to be sent to, Exclude the version that it must
	// not.
	Only, Exclude string
	// Strict means that there is no fallback to other versions: the excluded one was rolled back.
	Strict bool
}

// Tally counts the finished requests of a route at one version.
type Tally struct {
	Requests, Failures, Slow int
}

func (t *Tally) add(o Tally) {
	t.Requests += o.Requests
	t.Failures += o.Failures
	t.Slow += o.Slow
}

// bad returns the number of outcomes that count against the version.
func (t *Tally) bad() int { return t.Failures + t.Slow }

// Key identifies a tally.
type Key struct {
	Route string
	// New means that the tally is of the new version.
	New bool
}

// Counts holds the tallies of an order at one router, by route and version.
type Counts struct {
	Service  string
	Version  string
	Revision revision.Revision
	Tallies  map[Key]Tally
	// OldRunning is the number of requests running at targets of the old version.
	OldRunning int
	// State is the state of the order that the router knows.
	State State
}

// Options configure a Set. All are required.
type Options struct {
	Clock clockwork.Clock
	// ExposeShare is the maximum share of all requests that a bad version may get.
	ExposeShare float64
}

// Set holds the orders of all services.
type Set struct {
	options Options

	mu sync.Mutex
	// active holds the orders by service.
	active map[string]*activeOrder
}

// activeOrder is an order and what is known of its progress.
type activeOrder struct {
	order Order
	state State
	// settled is when the state became final.
	settled time.Time
	own     Counts
	// received holds the counts of other routers.
	received map[string]Counts
	// baselines holds the old version's duration per size of a response, by route.
	baselines map[string]*mean
	// running counts this router's requests at the old version.
	running int
}

// mean is a moving average.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(x float64) {
	m.n++
	m.value += (x - m.value) / float64(min(m.n, meanWindow))
}

// meanWindow is the number of outcomes over which the old version's duration is averaged.
const meanWindow = 50

// New returns a set without orders.
func New(o Options) *Set { return &Set{options: o, active: make(map[string]*activeOrder)} }

// Put adds an order. One that is not newer than the known one has no effect.
func (s *Set) Put(o Order) (isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.active[o.Service]; known != nil && !known.order.Revision.Before(o.Revision) {
		return false
	}
	s.active[o.Service] = &activeOrder{
		order: o, state: Running, received: make(map[string]Counts), baselines: make(map[string]*mean),
		own: Counts{Service: o.Service, Version: o.Version, Revision: o.Revision, Tallies: make(map[Key]Tally)},
	}
	return true
}

// Drop removes the order of a service, which operators withdrew.
func (s *Set) Drop(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, service)
}

// Choose returns where a request of a service may be sent. Draw is a random number from 0 to 1.
func (s *Set) Choose(service string, draw float64) Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.active[service]
	switch {
	case m == nil, m.state == Complete && s.options.Clock.Since(m.settled) >= completeTTL:
		return Choice{}
	case m.state == Complete:
		return Choice{Only: m.order.Version}
	case m.state == RolledBack:
		return Choice{Exclude: m.order.Version, Strict: true}
	case draw < s.share(m):
		return Choice{Only: m.order.Version}
	}
	return Choice{Exclude: m.order.Version}
}

// completeTTL is how long requests are restricted to the new version after completion: the old
// targets are stopped immediately, but their entries remain for some time.
const completeTTL = 30 * time.Second

// share returns the share of the requests that the new version gets now.
func (s *Set) share(m *activeOrder) float64 {
	elapsed := s.options.Clock.Since(m.order.At).Seconds() / m.order.Duration.Seconds()
	first := steps[0].share * s.options.ExposeShare
	if elapsed < 0 || m.sum(true).Requests < minRequests {
		return first
	}
	if elapsed >= fullFrom {
		return 1
	}
	share := first
	for _, st := range steps {
		if elapsed >= st.from {
			share = min(st.share*s.options.ExposeShare, 1)
		}
	}
	return share
}

// Begin records that a request began at a target of a version; the returned function ends it.
func (s *Set) Begin(service, version string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.active[service]
	if m == nil || version == m.order.Version {
		return func() {}
	}
	m.running++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		m.running--
	}
}

// slowFactor is how many times the baseline duration for its size a response may take before it
// counts as slow.
const slowFactor = 3

// Record records the outcome of a request at a target of some version. It reports whether the new
// version has bad outcomes, so that other routers should be notified soon.
func (s *Set) Record(service, route, version string, a Outcome) (bad bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.active[service]
	if m == nil || m.state.Final() {
		return false
	}
	key := Key{Route: route, New: version == m.order.Version}
	baseline := m.baselines[route]
	if baseline == nil {
		baseline = new(mean)
		m.baselines[route] = baseline
	}
	pace := a.Duration.Seconds() / max(a.Size, 1)
	t := m.own.Tallies[key]
	t.Requests++
	switch {
	case a.Failed:
		t.Failures++
	case baseline.n >= minBaseline && pace > slowFactor*baseline.value:
		t.Slow++
	case !key.New:
		baseline.add(pace)
	}
	m.own.Tallies[key] = t
	return key.New && t.bad() > 0
}

// minBaseline is the number of outcomes of the old version that the baseline duration requires.
const minBaseline = 5

// Counts returns this router's counts of all orders, including those received from routers that
// include selects; nil selects none.
func (s *Set) Counts(include func(from string) bool) []Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Counts
	for _, m := range s.active {
		c := m.own
		c.Tallies = maps.Clone(m.own.Tallies)
		c.OldRunning, c.State = m.running, m.state
		for from, h := range m.received {
			if include != nil && include(from) {
				addTallies(c.Tallies, h.Tallies)
				c.OldRunning += h.OldRunning
			}
		}
		list = append(list, c)
	}
	return list
}

// Receive stores the counts of an order at another router, or a group of routers. A final state is
// adopted immediately.
func (s *Set) Receive(from string, c Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.active[c.Service]
	if m == nil || m.order.Revision != c.Revision {
		return
	}
	m.received[from] = c
	if !m.state.Final() {
		s.settle(m, c.State)
	}
}

// SetState adopts the state in the store, even if it contradicts this router's evaluation: the old
// targets are stopped based on it.
func (s *Set) SetState(service, version string, state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.active[service]; m != nil && m.order.Version == version {
		s.settle(m, state)
	}
}

// Active reports whether there are orders.
func (s *Set) Active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active) > 0
}

// settle adopts a state if it is final.
func (s *Set) settle(m *activeOrder, state State) {
	if state.Final() && m.state != state {
		m.state, m.settled = state, s.options.Clock.Now()
	}
}
