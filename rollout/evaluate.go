package rollout

import (
	"maps"
	"math"
	"time"
)

func addTallies(sum, more map[Key]Tally) {
	for key, t := range more {
		all := sum[key]
		all.add(t)
		sum[key] = all
	}
}

// sum returns the tally of a version over all routers and routes.
func (m *activeOrder) sum(isNew bool) Tally {
	var sum Tally
	for key, t := range m.tallies() {
		if key.New == isNew {
			sum.add(t)
		}
	}
	return sum
}

// tallies sums up the tallies of all routers.
func (m *activeOrder) tallies() map[Key]Tally {
	sum := maps.Clone(m.own.Tallies)
	for _, c := range m.received {
		addTallies(sum, c.Tallies)
	}
	return sum
}

const (
	// minBad is the minimum number of bad outcomes for rejecting a version: fewer may be caused by
	// the requests themselves. From it on, a ratio of bad outcomes is too high if it exceeds that
	// of the old version both by badExcess and by the factor badRatio.
	minBad    = 5
	badExcess = 0.08
	badRatio  = 2
	// minDeviations is by how much the number of bad outcomes must exceed the number expected from
	// the old version's ratio, in square roots of the expected number.
	minDeviations = 3
)

// isWorse reports whether a version with a tally is worse than another one.
func isWorse(old, candidate Tally) bool {
	bad := float64(candidate.bad())
	baseline := (float64(old.bad()) + 1) / (float64(old.Requests) + 50)
	ratio := bad / float64(max(candidate.Requests, 1))
	expected := baseline * float64(candidate.Requests)
	return candidate.bad() >= minBad && ratio > badRatio*baseline && ratio > baseline+badExcess && bad > expected+minDeviations*math.Sqrt(max(expected, 1))
}

// isBad reports whether the new version is worse on one route, or on all routes together.
func (m *activeOrder) isBad() bool {
	sums := m.tallies()
	var old, candidate Tally
	for key, t := range sums {
		if !key.New {
			old.add(t)
			continue
		}
		candidate.add(t)
		if isWorse(sums[Key{Route: key.Route}], t) {
			return true
		}
	}
	return isWorse(old, candidate)
}

// Evaluation is the state of an order, to be written to the store.
type Evaluation struct {
	Order Order
	State State
	// Old and New are the tallies that it is based on.
	Old, New Tally
	// OldRunning is the number of requests still running at the old version.
	OldRunning int
}

// Evaluate returns the state of each order as this router evaluates it now. A version that is
// found bad gets no more requests from this router.
func (s *Set) Evaluate() []Evaluation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Evaluation
	for _, m := range s.active {
		if m.state == Running && m.isBad() {
			s.settle(m, RolledBack)
		}
		v := Evaluation{Order: m.order, State: m.state, Old: m.sum(false), New: m.sum(true), OldRunning: m.oldRunning()}
		if m.state == Running && s.isDone(m, v) {
			v.State = Complete
		}
		list = append(list, v)
	}
	return list
}

func (m *activeOrder) oldRunning() int {
	running := m.running
	for _, c := range m.received {
		running += c.OldRunning
	}
	return running
}

// isDone reports whether the old targets are no longer needed: all requests go to the new ones,
// and those at the old ones ended or have no more time.
func (s *Set) isDone(m *activeOrder, v Evaluation) bool {
	if s.share(m) < 1 {
		return false
	}
	since := s.options.Clock.Since(m.order.At)
	notified := since >= time.Duration(fullFrom*float64(m.order.Duration))+notifyDelay
	return notified && v.OldRunning <= 0 || since >= m.order.Duration-deadlineMargin
}

// notifyDelay is the time within which all routers stop sending requests to the old version, and
// have notified the others of those still running there.
const notifyDelay = time.Second
