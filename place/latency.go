package place

import "time"

// latencyEstimator learns the latency model of a service: the usual time to the first event as a
// linear function of the number of tokens that have to be prefilled before it. It is learned,
// because engines do not report how fast they prefill.
//
// Each first event moves the model by a small step towards its side, however large the error is.
// Queues that this router does not know about and targets that are slow for a while therefore
// have little influence: least squares took 12 s to return to 52 ms after all hosts lost power,
// because routers that start know nothing about what is pending; small steps stay within 12 ms of
// it.
//
// A router of a large fleet sees one request a second and would take half a minute to learn.
// Therefore routers with few samples adopt the model of a router with more samples, which is part
// of its replies to queries.
type latencyEstimator struct{ LatencyModel }

// LatencyModel is the time to the first event as a linear function of tokens.
type LatencyModel struct {
	// Base is the time of a completely cached prompt in milliseconds, PerToken the additional
	// time per token to prefill.
	Base, PerToken float64
	// Samples is the number of requests from which the model was learned.
	Samples int
}

const (
	// minBase is the minimum time to a first event in milliseconds.
	minBase = 10.0
	// defaultBase is the time to a first event in milliseconds that is assumed before any was
	// observed.
	defaultBase = 50.0
	// prefillSpeedRatio is the ratio of the speed of prefill to the stated speed, which also
	// counts the generated tokens. It is assumed before any response was observed.
	prefillSpeedRatio = 1.5
	// minSamples is the number of requests after which stated speeds are ignored.
	minSamples = 30
	// baseStep is the step of Base in milliseconds, slopeStep the step of PerToken as a share of
	// it. Prompts with fewer than fullStep tokens before their first event carry less information
	// about the slope. A hundred requests can thus move the model by 25 ms and by half of the
	// slope.
	baseStep  = 0.25
	slopeStep = 0.01
	fullStep  = 5000.0
	// earlyDownStep is the share by which each of the first requests lowers the slope if it was
	// faster than predicted. A fleet with more engines than stated is predicted to prefill many
	// times slower than it does: with 1,000 engines 0.15 ms a token instead of 0.02, so that a
	// router of a large fleet, which sees few requests, took tens of seconds to correct it. Times
	// longer than predicted have many causes, shorter ones only this one.
	earlyDownStep = 0.2
	// downStepFactor makes downward steps longer than upward ones, because unknown load can only
	// increase the observed times.
	downStepFactor = 1.2
)

func newLatencyEstimator() *latencyEstimator {
	return &latencyEstimator{LatencyModel{Base: defaultBase}}
}

// setStatedSpeed derives the slope from the stated tokens per second of one engine, until enough
// requests were observed.
func (s *latencyEstimator) setStatedSpeed(tokensPerSecond float64) {
	if s.Samples < minSamples && tokensPerSecond > 0 {
		s.PerToken = 1000 / (tokensPerSecond * prefillSpeedRatio)
	}
}

// adopt replaces the model by that of another router with more samples, until this router has
// enough samples of its own.
func (s *latencyEstimator) adopt(l LatencyModel) {
	if s.Samples < minSamples && s.Samples < l.Samples && l.PerToken > 0 && l.Base >= minBase {
		s.LatencyModel = l
	}
}

// learn adds the time to the first event of a request that was sent with the given number of
// tokens to prefill before it, its own included.
func (s *latencyEstimator) learn(tokens int, took time.Duration) {
	s.Samples++
	step := 1.0
	if took < s.predict(tokens) {
		step = -downStepFactor
	}
	s.Base = max(s.Base+step*baseStep, minBase)
	slope := step * slopeStep
	if step < 0 && s.Samples < minSamples {
		slope = -earlyDownStep
	}
	s.PerToken *= 1 + slope*min(float64(tokens)/fullStep, 1)
}

// predict returns the predicted time to the first event.
func (s *latencyEstimator) predict(tokens int) time.Duration {
	return time.Duration(s.Base*float64(time.Millisecond)) + s.prefillTime(tokens)
}

// prefillTime returns the time to prefill tokens.
func (s *latencyEstimator) prefillTime(tokens int) time.Duration {
	return time.Duration(s.PerToken * float64(tokens) * float64(time.Millisecond))
}

// rate returns the number of tokens that are prefilled in a millisecond; 0 if it is not known
// yet.
func (s *latencyEstimator) rate() float64 {
	if s.PerToken <= 0 {
		return 0
	}
	return 1 / s.PerToken
}

// tokensDuringBase returns the number of tokens that are prefilled between the end of the prefill
// of a prompt and its first event.
func (s *latencyEstimator) tokensDuringBase() float64 { return s.Base * s.rate() }
