package proof

import (
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/fault"
	"zinccove.example/standin/fleet"
	"zinccove.example/standin/routesite"
)

// TestRouterOfASuspendedHostAsksAnew has the host of one of two routers suspended, while a key
// is taken away and a target leaves. The calls by which the routers follow the store were taken
// by it just before and are never answered, as when a host is away for longer than
// the store keeps them. The router's steady clock counts nothing of the suspension:
// without one that does, it waited for the rest of the three seconds for which such
// a call may be open, and the key worked for as long:
//
//	host was suspended suspended_ms=1300
//	store lost table=op waited_ms=1506
//
// Half a second after it woke the key is refused and the target gets nothing new, and other
// requests are answered.
func TestRouterOfASuspendedHostAsksAnew(t *testing.T) {
	const (
		asleep = 1300 * time.Millisecond
		soon   = 500 * time.Millisecond
	)
	s := newRouteSiteOf(t, fleet.TestRouter, 2)
	configure(t, s, routesite.Config(1, routeKey, "second"))
	assert.NilError(t, s.AwaitReady(routeWait))
	assert.NilError(t, s.AwaitMembers(routeWait))
	for _, r := range s.Routers {
		awaitStatus(t, s, r, "/record/", "second", 200)
	}
	other, suspended := s.Routers[0], s.Routers[1]
	time.Sleep(time.Second) // all routers hold a feed
	assert.NilError(t, fleet.SetFaults(s.PlatformAddress, fault.Fault{Step: "feed", Mode: fault.Delay, Delay: time.Minute}))
	configure(t, s, routesite.Config(2, routeKey, "second"))
	leaving, err := s.AddWorker("leaving", routesite.Plain, "dc1", "--drain-time", "6s")
	assert.NilError(t, err)
	time.Sleep(200 * time.Millisecond) // both have asked for what comes next

	var sleep, stop errgroup.Group
	sleep.Go(func() error { return suspended.Suspend(asleep) })
	time.Sleep(asleep / 2)
	assert.NilError(t, fleet.SetFaults(s.PlatformAddress))
	configure(t, s, routesite.Config(3, routeKey))
	stop.Go(func() error { _, err := leaving.Stop(); return err })
	assert.NilError(t, sleep.Wait())

	time.Sleep(soon)

	before := requestsRunBy(t, leaving)
	for range 5 {
		assert.Equal(t, s.Call(suspended.Caller, "POST", "/record/", "second").Status, 401)
		for _, path := range routesite.Paths {
			a := s.Call(suspended.Caller, "POST", path, routeKey)
			assert.Assert(t, a.Whole(path), "%s: %d %v", path, a.Status, a.Err)
		}
	}
	assert.Equal(t, requestsRunBy(t, leaving), before)
	awaitStatus(t, s, other, "/record/", "second", 401)
	assert.Assert(t, strings.Contains(suspended.Output(), `"message":"host was suspended"`))
	assert.Assert(t, !strings.Contains(other.Output(), `"message":"host was suspended"`))
	assert.NilError(t, stop.Wait())
}
