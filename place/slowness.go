package place

import (
	"math"
	"time"
)

// slowness is the factor by which first events of one target take longer than the latency model
// of its service predicts: 1 for an average target. It follows a target that becomes slow within
// a few requests, and also covers pending tokens that this router does not know about.
type slowness struct {
	// log is the logarithm of the factor as of at.
	log float64
	at  time.Time
}

const (
	// slownessWeight is the weight of one first event: ten of them, two seconds of a router's
	// usual traffic to one target, are enough to adapt to a change by a factor of five.
	slownessWeight = 0.3
	// slownessHalfLife is the half-life of the logarithm, so that a target that was slow is tried
	// again.
	slownessHalfLife = 3 * time.Second
	// maxSlowness bounds the factor of a single first event in both directions.
	maxSlowness = 8.0
)

func (s *slowness) factor(now time.Time) float64 {
	if s.log == 0 {
		return 1
	}
	return math.Exp(s.current(now))
}

// current returns the logarithm of the factor at a time.
func (s *slowness) current(now time.Time) float64 {
	return s.log * math.Exp2(-now.Sub(s.at).Seconds()/slownessHalfLife.Seconds())
}

// record adds the time of a first event and the predicted time.
func (s *slowness) record(took, expected time.Duration, now time.Time) {
	ratio := millis(took) / max(millis(expected), 1)
	ratio = min(max(ratio, 1/maxSlowness), maxSlowness)
	old := s.current(now)
	s.log = old + (math.Log(ratio)-old)*slownessWeight
	s.at = now
}
