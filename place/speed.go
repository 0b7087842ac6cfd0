package place

import "time"

// speed predicts the time to the first event from the number of tokens that
// have to be read before it. It learns a line by least squares over recent
// requests, because engines do not say how fast they read.
type speed struct {
	// The sums of the line, in tokens and milliseconds.
	n, x, y, xx, xy float64
	base, perToken  float64
	learned         bool
}

const (
	// forget is the weight that older requests keep with each new one: about the
	// last 200 count.
	forget = 0.995
	// leastBase is the least time to a first event in milliseconds; engines need
	// about this long for a prompt that they keep whole.
	leastBase = 10.0
	// guessBase is the time to a first event in milliseconds that is assumed
	// before any was seen.
	guessBase = 50.0
	// readPart is the speed of reading over the stated speed of producing, which
	// also counts the tokens that are made. Assumed before any answer was seen.
	readPart = 1.5
	// minRequests is the number of requests after which the line is trusted.
	minRequests = 30
	// mostLate is the most in milliseconds by which a first event is learned as
	// later than predicted; what is later than that counts as late by just this.
	// Only faults make a prompt wait longer than the objectives of requests are
	// long, and they say nothing about the tokens that wait.
	mostLate = 400.0
	// spreadTokens is the least spread of backlogs that gives a slope.
	spreadTokens = 500.0
)

func newSpeed() *speed { return &speed{base: guessBase} }

// guess sets the slope from the stated tokens a second of one engine, until
// answers tell better.
func (s *speed) guess(tokensPerSecond float64) {
	if !s.learned && tokensPerSecond > 0 {
		s.perToken = 1000 / (tokensPerSecond * readPart)
	}
}

// learn takes the time to the first event of a request that was sent with a
// backlog of unread tokens, its own included.
func (s *speed) learn(tokens int, took time.Duration) {
	x, y := float64(tokens), float64(took)/float64(time.Millisecond)
	y = min(y, s.base+s.perToken*x+mostLate)
	s.n = s.n*forget + 1
	s.x = s.x*forget + x
	s.y = s.y*forget + y
	s.xx = s.xx*forget + x*x
	s.xy = s.xy*forget + x*y
	s.fit()
}

func (s *speed) fit() {
	if s.n < minRequests {
		return
	}
	mx, my := s.x/s.n, s.y/s.n
	variance := s.xx/s.n - mx*mx
	if variance < spreadTokens*spreadTokens {
		return
	}
	slope := (s.xy/s.n - mx*my) / variance
	if slope <= 0 {
		return
	}
	s.learned = true
	s.perToken = slope
	s.base = max(my-slope*mx, leastBase)
}

// predict returns the expected time to the first event.
func (s *speed) predict(tokens int) time.Duration {
	return time.Duration((s.base + s.perToken*float64(tokens)) * float64(time.Millisecond))
}

// reading returns the time that reading tokens takes.
func (s *speed) reading(tokens int) time.Duration {
	return time.Duration(s.perToken * float64(tokens) * float64(time.Millisecond))
}
