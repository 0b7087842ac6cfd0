// Package rollout moves the traffic of a service to a new version of its targets by steps, and
// judges the version by its answers.
//
// An order names the version and how long the move may take. The share of requests that the
// new version gets follows from the time since the order alone, so that all routers agree
// without a message: a small one for most of the time, while its answers are compared with
// those of the old version, route by route; then steps; then all, so that what runs at the
// old targets can end before they are stopped. Summed up over the order, a version that turns
// bad in the small steps or within a second after them gets less than the stated part of the
// requests. Every router judges by the answers of all that it hears of. A version that is
// found bad by one of them gets nothing more from any; one that has shown too little is given
// no more than the small share, however late it is.
//
// The states of an order are running, complete and rolled back; the last two never change.
// Who writes them is for the caller, by a condition of the store, so that one of two that
// differ wins; a router that was told of either keeps to it.
//
// The package has no I/O. A Set is safe for concurrent use.
//
// # Usage
//
//	s := rollout.New(rollout.Options{Clock: clock, ExposeShare: 0.1})
//	s.Put(order)                                // as operators write it
//	c := s.Choose(service, rand.Float64())      // for each request
//	s.Note(service, route, version, answer)     // for each answer
//	counts := s.Counts(nil)                     // to tell others
//	s.Hear(router, counts)
//	for _, v := range s.Verdicts() { ... }      // states to be written
//	s.Overrule(service, version, state)         // as it stands in the store
package rollout

import (
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"zinccove.example/zinccove/revision"
)

// State is how far an order is.
type State string

// The states of orders.
const (
	Running    State = "running"
	Complete   State = "complete"
	RolledBack State = "rolled_back"
)

// Final reports whether a state never changes.
func (s State) Final() bool { return s == Complete || s == RolledBack }

// Order asks to move the traffic of a service to targets of a version.
type Order struct {
	Service string
	Version string
	// Duration is the time within which the move is to be complete, or taken back.
	Duration time.Duration
	// Revision is that at which the order was written, At when that was.
	Revision revision.Revision
	At       time.Time
}

// step is a share of requests from a part of the duration on.
type step struct{ from, share float64 }

// steps are shares of the stated part. Before all requests go there, the new version gets less
// than six tenths of that part; the rest is for what it gets until it is found bad. A quarter
// of the time is left to what runs at the old targets.
var steps = []step{{0, 0.2}, {0.55, 1}, {0.65, 3}, {0.71, 6}}

const (
	// fullFrom is the part of the duration from which on all requests go to the new version,
	// lateMargin what is left at its end for the state to be written and told.
	fullFrom   = 0.74
	lateMargin = 300 * time.Millisecond
	// leastAnswers is the number of answers that a version has to show before it is given
	// more than the first share.
	leastAnswers = 20
)

// Outcome is how one request ended at a target.
type Outcome struct {
	// Failed tells that the target failed.
	Failed bool
	// Duration is the time of the answer, Size what it consisted of, such as events and one more;
	// answers of a route take about as long for their size.
	Duration time.Duration
	Size     float64
}

// Choice is which targets of a service a request may go to.
type Choice struct {
	// Only is the version that it is to go to; Exclude the version that it must not.
	Only, Exclude string
	// Strict tells that nothing else will do: the version was rolled back.
	Strict bool
}

// Tally counts the answers of a route by one version.
type Tally struct {
	Requests, Failures, Slow int
}

func (t *Tally) add(o Tally) {
	t.Requests += o.Requests
	t.Failures += o.Failures
	t.Slow += o.Slow
}

// bad is the number of answers that speak against the version.
func (t *Tally) bad() int { return t.Failures + t.Slow }

// Key names what a tally is of.
type Key struct {
	Route string
	// New tells that it is of the new version.
	New bool
}

// Counts are the answers of an order that one router saw, by route and version.
type Counts struct {
	Service  string
	Version  string
	Revision revision.Revision
	Tallies  map[Key]Tally
	// OldRunning is the number of requests that run at targets of the old version.
	OldRunning int
	// State is what the router knows of the order.
	State State
}

// Options configure a Set. All are required.
type Options struct {
	Clock clockwork.Clock
	// ExposeShare is the part of all requests that a bad version may get.
	ExposeShare float64
}

// Set holds the orders of all services.
type Set struct {
	options Options

	mu sync.Mutex
	// moves are the orders by service.
	moves map[string]*move
}

// move is an order on its way.
type move struct {
	order Order
	state State
	// settled is when the state became one that never changes.
	settled time.Time
	own     Counts
	// heard are the counts of other routers.
	heard map[string]Counts
	// usual is the time for the size of an answer of the old version, by route.
	usual map[string]*mean
	// running counts this router's requests at the old version.
	running int
}

// mean follows a value.
type mean struct {
	value float64
	n     int
}

func (m *mean) learn(x float64) {
	m.n++
	m.value += (x - m.value) / float64(min(m.n, meanOver))
}

// meanOver is the number of answers over which the usual time is averaged.
const meanOver = 50

// New returns a set without orders.
func New(o Options) *Set { return &Set{options: o, moves: make(map[string]*move)} }

// Put takes an order. One that is not newer than the known one changes nothing.
func (s *Set) Put(o Order) (news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.moves[o.Service]; known != nil && !known.order.Revision.Before(o.Revision) {
		return false
	}
	s.moves[o.Service] = &move{
		order: o, state: Running, heard: make(map[string]Counts), usual: make(map[string]*mean),
		own: Counts{Service: o.Service, Version: o.Version, Revision: o.Revision, Tallies: make(map[Key]Tally)},
	}
	return true
}

// Drop forgets the order of a service, which operators took back.
func (s *Set) Drop(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.moves, service)
}

// Choose says where a request of a service may go. Draw is a number from 0 to 1 by chance.
func (s *Set) Choose(service string, draw float64) Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.moves[service]
	switch {
	case m == nil, m.state == Complete && s.options.Clock.Since(m.settled) >= completeFor:
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

// completeFor is how long requests keep to the new version once that is complete: the old
// targets are stopped at once, but their entries stand for some time.
const completeFor = 30 * time.Second

// share is the part of the requests that the new version gets now.
func (s *Set) share(m *move) float64 {
	part := s.options.Clock.Since(m.order.At).Seconds() / m.order.Duration.Seconds()
	first := steps[0].share * s.options.ExposeShare
	if part < 0 || m.sum(true).Requests < leastAnswers {
		return first
	}
	if part >= fullFrom {
		return 1
	}
	share := first
	for _, st := range steps {
		if part >= st.from {
			share = min(st.share*s.options.ExposeShare, 1)
		}
	}
	return share
}

// Begin notes that a request began at a target of a version; the result ends it.
func (s *Set) Begin(service, version string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.moves[service]
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

// slowFactor is how many times longer than usual for its size an answer takes that counts as
// slow.
const slowFactor = 3

// Record takes the answer of a target of some version. It reports whether it speaks against the
// new one, so that others are to be told soon.
func (s *Set) Record(service, route, version string, a Outcome) (bad bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.moves[service]
	if m == nil || m.state.Final() {
		return false
	}
	key := Key{Route: route, New: version == m.order.Version}
	usual := m.usual[route]
	if usual == nil {
		usual = new(mean)
		m.usual[route] = usual
	}
	pace := a.Duration.Seconds() / max(a.Size, 1)
	t := m.own.Tallies[key]
	t.Requests++
	switch {
	case a.Failed:
		t.Failures++
	case usual.n >= leastUsual && pace > slowFactor*usual.value:
		t.Slow++
	case !key.New:
		usual.learn(pace)
	}
	m.own.Tallies[key] = t
	return key.New && t.bad() > 0
}

// leastUsual is the number of answers of the old version from which on its usual time is
// known.
const leastUsual = 5

// Counts returns the answers that this router saw of all orders, and those that others told
// whom with names; nil names none.
func (s *Set) Counts(with func(from string) bool) []Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Counts
	for _, m := range s.moves {
		c := m.own
		c.Tallies = maps.Clone(m.own.Tallies)
		c.OldRunning, c.State = m.running, m.state
		for from, h := range m.heard {
			if with != nil && with(from) {
				addTallies(c.Tallies, h.Tallies)
				c.OldRunning += h.OldRunning
			}
		}
		list = append(list, c)
	}
	return list
}

// Receive takes what another router, or a group of them, saw of an order. A state that never
// changes is believed at once.
func (s *Set) Receive(from string, c Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.moves[c.Service]
	if m == nil || m.order.Revision != c.Revision {
		return
	}
	m.heard[from] = c
	if !m.state.Final() {
		s.settle(m, c.State)
	}
}

// SetState takes the state that stands in the store, also against what was found here: the
// old targets are stopped by it.
func (s *Set) SetState(service, version string, state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.moves[service]; m != nil && m.order.Version == version {
		s.settle(m, state)
	}
}

// Active reports whether there are orders.
func (s *Set) Active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.moves) > 0
}

// settle takes a state that never changes.
func (s *Set) settle(m *move, state State) {
	if state.Final() && m.state != state {
		m.state, m.settled = state, s.options.Clock.Now()
	}
}
