package proof

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/fault"
	"zinccove.example/standin/fleet"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

// versionOf returns the version in force on a router by its own word.
func versionOf(s *site, r *fleet.Router) (uint64, error) {
	out, err := s.Operate(r, "--output", "json", "status")
	if err != nil {
		return 0, err
	}
	var all []*zinccovev1.RouterStatus
	if err := json.Unmarshal([]byte(out), &all); err != nil {
		return 0, err
	}
	for _, st := range all {
		if st.Host == r.Name {
			return st.ConfigVersion, nil
		}
	}
	return 0, fmt.Errorf("%s does not list itself", r.Name)
}

// change plans and confirms one customer's weight and returns the version.
func change(s *site, r *fleet.Router, customer string, weight int) (uint64, error) {
	out, err := s.Operate(r, "--output", "json", "customer", "put", customer, "--weight", fmt.Sprint(weight))
	if err != nil {
		return 0, err
	}
	var plan struct{ ID string }
	if err := json.Unmarshal([]byte(out), &plan); err != nil {
		return 0, err
	}
	out, err = s.Operate(r, "--output", "json", "plan", "confirm", plan.ID)
	if err != nil {
		return 0, err
	}
	var done struct{ Version uint64 }
	err = json.Unmarshal([]byte(out), &done)
	return done.Version, err
}

// awaitVersion waits until a router has at least the version in force.
func awaitVersion(s *site, r *fleet.Router, version uint64, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		v, err := versionOf(s, r)
		if err == nil && v >= version {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s has version %d, not %d, after %s: %v", r.Name, v, version, limit, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// inForceLimit is the time in which a change must be in force everywhere.
const inForceLimit = 4 * time.Second

// TestConfigurationIsInForceEverywhereAndNeverGoesBack changes the
// configuration while routers are killed, frozen, cut off from the platform
// and started again, and watches the version on each.
func TestConfigurationIsInForceEverywhereAndNeverGoesBack(t *testing.T) {
	s := newSiteOf(t, fleet.TestRouter, 3)
	w := watchVersions(s)
	next := func(at *fleet.Router) uint64 {
		v, err := change(s, at, "x", int(time.Now().UnixNano()%900)+1)
		assert.NilError(t, err)
		return v
	}
	everywhere := func(v uint64, routers ...*fleet.Router) {
		for _, r := range routers {
			assert.NilError(t, awaitVersion(s, r, v, inForceLimit))
		}
	}
	r1, r2, r3 := s.Routers[0], s.Routers[1], s.Routers[2]
	everywhere(next(r1), r1, r2, r3)

	// A router that lost the platform learns from its peers.
	assert.NilError(t, r3.CutFrom(s.PlatformAddress))
	everywhere(next(r1), r1, r2, r3)

	// A data centre that is cut off catches up when it is back.
	assert.NilError(t, s.Cut("dc2"))
	v := next(r1)
	everywhere(v, r1, r3)
	assert.NilError(t, s.Heal())
	everywhere(v, r2)

	// A router that restarts with nothing remembered, while the platform is
	// down, takes the configuration from a peer.
	s.Platform.Kill()
	r2.Kill()
	assert.NilError(t, r2.Restart(r1.Peer))
	everywhere(v, r2)
	wrong := w.stop()
	assert.Equal(t, len(wrong), 0, strings.Join(wrong, "\n"))
}

// TestAStaleStoreDoesNotBringAnOldVersionBack slows the store down while
// versions follow one another.
func TestAStaleStoreDoesNotBringAnOldVersionBack(t *testing.T) {
	s := newSiteOf(t, fleet.TestRouter, 3)
	w := watchVersions(s)
	assert.NilError(t, fleet.SetFaults(s.PlatformAddress,
		fault.Fault{Step: "object", Mode: fault.Delay, Delay: 300 * time.Millisecond, Count: 20},
		fault.Fault{Step: "get", Mode: fault.Delay, Delay: 200 * time.Millisecond, Count: 60}))
	var last uint64
	for i := range 4 {
		v, err := change(s, s.Routers[i%3], "x", i+1)
		assert.NilError(t, err)
		last = max(last, v)
	}
	for _, r := range s.Routers {
		assert.NilError(t, awaitVersion(s, r, last, 2*inForceLimit))
	}
	wrong := w.stop()
	assert.Equal(t, len(wrong), 0, strings.Join(wrong, "\n"))
}

// versionWatch reads the version of every router again and again.
type versionWatch struct {
	ended chan struct{}
	group errgroup.Group
	mu    sync.Mutex
	wrong []string
}

func watchVersions(s *site) *versionWatch {
	w := &versionWatch{ended: make(chan struct{})}
	for _, r := range s.Routers {
		w.group.Go(func() error {
			w.watch(s, r)
			return nil
		})
	}
	return w
}

// watch notes each time that a router's version goes back. A router that just
// started has none, which is not going back: it refuses requests.
func (w *versionWatch) watch(s *site, r *fleet.Router) {
	var last uint64
	for {
		select {
		case <-w.ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		v, err := versionOf(s, r)
		if err != nil || v == 0 {
			continue
		}
		if v < last {
			w.mu.Lock()
			w.wrong = append(w.wrong, fmt.Sprintf("%s went back from version %d to %d", r.Name, last, v))
			w.mu.Unlock()
		}
		last = v
	}
}

// stop ends the watch and returns what went back.
func (w *versionWatch) stop() []string {
	close(w.ended)
	w.group.Wait() //nolint:errcheck // no function returns an error
	return slices.Clone(w.wrong)
}

// TestRacingOperators confirm changes of the same and of different objects
// through different routers at the same moment.
func TestRacingOperators(t *testing.T) {
	s := newSite(t, 3)
	var g errgroup.Group
	results := make([]error, 9)
	for i := range results {
		g.Go(func() error {
			_, results[i] = change(s, s.Routers[i%3], fmt.Sprintf("c%d", i%3), i+1)
			return nil
		})
	}
	assert.NilError(t, g.Wait())
	landed := 0
	for _, err := range results {
		if err == nil {
			landed++
			continue
		}
		assert.ErrorContains(t, err, "was changed by plan")
	}
	out, err := s.Operate(s.Routers[0], "--output", "json", "audit")
	assert.NilError(t, err)
	var entries []*zinccovev1.AuditEntry
	assert.NilError(t, json.Unmarshal([]byte(out), &entries))
	assert.Equal(t, len(entries), landed+1, "each landed change has one audit row, and the first declaration")
	assert.Assert(t, landed >= 3)
}
