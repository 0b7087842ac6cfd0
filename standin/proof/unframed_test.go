package proof

import (
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/routesite"
)

// TestUnframedResponseOfEndedTargetDoesNotLookComplete kills targets whose responses have neither
// length nor chunks, so that a broken connection looks like the end of the body.
func TestUnframedResponseOfEndedTargetDoesNotLookComplete(t *testing.T) {
	const (
		kills     = 12
		killEvery = 400 * time.Millisecond
		callEvery = 10 * time.Millisecond
	)
	s := newRouteSite(t, 3, "--unframed-every", "1", "--event-time", "20ms")
	configure(t, s, routesite.Config(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	assert.NilError(t, s.AwaitMembers(routeWait))
	for _, r := range s.Routers {
		for _, path := range routesite.Paths {
			awaitStatus(t, s, r, path, routeKey, 200)
		}
	}
	revive(t, s, targetDown)
	var mu sync.Mutex
	var answers []*routesite.Answer
	var g errgroup.Group
	stop := time.Now().Add((kills + 1) * killEvery)
	g.Go(func() error {
		return every(callEvery, stop, func(n int) {
			path := routesite.Paths[n%len(routesite.Paths)]
			a := s.Call(s.Routers[n/len(routesite.Paths)%len(s.Routers)].Caller, "POST", path, routeKey)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	})
	for n := range kills {
		time.Sleep(killEvery)
		s.Workers[n%len(s.Workers)].Kill()
	}
	assert.NilError(t, g.Wait())
	whole, lacking, cut := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.Whole(a.Path):
			whole++
		case a.Complete():
			lacking++
		case a.Err != nil:
			cut++
		}
	}
	t.Logf("%d answers, %d whole, %d cut, %d look complete and are not", len(answers), whole, cut, lacking)
	assert.Equal(t, lacking, 0)
	assert.Assert(t, whole > len(answers)/2)
}
