// Package run is the command line of zinccove-standin.
//
// # Usage
//
//	zinccove-standin platform --listen 127.0.0.1:0
//	zinccove-standin engine --listen 127.0.0.1:0 --slots 8
//	zinccove-standin service --listen 127.0.0.1:0 --workers 4
//	zinccove-standin worker --id w1 --service model --events 20 --platform 127.0.0.1:9000
//
// The first line on standard output is the address it listens on. It ends on
// SIGINT or SIGTERM.
package run

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"zinccove.example/standin/engine"
	"zinccove.example/standin/passthrough"
	"zinccove.example/standin/service"
	"zinccove.example/standin/store"
	"zinccove.example/standin/worker"
)

type listenOptions struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	out    io.Writer
	// began and ending are called after listening began and before it ends.
	began  func(netip.AddrPort) error
	ending func(netip.AddrPort) error
}

type platformCommand struct {
	listenOptions
	HostLag    time.Duration `long:"host-lag" default:"1s" description:"lag of the list of hosts"`
	WeightRate float64       `long:"weight-rate" default:"10" description:"requests a second of the weight store"`
}

type engineCommand struct {
	listenOptions
	Slots        int           `long:"slots" default:"8" description:"requests run at once"`
	TokenTime    time.Duration `long:"token-time" default:"5ms" description:"time of one output token"`
	InputPerStep int           `long:"input-per-step" default:"256" description:"input tokens computed in the time of one output token"`
	Version      string        `long:"version" description:"model version loaded at the start; the engine then takes orders"`
	CheckFence   bool          `long:"check-fence" description:"refuse orders with an old fencing number"`
	LoadTime     time.Duration `long:"load-time" default:"300ms" description:"time to load a version"`
	LoadLag      time.Duration `long:"load-lag" default:"250ms" description:"lag of the load report"`
}

type serviceCommand struct {
	listenOptions
	Workers  int           `long:"workers" default:"4" description:"calls run at once"`
	CallTime time.Duration `long:"call-time" default:"20ms" description:"time of one call"`
}

type workerCommand struct {
	listenOptions
	ID         string        `long:"id" required:"yes" description:"id of this run"`
	Service    string        `long:"service" required:"yes" description:"service it belongs to"`
	DataCentre string        `long:"data-centre" default:"dc1" description:"data centre"`
	Platform   string        `long:"platform" required:"yes" description:"address of the platform"`
	Advertise  string        `long:"advertise" description:"address to enter, if not the one listened on"`
	Slots      int           `long:"slots" default:"8" description:"requests run at once"`
	Events     int           `long:"events" description:"events of a stream; 0 for a plain service"`
	EventTime  time.Duration `long:"event-time" default:"5ms" description:"time of one event"`
	CallTime   time.Duration `long:"call-time" default:"20ms" description:"time of a call, or until the first event"`
	Version    string        `long:"version" default:"v1" description:"version of its software"`
	FailEvery  int           `long:"fail-every" description:"every so many requests run and fail with status 500; 0 for none"`
	Unframed   int           `long:"unframed-every" description:"every so many responses come with neither length nor chunks; 0 for none"`
	Length     int           `long:"length-every" description:"every so many streams come with a length; 0 for none"`
	Halves     bool          `long:"halves" description:"send each event of a stream in two parts"`
	CutEvery   int           `long:"cut-every" description:"every so many streams end inside an event; 0 for none"`
	DrainTime  time.Duration `long:"drain-time" default:"0s" description:"time between announcing the end and the end"`
}

// exitEnded is the exit code of a worker that a request ended, EndedBy begins the line that tells by
// what.
const (
	exitEnded = 7
	EndedBy   = "ended by "
)

// Execute runs the worker until a signal; it announces its end.
func (c *workerCommand) Execute([]string) error {
	platform, err := netip.ParseAddrPort(c.Platform)
	if err != nil {
		return err
	}
	w := worker.New(worker.Options{ID: c.ID, Service: c.Service, Version: c.Version, FailEvery: c.FailEvery, UnframedEvery: c.Unframed, LengthEvery: c.Length, Halves: c.Halves, CutEvery: c.CutEvery, DataCentre: c.DataCentre, Slots: c.Slots,
		Events: c.Events, EventTime: c.EventTime, CallTime: c.CallTime, End: func(cause string) {
			fmt.Println(EndedBy + cause)
			os.Exit(exitEnded)
		}})
	entered := func(listening netip.AddrPort) (netip.AddrPort, error) {
		if c.Advertise == "" {
			return listening, nil
		}
		return netip.ParseAddrPort(c.Advertise)
	}
	c.began = func(a netip.AddrPort) error {
		a, err := entered(a)
		return errors.Join(err, w.Enter(platform, a))
	}
	c.ending = func(a netip.AddrPort) error {
		a, err := entered(a)
		err = errors.Join(err, w.Drain(platform, a))
		time.Sleep(c.DrainTime)
		return errors.Join(err, w.Leave(platform))
	}
	return c.serve(w.Handle)
}

type passthroughCommand struct {
	listenOptions
	To string `long:"to" required:"yes" description:"address of the target"`
}

// Execute runs the pass-through until a signal.
func (c *passthroughCommand) Execute([]string) error {
	return c.serve(passthrough.New(c.To).Handle)
}

// Execute runs the stand-in until a signal.
func (c *platformCommand) Execute([]string) error {
	s := store.New(store.Options{HostLag: c.HostLag, WeightRate: c.WeightRate})
	return c.serve(s.Handle)
}

// Execute runs the stand-in until a signal.
func (c *engineCommand) Execute([]string) error {
	e := engine.New(engine.Options{Slots: c.Slots, TokenTime: c.TokenTime, InputPerStep: c.InputPerStep, LoadLag: c.LoadLag,
		Version: c.Version, CheckFence: c.CheckFence, LoadTime: c.LoadTime})
	return errors.Join(c.serve(e.Handle), e.Close())
}

// Execute runs the stand-in until a signal.
func (c *serviceCommand) Execute([]string) error {
	s := service.New(service.Options{Workers: c.Workers, CallTime: c.CallTime})
	return c.serve(s.Handle)
}

// maxBody is the largest request body in bytes.
const maxBody = 16 << 20

func (l *listenOptions) serve(handle fasthttp.RequestHandler) error {
	ln, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return err
	}
	srv := &fasthttp.Server{Handler: handle, MaxRequestBodySize: maxBody, IdleTimeout: time.Minute, CloseOnShutdown: true}
	var g errgroup.Group
	g.Go(func() error { return srv.Serve(ln) })
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	if l.began != nil {
		if err := l.began(addr); err != nil {
			return err
		}
	}
	fmt.Fprintln(l.out, addr)

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	if l.ending != nil {
		err = l.ending(addr)
	}
	return errors.Join(err, ln.Close())
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	p := flags.NewNamedParser("zinccove-standin", flags.HelpFlag)
	l := listenOptions{out: out}
	commands := []struct {
		name, text string
		data       any
	}{
		{"platform", "Run the platform stand-in", &platformCommand{listenOptions: l}},
		{"engine", "Run a model engine stand-in", &engineCommand{listenOptions: l}},
		{"passthrough", "Run a bare pass-through to one target", &passthroughCommand{listenOptions: l}},
		{"service", "Run a plain service stand-in", &serviceCommand{listenOptions: l}},
		{"worker", "Run a target of routes", &workerCommand{listenOptions: l}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.text, "", c.data); err != nil {
			fmt.Fprintln(errOut, err)
			return 1
		}
	}
	_, err := p.ParseArgs(args)
	if flags.WroteHelp(err) {
		fmt.Fprintln(out, err)
		return 0
	}
	if err != nil {
		fmt.Fprintln(errOut, "zinccove-standin:", err)
		return 1
	}
	return 0
}
