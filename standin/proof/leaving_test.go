package proof

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/engine"
	"zinccove.example/standin/fault"
	"zinccove.example/standin/fleet"
	"zinccove.example/zinccove/platform"
)

// leaveLimit is the time after which a leaving target gets no new work. The
// lag of the platform's list, 100 ms here, is inside it.
const leaveLimit = 3 * time.Second

// TestLeavingTargetGetsNoNewWork has a target leave in each of five ways
// while streams go on; none of them may be cut.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	ways := []struct {
		name  string
		leave func(*site, *fleet.Target) error
	}{
		{"by intent", func(s *site, e *fleet.Target) error {
			_, err := s.Apply(s.Routers[0], s.Routers[1], fmt.Sprintf(
				"[target.%s]\nserves = %s\nmodel-version = %s\naddress = %s\ndata-centre = %s\nslots = %d\nleaving = true\n",
				e.Name, model, version, e.Address, e.DataCentre, slots))
			return err
		}},
		{"by the platform's list", func(s *site, e *fleet.Target) error {
			return s.ListHost(platform.Host{Name: e.Name, DataCentre: e.DataCentre, State: platform.HostLeaving})
		}},
		{"by its own word", func(s *site, e *fleet.Target) error {
			return fleet.SetFaults(e.Address, fault.Fault{Step: "say", Mode: fault.Leaving})
		}},
		{"by its own backoff", func(s *site, e *fleet.Target) error {
			return fleet.SetFaults(e.Address, fault.Fault{Step: "complete", Mode: fault.Backoff, Delay: 3 * leaveLimit})
		}},
		{"by its own refusal", func(s *site, e *fleet.Target) error {
			return fleet.SetFaults(e.Address, fault.Fault{Step: "complete", Mode: fault.Refuse})
		}},
	}
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			s := newSite(t, 2, "--token-time", "5ms")
			e := s.Engines[0]
			var ended atomic.Bool
			var g errgroup.Group
			for w := range 6 {
				g.Go(func() error {
					for n := 0; !ended.Load(); n++ {
						if got := stream(s.Routers[w%2], fmt.Sprintf("%s %d %d", way.name, w, n)); got.outcome != answered {
							return fmt.Errorf("stream %d %d: %+v", w, n, got)
						}
					}
					return nil
				})
			}
			time.Sleep(500 * time.Millisecond)
			assert.Assert(t, runsOf(t, e) > 0)
			assert.NilError(t, way.leave(s, e))
			time.Sleep(leaveLimit)
			before := runsOf(t, e)
			time.Sleep(time.Second)
			assert.Equal(t, runsOf(t, e), before)
			ended.Store(true)
			assert.NilError(t, g.Wait())
		})
	}
}

func runsOf(t *testing.T, e *fleet.Target) int {
	t.Helper()
	var runs []engine.Run
	assert.NilError(t, fleet.GetJSON(e.Address, "/runs", &runs))
	return len(runs)
}
