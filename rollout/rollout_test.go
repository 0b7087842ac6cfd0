package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/revision"
)

const (
	duration    = 12 * time.Second
	exposeShare = 0.1
	exposeSlack = 50
	// rollbackWithin is the time after the fiftieth bad outcome after which no request may be sent
	// to the version.
	rollbackWithin = 5 * time.Second
	bound          = 50
	simTick        = 20 * time.Millisecond
)

// version returns the outcome of a request of a route at the new version, given its load as a
// fraction of all requests and the time since the order.
type version func(route int, load float64, since time.Duration) (failed, slow bool)

// simulated is a fleet of routers with a service of two versions, on a fake clock.
type simulated struct {
	clock  *clockwork.FakeClock
	random *rand.Rand
	sets   []*Set
	// notifyInterval is the interval between notifications of a router to all others, failed is a
	// router that no longer sends or evaluates counts.
	notifyInterval time.Duration
	failed         int
	// all and fresh count all requests and those to the new version until the deadline, bad the
	// bad outcomes.
	all, fresh, bad int
	boundAt         time.Time
	late            int
	state           State
	stateAt         time.Duration
	ends            []ending
}

// ending is the scheduled end of a request.
type ending struct {
	at   time.Time
	done func()
}

func newSimulated(seed uint64, routers int) *simulated {
	s := &simulated{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 1)), notifyInterval: 600 * time.Millisecond, failed: -1, state: Running}
	o := Order{Service: "s", Version: "v2", Duration: duration, Revision: revision.Revision{Count: 5}, At: s.clock.Now()}
	for range routers {
		set := New(Options{Clock: s.clock, ExposeShare: exposeShare})
		set.Put(o)
		s.sets = append(s.sets, set)
	}
	return s
}

// run simulates perSecond requests per second until some time after the deadline.
func (s *simulated) run(perSecond int, v version) {
	began := s.clock.Now()
	load := 0.0
	for since := time.Duration(0); since < duration+rollbackWithin; since += simTick {
		s.clock.Advance(simTick)
		sent, fresh := 0, 0
		for range perSecond * int(simTick) / int(time.Second) {
			sent++
			if s.request(v, load, since) {
				fresh++
			}
		}
		load = 0.9*load + 0.1*float64(fresh)/float64(max(sent, 1))
		s.end()
		for i, set := range s.sets {
			if i != s.failed && (since/simTick+time.Duration(i))%(s.notifyInterval/simTick) == 0 {
				s.notify(i, set)
			}
		}
		if since%(100*time.Millisecond) == 0 {
			s.evaluate(began)
		}
	}
}

// request sends one request by a random router and reports whether it went to the new version.
func (s *simulated) request(v version, load float64, since time.Duration) bool {
	i := s.random.IntN(len(s.sets))
	set, route := s.sets[i], s.random.IntN(4)
	c := set.Choose("s", s.random.Float64())
	to := "v1"
	if c.Only != "" || s.state == Complete {
		to = "v2"
	}
	took := time.Duration((50 + 20*float64(route)) * (0.7 + 0.6*s.random.Float64()) * float64(time.Millisecond))
	var failed, slow bool
	if to == "v2" {
		failed, slow = v(route, load, since)
		if slow {
			took *= 5
		}
	} else {
		failed = s.random.Float64() < 0.02
	}
	now := s.clock.Now()
	if since < duration {
		s.all++
	}
	if to == "v2" {
		if since < duration {
			s.fresh++
		}
		if !s.boundAt.IsZero() && now.Sub(s.boundAt) > rollbackWithin {
			s.late++
		}
	}
	ended := set.Begin("s", to)
	s.ends = append(s.ends, ending{now.Add(took), func() {
		ended()
		if (failed || slow) && to == "v2" {
			if s.bad++; s.bad == bound {
				s.boundAt = s.clock.Now()
			}
		}
		if set.Record("s", fmt.Sprint(route), to, Outcome{Failed: failed, Duration: took, Size: 1}) && i != s.failed {
			s.notify(i, set)
		}
	}})
	return to == "v2"
}

// end ends the requests that are due.
func (s *simulated) end() {
	now := s.clock.Now()
	left := s.ends[:0]
	var due []func()
	for _, e := range s.ends {
		if e.at.After(now) {
			left = append(left, e)
		} else {
			due = append(due, e.done)
		}
	}
	s.ends = left
	for _, done := range due {
		done()
	}
}

func (s *simulated) notify(i int, set *Set) {
	for _, c := range set.Counts(nil) {
		for j, other := range s.sets {
			if j != i && j != s.failed {
				other.Receive(fmt.Sprint(i), c)
			}
		}
	}
}

// evaluate writes the routers' evaluations; the first final state that is written is kept.
func (s *simulated) evaluate(began time.Time) {
	for i, set := range s.sets {
		if i == s.failed {
			continue
		}
		for _, v := range set.Evaluate() {
			if v.State.Final() && s.state == Running {
				s.state, s.stateAt = v.State, s.clock.Since(began)
			}
		}
	}
	if s.state.Final() {
		for _, set := range s.sets {
			set.SetState("s", "v2", s.state)
		}
	}
}

// TestBadVersionsAreRolledBackInTime runs each kind of bad version with several seeds: its share
// of the requests stays below the configured one, also if the router that found it bad fails.
func TestBadVersionsAreRolledBackInTime(t *testing.T) {
	half := func(random *rand.Rand) bool { return random.Float64() < 0.4 }
	for name, make := range map[string]func(random *rand.Rand) version{
		"fails at once": func(r *rand.Rand) version {
			return func(int, float64, time.Duration) (bool, bool) { return half(r), false }
		},
		"slow at once": func(r *rand.Rand) version {
			return func(int, float64, time.Duration) (bool, bool) { return false, half(r) }
		},
		"fails later": func(r *rand.Rand) version {
			return func(_ int, _ float64, since time.Duration) (bool, bool) {
				return since > duration*6/10 && half(r), false
			}
		},
		"slow later": func(r *rand.Rand) version {
			return func(_ int, _ float64, since time.Duration) (bool, bool) {
				return false, since > duration*4/10 && half(r)
			}
		},
		"fails under load": func(r *rand.Rand) version {
			return func(_ int, load float64, _ time.Duration) (bool, bool) { return load > 0.05 && half(r), false }
		},
		"slow under load": func(r *rand.Rand) version {
			return func(_ int, load float64, _ time.Duration) (bool, bool) { return false, load > 0.2 && half(r) }
		},
		"fails on one route": func(r *rand.Rand) version {
			return func(route int, _ float64, _ time.Duration) (bool, bool) { return route == 2 && half(r), false }
		},
		"slow on one route": func(r *rand.Rand) version {
			return func(route int, _ float64, _ time.Duration) (bool, bool) { return false, route == 1 && half(r) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				s := newSimulated(seed, 12)
				s.failed = int(seed) - 1
				s.run(1000, make(s.random))
				assert.Equal(t, s.state, RolledBack, "seed %d", seed)
				assert.Assert(t, s.stateAt < duration, "after %v", s.stateAt)
				most := int(exposeShare*float64(s.all)) + exposeSlack
				assert.Assert(t, s.fresh <= most, "seed %d: %d of %d requests, %d at most", seed, s.fresh, s.all, most)
				assert.Equal(t, s.late, 0, "requests after the bound")
			}
		})
	}
}

// TestGoodVersionsCompleteInTime runs good versions that fail as often as the old one.
func TestGoodVersionsCompleteInTime(t *testing.T) {
	for seed := range uint64(3) {
		s := newSimulated(seed, 12)
		s.run(1000, func(int, float64, time.Duration) (bool, bool) { return s.random.Float64() < 0.02, false })
		assert.Equal(t, s.state, Complete, "seed %d", seed)
		assert.Assert(t, s.stateAt < duration, "after %v", s.stateAt)
	}
}

// TestFewRequestsLeadToNoDecision has too few requests to evaluate: the version is neither
// completed nor given more than the first share.
func TestFewRequestsLeadToNoDecision(t *testing.T) {
	s := newSimulated(1, 20)
	s.run(50, func(int, float64, time.Duration) (bool, bool) { return false, false })
	assert.Equal(t, s.state, Running)
	assert.Assert(t, s.fresh < minRequests)
}

// TestFinalStatesAreKept has a router receive and find other states than the one it knows; only
// the state in the store replaces a final one.
func TestFinalStatesAreKept(t *testing.T) {
	s := newSimulated(1, 1).sets[0]
	counts := func(state State) Counts {
		return Counts{Service: "s", Version: "v2", Revision: revision.Revision{Count: 5}, State: state}
	}
	s.Receive("a", counts(Running))
	assert.Equal(t, s.Choose("s", 0.99).Exclude, "v2")
	s.Receive("a", counts(RolledBack))
	s.Receive("a", counts(Complete))
	assert.Equal(t, s.Choose("s", 0), Choice{Exclude: "v2", Strict: true})
	older := counts(Complete)
	older.Revision.Count = 4
	s.Receive("b", older)
	assert.Equal(t, s.Evaluate()[0].State, RolledBack)
	s.SetState("s", "v2", Complete)
	assert.Equal(t, s.Choose("s", 0.99), Choice{Only: "v2"}, "the old targets are stopped")
	s.options.Clock.(*clockwork.FakeClock).Advance(completeTTL)
	assert.Equal(t, s.Choose("s", 0.99), Choice{})
	assert.Assert(t, !s.Put(Order{Service: "s", Version: "v2", Revision: revision.Revision{Count: 5}}), "the same order again")
	assert.Assert(t, s.Put(Order{Service: "s", Version: "v3", Duration: duration, Revision: revision.Revision{Count: 9}}))
	s.Drop("s")
	assert.Assert(t, !s.Active())
}
