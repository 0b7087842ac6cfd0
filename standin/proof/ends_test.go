package proof

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
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
	// longDrain is longer than a stream.
	longDrain = 900 * time.Millisecond
	// deploymentEngines is the number of engines, with as many in each of the data centres.
	deploymentEngines = 9
	dataCentres       = 3
	// longestPause and longestStill bound the time between two ends, and how long a process stands still.
	longestPause = 400 * time.Millisecond
	longestStill = 1500 * time.Millisecond
	// callersPerRouter send requests one after the other, each streamTries times at most.
	callersPerRouter = 3
	streamTries      = 4
	// leaveEvery is the number of streams of which the caller leaves one and resumes it elsewhere.
	leaveEvery = 4
	// replaceEvery is the number of ends of engines of which one is by a new version at the same address.
	replaceEvery = 8
	// runSeedVariable names the environment variable with the seed, runTimeVariable the one with the time
	// for which processes end.
	runSeedVariable = "ZINCCOVE_ENDS_SEED"
	runTimeVariable = "ZINCCOVE_ENDS_TIME"
	defaultRunTime  = 5 * time.Second
)

// deployment is a site of three data centres of which targets and routers end while callers resume
// their streams.
type deployment struct {
	*routesite.Site
	t       *testing.T
	callers []netip.AddrPort

	// starting is held while a process starts.
	starting sync.Mutex
	// lives counts the targets that replaced others.
	lives int

	mu       sync.Mutex
	events   []string
	problems []problem
	streams  int
	whole    int
	resumed  int
}

// problem is a response that its caller must not get, and the requests that led to it.
type problem struct {
	text     string
	requests []string
}

func newDeployment(t *testing.T, routers int) *deployment {
	t.Helper()
	site, err := routesite.New(bin)
	assert.NilError(t, err)
	site.Settings["retry"] = "ratio = 1" // so that the budget of retries ends few streams
	site.Settings["streams"] = "backups = true"
	site.Settings["offload"] = "enabled = true"
	d := &deployment{Site: site, t: t}
	t.Cleanup(func() {
		for _, w := range d.Workers {
			w.Kill()
		}
		for _, r := range d.Routers {
			assert.Assert(t, !strings.Contains(r.Output(), "panic:"), r.Output())
			r.Kill()
		}
		site.Close()
	})
	for i := range deploymentEngines {
		drain := []time.Duration{shortDrain, longDrain}[i%2]
		d.addTarget(fmt.Sprint("m", i), routesite.Model, i, drain, "--version", []string{"v1", "v2"}[i/6])
	}
	for i := range dataCentres {
		d.addTarget(fmt.Sprint("p", i), routesite.Plain, i, shortDrain)
	}
	for i := range routers {
		assert.NilError(t, d.start(func() error {
			d.limit(i)
			_, err := d.StartRouter(fmt.Sprint("r", i), dataCentreOf(i))
			return err
		}))
		d.callers = append(d.callers, d.Routers[i].Caller)
	}
	configure(t, d.Site, routesite.Config(1, routeKey))
	assert.NilError(t, d.AwaitReady(routeWait))
	assert.NilError(t, d.AwaitMembers(routeWait))
	for _, r := range d.Routers {
		awaitStatus(t, d.Site, r, resumablePath, routeKey, 200)
	}
	return d
}

// addTarget adds a target whose responses have a length, chunks or neither.
func (d *deployment) addTarget(id, service string, i int, drain time.Duration, more ...string) {
	d.t.Helper()
	flags := append([]string{"--event-time", "20ms", "--unframed-every", "3", "--length-every", "2", "--halves", "--drain-time", drain.String()}, more...)
	_, err := d.AddWorker(id, service, dataCentreOf(i), flags...)
	assert.NilError(d.t, err)
}

// limit sets the limits of the router that starts next. The first one of each data centre hands streams
// over to the others.
func (d *deployment) limit(router int) {
	processor := 1.0
	if router < dataCentres {
		processor = 0.01
	}
	d.Settings["limits"] = fmt.Sprintf("memory-mb = 284\nstop-timeout = 2s\npass-within = 120ms\nprocessor = %g", processor)
}

// note records what happened to a process.
func (d *deployment) note(name, what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, fmt.Sprintf("%s %s %s", time.Now().UTC().Format("15:04:05.000"), name, what))
}

// start starts a process. A connection of another process may have its port for a moment.
func (d *deployment) start(process func() error) error {
	d.starting.Lock()
	defer d.starting.Unlock()
	for stop := time.Now().Add(routeWait); ; time.Sleep(shortDrain) {
		err := process()
		if err == nil || !strings.Contains(err.Error(), syscall.EADDRINUSE.Error()) || time.Now().After(stop) {
			return err
		}
	}
}

// away is how long a process is away that has ended.
func away(draw *rand.Rand) { time.Sleep(time.Duration(draw.Int64N(int64(targetDown)))) }

// targetEnds are the ways in which a target ends or stands still.
var targetEnds = []struct {
	name string
	end  func(*deployment, *rand.Rand, *fleet.Target) error
}{
	{"drains", func(_ *deployment, draw *rand.Rand, w *fleet.Target) error {
		_, err := w.Stop()
		away(draw)
		return err
	}},
	{"killed", func(_ *deployment, draw *rand.Rand, w *fleet.Target) error {
		w.Kill()
		away(draw)
		return nil
	}},
	{"killed and back at once", func(_ *deployment, _ *rand.Rand, w *fleet.Target) error {
		w.Kill()
		return nil
	}},
	{"killed while it drains", func(_ *deployment, draw *rand.Rand, w *fleet.Target) error {
		err := w.Signal(syscall.SIGTERM)
		time.Sleep(shortDrain / 2)
		w.Kill()
		away(draw)
		return err
	}},
	{"killed after its entry went", func(d *deployment, draw *rand.Rand, w *fleet.Target) error {
		err := d.RemoveRow(wire.TableTargets, w.Name)
		time.Sleep(shortDrain)
		w.Kill()
		away(draw)
		return err
	}},
	{"killed after its responses said that it leaves", func(_ *deployment, draw *rand.Rand, w *fleet.Target) error {
		err := fleet.SetFaults(w.Address, fault.Fault{Step: "say", Mode: fault.Leaving})
		time.Sleep(shortDrain)
		w.Kill()
		away(draw)
		return err
	}},
	{"stands still, then drains", func(_ *deployment, draw *rand.Rand, w *fleet.Target) error {
		err := standStill(draw, w.Process)
		if err == nil {
			_, err = w.Stop()
		}
		return err
	}},
	{"stands still, then killed", func(_ *deployment, draw *rand.Rand, w *fleet.Target) error {
		err := standStill(draw, w.Process)
		w.Kill()
		return err
	}},
	{"breaks streams", func(_ *deployment, draw *rand.Rand, w *fleet.Target) error {
		f := fault.Fault{Step: "run", Mode: []fault.Mode{fault.Cut, fault.Reset}[draw.IntN(2)], After: 1 + draw.IntN(15), Inside: draw.IntN(2) == 0}
		if err := fleet.SetFaults(w.Address, f); err != nil {
			return err
		}
		time.Sleep(longestPause)
		w.Kill()
		return nil
	}},
}

// replace ends a target and starts one of the next version of its software at its address.
func (d *deployment) replace(n int) error {
	w := d.Workers[n]
	w.Kill()
	if err := d.RemoveRow(wire.TableTargets, w.Name); err != nil {
		return err
	}
	return d.start(func() error {
		d.lives++
		id := fmt.Sprint(w.Name, "-", d.lives)
		other, err := d.StartWorker(id, routesite.Model, w.DataCentre, "--listen", w.Address.String(), "--slots", "16", "--events", "20",
			"--event-time", "20ms", "--unframed-every", "3", "--length-every", "2", "--halves", "--version", fmt.Sprint("v", 3+d.lives))
		if err == nil {
			d.Workers[n] = other
		}
		return err
	})
}

// standStill stops a process for a while.
func standStill(draw *rand.Rand, p *fleet.Process) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(time.Duration(draw.Int64N(int64(longestStill))))
	return p.Signal(syscall.SIGCONT)
}

// endTargetsUntil ends one after the other of every second target.
func (d *deployment) endTargetsUntil(stop time.Time, first int, draw *rand.Rand) error {
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(draw.Int64N(int64(longestPause))))
		at := first + 2*draw.IntN((len(d.Workers)-first+1)/2)
		w := d.Workers[at]
		if at < deploymentEngines && draw.IntN(replaceEvery) == 0 {
			d.note(w.Name, "replaced")
			if err := d.replace(at); err != nil {
				return err
			}
			continue
		}
		end := targetEnds[draw.IntN(len(targetEnds))]
		d.note(w.Name, end.name)
		if err := end.end(d, draw, w); err != nil {
			return fmt.Errorf("%s %s: %w", w.Name, end.name, err)
		}
		if err := d.start(w.Restart); err != nil {
			return err
		}
		d.note(w.Name, "is back")
	}
	return nil
}

// endRoutersUntil ends one router after the other.
func (d *deployment) endRoutersUntil(stop time.Time, draw *rand.Rand) error {
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(draw.Int64N(int64(2 * longestPause))))
		at := draw.IntN(len(d.Routers))
		r := d.Routers[at]
		seed := d.Routers[draw.IntN(len(d.Routers))].Peer
		way := []string{"killed", "stopped", "stands still"}[draw.IntN(3)]
		d.note(r.Name, way)
		switch way {
		case "killed":
			r.Kill()
		case "stopped":
			if _, err := r.Stop(); err != nil {
				return err
			}
		case "stands still":
			if err := standStill(draw, r.Process); err != nil {
				return err
			}
			continue
		}
		if err := d.start(func() error { d.limit(at); return r.Restart(seed) }); err != nil {
			return err
		}
		d.note(r.Name, "is back")
	}
	return nil
}

// callUntil sends requests to one router after the other.
func (d *deployment) callUntil(stop time.Time, first int) error {
	var kept routesite.Kept
	defer kept.Close()
	for n := first; time.Now().Before(stop); n++ {
		path := routesite.Paths[n%len(routesite.Paths)]
		at := n * 7
		if routesite.Streaming(path) {
			d.stream(&kept, path, n, at)
			continue
		}
		a := d.Call(d.callers[at%len(d.callers)], "POST", path, routeKey)
		if a.Complete() && !a.Whole(path) {
			d.problem(problem{fmt.Sprintf("%s: not the whole own response looks complete: %q", path, a.Body), []string{a.ID}})
		}
	}
	return nil
}

// stream receives a stream from one router after the other if it may be resumed.
func (d *deployment) stream(kept *routesite.Kept, path string, n, at int) {
	st := d.NewStream(path, routeKey)
	st.Kept = kept
	leave := func(events int) bool {
		return !routesite.Once(path) && n/len(routesite.Paths)%leaveEvery == 0 && events == 5 && len(st.Tries) == 0
	}
	for i := range streamTries {
		st.Try(d.callers[(at+i)%len(d.callers)], leave)
		if st.Whole() || st.Disorder() != routesite.InOrder || routesite.Once(path) {
			break
		}
	}
	if st.Disorder() != routesite.InOrder {
		p := problem{text: fmt.Sprintf("%s: %s: %s, %d events, versions %v, %+v", st.Disorder(), path, st.Problem, len(st.Versions), st.Versions, st.Tries)}
		for _, t := range st.Tries {
			p.requests = append(p.requests, t.ID)
		}
		d.problem(p)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.streams++
	if len(st.Tries) > 1 {
		d.resumed++
	}
	if st.Whole() {
		d.whole++
	}
}

func (d *deployment) problem(p problem) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.text = time.Now().UTC().Format("15:04:05.000 ") + p.text
	d.problems = append(d.problems, p)
}

// TestStreamsStayInOrderWhileProcessesEnd has targets and routers of both deployments end, and be back, in
// every way while streams and calls run.
func TestStreamsStayInOrderWhileProcessesEnd(t *testing.T) {
	seed, _ := strconv.ParseUint(os.Getenv(runSeedVariable), 10, 64) // not set: 0
	lasts, err := time.ParseDuration(os.Getenv(runTimeVariable))
	if err != nil {
		lasts = defaultRunTime
	}
	for _, routers := range []int{8, 9} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			d := newDeployment(t, routers)
			stop := time.Now().Add(lasts)
			var g errgroup.Group
			for i := range callersPerRouter * routers {
				g.Go(func() error { return d.callUntil(stop, i) })
			}
			for i := range 2 {
				draw := rand.New(rand.NewPCG(seed, uint64(i)))
				g.Go(func() error { return d.endTargetsUntil(stop, i, draw) })
			}
			g.Go(func() error { return d.endRoutersUntil(stop, rand.New(rand.NewPCG(seed, 2))) })
			assert.NilError(t, g.Wait())
			t.Logf("%d streams, %d whole, %d resumed by their callers, %d events of processes", d.streams, d.whole, d.resumed, len(d.events))
			for _, line := range []string{"stream resumed", "stream continued from its backup", "handed-over request ended", "end of response confirmed", "end of response not confirmed"} {
				t.Logf("%d %s", strings.Count(d.LinesAbout(fmt.Sprintf("%q", line)), "\n"), line)
			}
			for _, p := range d.problems {
				t.Error(p.text)
				for _, id := range p.requests {
					t.Log(d.LinesAbout(fmt.Sprintf("%q", id)))
				}
			}
			if t.Failed() {
				t.Log(strings.Join(d.events, "\n"))
			}
			assert.Assert(t, d.whole > d.streams/2)
		})
	}
}
