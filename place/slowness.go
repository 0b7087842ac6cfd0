package place

import (
	"math"
	"time"
)

// slowness is how much longer first events of one target take than the line of
// its service says: 1 for a target like the others. It follows a target that turns
// slow within some requests, and covers what waits there unknown to this router.
type slowness struct {
	// log is the logarithm of the factor as of at.
	log float64
	at  time.Time
}

const (
	// slownessWeight is the weight of one first event: ten of them, two seconds of
	// a router's usual traffic to one target, bring a change of five times home.
	slownessWeight = 0.3
	// slownessHalfLife is the time after which half of it is forgotten, so that a
	// target that was slow is tried again.
	slownessHalfLife = 3 * time.Second
	// mostSlowness bounds what one first event says, either way.
	mostSlowness = 8.0
)

func (s *slowness) factor(now time.Time) float64 {
	if s.log == 0 {
		return 1
	}
	return math.Exp(s.current(now))
}

// current is the logarithm of the factor now.
func (s *slowness) current(now time.Time) float64 {
	return s.log * math.Exp2(-now.Sub(s.at).Seconds()/slownessHalfLife.Seconds())
}

// note takes the time of a first event and what the line expected.
func (s *slowness) note(took, expected time.Duration, now time.Time) {
	ratio := millis(took) / max(millis(expected), 1)
	ratio = min(max(ratio, 1/mostSlowness), mostSlowness)
	old := s.current(now)
	s.log = old + (math.Log(ratio)-old)*slownessWeight
	s.at = now
}
