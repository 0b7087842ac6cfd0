package proof

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/engine"
	"zinccove.example/standin/fleet"
)

// leave sends a stream request and goes away after the given time.
func leave(to *fleet.Router, prompt string, after time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	body := completion(prompt, 100_000, true)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Caller.String()+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+fleet.CustomerKey("a"))
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := c.Do(req); err == nil {
		buf := make([]byte, 512)
		for err == nil {
			_, err = resp.Body.Read(buf)
		}
		resp.Body.Close()
	}
}

// TestCallersThatGoAwayHarmNobody has callers leave while they wait and while
// they stream. Their queued work must leave the queue, their running work must
// be cancelled at the engines, and the router must go on.
func TestCallersThatGoAwayHarmNobody(t *testing.T) {
	s := newSite(t, 1)
	r := s.Routers[0]
	for round := range 5 {
		var g errgroup.Group
		for i := range 40 {
			g.Go(func() error {
				leave(r, fmt.Sprintf("leaver %d %d", round, i), time.Duration(50+i*7)*time.Millisecond)
				return nil
			})
		}
		assert.NilError(t, g.Wait())
	}
	assert.Assert(t, !r.Ended(), r.Output())
	deadline := time.Now().Add(5 * time.Second)
	for {
		var counts engine.Counts
		assert.NilError(t, fleet.GetJSON(s.Engines[0].Address, "/counts", &counts))
		if counts.Running == 0 && counts.Waiting == 0 {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "still at the engine: %+v", counts)
		time.Sleep(20 * time.Millisecond)
	}
	got := stream(r, "one that stays")
	assert.Equal(t, got.outcome, answered, "%+v", got)
}
