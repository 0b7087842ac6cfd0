package cli

import (
	"encoding/json"
	"fmt"
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

// printJSON prints v as one line of JSON.
func (g *globals) printJSON(v any) error {
	return json.NewEncoder(g.out).Encode(v)
}

func (g *globals) printPlan(p *zinccovev1.Plan) error {
	if g.Output == "json" {
		return g.printJSON(p)
	}
	fmt.Fprintf(g.out, "plan %s (%s) on version %d by %s, expires %s\n", p.Id, p.State, p.BaseVersion, p.Operator,
		time.UnixMilli(p.ExpiresUnixMs).Format(time.RFC3339))
	for _, d := range p.Differences {
		fmt.Fprintln(g.out, "  "+d)
	}
	for _, c := range p.Consequences {
		fmt.Fprintln(g.out, "  ! "+c)
	}
	if p.Version > 0 {
		fmt.Fprintf(g.out, "in force as version %d\n", p.Version)
	}
	return nil
}

// planArg is the positional argument of commands that operate on one plan.
type planArg struct {
	Positional struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

type planShow struct {
	command
	planArg
}

// Execute fetches the plan and prints it.
func (c *planShow) Execute([]string) error {
	client, ctx, cancel, err := c.globals.client()
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := client.ShowPlan(ctx, &zinccovev1.ShowPlanRequest{PlanId: c.Positional.ID})
	if err != nil {
		return err
	}
	return c.globals.printPlan(resp.Plan)
}

type planConfirm struct {
	command
	planArg
	Wait time.Duration `long:"wait" value-name:"TIME" description:"wait until in force on all reachable routers, at most this long"`
}

// confirmation is the JSON output for a confirmed plan.
type confirmation struct {
	Version uint64 `json:"version"`
	// Behind lists the hosts whose routers do not have the version in force yet.
	Behind []string `json:"behind,omitempty"`
}

// Execute confirms the plan and, with --wait, waits until its version is in force.
func (c *planConfirm) Execute([]string) error {
	client, ctx, cancel, err := c.globals.client()
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := client.Confirm(ctx, &zinccovev1.ConfirmRequest{PlanId: c.Positional.ID})
	if err != nil {
		return err
	}
	done := confirmation{Version: resp.Version}
	if c.Wait > 0 {
		done.Behind, err = c.wait(resp.Version)
		if err != nil {
			return err
		}
	}
	if c.globals.Output == "json" {
		return c.globals.printJSON(done)
	}
	fmt.Fprintf(c.globals.out, "version %d is accepted\n", done.Version)
	for _, host := range done.Behind {
		fmt.Fprintf(c.globals.out, "  not yet in force on %s\n", host)
	}
	return nil
}

// statusPollInterval is the pause between status requests of wait.
const statusPollInterval = 100 * time.Millisecond

// wait polls the status until version is in force on all routers or the wait time has passed. It
// returns the hosts whose routers still have an older version.
func (c *planConfirm) wait(version uint64) ([]string, error) {
	deadline := c.globals.clock.Now().Add(c.Wait)
	for {
		client, ctx, cancel, err := c.globals.client()
		if err != nil {
			return nil, err
		}
		resp, err := client.Status(ctx, new(zinccovev1.StatusRequest))
		cancel()
		if err != nil {
			return nil, err
		}
		behind := behind(resp.Routers, version)
		if len(behind) == 0 || c.globals.clock.Now().After(deadline) {
			return behind, nil
		}
		c.globals.clock.Sleep(statusPollInterval)
	}
}

func behind(routers []*zinccovev1.RouterStatus, version uint64) []string {
	var hosts []string
	for _, r := range routers {
		if r.ConfigVersion < version {
			hosts = append(hosts, r.Host)
		}
	}
	return hosts
}

type planDiscard struct {
	command
	planArg
}

// Execute discards the plan.
func (c *planDiscard) Execute([]string) error {
	client, ctx, cancel, err := c.globals.client()
	if err != nil {
		return err
	}
	defer cancel()
	_, err = client.Discard(ctx, &zinccovev1.DiscardRequest{PlanId: c.Positional.ID})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.globals.out, "plan %s is discarded\n", c.Positional.ID)
	return nil
}
