package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/fleet"
	"zinccove.example/standin/routesite"
	"zinccove.example/standin/worker"
)

const (
	// cutEvery is one in so many streams that an engine cuts.
	cutEvery = 8
	// minWholeShare is the least share of streams that arrive whole, cut or not, once the router knows
	// of the losses: without backups it is seven eighths.
	minWholeShare = 0.95
)

// TestCutStreamsGoOnAtTheirBackups has engines cut an eighth of the streams, which may not be repeated.
func TestCutStreamsGoOnAtTheirBackups(t *testing.T) {
	s, err := routesite.New(bin)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	s.Settings["streams"] = "backups = true"
	for i := range 6 {
		_, err := s.AddWorker(fmt.Sprint("m", i), routesite.Model, "dc1", "--cut-every", fmt.Sprint(cutEvery))
		assert.NilError(t, err)
	}
	_, err = s.AddWorker("p", routesite.Plain, "dc1")
	assert.NilError(t, err)
	r, err := s.StartRouter("r", "dc1")
	assert.NilError(t, err)
	configure(t, s, routesite.Config(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	awaitStatus(t, s, r, "/gloss/", routeKey, 200)
	callFor(s, r, 2*time.Second)
	answers := callFor(s, r, 4*time.Second)
	whole, ends := 0, make(map[string]int)
	for _, a := range answers {
		if a.Complete() {
			assert.Assert(t, a.Whole("/draft/"), "%s: %q", a.ID, a.Body)
			whole++
			continue
		}
		ends[fmt.Sprint(a.Status, " ", a.Body[:min(len(a.Body), 20)])]++
	}
	continued := 0
	for _, w := range s.Workers {
		var runs map[string]worker.Run
		assert.NilError(t, fleet.GetJSON(w.Address, "/runs", &runs))
		for _, run := range runs {
			continued += run.Continued
		}
	}
	began, err := s.Runs()
	assert.NilError(t, err)
	for _, a := range answers {
		assert.Assert(t, began[a.ID] <= 1, "%s ran %d times", a.ID, began[a.ID])
	}
	t.Logf("%d of %d whole, %d continued, others: %v", whole, len(answers), continued, ends)
	assert.Assert(t, float64(whole) >= minWholeShare*float64(len(answers)), "%d of %d whole, %d continued", whole, len(answers), continued)
	assert.Assert(t, continued > 0)
}

// callFor has eight callers send streams that may not be repeated, for a while.
func callFor(s *routesite.Site, r *fleet.Router, d time.Duration) []*routesite.Answer {
	var mu sync.Mutex
	var answers []*routesite.Answer
	var g errgroup.Group
	stop := time.Now().Add(d)
	for n := range 8 {
		g.Go(func() error {
			for i := 0; time.Now().Before(stop); i++ {
				a := s.CallWithParts(r.Caller, "POST", "/draft/", routeKey, fmt.Sprint("a", n, "b", i%5))
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
			return nil
		})
	}
	g.Wait() //nolint:errcheck // returns none
	return answers
}
