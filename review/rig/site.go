package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Tables of the store.
const (
	tableTargets  = "servers"
	tableOperator = "op"
)

// site is a small deployment on loopback: the store in this process, routers and workers as processes.
type site struct {
	dir    string
	began  time.Time
	record *os.File
	store  *store
	server *http.Server
	// address is that of the store, at which workers also report.
	address string
	// routersStore is the address at which routers reach the store; empty for address.
	routersStore string

	mu      sync.Mutex
	events  []timedEvent
	procs   []*process
	routers []*router
	workers map[string]*workerProc
}

// timedEvent is an event and when it was reported, which a worker awaits before it begins a run.
type timedEvent struct {
	event
	at time.Time
}

// process is a child process. done is closed when it has ended.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

type router struct {
	*process
	caller, ready, control string
	settings               string
	log                    *os.File
}

type workerProc struct {
	*process
	options workerOptions
	seq     int
	state   string
}

func newSite(recordPath string) (*site, error) {
	dir, err := os.MkdirTemp("", "zinccove-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, began: time.Now(), record: record, store: newStore(), address: l.Addr().String(), workers: make(map[string]*workerProc)}
	mux := http.NewServeMux()
	mux.Handle("/-/", s.store.handler())
	mux.HandleFunc("POST /report", s.report)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l) //nolint:errcheck // ends with the process
	return s, nil
}

// note writes a line with the time to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *site) report(w http.ResponseWriter, r *http.Request) {
	var e event
	if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.events = append(s.events, timedEvent{e, time.Now()})
	s.mu.Unlock()
	s.note("worker %s: run of %s %s %s", e.Worker, e.ID, e.What, e.Path)
}

// runs returns the workers that began and that ended a request.
func (s *site) runs(id string) (began, ended []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.events {
		switch {
		case e.ID != id:
		case e.What == runBegan:
			began = append(began, e.Worker)
		case e.What == runEnded:
			ended = append(ended, e.Worker)
		}
	}
	return began, ended
}

// begunAt returns the requests that began at a worker.
func (s *site) begunAt(worker string) []timedEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []timedEvent
	for _, e := range s.events {
		if e.Worker == worker && e.What == runBegan {
			list = append(list, e)
		}
	}
	return list
}

// close ends all processes that the site started.
func (s *site) close() {
	for _, p := range s.procs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	s.server.Close()
	s.record.Close()
	os.RemoveAll(s.dir)
}

func (s *site) start(name string, out io.Writer, env []string, path string, args ...string) (*process, error) {
	cmd := exec.Command(path, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir}, env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		cmd.Wait() //nolint:errcheck // processes are killed
		close(p.done)
	}()
	s.procs = append(s.procs, p)
	return p, nil
}

func (p *process) signal(sig syscall.Signal) {
	select {
	case <-p.done:
	default:
		p.cmd.Process.Signal(sig) //nolint:errcheck // it may have ended
	}
}

// The ports of all routers, each of which has an IP address of its own.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

const routerProgram = "target/zinccoved"

// addRouters starts one router in each of the given zones, with the settings that the deploy file's
// template yields for the deployment huber-mundart.
func (s *site) addRouters(zones ...string) error {
	template, err := os.ReadFile("deploy/zinccoved.ini")
	if err != nil {
		return err
	}
	ports, err := freePorts(4)
	if err != nil {
		return err
	}
	ip := func(i int) string { return fmt.Sprintf("127.0.77.%d", i+1) }
	var seeds, regions []string
	for i, zone := range zones {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), ports[2]))
		}
		if pair := zone + ":innsbruck"; !strings.Contains(strings.Join(regions, ","), pair) {
			regions = append(regions, pair)
		}
	}
	for i, zone := range zones {
		name := fmt.Sprintf("front-%s-%d", zone, i+1)
		text := strings.NewReplacer(
			"{{nodeName}}", name, "{{zone}}", zone,
			"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", strings.Join(regions, ","),
			"{{listen.front}}", fmt.Sprintf("%s:%d", ip(i), ports[0]), "{{listen.ready}}", fmt.Sprintf("%s:%d", ip(i), ports[1]),
			"{{listen.control}}", fmt.Sprintf("%s:%d", ip(i), ports[2]), "{{ip}}:{{portRange.0}}", fmt.Sprintf("%s:%d", ip(i), ports[3]),
			"{{#seeds}}{{.}}{{,}}{{/seeds}}", strings.Join(seeds, ","), "{{bootstrap}}", "true",
			"{{platform.address}}", cmp.Or(s.routersStore, s.address), "{{limits.memoryMb}}", "284", "{{limits.cpuShare}}", "0.4",
			"{{#bounds.pass_ms}}{{bounds.pass_ms}}ms{{/bounds.pass_ms}}", "120ms", "{{bounds.graceS}}", "8",
			"{{bounds.drainMs}}", "2000", "{{heartbeatMs}}", "1200",
			"{{bounds.retryRatio}}", "0.2", "{{bounds.retrySlack}}", "58", "{{bounds.retryWindowS}}", "10", "{{bounds.exposeShare}}", "",
		).Replace(string(template))
		if strings.Contains(text, "{{") {
			return errors.New("the template has a gap that this stand-in does not fill")
		}
		r := &router{
			caller: fmt.Sprintf("%s:%d", ip(i), ports[0]), ready: fmt.Sprintf("%s:%d", ip(i), ports[1]), control: fmt.Sprintf("%s:%d", ip(i), ports[2]),
			settings: filepath.Join(s.dir, name+".ini"),
		}
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if r.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
			return err
		}
		if r.process, err = s.start(name, r.log, []string{"ZINCCOVE_NODE_FILE=" + r.settings}, routerProgram); err != nil {
			return err
		}
		s.routers = append(s.routers, r)
	}
	return nil
}

// awaitReady waits until all routers are ready.
func (s *site) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for _, r := range s.routers {
		ready := false
		for range 200 {
			resp, err := client.Get("http://" + r.ready + "/-/ready")
			if err == nil {
				resp.Body.Close()
				if ready = resp.StatusCode == http.StatusOK; ready {
					break
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		if !ready {
			return fmt.Errorf("router %s is not ready", r.name)
		}
	}
	return nil
}

// addWorker starts a worker and writes its entry.
func (s *site) addWorker(o workerOptions) error {
	if o.Address == "" {
		ports, err := freePorts(1)
		if err != nil {
			return err
		}
		o.Address = fmt.Sprintf("127.0.0.1:%d", ports[0])
	}
	o.Report = s.address
	text, err := json.Marshal(o)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p, err := s.start(o.ID, os.Stderr, nil, self, "worker", string(text))
	if err != nil {
		return err
	}
	for range 100 {
		c, err := net.Dial("tcp", o.Address)
		if err == nil {
			c.Close()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.workers[o.ID] = &workerProc{process: p, options: o, state: "ready"}
	s.enter(o.ID)
	return nil
}

// enter writes the entry of a worker with its state.
func (s *site) enter(id string) {
	w := s.workers[id]
	w.seq++
	value, _ := json.Marshal(map[string]any{
		"service": w.options.Service, "address": w.options.Address, "zone": w.options.Zone, "version": "v1", "slots": w.options.Slots,
		"state": w.state, "coldLeftMs": 0, "stage": "both", "models": []any{}, "seq": w.seq,
	})
	s.store.write([]row{{Table: tableTargets, Key: id, Value: value}}, nil)
	s.note("store: worker %s is %s", id, w.state)
}

// drain has a worker say that it leaves.
func (s *site) drain(id string) {
	s.workers[id].state = "draining"
	s.enter(id)
}

// leave removes the entry of a worker.
func (s *site) leave(id string) {
	s.store.write(nil, []row{{Table: tableTargets, Key: id}})
	s.note("store: the entry of worker %s is gone", id)
}

// configure writes a configuration.
func (s *site) configure(body string) {
	s.store.write([]row{{Table: tableOperator, Key: "config", Value: []byte(body)}}, nil)
	s.note("store: configuration acknowledged: %s", body)
}
