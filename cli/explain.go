package cli

import (
	"errors"
	"io"
	"os"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/explain"
)

// explainCommand tells the life of a request from logs.
type explainCommand struct {
	command
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes" description:"the request's id"`
		Files   []string `positional-arg-name:"LOG" description:"logs of routers; standard input if there are none"`
	} `positional-args:"yes"`
}

// Execute reads all logs and prints the request's life.
func (c *explainCommand) Execute([]string) error {
	life := explain.New(c.Args.Request)
	if len(c.Args.Files) == 0 {
		if err := life.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Args.Files {
		if err := readLog(name, life.Read); err != nil {
			return err
		}
	}
	err := life.Write(c.globals.out)
	if errors.Is(err, explain.ErrNotFound) {
		return usageError{err.Error()}
	}
	return err
}

func readLog(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return errs.Wrap(err, "open log", "")
	}
	defer f.Close() //nolint:errcheck // nothing was written
	return read(f)
}
