package proof

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/fleet"
	"zinccove.example/zinccove/order"
)

// newOrderedSite has routers in one data centre and engines that take orders;
// every other engine checks fencing numbers.
func newOrderedSite(t *testing.T, routers, engines int) *site {
	t.Helper()
	f, err := fleet.New(bin)
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	s := &site{Fleet: f}
	assert.NilError(t, f.StartPlatform("--host-lag", "100ms"))
	var o fleet.Objects
	o.Customer("a", 1)
	o.Model(model, version)
	for i := range routers {
		_, err := f.StartRouter(fmt.Sprintf("r%d", i+1), "dc1")
		assert.NilError(t, err)
	}
	for i := range engines {
		args := []string{"--slots", fmt.Sprint(slots), "--version", version, "--token-time", "5ms"}
		if i%2 == 0 {
			args = append(args, "--check-fence")
		}
		e, err := f.StartEngine(fmt.Sprintf("e%d", i+1), "dc1", args...)
		assert.NilError(t, err)
		o.OrderedEngine(e, model, version, slots)
		s.Engines = append(s.Engines, e)
	}
	assert.NilError(t, f.AwaitMembers(wait))
	_, err = f.Apply(f.Routers[0], f.Routers[0], o.String())
	assert.NilError(t, err)
	assert.NilError(t, f.AwaitReady(wait))
	return s
}

// want declares the version that an engine is to load.
func (s *site) want(t *testing.T, at *fleet.Router, e *fleet.Target, v string) {
	t.Helper()
	var o fleet.Objects
	o.OrderedEngine(e, model, v, slots)
	_, err := s.Apply(at, at, o.String())
	assert.NilError(t, err)
}

func awaitLoaded(t *testing.T, e *fleet.Target, v string, limit time.Duration) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		var st order.State
		assert.NilError(t, fleet.GetJSON(e.Address, "/v1/state", &st))
		if st.ModelVersion == v && st.Loading == "" {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "%s has %+v, not %s", e.Name, st, v)
		time.Sleep(20 * time.Millisecond)
	}
}

// TestRollingToANewVersionLosesNoRequest rolls two engines one after the other
// while streams go on.
func TestRollingToANewVersionLosesNoRequest(t *testing.T) {
	s := newOrderedSite(t, 2, 2)
	var ended atomic.Bool
	var g errgroup.Group
	for w := range 4 {
		g.Go(func() error {
			for n := 0; !ended.Load(); n++ {
				if got := stream(s.Routers[w%2], fmt.Sprintf("roll %d %d", w, n)); got.outcome != answered {
					return fmt.Errorf("stream %d %d: %+v", w, n, got)
				}
			}
			return nil
		})
	}
	r := s.Routers[0]
	s.want(t, r, s.Engines[0], "v2")
	awaitLoaded(t, s.Engines[0], "v2", 10*time.Second)
	out, err := s.Operate(r, "model", "put", model, "--model-version", "v2")
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(out, "without any target"), out)
	_, err = s.Operate(r, "plan", "confirm", strings.Fields(out)[1], "--wait", "10s")
	assert.NilError(t, err)
	s.want(t, r, s.Engines[1], "v2")
	awaitLoaded(t, s.Engines[1], "v2", 10*time.Second)
	ended.Store(true)
	assert.NilError(t, g.Wait())
}

// holder returns the router that took the lease by its own log.
func (s *site) holder(t *testing.T) *fleet.Router {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		for _, r := range s.Running() {
			if strings.Contains(r.Output(), `"held":true`) {
				return r
			}
		}
		assert.Assert(t, time.Now().Before(deadline), "nobody holds the lease")
		time.Sleep(50 * time.Millisecond)
	}
}

// TestHolderThatWakesLateDoesNotOrder freezes the holder of the lease past its
// end, changes what is wanted, and wakes it when another router holds it.
func TestHolderThatWakesLateDoesNotOrder(t *testing.T) {
	s := newOrderedSite(t, 2, 2)
	first := s.holder(t)
	second := s.Routers[0]
	if second == first {
		second = s.Routers[1]
	}
	assert.NilError(t, first.Signal(syscall.SIGSTOP))
	for _, e := range s.Engines {
		s.want(t, second, e, "v2")
	}
	for _, e := range s.Engines {
		awaitLoaded(t, e, "v2", 20*time.Second)
	}
	assert.NilError(t, first.Signal(syscall.SIGCONT))
	time.Sleep(3 * time.Second)
	for _, e := range s.Engines {
		awaitLoaded(t, e, "v2", 5*time.Second)
		var taken []order.Order
		assert.NilError(t, fleet.GetJSON(e.Address, "/orders", &taken))
		for i := 1; i < len(taken); i++ {
			assert.Assert(t, taken[i].Fence >= taken[i-1].Fence, "%s took orders with numbers %+v", e.Name, taken)
		}
	}
}
