package proof

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/standin/routesite"
)

// TestTargetsThatLeaveAreKnownWhileRoutersThatFollowTheStoreFall has seven routers in one
// data centre, three of which follow the store for the others. One of the three is killed
// and one stands still when a target says that it leaves. The routers that followed them
// must send it nothing new after the drain.
func TestTargetsThatLeaveAreKnownWhileRoutersThatFollowTheStoreFall(t *testing.T) {
	const (
		routers = 7
		drain   = 2 * time.Second
	)
	s, err := routesite.New(bin)
	assert.NilError(t, err)
	t.Cleanup(func() { s.Close() })
	for _, id := range []string{"p1", "p2"} {
		_, err := s.AddWorker(id, routesite.Plain, "dc1")
		assert.NilError(t, err)
	}
	_, err = s.AddWorker("m1", routesite.Model, "dc1")
	assert.NilError(t, err)
	for i := range routers {
		_, err := s.StartRouter(fmt.Sprintf("r%d", i+1), "dc1")
		assert.NilError(t, err)
	}
	configure(t, s, routesite.Config(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	assert.NilError(t, s.AwaitMembers(routeWait))
	leaving, err := s.AddWorker("leaving", routesite.Plain, "dc1", "--drain-time", "6s")
	assert.NilError(t, err)
	time.Sleep(3 * time.Second) // feeds held at their start are over
	through := s.Routers[3:]
	for _, r := range through {
		assert.Assert(t, strings.Contains(r.Output(), "follows a table through a router"), r.Output())
	}
	frozen := s.Routers[1]
	defer frozen.Signal(syscall.SIGCONT) //nolint:errcheck // it is ended next
	leavesInTime(t, s, leaving, through, drain, func() {
		s.Routers[0].Kill()
		assert.NilError(t, frozen.Signal(syscall.SIGSTOP))
	})
}
