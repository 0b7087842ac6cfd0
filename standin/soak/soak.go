// Package soak runs the real programs as processes on loopback and injects
// faults from outside, drawn from a seed, while callers check what they get.
//
// Faults come in series and overlap: connections to targets that are slow,
// silent, lose answers or are reset; routers and targets that are frozen,
// killed, stopped and started again; a store that is slow, silent, refuses, loses
// answers, forgets its history or comes back from a copy; configurations that change;
// other limits for callers; open connections that go silent while new ones work; entries of the
// store that cannot be read; requests, and parts of prompts, that end their targets.
//
// # What is checked
//
//   - an answer that looks complete is the whole one of its own request;
//   - one version of the targets' software wrote all events of a stream, also if its
//     caller resumed it at other routers;
//   - a request that may not be repeated ran at most once;
//   - a request answered 429 or 503 did not run;
//   - a router that refused a revoked key never accepts it again in its life;
//   - repeats stay inside the budget;
//   - few targets end under one request, or under one part of prompts, over all routers;
//   - no other request is refused as one that ends targets;
//   - routers end by themselves only when stopped, with code 0;
//   - after the last fault all routers serve within the recovery time;
//   - then a target that leaves gets nothing new after its drain.
//
// # Usage
//
//	report, err := soak.Run(soak.Options{Bin: dir, Seed: 7, Routers: 3, Duration: 10 * time.Second})
//	for _, v := range report.Violations { ... }
//
// # Limits
//
// The faults, their order and length follow from the seed; what the processes
// make of them also depends on the machine. Only processes that the run started
// are signalled, by their ids.
package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"zinccove.example/standin/fleet"
	"zinccove.example/standin/routesite"
	"zinccove.example/standin/worker"
)

// Options configure a run. All are required.
type Options struct {
	Bin     string
	Seed    uint64
	Routers int
	// DataCentres are those over which routers and targets are spread. More than three
	// routers in one of them follow the store through each other.
	DataCentres int
	Duration    time.Duration
	// Kinds is the number of kinds of faults to draw from, in the order in which
	// they were added, so that a seed keeps its meaning; at most AllKinds.
	Kinds int
}

// AllKinds is the number of kinds of faults.
var AllKinds = len(kinds)

// Report is what a run found.
type Report struct {
	Requests int
	Whole    int
	// Resumed is the number of streams that callers resumed, ResumedWhole that of those which they
	// then received to their end.
	Resumed      int
	ResumedWhole int
	Faults       []string
	Violations   []string
	// Logs are the lines of the routers about the requests with wrong answers.
	Logs string
}

const (
	key     = "kept-key"
	revoked = "revoked-key"
	// callersPerRouter send requests one after the other.
	callersPerRouter = 4
	// recovery is the time after the last fault by which all is served again.
	recovery = 12 * time.Second
	// retryRatio and retrySlack bound the repeats, as the settings' defaults do.
	retryRatio = 0.2
	retrySlack = 50
)

// run is a soak that runs.
type run struct {
	options Options
	draw    *rand.Rand
	site    *routesite.Site
	proxies []*proxy

	mu      sync.Mutex
	answers []*routesite.Answer
	report  Report
	// refusedKey holds when each life of a router first refused the revoked key.
	refusedKey map[*fleet.Process]time.Time
	// killed are the routers that the run killed, maybe during a planned stop.
	killed map[*fleet.Process]bool
	// ended are the routers that the run ended, in either way.
	ended   map[*fleet.Process]bool
	stopped bool
	version int
	// upsets are those of routers, speakers the targets that say something of themselves:
	// what else disturbs targets leaves these alone.
	upsets   []upset
	speakers map[*fleet.Target]bool
	// quiet are the proxies of speakers.
	quiet []*proxy
	// lives counts the targets that were started.
	lives int
	// ends are the times at which targets ended, by what ended them.
	ends map[string][]time.Time
	// wrong are the requests with wrong answers.
	wrong []string
	// endedAt is when targets that ended were seen to have.
	endedAt map[*fleet.Process]time.Time
}

// Run runs a soak.
func Run(o Options) (*Report, error) {
	s, err := routesite.New(o.Bin)
	if err != nil {
		return nil, err
	}
	r := &run{options: o, draw: rand.New(rand.NewPCG(o.Seed, o.Seed)), site: s, refusedKey: make(map[*fleet.Process]time.Time), killed: make(map[*fleet.Process]bool), ended: make(map[*fleet.Process]bool), speakers: make(map[*fleet.Target]bool), ends: make(map[string][]time.Time), endedAt: make(map[*fleet.Process]time.Time), version: 1}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	var g errgroup.Group
	for i := range o.Routers * callersPerRouter {
		g.Go(func() error { r.call(i % o.Routers); return nil })
	}
	err = r.disturb()
	r.mend()
	recovered := r.recover()
	err = errors.Join(err, r.checkLeaving())
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	err = errors.Join(err, g.Wait())
	if err != nil {
		return nil, err
	}
	if !recovered {
		r.violate("not all routers serve %s after the last fault", recovery)
	}
	for _, id := range r.wrong {
		r.report.Logs += r.site.LinesAbout(fmt.Sprintf("%q", id))
	}
	return &r.report, r.judge()
}

func (r *run) close() {
	r.mend()
	r.site.Close()
	for _, p := range slices.Concat(r.proxies, r.quiet) {
		p.close()
	}
}

func (r *run) start() error {
	for i := range r.options.Routers {
		for _, service := range []string{routesite.Model, routesite.Plain} {
			if _, err := r.startTarget(service, i, shortDrain); err != nil {
				return err
			}
		}
	}
	for i := range r.options.Routers {
		if _, err := r.site.StartRouter(fmt.Sprintf("r%d-%s", i, r.site.Name), r.dataCentre(i)); err != nil {
			return err
		}
	}
	if err := r.site.Configure(routesite.Config(r.version, key, revoked)); err != nil {
		return err
	}
	return r.site.AwaitReady(recovery)
}

// dataCentre is that of a router or target.
func (r *run) dataCentre(i int) string { return fmt.Sprintf("dc%d", i%r.options.DataCentres) }

// shortDrain is how long most targets serve on when they are stopped at the end.
const shortDrain = "300ms"

// unframedEvery and lengthEvery are the numbers of responses of a target of which one has neither length
// nor chunks, or a length.
const (
	unframedEvery = "3"
	lengthEvery   = "2"
)

// startTarget starts a target behind a proxy of its own, which goes on serving for
// drain when it leaves. Each start has a new id, as with real targets.
func (r *run) startTarget(service string, dc int, drain string) (*fleet.Target, error) {
	p, err := newProxy()
	if err != nil {
		return nil, err
	}
	r.lives++
	id := fmt.Sprintf("%s-%s-%d", service, r.site.Name, r.lives)
	w, err := r.site.AddWorker(id, service, r.dataCentre(dc), "--advertise", p.address().String(), "--drain-time", drain,
		"--unframed-every", unframedEvery, "--length-every", lengthEvery,
		"--version", versions[r.lives/2%len(versions)])
	if err != nil {
		return nil, err
	}
	p.connect(w.Address)
	r.proxies = append(r.proxies, p)
	return w, nil
}

// call sends requests to one router until the soak stops.
func (r *run) call(router int) {
	to := r.site.Routers[router]
	for n := 0; ; n++ {
		r.mu.Lock()
		done := r.stopped
		process := to.Process
		r.mu.Unlock()
		if done {
			return
		}
		path := routesite.Paths[n%len(routesite.Paths)]
		if path == streamPath {
			r.stream(router, n/len(routesite.Paths))
			continue
		}
		a := r.site.Call(to.Caller, "POST", path, key)
		r.take(a)
		if n%8 == 0 {
			r.tryRevoked(to, process)
		}
		if a.Status != 200 {
			time.Sleep(30 * time.Millisecond)
		}
	}
}

// checkLeaving has a target leave once the store has been back for a while, and
// compares what it ran when its drain was over and a second later.
func (r *run) checkLeaving() error {
	const (
		back  = 3 * time.Second
		known = time.Second
		drain = 2 * time.Second
		more  = time.Second
	)
	time.Sleep(back)
	w, err := r.startTarget(routesite.Plain, 0, "6s")
	if err != nil {
		return err
	}
	time.Sleep(known)
	var g errgroup.Group
	g.Go(func() error {
		_, err := w.Stop()
		return err
	})
	time.Sleep(drain)
	before, err := runsOf(w)
	if err != nil {
		return err
	}
	time.Sleep(more)
	after, err := runsOf(w)
	if err != nil {
		return err
	}
	if after > before {
		r.violate("%d requests reached a target %s after it had said that it leaves", after-before, drain)
	}
	return g.Wait()
}

// runsOf is the number of requests that a target ran.
func runsOf(w *fleet.Target) (int, error) {
	var runs map[string]worker.Run
	err := fleet.GetJSON(w.Address, "/runs", &runs)
	return len(runs), err
}

func (r *run) take(a *routesite.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
	r.report.Requests++
	switch {
	case a.Path == streamPath: // see takeStream
	case a.Whole(a.Path):
		r.report.Whole++
	case a.Status == 503 && strings.HasPrefix(a.Body, "ends_targets"):
		r.report.Violations = append(r.report.Violations, fmt.Sprintf("%s %s: refused as one that ends targets", a.ID, a.Path))
	case a.Complete():
		r.report.Violations = append(r.report.Violations, fmt.Sprintf("%s %s: %s: not the whole own answer looks complete: %.80q", a.ID, a.Path, disorderOf(a), a.Body))
		r.wrong = append(r.wrong, a.ID)
	}
}

// disorderOf returns how the answer is out of order if it is a stream.
func disorderOf(a *routesite.Answer) routesite.Disorder {
	if !routesite.Streaming(a.Path) {
		return "no stream"
	}
	return a.Disorder()
}

// tryRevoked asks with the key that is taken away during the run.
func (r *run) tryRevoked(to *fleet.Router, process *fleet.Process) {
	a := r.site.Call(to.Caller, "POST", "/lookup/", revoked)
	r.mu.Lock()
	defer r.mu.Unlock()
	if to.Process != process {
		return // restarted meanwhile
	}
	switch at, refused := r.refusedKey[process]; {
	case a.Status == 401 && !refused:
		r.refusedKey[process] = time.Now()
	case a.Status == 200 && refused && a.Sent.After(at):
		r.report.Violations = append(r.report.Violations, fmt.Sprintf("%s accepts a key again that it refused", to.Name))
	}
}

// judge compares what callers were told with what ran.
func (r *run) judge() error {
	ran, err := r.site.Runs()
	if err != nil {
		return err
	}
	runs := 0
	for _, a := range r.answers {
		n := ran[a.ID]
		runs += n
		if n > 1 && routesite.Once(a.Path) {
			r.violate("%s %s ran %d times", a.ID, a.Path, n)
		}
		if n > 0 && (a.Status == 429 || a.Status == 503) {
			r.violate("%s %s was told not run (%d), ran %d times", a.ID, a.Path, a.Status, n)
		}
	}
	requests := len(r.answers)
	if float64(runs-requests) > retryRatio*float64(requests)+retrySlack {
		r.violate("%d runs for %d requests exceed the budget of repeats", runs, requests)
	}
	for _, router := range r.site.Routers {
		r.inspect(router.Process)
	}
	return nil
}

func (r *run) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}
