package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// zones are the data centres of the deployment.
var zones = []string{"hall-a", "hall-b", "hall-c"}

// bounds are figures of the deployment's sheet.
const (
	drainMs     = 2000
	graceS      = 8
	heartbeatMs = 1200
)

// router is a process of zinccoved with an address of loopback of its own.
type router struct {
	name, zone, ip string
	front, ready   string
	file           string
	// platform is the address of the store that the settings name, if it is not that of the store itself.
	platform string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// fleet is a small deployment: a store, routers and workers.
type fleet struct {
	root, dir string
	store     *store
	routers   []*router
	workers   []*worker
	record    *record
	memoryMB  int
	// storeOf holds the addresses by which single routers reach the store.
	storeOf map[string]string
	ports   [4]int
}

// newFleet starts the store.
func newFleet(rec *record) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, store: s, record: rec, memoryMB: 284, storeOf: make(map[string]string)}
	for i := range f.ports {
		if f.ports[i], err = freePort(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close() //nolint:errcheck // the port is free then
	return l.Addr().(*net.TCPAddr).Port, nil
}

// ipOf returns the address of the n-th router. All routers use the same ports, as on the platform.
func ipOf(n int) string { return fmt.Sprintf("127.77.%d.%d", os.Getpid()%200+1, n+1) }

// settings fills the template of the deployment as the platform does.
func (f *fleet) settings(r *router, firstStart bool) (string, error) {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", "zinccoved.ini"))
	if err != nil {
		return "", err
	}
	at := func(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, f.ports[port]) }
	var regions, seeds []string
	for i, z := range zones {
		regions = append(regions, z+":innsbruck")
		seeds = append(seeds, at(ipOf(i), 2))
	}
	return strings.NewReplacer(
		"{{nodeName}}", r.name, "{{zone}}", r.zone,
		"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", strings.Join(regions, ","),
		"{{listen.front}}", at(r.ip, 0), "{{listen.ready}}", at(r.ip, 1), "{{listen.control}}", at(r.ip, 2),
		"{{ip}}:{{portRange.0}}", at(r.ip, 3),
		"{{#seeds}}{{.}}{{,}}{{/seeds}}", strings.Join(seeds, ","),
		"{{bootstrap}}", fmt.Sprint(firstStart), "{{platform.address}}", cmp.Or(r.platform, f.store.addr),
		"{{limits.memoryMb}}", fmt.Sprint(f.memoryMB), "{{limits.cpuShare}}", "0.4",
		"{{#bounds.pass_ms}}{{bounds.pass_ms}}ms{{/bounds.pass_ms}}", "120ms",
		"{{bounds.graceS}}", fmt.Sprint(graceS), "{{bounds.drainMs}}", fmt.Sprint(drainMs), "{{heartbeatMs}}", fmt.Sprint(heartbeatMs),
		"{{bounds.retryRatio}}", "0.2", "{{bounds.retrySlack}}", "58", "{{bounds.retryWindowS}}", "10",
		"{{bounds.exposeShare}}", "",
	).Replace(string(text)), nil
}

// startRouter starts the n-th router of the deployment, whose zones take turns.
func (f *fleet) startRouter(n int) (*router, error) {
	return f.addRouter(zones[n%len(zones)], n/len(zones)+1, true)
}

// addRouter starts the router of a number in a zone.
func (f *fleet) addRouter(zone string, number int, firstStart bool) (*router, error) {
	r := &router{name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, ip: ipOf(len(f.routers))}
	r.platform = f.storeOf[r.name]
	r.front, r.ready = fmt.Sprintf("%s:%d", r.ip, f.ports[0]), fmt.Sprintf("%s:%d", r.ip, f.ports[1])
	r.file = filepath.Join(f.dir, r.name+".ini")
	f.routers = append(f.routers, r)
	return r, f.launch(r, firstStart)
}

// launch starts the process of a router as the deploy file says.
func (f *fleet) launch(r *router, firstStart bool) error {
	text, err := f.settings(r, firstStart)
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.cmd = exec.Command(filepath.Join(f.root, "target", "zinccoved"))
	r.cmd.Dir, r.cmd.Env = f.root, []string{"ZINCCOVE_NODE_FILE=" + r.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait() //nolint:errcheck // the record tells how it ended
		log.Close()
		f.record.add("router %s ended: %s", r.name, cmd.ProcessState)
		close(ended)
	}(r.cmd, r.ended)
	return nil
}

// isReady asks as the platform's entry does.
func (r *router) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + r.ready + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close() //nolint:errcheck // nobody reads it
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready.
func (f *fleet) awaitReady() error {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, r := range f.routers {
			if r.isReady() {
				ready++
			}
		}
		if ready == len(f.routers) {
			return nil
		}
	}
	return fmt.Errorf("routers are not ready")
}

// signal sends a signal to the process of a router.
func (f *fleet) signal(r *router, sig syscall.Signal) {
	f.record.add("%s to router %s", sig, r.name)
	r.cmd.Process.Signal(sig) //nolint:errcheck // it may have ended
}

// close ends all processes that were started.
func (f *fleet) close() {
	for _, r := range f.routers {
		if r.cmd != nil && r.cmd.Process != nil {
			r.cmd.Process.Kill() //nolint:errcheck // it may have ended
			<-r.ended
		}
	}
	os.RemoveAll(f.dir) //nolint:errcheck // a temporary folder
}
