package daemon

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"zinccove.example/zinccove/bootclock"
	"zinccove.example/zinccove/gateway"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/settings"
)

// Version is the released version.
const Version = "0.1.0"

// Exit codes of zinccoved.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

type commandLine struct {
	Settings string `short:"s" long:"settings" env:"ZINCCOVE_NODE_FILE" value-name:"FILE" description:"settings file (INI)"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
	Example  bool   `long:"example" description:"print an annotated settings file and exit"`
	Metrics  bool   `long:"metrics" description:"print the reference of all metrics and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Main runs the command line of zinccoved and returns the exit code: 0 after a
// graceful shutdown, 1 after a failure, 2 for an invalid command line or settings file.
func Main(args []string, out, errOut io.Writer) int {
	var cl commandLine
	p := flags.NewParser(&cl, flags.HelpFlag)
	p.Name = "zinccoved"
	rest, err := p.ParseArgs(args)
	switch {
	case flags.WroteHelp(err):
		fmt.Fprintln(out, err)
		return exitOK
	case err != nil:
		fmt.Fprintln(errOut, "zinccoved:", err)
		return exitSettings
	case len(rest) > 0:
		fmt.Fprintf(errOut, "zinccoved: unexpected argument %q\n", rest[0])
		return exitSettings
	}
	return cl.run(out, errOut)
}

func (cl *commandLine) run(out, errOut io.Writer) int {
	// The steps of a request are milliseconds apart, so timestamps need fractions of a second.
	zerolog.TimeFieldFormat = time.RFC3339Nano
	switch {
	case cl.Version:
		fmt.Fprintln(out, "zinccoved", Version)
		return exitOK
	case cl.Example:
		fmt.Fprint(out, settings.Reference())
		return exitOK
	case cl.Metrics:
		fmt.Fprint(out, metric.Reference())
		return exitOK
	case cl.Settings == "":
		fmt.Fprintln(errOut, "zinccoved: --settings FILE is required")
		return exitSettings
	}
	s, err := settings.Load(cl.Settings)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitSettings
	}
	if cl.Check {
		fmt.Fprintln(out, cl.Settings+": ok")
		return exitOK
	}
	if s.RouteSource == settings.SourceStore {
		return serveRoutes(s, out)
	}
	return serve(s, errOut)
}

// gcPercent trades memory for CPU time: a router's live heap is small, so at the default
// percentage the garbage collector runs many times a second under load.
const gcPercent = 400

// memoryLimitShare is the fraction of the allowed memory that is set as the runtime's memory
// limit, near which the garbage collector runs more often. The rest is for sockets and memory
// that is released late. With 0.5 and 2,000 connections in 184 MB, garbage collection used up
// the CPU and streams stalled for seconds; with 0.75 a flood of requests left only 5 MB of the
// 184 MB free.
const memoryLimitShare = 0.65

// serveRoutes runs a router that takes its routes from the platform's store, until a signal
// stops it. On SIGHUP it logs that changed settings apply to the next start.
func serveRoutes(s *settings.Settings, out io.Writer) int {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory()) * memoryLimitShare))
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	g, err := gateway.Start(gateway.Options{Settings: s, Clock: bootclock.New(), Out: out})
	if err != nil {
		fmt.Fprintln(out, "zinccoved: start failed:", err)
		return exitFailed
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		g.Reload()
	}
	if err := g.Close(); err != nil {
		fmt.Fprintln(out, "zinccoved: stop failed:", err)
		return exitFailed
	}
	return exitOK
}

// serve runs a router that takes its configuration from the platform or its peers, until a
// signal stops it.
func serve(s *settings.Settings, errOut io.Writer) int {
	debug.SetGCPercent(gcPercent)
	uuid.EnableRandPool()
	log := zerolog.New(errOut).Level(s.LogLevel).With().Timestamp().Str("host", s.Host).Logger()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	d, err := Start(Options{Settings: s, Clock: bootclock.New(), Log: log})
	if err != nil {
		log.Error().Err(err).Msg("start failed")
		return exitFailed
	}
	<-signals
	if err := d.Close(); err != nil {
		log.Error().Err(err).Msg("stop failed")
		return exitFailed
	}
	return exitOK
}
