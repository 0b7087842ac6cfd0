package cli

import (
	"fmt"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

type diffCommand struct {
	command
	Positional struct {
		From uint64 `positional-arg-name:"FROM" required:"yes"`
		To   uint64 `positional-arg-name:"TO" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute fetches the differences of the two versions and prints them.
func (c *diffCommand) Execute([]string) error {
	client, ctx, cancel, err := c.globals.client()
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := client.Diff(ctx, &zinccovev1.DiffRequest{From: c.Positional.From, To: c.Positional.To})
	if err != nil {
		return err
	}
	if c.globals.Output == "json" {
		return c.globals.printJSON(resp.Differences)
	}
	for _, d := range resp.Differences {
		fmt.Fprintln(c.globals.out, d)
	}
	return nil
}

type rollbackCommand struct {
	command
	Positional struct {
		Version uint64 `positional-arg-name:"VERSION" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute requests the plan of the rollback and prints it.
func (c *rollbackCommand) Execute([]string) error {
	if c.Positional.Version == 0 {
		return usageError{"VERSION must be at least 1"}
	}
	return c.requestPlan(&zinccovev1.PlanRequest{RollbackTo: c.Positional.Version})
}
