package cli

import (
	"context"
	"os"

	"zinccove.example/zinccove/load"
)

// loadCommand runs a load experiment against a fleet on loopback addresses.
type loadCommand struct {
	command
	File string `short:"f" long:"file" required:"yes" value-name:"FILE" description:"experiment file (INI)"`
}

// Execute runs the experiment and prints its report.
func (c *loadCommand) Execute([]string) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return usageError{err.Error()}
	}
	e, err := load.Parse(c.File, body)
	if err != nil {
		return usageError{err.Error()}
	}
	report, err := load.Run(context.Background(), e, c.globals.clock)
	if err != nil {
		return err
	}
	if c.globals.Output == "json" {
		return report.WriteJSON(c.globals.out)
	}
	return report.WriteText(c.globals.out)
}
