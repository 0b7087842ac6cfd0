// Package proof checks the promises of the fleet with real processes: routers,
// stand-ins and the operators' client, on loopback.
package proof

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/standin/fleet"
)

// buildFlags names the environment variable with flags for building the
// programs, such as -race.
const buildFlags = "ZINCCOVE_BUILD_FLAGS"

// bin is the directory of the programs under test.
var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	var err error
	bin, err = os.MkdirTemp("", "zinccove-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(bin)
	args := []string{"build", "-o", bin + "/"}
	args = append(args, strings.Fields(os.Getenv(buildFlags))...)
	args = append(args, "zinccove.example/zinccove/cmd/...", "zinccove.example/standin/cmd/...")
	build := exec.Command("go", args...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	model   = "dialect"
	version = "v1"
	service = "archive"
	slots   = 4
	wait    = 15 * time.Second
	// callTime lets faults of processes meet calls under way.
	callTime = "150ms"
)

// site is a fleet with targets and customers.
type site struct {
	*fleet.Fleet
	Engines  []*fleet.Target
	Services []*fleet.Target
}

// newSite starts routers, each in a data centre of its own with an engine and
// a service, and declares the customers a, b and c.
func newSite(t *testing.T, routers int, engineArgs ...string) *site {
	t.Helper()
	return newSiteOf(t, fleet.ShippedRouter, routers, engineArgs...)
}

func newSiteOf(t *testing.T, program string, routers int, engineArgs ...string) *site {
	t.Helper()
	f, err := fleet.New(bin)
	assert.NilError(t, err)
	f.RouterProgram = program
	t.Cleanup(func() {
		f.Close()
		for _, r := range f.Routers {
			assert.Assert(t, !strings.Contains(r.Output(), "DATA RACE"), r.Output())
		}
	})
	s := &site{Fleet: f}
	assert.NilError(t, f.StartPlatform("--host-lag", "100ms"))
	var o fleet.Objects
	for _, c := range []string{"a", "b", "c"} {
		o.Customer(c, 1)
	}
	o.Model(model, version)
	o.Service(service, "POST:/")
	for i := range routers {
		dc := fmt.Sprintf("dc%d", i+1)
		_, err := f.StartRouter(fmt.Sprintf("r%d", i+1), dc)
		assert.NilError(t, err)
		e, err := f.StartEngine(fmt.Sprintf("e%d", i+1), dc, append([]string{"--slots", fmt.Sprint(slots)}, engineArgs...)...)
		assert.NilError(t, err)
		o.Engine(e, model, version, slots)
		s.Engines = append(s.Engines, e)
		sv, err := f.StartService(fmt.Sprintf("s%d", i+1), dc, "--call-time", callTime)
		assert.NilError(t, err)
		o.Instance(sv, service, slots)
		s.Services = append(s.Services, sv)
	}
	assert.NilError(t, f.AwaitMembers(wait))
	_, err = f.Apply(f.Routers[0], f.Routers[routers-1], o.String())
	assert.NilError(t, err)
	assert.NilError(t, f.AwaitReady(wait))
	return s
}
