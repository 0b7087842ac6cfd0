// Package testrouter runs the router daemon with seams for proofs and
// experiments: a network that can be cut, a host that can be suspended and a choice of
// policies. Routers of a store's routes have no policies, and a cut concerns their datagrams and
// their connections to the store and to other routers, also those that are open.
//
// # Usage
//
//	zinccove-testrouter --settings FILE --policy computed --faults 127.0.0.1:0
//
// PUT /cut on the faults address with a JSON list of addresses cuts the router
// off from them; an empty list heals. PUT /suspend with a time in nanoseconds stops
// the process, whose steady clock does not count that time. The line {"message":"faults"} on
// standard error tells the address.
package testrouter

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"zinccove.example/zinccove/daemon"
	"zinccove.example/zinccove/dispatch"
	"zinccove.example/zinccove/gateway"
	"zinccove.example/zinccove/settings"
	"zinccove.example/zinccove/share"
)

type commandLine struct {
	Settings string `long:"settings" required:"yes" description:"settings file"`
	Policy   string `long:"policy" default:"computed" description:"how windows are found"`
	Routers  int    `long:"routers" default:"9" description:"number of routers, for the static policies"`
	Faults   string `long:"faults" default:"127.0.0.1:0" description:"address for switching faults"`
}

// policies are the ways that experiments compare.
var policies = map[string]func(*dispatch.Options, int){
	// computed is what zinccoved does.
	"computed": func(*dispatch.Options, int) {},
	// independent: a fair queue in each router, an equal part of the slots, no
	// knowledge of others.
	"independent": func(o *dispatch.Options, routers int) {
		o.Isolated = true
		o.Window = static(routers)
	},
	// counters: the same with the service of other routers counted.
	"counters": func(o *dispatch.Options, routers int) { o.Window = static(routers) },
	// optimistic: counters are exchanged and every router fills what seems
	// free; the engines' priorities order what meets there.
	"optimistic": func(o *dispatch.Options, _ int) { o.Window = static(1) },
}

// static gives every router an equal part of the slots, wanted or not.
func static(routers int) func(share.Input, int, int) (int, []int) {
	return func(in share.Input, _, _ int) (int, []int) { return in.Slots / routers, nil }
}

// Main runs the command line and returns the exit code.
func Main(args []string, errOut io.Writer) int {
	var cl commandLine
	if _, err := flags.NewParser(&cl, flags.HelpFlag).ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, err)
		return 2
	}
	if err := cl.run(errOut); err != nil {
		fmt.Fprintln(errOut, err)
		return 1
	}
	return 0
}

func (cl *commandLine) run(errOut io.Writer) error {
	s, err := settings.Load(cl.Settings)
	if err != nil {
		return err
	}
	tune := policies[cl.Policy]
	if tune == nil {
		return fmt.Errorf("unknown policy %q", cl.Policy)
	}
	log := zerolog.New(errOut).With().Timestamp().Str("host", s.Host).Logger()
	n := new(network)
	ln, err := net.Listen("tcp", cl.Faults)
	if err != nil {
		return err
	}
	var g errgroup.Group
	host, clock := newHostClock()
	g.Go(func() error {
		return ignoreClosed(fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/suspend" {
				host.handle(ctx)
				return
			}
			n.handle(ctx)
		}))
	})
	log.Info().Stringer("faults", ln.Addr()).Msg("faults")

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var router io.Closer
	if s.RouteSource == settings.SourceStore {
		router, err = gateway.Start(gateway.Options{Settings: s, Clock: clock, Out: errOut, Reachable: n.reachable, Dial: n.dial})
	} else {
		router, err = daemon.Start(daemon.Options{
			Settings: s, Clock: clock, Log: log, Dial: n.dial, Reachable: n.reachable,
			Tune: func(o *dispatch.Options) { tune(o, cl.Routers) },
		})
	}
	if err != nil {
		return err
	}
	<-signals
	return errors.Join(router.Close(), ln.Close(), g.Wait())
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// handle serves PUT /cut.
func (n *network) handle(ctx *fasthttp.RequestCtx) {
	var addrs []netip.AddrPort
	if err := json.Unmarshal(ctx.PostBody(), &addrs); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	n.cut(addrs)
}
