package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/route"
)

// learningFleet is a fleet that starts with idle engines, which prefill forty times faster than
// the stated speed of their service: there are far more engines than the fleet needs. Each router
// gets one request a second.
type learningFleet struct {
	clock   *clockwork.FakeClock
	random  *rand.Rand
	placers []*Placer
	// shares reports whether routers adopt models from each other's replies.
	shares bool
	// due are the pending first events.
	due []dueEvent
}

type dueEvent struct {
	at  time.Time
	run *Run
}

const (
	idlePerToken = 20 * time.Microsecond
	idleBase     = 50 * time.Millisecond
	statedRatio  = 40
)

func newLearningFleet(t *testing.T, routers, engines int, shares bool, seed uint64) *learningFleet {
	t.Helper()
	l := &learningFleet{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 9)), shares: shares}
	stated := float64(engines) * 1000 / (statedRatio * float64(idlePerToken) / float64(time.Millisecond) * prefillSpeedRatio)
	table, err := route.New(route.Spec{
		Version: 1, Limits: route.Limits{TokensPerSecond: stated},
		Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 16, CacheTokens: 500_000}}},
	})
	assert.NilError(t, err)
	list := targets("model", engines)
	for i, x := range list {
		x.ID = fmt.Sprint("e", i)
	}
	for range routers {
		p := New(Options{Clock: l.clock})
		p.SetTargets(list, table)
		l.placers = append(l.placers, p)
	}
	return l
}

func (l *learningFleet) owner(target Hash) *Placer {
	return l.placers[uint64(target)%uint64(len(l.placers))]
}

// run simulates the traffic of customers, one of which requests the most. It returns the ratios
// of predicted to actual times of what is placed after a time, and the share of refusals.
func (l *learningFleet) run(d, after time.Duration) (ratios []float64, refused float64) {
	asked, refusals := 0, 0
	for now := time.Duration(0); now < d; now += 10 * time.Millisecond {
		l.clock.Advance(10 * time.Millisecond)
		l.events()
		for i, p := range l.placers {
			if l.random.Float64() >= 0.01 {
				continue
			}
			customer := "large"
			if l.random.Float64() < 0.5 {
				customer = fmt.Sprint(l.random.IntN(20))
			}
			q := promptRequest(call(fmt.Sprint(l.random.IntN(400)), 8000, 500+l.random.IntN(4000)), customer)
			d := p.Place(q, l.replies(p, q)...)
			asked++
			if d.Run == nil {
				refusals++
				continue
			}
			took := idleBase + time.Duration(d.PrefillTokens)*idlePerToken
			l.due = append(l.due, dueEvent{l.clock.Now().Add(took), d.Run})
			if now >= after {
				ratios = append(ratios, float64(d.Predicted)/float64(took))
			}
			l.sendUpdate(i, p)
		}
	}
	slices.Sort(ratios)
	return ratios, float64(refusals) / float64(asked)
}

func (l *learningFleet) events() {
	now := l.clock.Now()
	left := l.due[:0]
	for _, e := range l.due {
		if e.at.After(now) {
			left = append(left, e)
			continue
		}
		e.run.FirstEvent(true)
		e.run.End(Answered)
	}
	l.due = left
}

func (l *learningFleet) replies(p *Placer, q Request) []Reply {
	var list []Reply
	for _, question := range p.Queries(q) {
		owner := l.owner(question.Target)
		if owner == p {
			continue
		}
		if a, ok := owner.Reply(question); ok {
			if !l.shares {
				a.LatencyModel = LatencyModel{}
			}
			list = append(list, a)
		}
	}
	return list
}

// sendUpdate sends the update of a router to the owners of the targets.
func (l *learningFleet) sendUpdate(router int, p *Placer) {
	n := p.TakeUpdate()
	parts := make(map[*Placer]*Update)
	of := func(target Hash) *Update {
		owner := l.owner(target)
		if parts[owner] == nil {
			parts[owner] = &Update{Loads: make(map[Hash]Load)}
		}
		return parts[owner]
	}
	for _, x := range n.Prefills {
		of(x.Target).Prefills = append(of(x.Target).Prefills, x)
	}
	for _, x := range n.FirstEvents {
		of(x.Target).FirstEvents = append(of(x.Target).FirstEvents, x)
	}
	for h, load := range n.Loads {
		of(h).Loads[h] = load
	}
	for owner, part := range parts {
		if owner != p {
			owner.ApplyReport(fmt.Sprint(router), Report{Update: *part})
		}
	}
}

// TestRoutersOfALargeFleetLearnFromEachOther replays the first seconds of a fleet with far more
// engines than stated, with routers that learn alone and with routers that adopt each other's
// models. Idle engines refused customers ahead of others because they seemed to prefill many
// times slower than they do.
func TestRoutersOfALargeFleetLearnFromEachOther(t *testing.T) {
	const routers, engines = 60, 600
	for seed := range uint64(3) {
		alone, refusedAlone := newLearningFleet(t, routers, engines, false, seed).run(10*time.Second, 8*time.Second)
		together, refused := newLearningFleet(t, routers, engines, true, seed).run(10*time.Second, 8*time.Second)
		nine := func(ratios []float64) float64 { return ratios[len(ratios)*9/10] }
		t.Logf("seed %d: predicted over actual time, nine of ten: alone %.1f, together %.1f; refused %.3f, %.3f", seed, nine(alone), nine(together), refusedAlone, refused)
		assert.Assert(t, nine(together) < 2, "nine of ten must be predicted within twice the actual time, not %v", nine(together))
		assert.Assert(t, nine(together) < nine(alone))
		assert.Assert(t, refused <= refusedAlone)
	}
}

// TestModelsWithFewerSamplesAreNotAdopted checks that models with fewer samples and incomplete
// ones are not adopted.
func TestModelsWithFewerSamplesAreNotAdopted(t *testing.T) {
	s := newLatencyEstimator()
	s.setStatedSpeed(1000)
	s.learn(5000, time.Second)
	own := s.LatencyModel
	for _, l := range []LatencyModel{{}, {Base: 50, PerToken: 1, Samples: 1}, {Base: 50, Samples: 100}, {PerToken: 1, Samples: 100}} {
		s.adopt(l)
		assert.Equal(t, s.LatencyModel, own)
	}
	other := LatencyModel{Base: 60, PerToken: 0.02, Samples: 7}
	s.adopt(other)
	assert.Equal(t, s.LatencyModel, other)
	s.Samples = minSamples
	s.adopt(LatencyModel{Base: 50, PerToken: 5, Samples: 1000})
	assert.Equal(t, s.PerToken, 0.02, "the router has enough samples of its own")
}
