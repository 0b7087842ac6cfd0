package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// trainLatency trains s with requests of up to 30,000 tokens at a target that needs 50 ms and
// 0.02 ms a token; late of each hundred take three seconds longer.
func trainLatency(s *latencyEstimator, requests, late int) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range requests {
		tokens := rnd.IntN(30_000)
		took := 50*time.Millisecond + time.Duration(tokens)*20*time.Microsecond
		if rnd.IntN(100) < late {
			took += 3 * time.Second
		}
		s.learn(tokens, took)
	}
}

func TestLatencyModelIsLearnedFromRandomRequests(t *testing.T) {
	s := newLatencyEstimator()
	s.setStatedSpeed(30_000)
	trainLatency(s, 300, 0)
	assert.Assert(t, s.predict(0) > 40*time.Millisecond && s.predict(0) < 60*time.Millisecond, "%v", s.predict(0))
	assert.Assert(t, s.predict(10_000) > 240*time.Millisecond && s.predict(10_000) < 260*time.Millisecond, "%v", s.predict(10_000))
}

// TestLateFirstEventsDoNotMoveTheModelMuch has some requests take far longer than the pending
// tokens explain, as at failing targets.
func TestLateFirstEventsDoNotMoveTheModelMuch(t *testing.T) {
	s := newLatencyEstimator()
	s.setStatedSpeed(30_000)
	trainLatency(s, 300, 0)
	trainLatency(s, 300, 15)
	assert.Assert(t, s.predict(0) < 150*time.Millisecond, "%v", s.predict(0))
	trainLatency(s, 1000, 0)
	assert.Assert(t, s.predict(0) < 60*time.Millisecond, "%v", s.predict(0))
}
