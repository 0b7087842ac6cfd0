package proof

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/fault"
	"zinccove.example/standin/fleet"
	"zinccove.example/standin/routesite"
	"zinccove.example/zinccove/platform/wire"
)

const (
	// moveTime is the duration of the orders, exposeShare the part of the requests that a bad
	// version may get.
	moveTime    = 6 * time.Second
	exposeShare = 0.3
	exposeSlack = 50
	pressers    = 30
)

// moving is a site whose plain service has targets of two versions.
type moving struct {
	*routesite.Site
	t        *testing.T
	old, new []*fleet.Target
}

// newMoving starts three routers, and three plain targets of each version; those of the new
// one have further flags.
func newMoving(t *testing.T, flags ...string) *moving {
	t.Helper()
	s, err := routesite.New(bin)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	s.Settings["rollout"] = fmt.Sprintf("expose-share = %v", exposeShare)
	m := &moving{Site: s, t: t}
	for i := range 3 {
		dc := fmt.Sprintf("dc%d", i+1)
		_, err := s.AddWorker(fmt.Sprint("m", i), routesite.Model, dc)
		assert.NilError(t, err)
		old, err := s.AddWorker(fmt.Sprint("old", i), routesite.Plain, dc)
		assert.NilError(t, err)
		fresh, err := s.AddWorker(fmt.Sprint("new", i), routesite.Plain, dc, append([]string{"--version", "v2"}, flags...)...)
		assert.NilError(t, err)
		m.old, m.new = append(m.old, old), append(m.new, fresh)
	}
	for i := range 3 {
		_, err := s.StartRouter(fmt.Sprintf("r%d", i+1), fmt.Sprintf("dc%d", i+1))
		assert.NilError(t, err)
	}
	configure(t, s, routesite.Config(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	for _, r := range s.Routers {
		awaitStatus(t, s, r, "/record/", routeKey, 200)
	}
	return m
}

func runsAt(t *testing.T, list []*fleet.Target) int {
	t.Helper()
	sum := 0
	for _, w := range list {
		sum += requestsRunBy(t, w)
	}
	return sum
}

// state is what operators read of the order.
func (m *moving) state() string {
	row, ok := m.row(wire.TableStatus, wire.RolloutPrefix+routesite.Plain)
	if !ok {
		return ""
	}
	var s struct{ State, TargetVersion string }
	assert.NilError(m.t, json.Unmarshal(row, &s))
	assert.Equal(m.t, s.TargetVersion, "v2")
	return s.State
}

// row reads a row of the store.
func (m *moving) row(table, key string) ([]byte, bool) {
	var rows wire.Rows
	assert.NilError(m.t, fleet.GetJSON(m.PlatformAddress, wire.PathRows+"?"+wire.ParamTable+"="+table+"&"+wire.ParamFrom+"="+key, &rows))
	if len(rows.Rows) == 0 || rows.Rows[0].Key != key {
		return nil, false
	}
	return rows.Rows[0].Value, true
}

// press sends calls until a time, by turns to the routers that run, and returns how many
// failed in another way than targets do.
func (m *moving) press(until time.Time) (calls, lost int) {
	var g errgroup.Group
	type count struct{ calls, lost int }
	counts := make([]count, pressers)
	for i := range pressers {
		g.Go(func() error {
			for n := i; time.Now().Before(until); n++ {
				running := m.Running()
				a := m.Call(running[n%len(running)].Caller, "POST", []string{"/record/", "/lookup/"}[n%2], routeKey)
				counts[i].calls++
				if a.Status != 200 && a.Status != 500 && a.Status != 429 && a.Status != 503 {
					counts[i].lost++
				}
			}
			return nil
		})
	}
	assert.NilError(m.t, g.Wait())
	for _, c := range counts {
		calls, lost = calls+c.calls, lost+c.lost
	}
	return calls, lost
}

// move orders the move and presses until some time after the deadline. During is done once
// the order was given.
func (m *moving) move(during func()) (calls, lost int) {
	order := fmt.Sprintf(`{"service":%q,"targetVersion":"v2","durationS":%v}`, routesite.Plain, moveTime.Seconds())
	assert.NilError(m.t, m.PutRow(wire.TableOperator, wire.RolloutPrefix+routesite.Plain, []byte(order)))
	var g errgroup.Group
	g.Go(func() error { during(); return nil })
	calls, lost = m.press(time.Now().Add(moveTime + time.Second))
	assert.NilError(m.t, g.Wait())
	return calls, lost
}

// TestBadVersionIsRolledBack moves a service to a version of which every third answer fails,
// while the router that writes states first is killed and the store is silent for a while.
func TestBadVersionIsRolledBack(t *testing.T) {
	m := newMoving(t, "--fail-every", "3")
	calls, _ := m.move(func() {
		time.Sleep(time.Second / 2)
		m.Routers[0].Kill()
		assert.NilError(t, fleet.SetFaults(m.PlatformAddress, fault.Fault{Step: "commit", Mode: fault.Refuse}))
		time.Sleep(3 * time.Second / 2)
		assert.NilError(t, fleet.SetFaults(m.PlatformAddress))
	})
	assert.Equal(t, m.state(), "rolled_back")
	got := runsAt(t, m.new)
	assert.Assert(t, float64(got) <= exposeShare*float64(calls)+exposeSlack, "%d of %d calls", got, calls)
	m.press(time.Now().Add(time.Second / 2))
	assert.Equal(t, runsAt(t, m.new), got, "nothing more goes there")
}

// TestGoodVersionCompletes moves a service to a version that is as good as the old one: all
// calls go there in the end, and none is lost.
func TestGoodVersionCompletes(t *testing.T) {
	m := newMoving(t)
	_, lost := m.move(func() {})
	assert.Equal(t, lost, 0)
	assert.Equal(t, m.state(), "complete")
	before := runsAt(t, m.old)
	m.press(time.Now().Add(time.Second / 2))
	assert.Equal(t, runsAt(t, m.old), before, "nothing goes to the old targets")
	for _, r := range m.Routers {
		assert.Assert(t, strings.Contains(r.Output(), "state of a service that moves, in the store"), "each leader reads it")
	}
}
