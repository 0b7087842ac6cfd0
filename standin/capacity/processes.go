package capacity

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"zinccove.example/standin/fleet"
	"zinccove.example/standin/procfs"
	"zinccove.example/zinccove/metric"
)

// observe is the time over which idle processes are watched.
const observe = 10 * time.Second

const startTime = 60 * time.Second

// idleRouter is what an idle router of a fleet costs.
type idleRouter struct {
	sent, control, cpu, memory float64
}

// measureProcesses runs fleets of idle routers.
func (o *options) measureProcesses() ([]slope, error) {
	slopes := []slope{
		{Name: "idle router process: sent", Unit: "bytes/s", Per: "router of the fleet"},
		{Name: "idle router process: control loop", Unit: "% of a core", Per: "router of the fleet"},
		{Name: "idle router process: all processor time", Unit: "% of a core", Per: "router of the fleet"},
		{Name: "idle router process: memory", Unit: "MB", Per: "router of the fleet"},
	}
	for text := range strings.FieldsFuncSeq(o.Processes, func(r rune) bool { return r == ',' }) {
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, fmt.Errorf("--processes: %w", err)
		}
		r, err := o.idle(n)
		if err != nil {
			return nil, err
		}
		for i, v := range []float64{r.sent, r.control, r.cpu, r.memory} {
			slopes[i].Data = append(slopes[i].Data, point{n, v})
		}
	}
	if len(slopes[0].Data) == 0 {
		return nil, nil
	}
	return slopes, nil
}

// idle returns what one of n idle routers costs.
func (o *options) idle(n int) (idleRouter, error) {
	var cost idleRouter
	f, err := fleet.New(o.Bin)
	if err != nil {
		return cost, err
	}
	defer f.Close()
	if err := f.StartPlatform("--host-lag", "100ms"); err != nil {
		return cost, err
	}
	var objects fleet.Objects
	objects.Customer("c", 1)
	objects.Model("m", "v1")
	for i := range n {
		if _, err := f.StartRouter(fmt.Sprintf("r%d", i), fmt.Sprintf("dc%d", i%3)); err != nil {
			return cost, err
		}
	}
	if err := f.AwaitMembers(startTime); err != nil {
		return cost, err
	}
	if _, err := f.Apply(f.Routers[0], f.Routers[0], objects.String()); err != nil {
		return cost, err
	}
	return watch(f.Routers[0])
}

func watch(r *fleet.Router) (idleRouter, error) {
	var cost idleRouter
	before, cpuBefore, err := read(r)
	if err != nil {
		return cost, err
	}
	time.Sleep(observe)
	after, cpuAfter, err := read(r)
	if err != nil {
		return cost, err
	}
	memory, err := procfs.Memory(r.PID())
	seconds := observe.Seconds()
	cost.sent = (after[metric.ControlBytesSent.Name()] - before[metric.ControlBytesSent.Name()]) / seconds
	cost.control = 100 * (after[metric.ControlCPUSeconds.Name()] - before[metric.ControlCPUSeconds.Name()]) / seconds
	cost.cpu = 100 * (cpuAfter - cpuBefore).Seconds() / seconds
	cost.memory = float64(memory) / (1 << 20)
	return cost, err
}

func read(r *fleet.Router) (map[string]float64, time.Duration, error) {
	values, err := r.MetricValues()
	if err != nil {
		return nil, 0, err
	}
	cpu, err := procfs.CPUTime(r.PID())
	return values, cpu, err
}
