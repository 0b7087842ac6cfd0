package cli

import (
	"errors"
	"io"
	"os"
	"time"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/explain"
)

// explainCommand reconstructs the timeline of a request from logs.
type explainCommand struct {
	command
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes" description:"the request's id"`
		Files   []string `positional-arg-name:"LOG" description:"logs of routers; standard input if there are none"`
	} `positional-args:"yes"`
}

// Execute reads all logs and prints the request's timeline.
func (c *explainCommand) Execute([]string) error {
	timeline := explain.NewTimeline(c.Args.Request)
	if err := readLogs(c.Args.Files, timeline.Read); err != nil {
		return err
	}
	return asUsage(timeline.Write(c.globals.out))
}

// decisionsCommand summarizes which requests were placed and refused, and why.
type decisionsCommand struct {
	command
	Args struct {
		Files []string `positional-arg-name:"LOG" description:"logs of routers; standard input if there are none"`
	} `positional-args:"yes"`
}

// Execute reads all logs and prints the summary.
func (c *decisionsCommand) Execute([]string) error {
	decisions := explain.NewDecisions()
	if err := readLogs(c.Args.Files, decisions.Read); err != nil {
		return err
	}
	return asUsage(decisions.Write(c.globals.out))
}

// departuresCommand summarizes the delay with which routers learned that targets were draining.
type departuresCommand struct {
	command
	Drain time.Duration `long:"drain" default:"2s" description:"time after which a target that leaves must get nothing new"`
	Args  struct {
		Files []string `positional-arg-name:"LOG" description:"logs of routers; standard input if there are none"`
	} `positional-args:"yes"`
}

// Execute reads all logs and prints the summary.
func (c *departuresCommand) Execute([]string) error {
	departures := explain.NewDepartures(c.Drain)
	if err := readLogs(c.Args.Files, departures.Read); err != nil {
		return err
	}
	return asUsage(departures.Write(c.globals.out))
}

// asUsage converts the errors that mean that the logs lack the requested records into usage
// errors. It returns other errors unchanged.
func asUsage(err error) error {
	if errors.Is(err, explain.ErrNotFound) || errors.Is(err, explain.ErrNoDecisions) || errors.Is(err, explain.ErrNoDepartures) {
		return usageError{err.Error()}
	}
	return err
}

// readLogs calls read for each named log, or for standard input if there are no names.
func readLogs(names []string, read func(io.Reader) error) error {
	if len(names) == 0 {
		return read(os.Stdin)
	}
	for _, name := range names {
		if err := readLog(name, read); err != nil {
			return err
		}
	}
	return nil
}

func readLog(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return errs.Wrap(err, "open log", "")
	}
	defer f.Close() //nolint:errcheck // the file was only read
	return read(f)
}
