package proof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/fault"
	"zinccove.example/standin/fleet"
	"zinccove.example/standin/worker"
	"zinccove.example/zinccove/platform/wire"
)

const (
	routeHost   = "archive.example"
	routeKey    = "key-of-c"
	workerSlots = "16"
	events      = 20
)

// routeConfig is a configuration as operators write it, with a stream route, a
// resumable one and two plain ones.
func routeConfig(version int, keys ...string) []byte {
	route := func(name, kind, service string, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":"/%s/","kind":%q,"timeoutMs":5000,"targetLatencyMs":800,`+
			`"gap_aim_ms":400,"priority":1,"service":%q,"maxAttempts":2,"resumable":%t}`, name, routeHost, name, kind, service, resumable)
	}
	routes := []string{
		route("draft", "streaming", "model", false), route("gloss", "streaming", "model", true),
		route("record", "non_idempotent", "plain", false), route("lookup", "idempotent", "plain", false),
	}
	text, err := json.Marshal(keys)
	if err != nil {
		panic(err)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"model","maxConns":300,"engine":{"slots":16,"kvTokens":100000}},`+
		`{"name":"plain","maxConns":100}],"limits":{"maxBodyBytes":1000000,"tokens_per_s":100000},"tenants":[{"name":"c","apiKeys":%s}]}`,
		version, strings.Join(routes, ","), text)
}

// routeSite is a fleet that serves the routes of the store.
type routeSite struct {
	*fleet.Fleet
	Workers []*fleet.Target
	sent    atomic.Int64
}

// routeWait bounds what takes a second or two.
const routeWait = 8 * time.Second

// newRouteSite starts routers and, for each, an engine and a plain target.
func newRouteSite(t *testing.T, routers int) *routeSite {
	t.Helper()
	f, err := fleet.New(bin)
	assert.NilError(t, err)
	s := &routeSite{Fleet: f}
	f.Settings = map[string]string{
		"routes": "source = store", "limits": "memory-mb = 200\nstop-timeout = 6s",
		"fleet": "heartbeat-interval = 100ms", "platform": "",
	}
	t.Cleanup(func() {
		f.Close()
		for _, r := range f.Routers {
			assert.Assert(t, !strings.Contains(r.Output(), "DATA RACE"), r.Output())
			assert.Assert(t, !strings.Contains(r.Output(), "panic:"), r.Output())
		}
	})
	assert.NilError(t, f.StartPlatform())
	for i := range routers {
		dc := fmt.Sprintf("dc%d", i+1)
		s.startWorker(t, fmt.Sprintf("m%d", i+1), "model", dc)
		s.startWorker(t, fmt.Sprintf("p%d", i+1), "plain", dc)
	}
	for i := range routers {
		_, err := f.StartRouter(fmt.Sprintf("r%d", i+1), fmt.Sprintf("dc%d", i+1))
		assert.NilError(t, err)
	}
	return s
}

func (s *routeSite) startWorker(t *testing.T, id, service, dc string, more ...string) {
	t.Helper()
	args := []string{"--slots", workerSlots}
	args = append(args, more...)
	if service == "model" {
		args = append(args, "--events", fmt.Sprint(events))
	}
	w, err := s.StartWorker(id, service, dc, args...)
	assert.NilError(t, err)
	s.Workers = append(s.Workers, w)
}

func (s *routeSite) configure(t *testing.T, body []byte) {
	t.Helper()
	assert.NilError(t, s.PutRow(wire.TableOperator, wire.ConfigKey, body))
}

// routeAnswer is what a caller got.
type routeAnswer struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
}

// call sends a request over a connection of its own.
func (s *routeSite) call(to netip.AddrPort, method, path, key string) *routeAnswer {
	a := &routeAnswer{id: fmt.Sprintf("q%d", s.sent.Add(1))}
	c, err := net.DialTimeout("tcp", to.String(), time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	a.err = a.exchange(c, method, path, key)
	return a
}

func (a *routeAnswer) exchange(c net.Conn, method, path, key string) error {
	if err := c.SetDeadline(time.Now().Add(routeWait)); err != nil {
		return err
	}
	req, err := http.NewRequest(method, "http://"+routeHost+path, strings.NewReader("body of "+a.id))
	if err != nil {
		return err
	}
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Request-Deadline", "4000")
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Token-Usage", "900,60")
	req.Header.Set("Prompt-Prefix", "aa:800,"+a.id+":100")
	if err := req.Write(c); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body = resp.StatusCode, resp.Header, string(body)
	return err
}

// whole reports whether the answer is the whole one of its own request.
func (a *routeAnswer) whole(path string) bool {
	if a.err != nil || a.status != http.StatusOK {
		return false
	}
	if !strings.HasPrefix(path, "/draft/") && !strings.HasPrefix(path, "/gloss/") {
		return strings.HasSuffix(a.body, path+" "+a.id)
	}
	var want strings.Builder
	for n := range events {
		want.WriteString(worker.Event(a.id, n+1))
	}
	return a.body == want.String()
}

func (s *routeSite) awaitStatus(t *testing.T, to netip.AddrPort, path, key string, want int) {
	t.Helper()
	deadline := time.Now().Add(routeWait)
	for {
		a := s.call(to, "POST", path, key)
		if a.status == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: status %d, %v, want %d", path, a.status, a.err, want)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// runs returns what all workers ran, by request.
func (s *routeSite) runs(t *testing.T) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for _, w := range s.Workers {
		if w.Ended() {
			continue
		}
		var runs map[string]worker.Run
		assert.NilError(t, fleet.GetJSON(w.Address, "/runs", &runs))
		for id, r := range runs {
			counts[id] += r.Began
		}
	}
	return counts
}

var routePaths = []string{"/draft/a", "/gloss/a?x=1", "/record/a%20b", "/lookup/"}

func TestRoutesAreServedWhole(t *testing.T) {
	s := newRouteSite(t, 3)
	s.configure(t, routeConfig(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	for _, r := range s.Routers {
		s.awaitStatus(t, r.Caller, "/record/", routeKey, 200)
		for _, path := range routePaths {
			a := s.call(r.Caller, "POST", path, routeKey)
			assert.Assert(t, a.whole(path), "%s: %d %v %q", path, a.status, a.err, a.body)
			instance, _, _ := strings.Cut(a.header.Get("Response-Seal"), ".")
			assert.Equal(t, a.header.Get("Response-Seal"), worker.Seal(a.id, instance))
		}
		assert.Equal(t, s.call(r.Caller, "POST", "/none/", routeKey).status, 404)
		assert.Equal(t, s.call(r.Caller, "POST", "/record/", "other").status, 401)
	}
	assert.NilError(t, s.AwaitMembers(routeWait))
}

func TestRouterWithoutStoreRecoversWithoutARestart(t *testing.T) {
	s := newRouteSite(t, 1)
	r := s.Routers[0]
	assert.Equal(t, s.call(r.Caller, "POST", "/record/", routeKey).status, 503)
	resp, err := http.Get("http://" + r.Control.String() + "/readyz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, 503)
	for _, step := range []string{"list", "get", "feed"} {
		assert.NilError(t, fleet.SetFaults(s.PlatformAddress, fault.Fault{Step: step, Mode: fault.Refuse}))
	}
	// A configuration of which half was written is rejected and said so.
	s.configure(t, routeConfig(1, routeKey)[:200])
	assert.NilError(t, fleet.SetFaults(s.PlatformAddress))
	deadline := time.Now().Add(routeWait)
	for !strings.Contains(r.Output(), "configuration rejected") {
		assert.Assert(t, time.Now().Before(deadline), r.Output())
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, s.call(r.Caller, "POST", "/record/", routeKey).status, 503)
	s.configure(t, routeConfig(1, routeKey))
	s.awaitStatus(t, r.Caller, "/record/", routeKey, 200)
}

func TestKeyIsInForceAndNeverGoesBack(t *testing.T) {
	s := newRouteSite(t, 3)
	s.configure(t, routeConfig(5, routeKey, "second"))
	assert.NilError(t, s.AwaitReady(routeWait))
	for _, r := range s.Routers {
		s.awaitStatus(t, r.Caller, "/record/", "second", 200)
	}
	changed := time.Now()
	s.configure(t, routeConfig(9, routeKey))
	for _, r := range s.Routers {
		s.awaitStatus(t, r.Caller, "/record/", "second", 401)
	}
	assert.Assert(t, time.Since(changed) < 2*time.Second)
	// An older version that turns up is ignored, also when the history is lost.
	s.configure(t, routeConfig(7, routeKey, "second"))
	assert.NilError(t, s.Forget())
	time.Sleep(500 * time.Millisecond)
	for _, r := range s.Routers {
		assert.Equal(t, s.call(r.Caller, "POST", "/record/", "second").status, 401)
	}
}

func TestRestartedRouterLearnsFromOthersWhileTheStoreIsAway(t *testing.T) {
	s := newRouteSite(t, 2)
	s.configure(t, routeConfig(3, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	assert.NilError(t, s.AwaitMembers(routeWait))
	assert.NilError(t, fleet.SetFaults(s.PlatformAddress,
		fault.Fault{Step: "list", Mode: fault.Refuse}, fault.Fault{Step: "get", Mode: fault.Refuse},
		fault.Fault{Step: "hosts", Mode: fault.Refuse}, fault.Fault{Step: "feed", Mode: fault.Refuse}))
	r := s.Routers[0]
	r.Kill()
	assert.NilError(t, r.Restart(s.Routers[1].Peer))
	assert.NilError(t, s.AwaitReady(routeWait))
	// It has a configuration but no targets; what it does not know it does not
	// deny.
	assert.Equal(t, s.call(r.Caller, "POST", "/none/", routeKey).status, 503)
}

func TestDrainingTargetOfRoutesGetsNoNewWork(t *testing.T) {
	s := newRouteSite(t, 2)
	s.configure(t, routeConfig(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	for _, r := range s.Routers {
		s.awaitStatus(t, r.Caller, "/draft/", routeKey, 200)
	}
	s.startWorker(t, "leaving", "model", "dc1", "--drain-time", "2s")
	leaving := s.Workers[len(s.Workers)-1]
	time.Sleep(200 * time.Millisecond)
	for _, r := range s.Routers {
		assert.Assert(t, s.call(r.Caller, "POST", "/draft/", routeKey).whole("/draft/"))
	}
	var g errgroup.Group
	g.Go(func() error { _, err := leaving.Stop(); return err })
	time.Sleep(500 * time.Millisecond)
	before := s.runsOf(t, leaving)
	for range 4 {
		for _, r := range s.Routers {
			a := s.call(r.Caller, "POST", "/draft/", routeKey)
			assert.Assert(t, a.whole("/draft/"), "%d %v", a.status, a.err)
		}
	}
	assert.Equal(t, s.runsOf(t, leaving), before)
	assert.NilError(t, g.Wait())
}

func (s *routeSite) runsOf(t *testing.T, w *fleet.Target) int {
	t.Helper()
	var runs map[string]worker.Run
	assert.NilError(t, fleet.GetJSON(w.Address, "/runs", &runs))
	return len(runs)
}

// TestPlannedStopOfRoutesCutsNothing stops a router while callers use it.
func TestPlannedStopOfRoutesCutsNothing(t *testing.T) {
	s := newRouteSite(t, 2)
	s.configure(t, routeConfig(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	for _, r := range s.Routers {
		s.awaitStatus(t, r.Caller, "/draft/", routeKey, 200)
	}
	r := s.Routers[0]
	var g errgroup.Group
	var stopped atomic.Bool
	for range 8 {
		g.Go(func() error {
			for !stopped.Load() {
				a := s.call(r.Caller, "POST", "/draft/", routeKey)
				refused := a.status == 503 && a.header.Get("Retry-After") != ""
				dialed := a.err == nil || a.status != 0 || strings.Contains(a.err.Error(), "connect")
				if !a.whole("/draft/") && !refused && dialed && !strings.Contains(fmt.Sprint(a.err), "connect") {
					return fmt.Errorf("request %s: status %d, %v", a.id, a.status, a.err)
				}
			}
			return nil
		})
	}
	time.Sleep(300 * time.Millisecond)
	code, err := r.Stop()
	stopped.Store(true)
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	assert.NilError(t, g.Wait())
}

// TestRoutesUnderFaultsRunOnce breaks answers and kills targets; what callers
// are told must agree with what ran.
func TestRoutesUnderFaultsRunOnce(t *testing.T) {
	s := newRouteSite(t, 3)
	s.configure(t, routeConfig(1, routeKey))
	assert.NilError(t, s.AwaitReady(routeWait))
	for _, r := range s.Routers {
		s.awaitStatus(t, r.Caller, "/draft/", routeKey, 200)
	}
	for _, w := range s.Workers {
		assert.NilError(t, fleet.SetFaults(w.Address,
			fault.Fault{Step: "run", Mode: fault.Refuse, Count: 4}, fault.Fault{Step: "run", Mode: fault.DropAnswer, Count: 3},
			fault.Fault{Step: "run", Mode: fault.Cross, Count: 3}, fault.Fault{Step: "run", Mode: fault.Cut, After: 3, Count: 3}))
	}
	var answers []*routeAnswer
	kept := make(map[string]string)
	for i := range 120 {
		path := routePaths[i%len(routePaths)]
		a := s.call(s.Routers[i%3].Caller, "POST", path, routeKey)
		answers = append(answers, a)
		kept[a.id] = path
	}
	ran := s.runs(t)
	whole := 0
	for _, a := range answers {
		path := kept[a.id]
		switch {
		case a.whole(path):
			whole++
		case a.err == nil && a.status == http.StatusOK:
			t.Errorf("%s %s: an answer that is not whole looks complete: %q", a.id, path, a.body)
		case a.status == http.StatusServiceUnavailable && ran[a.id] > 0:
			t.Errorf("%s %s: told not run, ran %d times", a.id, path, ran[a.id])
		}
		if once := strings.HasPrefix(path, "/record/") || strings.HasPrefix(path, "/draft/"); once && ran[a.id] > 1 {
			t.Errorf("%s %s: ran %d times", a.id, path, ran[a.id])
		}
	}
	assert.Assert(t, whole > len(answers)/2, "%d of %d answers are whole", whole, len(answers))
}
