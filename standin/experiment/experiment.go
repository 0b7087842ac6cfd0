// Package experiment measures a fleet of today's size, nine routers, nine
// engines and three services in three data centres, under loads and faults.
//
// # Usage
//
//	zinccove-experiment --bin ./bin --scenario steady --policy computed
//	zinccove-experiment --bin ./bin --scenario all --policy all --output json
//
// Scenarios stand in scenarios.go. Each run starts a fleet of its own.
package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"zinccove.example/standin/fleet"
	"zinccove.example/standin/tool"
	"zinccove.example/zinccove/load"
)

type options struct {
	Bin      string        `long:"bin" default:"bin" description:"directory of the built programs"`
	Scenario string        `long:"scenario" default:"steady" description:"a scenario, several separated by commas, or all"`
	Policy   string        `long:"policy" default:"computed" description:"policies to compare: computed, independent, counters, optimistic, or all"`
	Duration time.Duration `long:"duration" default:"20s" description:"time of each run"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the load"`
	tool.Format
}

// policies in the order of reports.
var policies = []string{"independent", "counters", "optimistic", "computed"}

// configScenario measures changes of configuration instead of requests.
const configScenario = "config"

// Main runs the experiments and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var o options
	return tool.Main("zinccove-experiment", &o, args, out, errOut, o.run)
}

// result is the JSON of one run.
type result struct {
	Scenario string       `json:"scenario"`
	Policy   string       `json:"policy"`
	Report   *load.Report `json:"report"`
}

func (o *options) run(out io.Writer) error {
	names := choose(o.Scenario, append(slices.Sorted(maps.Keys(scenarios)), configScenario))
	for _, name := range names {
		if name == configScenario {
			if err := o.measureInForce(out); err != nil {
				return err
			}
			continue
		}
		sc, known := scenarios[name]
		if !known {
			return fmt.Errorf("unknown scenario %q", name)
		}
		for _, policy := range choose(o.Policy, policies) {
			report, err := o.measure(sc, policy)
			if err != nil {
				return fmt.Errorf("%s with %s: %w", name, policy, err)
			}
			if err := o.print(out, result{name, policy, report}); err != nil {
				return err
			}
		}
	}
	return nil
}

func choose(text string, all []string) []string {
	if text == "all" {
		return all
	}
	return strings.Split(text, ",")
}

func (o *options) print(out io.Writer, r result) error {
	if o.JSON() {
		return json.NewEncoder(out).Encode(r)
	}
	fmt.Fprintf(out, "\n== %s, %s\n", r.Scenario, r.Policy)
	return r.Report.WriteText(out)
}

// Size of the fleet.
const (
	dataCentres = 3
	perCentre   = 3
	slots       = 8
	tokenTime   = "10ms"
	modelName   = "dialect"
	version     = "v1"
	startTime   = 20 * time.Second
)

// measure runs one scenario on a new fleet.
func (o *options) measure(sc scenario, policy string) (*load.Report, error) {
	f, err := fleet.New(o.Bin)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	f.RouterProgram = fleet.TestRouter
	f.RouterArgs = []string{"--policy", policy, "--routers", fmt.Sprint(dataCentres * perCentre)}
	e := sc.load(o.Duration)
	e.Seed, e.Duration, e.WarmUp = o.Seed, o.Duration, o.Duration/5
	if err := startFleet(f, e); err != nil {
		return nil, err
	}
	finish(e)
	var g errgroup.Group
	var report *load.Report
	g.Go(func() error {
		var err error
		report, err = load.Run(context.Background(), e, clockwork.NewRealClock())
		return err
	})
	if sc.fault != nil {
		g.Go(func() error { return sc.fault(f, o.Duration) })
	}
	return report, g.Wait()
}

// startFleet starts all processes, declares the customers of the experiment
// and enters the addresses into it.
func startFleet(f *fleet.Fleet, e *load.Experiment) error {
	if err := f.StartPlatform("--host-lag", "100ms"); err != nil {
		return err
	}
	var o fleet.Objects
	o.Model(modelName, version)
	o.Service("archive", "POST:/")
	for i := range e.Customers {
		o.Customer(e.Customers[i].Name, int(e.Customers[i].Weight))
	}
	for i := range dataCentres * perCentre {
		dc := fmt.Sprintf("dc%d", i/perCentre+1)
		r, err := f.StartRouter(fmt.Sprintf("r%d", i+1), dc)
		if err != nil {
			return err
		}
		e.Callers = append(e.Callers, r.Caller)
		e.Controls = append(e.Controls, r.Control)
		if err := startTargets(f, e, &o, i, dc); err != nil {
			return err
		}
	}
	_, err := f.Apply(f.Routers[0], f.Routers[1], o.String())
	return errors.Join(err, f.AwaitReady(startTime), f.AwaitMembers(startTime))
}

func startTargets(f *fleet.Fleet, e *load.Experiment, o *fleet.Objects, i int, dc string) error {
	t, err := f.StartEngine(fmt.Sprintf("e%d", i+1), dc, "--slots", fmt.Sprint(slots), "--token-time", tokenTime)
	if err != nil {
		return err
	}
	o.Engine(t, modelName, version, slots)
	e.Engines = append(e.Engines, t.Address)
	if i%perCentre > 0 {
		return nil
	}
	s, err := f.StartService(fmt.Sprintf("s%d", i+1), dc)
	if err != nil {
		return err
	}
	o.Instance(s, "archive", 4)
	return nil
}

// finish fills in what all customers have in common.
func finish(e *load.Experiment) {
	e.Slots = slots
	for i := range e.Customers {
		c := &e.Customers[i]
		c.Model = modelName
		c.Key = fleet.CustomerKey(c.Name)
		if c.Stop == 0 {
			c.Stop = e.Duration
		}
		if len(c.Routers) == 0 {
			c.Routers = allRouters()
		}
	}
}

func allRouters() []int {
	all := make([]int, dataCentres*perCentre)
	for i := range all {
		all[i] = i
	}
	return all
}
