// Package overhead measures what a router costs against calling the target
// directly and against a bare pass-through, in one run.
//
// # Usage
//
//	zinccove-overhead --bin ./bin
//
// Calls go to a service that answers at once, first as fast as possible, then
// at half of the router's rate. Streams go to an engine. Processor time is
// that of the measured process, so "a core" means a core of the router alone.
package overhead

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"zinccove.example/standin/fleet"
	"zinccove.example/standin/tool"
)

type options struct {
	Bin      string        `long:"bin" default:"bin" description:"directory of the built programs"`
	Duration time.Duration `long:"duration" default:"5s" description:"time of each measurement"`
	Idle     int           `long:"idle" default:"10000" description:"idle streams for the measurement of memory"`
}

// Main runs the measurements and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var o options
	return tool.Main("zinccove-overhead", &o, args, out, errOut, o.run)
}

const (
	customer  = "c"
	model     = "m"
	version   = "v1"
	service   = "echo"
	engines   = 3
	slots     = 4096
	workers   = 256
	startTime = 20 * time.Second
)

// bench is the fleet under measurement.
type bench struct {
	*fleet.Fleet
	router      *fleet.Router
	service     *fleet.Target
	passthrough *fleet.Target
}

func (o *options) run(out io.Writer) error {
	f, err := fleet.New(o.Bin)
	if err != nil {
		return err
	}
	defer f.Close()
	f.Settings = map[string]string{"limits": fmt.Sprintf("queue-per-customer = %d", 2*o.Idle)}
	b := &bench{Fleet: f}
	if err := b.start(); err != nil {
		return err
	}
	for _, measure := range []func(*bench, io.Writer) error{o.calls, o.streams, o.flood, o.idle} {
		if err := measure(b, out); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) start() error {
	if err := b.StartPlatform("--host-lag", "100ms"); err != nil {
		return err
	}
	var err error
	if b.router, err = b.StartRouter("r1", "dc1"); err != nil {
		return err
	}
	if b.service, err = b.StartService("s1", "dc1", "--call-time", "0s", "--workers", fmt.Sprint(workers)); err != nil {
		return err
	}
	if b.passthrough, err = b.StartPassthrough("p1", b.service.Address); err != nil {
		return err
	}
	var objects fleet.Objects
	objects.Customer(customer, 1)
	objects.Model(model, version)
	objects.Service(service, "")
	objects.Instance(b.service, service, workers)
	slow, err := b.StartService("s2", "dc1", "--call-time", slowCallTime, "--workers", fmt.Sprint(slowWorkers))
	if err != nil {
		return err
	}
	objects.Service(slowService, "")
	objects.Instance(slow, slowService, slowWorkers)
	for i := range engines {
		e, err := b.StartEngine(fmt.Sprintf("e%d", i+1), "dc1", "--slots", fmt.Sprint(slots), "--token-time", "20ms")
		if err != nil {
			return err
		}
		objects.Engine(e, model, version, slots)
	}
	if _, err := b.Apply(b.router, b.router, objects.String()); err != nil {
		return err
	}
	return b.AwaitReady(startTime)
}

// way is one way to the service.
type way struct {
	name string
	addr netip.AddrPort
	path string
	pid  int
}

// connections of the closed loop.
const connections = 32

// calls measures throughput and latency of calls to the service.
func (o *options) calls(b *bench, out io.Writer) error {
	ways := []way{
		{"direct", b.service.Address, "/x", b.service.PID()},
		{"pass-through", b.passthrough.Address, "/x", b.passthrough.PID()},
		{"router", b.router.Caller, "/services/" + service + "/x", b.router.PID()},
	}
	fmt.Fprintf(out, "calls, %d connections, as fast as possible\n", connections)
	rates := make(map[string]float64)
	for _, w := range ways {
		m, err := closedLoop(w, connections, o.Duration, 0)
		if err != nil {
			return err
		}
		rates[w.name] = m.perCore()
		fmt.Fprintf(out, "  %-13s %s\n", w.name, m)
	}
	fmt.Fprintf(out, "  the router does %.2f of the pass-through's calls a core\n", rates["router"]/rates["pass-through"])
	half := rates["router"] / 2
	fmt.Fprintf(out, "calls at %.0f a second, half of what one core of the router does\n", half)
	for _, w := range ways {
		m, err := closedLoop(w, connections, o.Duration, half)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "  %-13s %s\n", w.name, m)
	}
	return nil
}
