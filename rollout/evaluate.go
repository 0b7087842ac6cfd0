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

// sum is the tally of a version over all routers and routes.
func (m *move) sum(ofNew bool) Tally {
	var sum Tally
	for key, t := range m.tallies() {
		if key.New == ofNew {
			sum.add(t)
		}
	}
	return sum
}

// tallies sums up what all routers saw.
func (m *move) tallies() map[Key]Tally {
	sum := maps.Clone(m.own.Tallies)
	for _, c := range m.heard {
		addTallies(sum, c.Tallies)
	}
	return sum
}

const (
	// leastBad is the fewest bad answers that condemn a version: some may be the requests'
	// own. From it on a part of badExcess more than that of the old version is too much, and
	// more than badRatio times as much.
	leastBad  = 5
	badExcess = 0.08
	badRatio  = 2
	// strength is the number of bad answers by which more than the old version's part has to
	// be exceeded, in square roots of what it would be expected to have.
	strength = 3
)

// condemns reports whether a version with a tally is worse than another one.
func condemns(old, fresh Tally) bool {
	bad := float64(fresh.bad())
	usual := (float64(old.bad()) + 1) / (float64(old.Requests) + 50)
	part := bad / float64(max(fresh.Requests, 1))
	expected := usual * float64(fresh.Requests)
	return fresh.bad() >= leastBad && part > badRatio*usual && part > usual+badExcess && bad > expected+strength*math.Sqrt(max(expected, 1))
}

// isBad reports whether the new version is worse on one route, or on all together.
func (m *move) isBad() bool {
	sums := m.tallies()
	var old, fresh Tally
	for key, t := range sums {
		if !key.New {
			old.add(t)
			continue
		}
		fresh.add(t)
		if condemns(sums[Key{Route: key.Route}], t) {
			return true
		}
	}
	return condemns(old, fresh)
}

// Evaluation is a state that is to be written.
type Evaluation struct {
	Order Order
	State State
	// Old and New are the answers that led to it.
	Old, New Tally
	// OldRunning is the number of requests that still run at the old version.
	OldRunning int
}

// Evaluate returns the state of each order as this router judges it now. A version that is
// found bad gets nothing more from this router from now on.
func (s *Set) Evaluate() []Evaluation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Evaluation
	for _, m := range s.moves {
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

func (m *move) oldRunning() int {
	running := m.running
	for _, c := range m.heard {
		running += c.OldRunning
	}
	return running
}

// isDone reports whether the old targets are not needed any more: all requests go to the new
// ones, and those at the old ones ended or have no more time.
func (s *Set) isDone(m *move, v Evaluation) bool {
	if s.share(m) < 1 {
		return false
	}
	since := s.options.Clock.Since(m.order.At)
	told := since >= time.Duration(fullFrom*float64(m.order.Duration))+toldWithin
	return told && v.OldRunning <= 0 || since >= m.order.Duration-lateMargin
}

// toldWithin is the time within which all routers send nothing to the old version any more,
// and have told others what runs there.
const toldWithin = time.Second
