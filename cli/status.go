package cli

import (
	"fmt"
	"text/tabwriter"
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

type statusCommand struct{ command }

// Execute fetches the status of all routers and prints it.
func (c *statusCommand) Execute([]string) error {
	client, ctx, cancel, err := c.globals.client()
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := client.Status(ctx, new(zinccovev1.StatusRequest))
	if err != nil {
		return err
	}
	if c.globals.Output == "json" {
		return c.globals.printJSON(resp.Routers)
	}
	return c.globals.printStatus(resp.Routers)
}

// printStatus prints a table of the routers and a table of the pools that the responding router
// reported.
func (g *globals) printStatus(routers []*zinccovev1.RouterStatus) error {
	w := tabwriter.NewWriter(g.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTER\tDATA CENTRE\tVERSION\tSTATE\tSILENT")
	for _, r := range routers {
		silent := time.Duration(r.SilentMs) * time.Millisecond
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", r.Host, r.DataCentre, r.ConfigVersion, state(r), silent)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w, "\nPOOL\tAT\tQUEUED\tRUNNING\tSLOTS OF ALL")
	for _, r := range routers {
		for _, p := range r.Pools {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", p.Name, r.Host, p.Queued, p.InFlight, p.Slots)
		}
	}
	return w.Flush()
}

func state(r *zinccovev1.RouterStatus) string {
	switch {
	case !r.Reachable:
		return "unreachable"
	case r.Leaving:
		return "leaving"
	default:
		return "live"
	}
}

type auditCommand struct {
	command
	Limit uint32 `long:"limit" default:"20" description:"most entries to list"`
}

// Execute fetches the audit trail and prints it.
func (c *auditCommand) Execute([]string) error {
	client, ctx, cancel, err := c.globals.client()
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := client.Audit(ctx, &zinccovev1.AuditRequest{Limit: c.Limit})
	if err != nil {
		return err
	}
	if c.globals.Output == "json" {
		return c.globals.printJSON(resp.Entries)
	}
	for _, e := range resp.Entries {
		fmt.Fprintf(c.globals.out, "version %d from %d at %s by %s, plan %s\n", e.Version, e.FromVersion,
			time.UnixMilli(e.AtUnixMs).Format(time.RFC3339), e.Operator, e.PlanId)
		for _, d := range e.Differences {
			fmt.Fprintln(c.globals.out, "  "+d)
		}
	}
	return nil
}
