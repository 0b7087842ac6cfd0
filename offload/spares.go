package offload

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Spares holds how much processor time other routers have left, as they report it. It is safe for
// concurrent use.
type Spares struct {
	mu       sync.Mutex
	byRouter map[string]report
}

type report struct {
	cores float64
	at    time.Time
}

const (
	// reportTTL is the time for which a report counts; in large fleets heartbeats are more than a
	// second apart.
	reportTTL = 3 * time.Second
	// minSpare is the number of cores that a router must have left to be chosen: enough for some
	// tens of streams a second, which it gets from several routers before its next report.
	minSpare = 0.03
	// choices is the number of random routers of which the one with the most processor time left
	// is chosen. Two are nearly as good as all, and do not send everything to the same router
	// until its next report.
	choices = 2
)

// NewSpares returns an empty table.
func NewSpares() *Spares { return &Spares{byRouter: make(map[string]report)} }

// Record sets the cores that a router has left.
func (s *Spares) Record(router string, cores float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byRouter[router] = report{cores, now}
}

// Forget removes a router.
func (s *Spares) Forget(router string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byRouter, router)
}

// Choose returns up to n routers to which a request can be handed over, in the order in which they
// are to be tried. Each is the better of two random ones; routers without a current report or with
// little processor time left are not chosen.
func (s *Spares) Choose(routers []Router, n int, now time.Time) []Router {
	s.mu.Lock()
	defer s.mu.Unlock()
	var chosen []Router
	for range n {
		best, cores := -1, minSpare
		for range choices {
			if len(routers) == 0 {
				return chosen
			}
			i := rand.IntN(len(routers))
			if c := s.spare(routers[i].Name, now); c > cores && !slices.Contains(chosen, routers[i]) {
				best, cores = i, c
			}
		}
		if best >= 0 {
			chosen = append(chosen, routers[best])
		}
	}
	return chosen
}

// spare returns the cores that a router has left, 0 if that is not known.
func (s *Spares) spare(router string, now time.Time) float64 {
	r, ok := s.byRouter[router]
	if !ok || now.Sub(r.at) >= reportTTL {
		return 0
	}
	return r.cores
}
