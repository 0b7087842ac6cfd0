package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"zinccove.example/standin/fleet"
	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/control"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/gen/zinccove/v1/zinccovev1connect"
	"zinccove.example/zinccove/load"
)

// inForce is the JSON of the measurement of configuration changes.
type inForce struct {
	Routers int `json:"routers"`
	Changes int `json:"changes"`
	// P50 and Max are from the answer to a confirmation until the version is in
	// force on a router, over all routers and changes, in milliseconds.
	P50 float64 `json:"p50_ms"`
	Max float64 `json:"max_ms"`
	// Reads and Writes are requests to the platform a second by the whole fleet.
	Reads  float64 `json:"platform_reads_per_second"`
	Writes float64 `json:"platform_writes_per_second"`
}

// measureInForce makes one change a second and watches every router.
func (o *options) measureInForce(out io.Writer) error {
	f, err := fleet.New(o.Bin)
	if err != nil {
		return err
	}
	defer f.Close()
	e := &load.Experiment{Customers: []load.Customer{{Name: "c", Weight: 1}}}
	if err := startFleet(f, e); err != nil {
		return err
	}
	before, err := platformCounts(f)
	if err != nil {
		return err
	}
	started := time.Now()
	var times []time.Duration
	changes := max(int(o.Duration/time.Second), 1)
	for i := range changes {
		next := time.Now().Add(time.Second)
		took, err := oneChange(f, i)
		if err != nil {
			return err
		}
		times = append(times, took...)
		time.Sleep(time.Until(next))
	}
	after, err := platformCounts(f)
	if err != nil {
		return err
	}
	seconds := time.Since(started).Seconds()
	slices.Sort(times)
	r := inForce{
		Routers: len(f.Routers), Changes: changes,
		P50: float64(times[len(times)/2].Microseconds()) / 1000, Max: float64(times[len(times)-1].Microseconds()) / 1000,
		Reads:  float64(after.reads()-before.reads()) / seconds,
		Writes: float64(after["commit"]-before["commit"]) / seconds,
	}
	if o.JSON() {
		return json.NewEncoder(out).Encode(r)
	}
	fmt.Fprintf(out, "\n== configuration, %d changes, %d routers\nin force after %.0f ms (p50), %.0f ms (most); platform: %.1f reads/s, %.1f writes/s by the fleet\n",
		r.Changes, r.Routers, r.P50, r.Max, r.Reads, r.Writes)
	return nil
}

// counts are the requests that the platform stand-in served, by step.
type counts map[string]int

func (c counts) reads() int { return c["get"] + c["list"] + c["hosts"] + c["object"] }

func platformCounts(f *fleet.Fleet) (counts, error) {
	c := make(counts)
	return c, fleet.GetJSON(f.PlatformAddress, "/counts", &c)
}

func operatorClient(r *fleet.Router) zinccovev1connect.IntentServiceClient {
	return zinccovev1connect.NewIntentServiceClient(http.DefaultClient, "http://"+r.Control.String(), control.Authorize(fleet.Operator, fleet.OperatorKey))
}

// oneChange plans and confirms a change and returns the time until it is in
// force on each router.
func oneChange(f *fleet.Fleet, i int) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := operatorClient(f.Routers[i%len(f.Routers)])
	ch := config.Put(config.Customer{Name: "changed", Weight: uint32(i%100 + 1)})
	body, err := json.Marshal(ch)
	if err != nil {
		return nil, err
	}
	plan, err := c.Plan(ctx, &zinccovev1.PlanRequest{ChangesJson: [][]byte{body}})
	if err != nil {
		return nil, err
	}
	done, err := c.Confirm(ctx, &zinccovev1.ConfirmRequest{PlanId: plan.Plan.Id})
	if err != nil {
		return nil, err
	}
	confirmed := time.Now()
	took := make([]time.Duration, len(f.Routers))
	var g errgroup.Group
	for k, r := range f.Routers {
		g.Go(func() error {
			err := awaitInForce(ctx, r, done.Version)
			took[k] = time.Since(confirmed)
			return err
		})
	}
	return took, g.Wait()
}

// lookPeriod is the time between looks at a router's version.
const lookPeriod = 20 * time.Millisecond

func awaitInForce(ctx context.Context, r *fleet.Router, version uint64) error {
	c := operatorClient(r)
	for {
		resp, err := c.Status(ctx, new(zinccovev1.StatusRequest))
		if err != nil {
			return err
		}
		if len(resp.Routers) > 0 && resp.Routers[0].ConfigVersion >= version {
			return nil
		}
		time.Sleep(lookPeriod)
	}
}
