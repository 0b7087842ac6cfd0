package place

import "time"

// speed is the line of a service: the usual time to the first event from the
// number of tokens that have to be read before it. It is learned, because engines
// do not say how fast they read.
//
// Each first event moves the line by a small step to the side on which it lies,
// however far off it is. Queues that this router does not know of and targets that
// are slow for a while so do not move it much: least squares took 12 s to come
// back to 52 ms after all hosts lost power, as routers that start know nothing of
// what waits; small steps stay within 12 ms of it.
//
// A router of a large fleet sees a request a second, and would take half a minute to learn.
// So routers that have learned little take the line of one that learned more, which comes with
// its answers about targets.
type speed struct{ LatencyModel }

// LatencyModel is the time to the first event as a function of tokens.
type LatencyModel struct {
	// Base is the time of a prompt that is kept whole in milliseconds, PerToken what each
	// token adds.
	Base, PerToken float64
	// Samples counts the requests that the line was learned from.
	Samples int
}

const (
	// leastBase is the least time to a first event in milliseconds.
	leastBase = 10.0
	// guessBase is the time to a first event in milliseconds that is assumed
	// before any was seen.
	guessBase = 50.0
	// readPart is the speed of reading over the stated speed of producing, which
	// also counts the tokens that are made. Assumed before any answer was seen.
	readPart = 1.5
	// minRequests is the number of requests after which stated speeds do not count
	// any more.
	minRequests = 30
	// baseStep is the step of base in milliseconds, slopeStep that of perToken as a
	// part of it; prompts with less than fullStep tokens before their first event
	// say less about the slope. In a hundred requests the line can so move by 25 ms
	// and by half of the slope.
	baseStep  = 0.25
	slopeStep = 0.01
	fullStep  = 5000.0
	// firstDown is the part by which each of the first requests lowers the slope that was
	// faster than expected. A fleet with more engines than stated is expected to read
	// many times slower than it does: at 1,000 engines 0.15 ms a token in place of 0.02,
	// so that a router of a large fleet, which sees few requests, took tens of seconds to
	// learn better. Times that are longer than expected have many causes, shorter ones
	// only this one.
	firstDown = 0.2
	// leanDown makes steps down longer than those up: what is not known of only
	// adds to the times.
	leanDown = 1.2
)

func newSpeed() *speed { return &speed{LatencyModel{Base: guessBase}} }

// guess sets the slope from the stated tokens a second of one engine, until
// answers tell better.
func (s *speed) guess(tokensPerSecond float64) {
	if s.Samples < minRequests && tokensPerSecond > 0 {
		s.PerToken = 1000 / (tokensPerSecond * readPart)
	}
}

// adopt takes the line of another router that has learned more, until this one has learned
// enough itself.
func (s *speed) adopt(l LatencyModel) {
	if s.Samples < minRequests && s.Samples < l.Samples && l.PerToken > 0 && l.Base >= leastBase {
		s.LatencyModel = l
	}
}

// learn takes the time to the first event of a request that was sent with so
// many tokens to read before it, its own included.
func (s *speed) learn(tokens int, took time.Duration) {
	s.Samples++
	step := 1.0
	if took < s.predict(tokens) {
		step = -leanDown
	}
	s.Base = max(s.Base+step*baseStep, leastBase)
	slope := step * slopeStep
	if step < 0 && s.Samples < minRequests {
		slope = -firstDown
	}
	s.PerToken *= 1 + slope*min(float64(tokens)/fullStep, 1)
}

// predict returns the expected time to the first event.
func (s *speed) predict(tokens int) time.Duration {
	return time.Duration(s.Base*float64(time.Millisecond)) + s.reading(tokens)
}

// reading returns the time that reading tokens takes.
func (s *speed) reading(tokens int) time.Duration {
	return time.Duration(s.PerToken * float64(tokens) * float64(time.Millisecond))
}

// rate is the number of tokens read in a millisecond; 0 if nothing tells it yet.
func (s *speed) rate() float64 {
	if s.PerToken <= 0 {
		return 0
	}
	return 1 / s.PerToken
}

// after is the number of tokens that are read between the end of a prompt and its
// first event.
func (s *speed) after() float64 { return s.Base * s.rate() }
