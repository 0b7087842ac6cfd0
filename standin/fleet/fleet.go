// Package fleet starts routers and stand-ins as processes on loopback, for
// demonstrations, proofs and experiments.
//
// # Usage
//
//	f, err := fleet.New(binDir)
//	defer f.Close()
//	err = f.StartPlatform()
//	engine, err := f.StartEngine("e1", "--slots", "8")
//	router, err := f.StartRouter("r1", "dc1")
//
// All ports are free ones that the programs pick themselves. Everything that
// a Fleet started ends with Close, and with the process that holds it.
package fleet

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"zinccove.example/standin/fault"
	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/platform"
)

// The operator of every fleet and its key, which guards nothing.
const (
	Operator    = "anna"
	OperatorKey = "example"
)

// Fleet is a set of processes.
type Fleet struct {
	Platform *Process
	// PlatformAddress is where the platform stand-in listens.
	PlatformAddress netip.AddrPort
	Routers         []*Router
	// Settings are lines appended to the sections of every router's settings,
	// by section.
	Settings map[string]string

	// RouterProgram runs as router: zinccoved, or zinccove-testrouter, whose
	// network can be cut. RouterArgs are its flags.
	RouterProgram string
	RouterArgs    []string

	// key is the fleet key. It differs between fleets, as a router of one may listen at a port that
	// one of another had before.
	key     string
	bin     string
	dir     string
	procs   []*Process
	targets []*Target
}

// The programs that a fleet can run as router.
const (
	ShippedRouter = "zinccoved"
	TestRouter    = "zinccove-testrouter"
)

// New returns a fleet that runs the programs in the directory bin.
func New(bin string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "zinccove-fleet-")
	return &Fleet{key: rand.Text(), bin: bin, dir: dir, RouterProgram: ShippedRouter}, err
}

// Close ends all processes, routers first.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		r.Close()
	}
	for _, p := range f.procs {
		p.Close()
	}
	os.RemoveAll(f.dir)
}

// startStandin starts a stand-in and returns the address that it prints.
func (f *Fleet) startStandin(name, kind string, args ...string) (*Process, netip.AddrPort, error) {
	p, err := start(name, filepath.Join(f.bin, "zinccove-standin"), append([]string{kind}, args...)...)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	f.procs = append(f.procs, p)
	line, err := p.awaitLine(func(string) bool { return true })
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	addr, err := netip.ParseAddrPort(line)
	return p, addr, err
}

// StartPlatform starts the platform.
func (f *Fleet) StartPlatform(args ...string) error {
	var err error
	f.Platform, f.PlatformAddress, err = f.startStandin("platform", "platform", args...)
	return err
}

// StartWorker starts a target of routes; args are its flags.
func (f *Fleet) StartWorker(id, service, dataCentre string, args ...string) (*Target, error) {
	args = append([]string{"--id", id, "--service", service, "--data-centre", dataCentre, "--platform", f.PlatformAddress.String()}, args...)
	return f.startTarget(id, "worker", dataCentre, args)
}

// PutRow writes a row of the platform's store as an operator does.
func (f *Fleet) PutRow(table, key string, value []byte) error {
	return put(f.PlatformAddress, "/rows?table="+table+"&key="+key, value)
}

// RemoveRow removes a row of the platform's store.
func (f *Fleet) RemoveRow(table, key string) error {
	return do(http.MethodDelete, f.PlatformAddress, "/rows?table="+table+"&key="+key, nil)
}

// Target is an engine or a service.
type Target struct {
	*Process
	Address    netip.AddrPort
	DataCentre string

	fleet *Fleet
	kind  string
	args  []string
}

// StartEngine starts an engine; args are its flags.
func (f *Fleet) StartEngine(name, dataCentre string, args ...string) (*Target, error) {
	return f.startTarget(name, "engine", dataCentre, args)
}

// StartService starts a plain service; args are its flags.
func (f *Fleet) StartService(name, dataCentre string, args ...string) (*Target, error) {
	return f.startTarget(name, "service", dataCentre, args)
}

// StartPassthrough starts a bare pass-through to a target.
func (f *Fleet) StartPassthrough(name string, to netip.AddrPort) (*Target, error) {
	return f.startTarget(name, "passthrough", "", []string{"--to", to.String()})
}

func (f *Fleet) startTarget(name, kind, dataCentre string, args []string) (*Target, error) {
	p, addr, err := f.startStandin(name, kind, args...)
	t := &Target{Process: p, Address: addr, DataCentre: dataCentre, fleet: f, kind: kind, args: args}
	f.targets = append(f.targets, t)
	return t, err
}

// Restart starts the target again, after it ended, at its address.
func (t *Target) Restart() error {
	args := append([]string{"--listen", t.Address.String()}, t.args...)
	p, _, err := t.fleet.startStandin(t.Name, t.kind, args...)
	t.Process = p
	return err
}

// SetFaults replaces the faults of a stand-in.
func SetFaults(addr netip.AddrPort, faults ...fault.Fault) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return put(addr, "/faults", body)
}

func put(addr netip.AddrPort, path string, body []byte) error {
	return do(http.MethodPut, addr, path, body)
}

func do(method string, addr netip.AddrPort, path string, body []byte) error {
	req, err := http.NewRequest(method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
	return nil
}

// GetJSON reads a JSON page of a stand-in or a router.
func GetJSON(addr netip.AddrPort, path string, into any) error {
	resp, err := http.Get("http://" + addr.String() + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// ListHost puts a host into the platform's list.
func (f *Fleet) ListHost(h platform.Host) error {
	body, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return put(f.PlatformAddress, "/hosts", body)
}

// Router is a running zinccoved.
type Router struct {
	*Process
	DataCentre string
	Caller     netip.AddrPort
	Control    netip.AddrPort
	Peer       netip.AddrPort
	// faults is where a test router's network is cut.
	faults netip.AddrPort
	seeds  []netip.AddrPort
	fleet  *Fleet
	// lives are all processes of the router, the present one last.
	lives []*Process
}

// StartRouter starts a router on free ports and puts it into the platform's
// list of hosts.
func (f *Fleet) StartRouter(name, dataCentre string) (*Router, error) {
	free := netip.MustParseAddrPort("127.0.0.1:0")
	r := &Router{DataCentre: dataCentre, Caller: free, Control: free, Peer: free, fleet: f}
	if err := r.start(name); err != nil {
		return nil, err
	}
	f.Routers = append(f.Routers, r)
	return r, f.ListHost(platform.Host{Name: name, DataCentre: dataCentre, Peer: r.Peer, State: platform.HostLive})
}

// Restart starts the router again, after it ended, at its addresses, with the
// given seeds.
func (r *Router) Restart(seeds ...netip.AddrPort) error {
	r.seeds = seeds
	return r.start(r.Name)
}

func (r *Router) start(name string) error {
	file := filepath.Join(r.fleet.dir, name+".ini")
	if err := os.WriteFile(file, []byte(r.settings(name)), 0o600); err != nil {
		return err
	}
	p, err := start(name, filepath.Join(r.fleet.bin, r.fleet.RouterProgram), append([]string{"--settings", file}, r.fleet.RouterArgs...)...)
	if err != nil {
		return err
	}
	r.Process = p
	r.lives = append(r.lives, p)
	if r.fleet.RouterProgram == TestRouter {
		if err := r.awaitFaults(); err != nil {
			return err
		}
	}
	line, err := p.awaitLine(saysStarted)
	if err != nil {
		return err
	}
	return r.parseStarted(line)
}

// saysStarted reports whether a line is that by which a router tells its addresses. Lines on
// targets tell when these started.
func saysStarted(line string) bool { return strings.Contains(line, `"message":"started"`) }

func (r *Router) awaitFaults() error {
	line, err := r.awaitLine(func(line string) bool { return strings.Contains(line, `"message":"faults"`) })
	if err != nil {
		return err
	}
	var faults struct{ Faults netip.AddrPort }
	err = json.Unmarshal([]byte(line), &faults)
	r.faults = faults.Faults
	return err
}

func (r *Router) parseStarted(line string) error {
	var started struct{ Caller, Control, Peer netip.AddrPort }
	if err := json.Unmarshal([]byte(line), &started); err != nil {
		return err
	}
	r.Caller, r.Control, r.Peer = started.Caller, started.Control, started.Peer
	return nil
}

func (r *Router) settings(name string) string {
	sections := []struct{ name, keys string }{
		{"host", "name = " + name + "\ndata-centre = " + r.DataCentre},
		{"listen", fmt.Sprintf("caller = %s\ncontrol = %s\npeer = %s", r.Caller, r.Control, r.Peer)},
		{"fleet", "key = " + r.fleet.key + "\nseeds = " + join(r.seeds)},
		{"platform", "address = " + r.fleet.PlatformAddress.String()},
		{"limits", "stop-delay = 200ms\nwrite-timeout = 2s"},
		{"log", ""},
		{"routes", ""},
		{"offload", ""},
		{"waiting", ""},
		{"placement", ""},
		{"streams", ""},
		{"operator." + Operator, "key-sha256 = " + config.Digest([]byte(OperatorKey)) + "\nroles = read, plan, confirm"},
	}
	var b strings.Builder
	for _, s := range sections {
		fmt.Fprintf(&b, "[%s]\n%s\n%s\n", s.name, s.keys, r.fleet.Settings[s.name])
	}
	return b.String()
}

func join(addrs []netip.AddrPort) string {
	texts := make([]string, len(addrs))
	for i, a := range addrs {
		texts[i] = a.String()
	}
	return strings.Join(texts, ", ")
}

// Running returns the routers that have not ended.
func (f *Fleet) Running() []*Router {
	return slices.DeleteFunc(slices.Clone(f.Routers), func(r *Router) bool { return r.Ended() })
}

// AwaitReady waits until every running router is ready for callers.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	return f.await(timeout, "is not ready", (*Router).ready)
}

// AwaitMembers waits until every running router hears all the others.
func (f *Fleet) AwaitMembers(timeout time.Duration) error {
	want := fmt.Sprintf("zinccove_hosts_reachable %d\n", len(f.Running())-1)
	return f.await(timeout, "does not hear all others", func(r *Router) bool {
		page, err := r.Metrics()
		return err == nil && strings.Contains(page, want)
	})
}

func (f *Fleet) await(timeout time.Duration, problem string, done func(*Router) bool) error {
	deadline := time.Now().Add(timeout)
	for _, r := range f.Running() {
		for !done(r) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s %s\n%s", r.Name, problem, r.Output())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// MetricValues returns the router's counters and gauges by name.
func (r *Router) MetricValues() (map[string]float64, error) {
	page, err := r.Metrics()
	if err != nil {
		return nil, err
	}
	return metric.Read(strings.NewReader(page))
}

// Metrics returns the router's metrics page.
func (r *Router) Metrics() (string, error) {
	resp, err := http.Get("http://" + r.Control.String() + "/metrics")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func (r *Router) ready() bool {
	resp, err := http.Get("http://" + r.Control.String() + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// GoBack has the platform's store come back from a copy of an age. What operators and targets
// wrote since is written again after some time.
func (f *Fleet) GoBack(age, again time.Duration) error {
	return put(f.PlatformAddress, fmt.Sprintf("/goback?age=%s&again=%s", age, again), nil)
}

// Forget drops the history of the platform's store.
func (f *Fleet) Forget() error { return put(f.PlatformAddress, "/forget", nil) }

// LinesAbout returns the lines of the routers' logs, also of those that ended, that contain a text.
func (f *Fleet) LinesAbout(text string) string {
	var b strings.Builder
	for _, r := range f.Routers {
		for _, p := range r.lives {
			for line := range strings.Lines(p.Output()) {
				if strings.Contains(line, text) {
					b.WriteString(line)
				}
			}
		}
	}
	return b.String()
}
