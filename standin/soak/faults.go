package soak

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"zinccove.example/standin/fault"
	"zinccove.example/standin/fleet"
	"zinccove.example/standin/routesite"
	"zinccove.example/zinccove/platform/wire"
)

// kind is a fault: it begins, lasts and is mended.
type kind struct {
	name string
	// begin starts the fault and returns what ends it.
	begin func(*run) (mend func() error, err error)
}

// kinds are all faults of a soak.
var kinds = []kind{
	{"connections to a target", (*run).disturbProxy},
	{"store", (*run).disturbStore},
	{"router frozen", (*run).freezeRouter},
	{"router killed", func(r *run) (func() error, error) { return r.endRouter(r.killRouter) }},
	{"router stopped", func(r *run) (func() error, error) { return r.endRouter(r.stopRouter) }},
	{"target frozen", (*run).freezeTarget},
	{"target added", (*run).addTarget},
	{"configuration", (*run).reconfigure},
	{"history forgotten", func(r *run) (func() error, error) { return nothing, r.site.Forget() }},
	{"store silent", (*run).silenceStore},
	{"store goes back", (*run).goBack},
	{"request ends targets", (*run).endTargets},
	{"target wants backoffs", (*run).wantBackoff},
	{"target says that it leaves", (*run).sayLeaving},
	{"targets break streams", (*run).breakStreams},
	{"part of prompts ends targets", (*run).endTargetsByPart},
	{"open connections silent", (*run).muteConnections},
	{"limits of the configuration", (*run).changeLimits},
	{"odd entries", (*run).writeOddEntries},
}

func nothing() error { return nil }

const (
	// longestPause and longestFault bound the time between the beginnings of two
	// faults and how long one lasts: several overlap.
	longestPause = 600 * time.Millisecond
	longestFault = 2500 * time.Millisecond
)

// disturb injects faults until the duration is over and all are mended.
func (r *run) disturb() error {
	var g errgroup.Group
	busy := make(map[int]bool)
	ended := make(chan int, r.options.Kinds)
	stop := time.Now().Add(r.options.Duration)
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(r.draw.Int64N(int64(longestPause))))
		for len(ended) > 0 {
			delete(busy, <-ended)
		}
		at := r.draw.IntN(r.options.Kinds)
		lasts := time.Duration(r.draw.Int64N(int64(longestFault)))
		if busy[at] {
			continue
		}
		busy[at] = true
		mend, err := kinds[at].begin(r)
		if err != nil {
			return fmt.Errorf("%s: %w", kinds[at].name, err)
		}
		r.report.Faults = append(r.report.Faults, kinds[at].name)
		g.Go(func() error {
			time.Sleep(lasts)
			err := mend()
			ended <- at
			return err
		})
	}
	return g.Wait()
}

// mend ends all faults of connections and of the store.
func (r *run) mend() {
	for _, p := range r.proxies {
		p.set(pass)
	}
	fleet.SetFaults(r.site.PlatformAddress) //nolint:errcheck // recovery tells
}

func (r *run) disturbProxy() (func() error, error) {
	p := r.proxies[r.draw.IntN(len(r.proxies))]
	w := way(1 + r.draw.IntN(int(ways)-1))
	r.report.Faults = append(r.report.Faults, wayNames[w])
	p.set(w)
	return func() error { p.set(pass); return nil }, nil
}

func (r *run) disturbStore() (func() error, error) {
	modes := []fault.Mode{fault.Refuse, fault.Delay, fault.DropAnswer, fault.DropRequest}
	mode := modes[r.draw.IntN(len(modes))]
	var faults []fault.Fault
	for _, step := range []string{"list", "get", "feed", "hosts", "commit"} {
		faults = append(faults, fault.Fault{Step: step, Mode: mode, Delay: 300 * time.Millisecond})
	}
	r.report.Faults = append(r.report.Faults, string(mode))
	mend := func() error { return fleet.SetFaults(r.site.PlatformAddress) }
	return mend, fleet.SetFaults(r.site.PlatformAddress, faults...)
}

// silenceStore has the store take calls and never answer them.
func (r *run) silenceStore() (func() error, error) {
	const never = time.Minute
	var faults []fault.Fault
	for _, step := range []string{"list", "feed"} {
		faults = append(faults, fault.Fault{Step: step, Mode: fault.Delay, Delay: never})
	}
	return func() error { return fleet.SetFaults(r.site.PlatformAddress) }, fleet.SetFaults(r.site.PlatformAddress, faults...)
}

func (r *run) router() *fleet.Router { return r.site.Routers[r.draw.IntN(len(r.site.Routers))] }

func (r *run) freezeRouter() (func() error, error) {
	router := r.router()
	process := router.Process
	r.upset(router)
	return thaw(process), freeze(process)
}

func (r *run) freezeTarget() (func() error, error) {
	r.mu.Lock()
	targets := slices.DeleteFunc(slices.Clone(r.site.Workers), func(w *fleet.Target) bool { return r.speakers[w] })
	process := targets[r.draw.IntN(len(targets))].Process
	r.mu.Unlock()
	return thaw(process), freeze(process)
}

func freeze(p *fleet.Process) error {
	if p.Ended() {
		return nil
	}
	return p.Signal(syscall.SIGSTOP)
}

func thaw(p *fleet.Process) func() error {
	return func() error {
		if p.Ended() {
			return nil
		}
		return p.Signal(syscall.SIGCONT)
	}
}

// endRouter ends a router when the fault is mended, and starts it again.
func (r *run) endRouter(end func(*fleet.Process)) (func() error, error) {
	router := r.router()
	process := router.Process
	r.inspect(process)
	if process.Ended() {
		return nothing, nil
	}
	seed := r.router().Peer
	return func() error {
		thaw(process)() //nolint:errcheck // it may have ended
		r.expectEnd(process)
		r.upset(router)
		end(process)
		r.inspect(process)
		r.mu.Lock()
		defer r.mu.Unlock()
		if router.Process != process {
			return nil
		}
		return router.Restart(seed)
	}, nil
}

// expectEnd notes that the run is about to end a router.
func (r *run) expectEnd(p *fleet.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[p] = true
}

// inspect looks for a router that ended by itself, for panics and data races.
func (r *run) inspect(p *fleet.Process) {
	r.mu.Lock()
	expected := r.ended[p]
	r.mu.Unlock()
	if p.Ended() && !expected {
		r.violate("%s ended by itself: %s", p.Name, p.Output())
	}
	if strings.Contains(p.Output(), "panic:") || strings.Contains(p.Output(), "DATA RACE") {
		r.violate("%s: %s", p.Name, p.Output())
	}
}

func (r *run) killRouter(p *fleet.Process) {
	r.mu.Lock()
	r.killed[p] = true
	r.mu.Unlock()
	p.Kill()
}

func (r *run) wasKilled(p *fleet.Process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.killed[p]
}

// stopRouter makes a planned stop, which has to end well.
func (r *run) stopRouter(p *fleet.Process) {
	if p.Ended() {
		return
	}
	code, err := p.Stop()
	if r.wasKilled(p) {
		return
	}
	if err != nil || code != 0 {
		r.violate("planned stop of %s: code %d, %v", p.Name, code, err)
	}
}

// addTarget starts one more target.
func (r *run) addTarget() (func() error, error) {
	services := []string{routesite.Model, routesite.Plain}
	_, err := r.startTarget(services[r.draw.IntN(len(services))], r.draw.IntN(r.options.Routers), shortDrain)
	return nothing, err
}

// goBack has the store come back from a copy that is some seconds old.
func (r *run) goBack() (func() error, error) {
	const oldest, longestAgain = 6 * time.Second, 1500 * time.Millisecond
	age, again := time.Duration(r.draw.Int64N(int64(oldest))), time.Duration(r.draw.Int64N(int64(longestAgain)))
	r.report.Faults = append(r.report.Faults, fmt.Sprint(age.Round(time.Millisecond)))
	return nothing, r.site.GoBack(age, again)
}

// revokedFrom is the first version of the configuration without the revoked key.
const revokedFrom = 4

// reconfigure writes a new version.
func (r *run) reconfigure() (func() error, error) {
	r.version += 1 + r.draw.IntN(3)
	keys := []string{key}
	if r.version < revokedFrom {
		keys = append(keys, revoked)
	}
	return nothing, r.site.Configure(routesite.Config(r.version, keys...))
}

// changeLimits writes a new version with other limits, which all requests of the run meet.
func (r *run) changeLimits() (func() error, error) {
	r.version++
	keys := []string{key}
	if r.version < revokedFrom {
		keys = append(keys, revoked)
	}
	limits := fmt.Sprintf(`"maxHeaderBytes":%d,"headerTimeoutMs":%d,"idleTimeoutMs":%d`,
		4096<<r.draw.IntN(6), 500+r.draw.IntN(3000), 500+r.draw.IntN(5000))
	return nothing, r.site.Configure(routesite.WithLimits(routesite.Config(r.version, keys...), limits))
}

// muteConnections has the open connections to a target go silent, while new ones work.
func (r *run) muteConnections() (func() error, error) {
	r.proxies[r.draw.IntN(len(r.proxies))].mute()
	return nothing, nil
}

// writeOddEntries leaves entries that cannot be read, and takes them away again.
func (r *run) writeOddEntries() (func() error, error) {
	values := []string{
		strings.Repeat("[", 50_000),
		`{"service":"plain","address":"127.0.0.1:99999","zone":"dc1","version":"v1","slots":1e999,"state":"ready","coldLeftMs":0,"seq":1}`,
		`{"name":"odd","data_centre":"dc1","peer":"127.0.0.1:99999","state":"live"}`,
	}
	value := []byte(values[r.draw.IntN(len(values))])
	tables := []string{wire.TableTargets, wire.TableRouters, wire.TableOperator}
	for _, table := range tables {
		if err := r.site.PutRow(table, "odd", value); err != nil {
			return nil, err
		}
	}
	return func() error {
		for _, table := range tables {
			if err := r.site.RemoveRow(table, "odd"); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

// recover waits until every router serves each path.
func (r *run) recover() bool {
	deadline := time.Now().Add(recovery)
	for _, router := range r.site.Routers {
		for _, path := range routesite.Paths {
			for !r.site.Call(router.Caller, "POST", path, key).Whole(path) {
				if time.Now().After(deadline) {
					return false
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return true
}
