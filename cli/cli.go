// Package cli implements zinccove, the command-line client for operators.
//
// # Usage
//
//	zinccove customer put school --weight 2 --key-digest DIGEST
//	zinccove plan confirm ID
//	zinccove status
//
// The address of the router, the operator's name and the key are read from flags or from the
// environment (ZINCCOVE_ROUTER, ZINCCOVE_OPERATOR, ZINCCOVE_KEY). With
// --output json every command prints one JSON value.
//
// # Exit codes
//
// 0 success, 1 failure, 2 invalid command line or input, 3 conflict with another
// change, 4 the router is unreachable or the platform is down.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/control"
	"zinccove.example/zinccove/daemon"
	"zinccove.example/zinccove/gen/zinccove/v1/zinccovev1connect"
)

// Exit codes of zinccove.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnavailable = 4
)

// globals holds the options that all commands accept, the output and the clock.
type globals struct {
	Router   string        `long:"router" env:"ZINCCOVE_ROUTER" value-name:"ADDRESS" description:"control address of any router"`
	Operator string        `long:"operator" env:"ZINCCOVE_OPERATOR" value-name:"NAME" description:"operator's name"`
	Key      string        `long:"key" env:"ZINCCOVE_KEY" value-name:"KEY" description:"operator's key; better given in the environment"`
	Output   string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
	Timeout  time.Duration `long:"timeout" default:"15s" description:"longest time for a call"`
	Version  func()        `long:"version" description:"print the version and exit"`

	out   io.Writer
	clock clockwork.Clock
}

// command is embedded in each command and gives it the global options.
type command struct{ globals *globals }

// Main parses args, runs the command that they name and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	g := &globals{out: out, clock: clockwork.NewRealClock()}
	p := flags.NewNamedParser("zinccove", flags.HelpFlag|flags.PassDoubleDash)
	showVersion := false
	g.Version = func() { showVersion = true }
	if _, err := p.AddGroup("Global options", "", g); err != nil {
		fmt.Fprintln(errOut, "zinccove:", err)
		return exitFailed
	}
	if err := addCommands(p.Command, commands(g)); err != nil {
		fmt.Fprintln(errOut, "zinccove:", err)
		return exitFailed
	}
	p.SubcommandsOptional = true
	_, err := p.ParseArgs(args)
	switch {
	case flags.WroteHelp(err):
		fmt.Fprintln(out, err)
		return exitOK
	case showVersion:
		fmt.Fprintln(out, "zinccove", daemon.Version)
		return exitOK
	case err == nil && p.Active == nil:
		p.WriteHelp(errOut)
		return exitUsage
	case err != nil:
		fmt.Fprintln(errOut, "zinccove:", message(err))
		return exitCode(err)
	}
	return exitOK
}

// commandSpec describes a command, or a group of commands if sub is set.
type commandSpec struct {
	name, text string
	data       any
	sub        []commandSpec
}

// commands returns the tree of all commands.
func commands(g *globals) []commandSpec {
	c := command{g}
	remove := func(kind config.Kind) commandSpec {
		return commandSpec{name: "remove", text: "Plan to remove a " + string(kind), data: &removeCommand{command: c, kind: kind}}
	}
	group := func(kind config.Kind, put any) commandSpec {
		return commandSpec{name: string(kind), text: "Plan changes of a " + string(kind), data: new(struct{}), sub: []commandSpec{
			{name: "put", text: "Plan to declare or change a " + string(kind), data: put},
			remove(kind),
		}}
	}
	return []commandSpec{
		group(config.KindCustomer, &customerPut{command: c}),
		group(config.KindModel, &modelPut{command: c}),
		group(config.KindService, &servicePut{command: c}),
		group(config.KindTarget, &targetPut{command: c}),
		group(config.KindHost, &hostPut{command: c}),
		{name: "apply", text: "Plan to reach the state that an INI file declares", data: &applyCommand{command: c}},
		{name: "plan", text: "Show, confirm or discard a plan", data: new(struct{}), sub: []commandSpec{
			{name: "show", text: "Show a plan", data: &planShow{command: c}},
			{name: "confirm", text: "Put a plan in force", data: &planConfirm{command: c}},
			{name: "discard", text: "End a plan that will not be confirmed", data: &planDiscard{command: c}},
		}},
		{name: "diff", text: "Compare two versions", data: &diffCommand{command: c}},
		{name: "rollback", text: "Plan to bring an earlier version's objects back, as a new version", data: &rollbackCommand{command: c}},
		{name: "status", text: "Show all routers and the versions in force", data: &statusCommand{command: c}},
		{name: "load", text: "Send the load of an experiment file to a fleet on loopback and measure it", data: &loadCommand{command: c}},
		{name: "explain", text: "Tell the life of a request from the logs of routers", data: &explainCommand{command: c}},
		{name: "decisions", text: "Sum up from the logs of routers which requests were placed and refused, and why", data: &decisionsCommand{command: c}},
		{name: "departures", text: "Sum up from the logs of routers how late they knew of targets that left", data: &departuresCommand{command: c}},
		{name: "audit", text: "List accepted changes, newest first", data: &auditCommand{command: c}},
	}
}

func addCommands(parent *flags.Command, entries []commandSpec) error {
	for _, e := range entries {
		c, err := parent.AddCommand(e.name, e.text, "", e.data)
		if err != nil {
			return err
		}
		if err := addCommands(c, e.sub); err != nil {
			return err
		}
	}
	return nil
}

// client returns a client of the intent API and a context that bounds one call by the timeout option.
func (g *globals) client() (zinccovev1connect.IntentServiceClient, context.Context, context.CancelFunc, error) {
	if g.Router == "" || g.Operator == "" || g.Key == "" {
		return nil, nil, nil, usageError{"--router, --operator and --key are required, or their environment variables"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.Timeout)
	c := zinccovev1connect.NewIntentServiceClient(http.DefaultClient, "http://"+g.Router, control.Authorize(g.Operator, g.Key))
	return c, ctx, cancel, nil
}

// usageError reports an invalid command line or input; the exit code is exitUsage.
type usageError struct{ text string }

// Error implements error.
func (e usageError) Error() string { return e.text }

func message(err error) string {
	var ce *connect.Error
	if errors.As(err, &ce) {
		return fmt.Sprintf("%s (%s)", ce.Message(), ce.Code())
	}
	return err.Error()
}

var codes = map[connect.Code]int{
	connect.CodeInvalidArgument:    exitUsage,
	connect.CodeNotFound:           exitUsage,
	connect.CodeFailedPrecondition: exitConflict,
	connect.CodeAborted:            exitConflict,
	connect.CodeUnavailable:        exitUnavailable,
	connect.CodeDeadlineExceeded:   exitUnavailable,
}

func exitCode(err error) int {
	var (
		usage   usageError
		parse   *flags.Error
		invalid *config.InvalidError
		ce      *connect.Error
	)
	switch {
	case errors.As(err, &usage), errors.As(err, &parse), errors.As(err, &invalid):
		return exitUsage
	case errors.As(err, &ce) && codes[ce.Code()] != 0:
		return codes[ce.Code()]
	default:
		return exitFailed
	}
}
