// Package daemon is the router: it joins callers, targets, peers and platform.
//
// One goroutine, the control loop in loop.go, owns the membership and the
// exchanged counters. Callers are served by their own goroutines, which meet
// the control loop only in the dispatcher and in immutable snapshots.
//
// # Usage
//
//	d, err := daemon.Start(daemon.Options{Settings: s, Clock: clock, Log: log})
//	defer d.Close() // the planned stop
package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"zinccove.example/zinccove/claim"
	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/confsync"
	"zinccove.example/zinccove/control"
	"zinccove.example/zinccove/dispatch"
	"zinccove.example/zinccove/fair"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/gen/zinccove/v1/zinccovev1connect"
	"zinccove.example/zinccove/httpc"
	"zinccove.example/zinccove/ingress"
	"zinccove.example/zinccove/intent"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/notice"
	"zinccove.example/zinccove/peer"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/settings"
	"zinccove.example/zinccove/target"
)

// Options configure a daemon. The first three are required; the others are
// seams for proofs and experiments.
type Options struct {
	Settings *settings.Settings
	Clock    clockwork.Clock
	Log      zerolog.Logger

	// Dial connects to targets, routers and the platform.
	Dial httpc.Dial
	// Reachable tells which addresses heartbeats get to.
	Reachable func(netip.AddrPort) bool
	// Tune changes the dispatcher's options.
	Tune func(*dispatch.Options)
}

// Tuning that operators have no reason to change.
const (
	// catchup is the lag in cost per unit of weight that doubles a customer's
	// part of the slots.
	catchup = 2000
	// overcommit is the number of requests above its slots that one router may
	// place at a target while windows of different age overlap.
	overcommit = 2
	// peerTimeout bounds a call to another router.
	peerTimeout = 2 * time.Second
	// peerIdle is how long a connection to another router is kept unused.
	peerIdle = 10 * time.Second
)

// Daemon is a running router.
type Daemon struct {
	settings   *settings.Settings
	clock      clockwork.Clock
	log        zerolog.Logger
	metrics    *metric.Metrics
	platform   *platform.Client
	syncer     *confsync.Syncer
	dispatcher *dispatch.Dispatcher
	clients    *target.Clients
	claims     *claim.Store
	// quarantine knows the requests that end their targets.
	quarantine *quarantine.List
	transport  *peer.Transport
	control    *control.Server
	ingress    *ingress.Server
	loop       *loop
	peers      *http.Client
	dial       httpc.Dial
	reachable  func(netip.AddrPort) bool

	group    errgroup.Group
	stop     context.CancelFunc
	stopping atomic.Bool
	// syncNow asks the poller to look at the platform's head at once.
	syncNow chan struct{}
}

// Start opens all addresses and begins to serve.
func Start(o Options) (*Daemon, error) {
	s := o.Settings
	metrics, err := metric.New()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:  s,
		clock:     o.Clock,
		log:       o.Log,
		reachable: o.Reachable,
		dial:      o.Dial,
		metrics:   metrics,
		clients:   target.NewClients(o.Dial),
		peers:     &http.Client{Timeout: peerTimeout, Transport: peerTransport(o.Dial)},
		syncNow:   make(chan struct{}, 1),
		platform: platform.New(platform.Options{
			Address: s.PlatformAddress, Clock: o.Clock, Timeout: s.PlatformTimeout, Dial: o.Dial,
			Budget: platform.Budget{ReadsPerSecond: float64(s.ReadsPerSecond), WritesPerSecond: float64(s.WritesPerSecond)},
		}),
		quarantine: quarantine.New(o.Clock),
	}
	d.dispatcher = dispatch.New(d.dispatchOptions(o))
	d.claims = claim.New(claim.Options{Table: d.platform.Table(), Clock: o.Clock})
	store := intent.New(intent.Options{Table: d.platform.Table(), Clock: o.Clock})
	d.syncer = confsync.New(confsync.Options{Store: store, FetchPeer: d.fetchConfig, Adopt: d.adopt})
	d.loop = newLoop(d)
	return d, d.start(store)
}

func (d *Daemon) dispatchOptions(o Options) dispatch.Options {
	s := o.Settings
	options := dispatch.Options{
		Clock: o.Clock, Host: s.Host, DataCentre: s.DataCentre, CatchUpLag: catchup, Overcommit: overcommit,
		Queue: fair.Limits{PerCustomer: s.QueueLimit}, DebtRequests: s.DebtRequests, OnBackoff: d.noticed,
	}
	if o.Tune != nil {
		o.Tune(&options)
	}
	return options
}

// noticed tells that a target gets nothing for a while, as it said itself.
func (d *Daemon) noticed(t config.Target, n notice.Notice) {
	if n.Draining {
		d.metrics.Inc(metric.NoticesLeaving)
		d.log.Info().Str("target", t.Name).Stringer("address", t.Address).Msg("target says that it leaves")
		return
	}
	d.metrics.Inc(metric.NoticesBackoff)
	d.log.Info().Str("target", t.Name).Stringer("address", t.Address).Dur("backoff_ms", n.Backoff).Msg("target wants a backoff")
}

// peerTransport carries calls to other routers.
func peerTransport(dial httpc.Dial) *http.Transport {
	t := &http.Transport{IdleConnTimeout: peerIdle}
	if dial != nil {
		t.DialContext = func(_ context.Context, _, addr string) (net.Conn, error) { return dial(addr, peerTimeout) }
	}
	return t
}

// start opens the addresses in an order in which nothing is asked of a part
// that is not there yet.
func (d *Daemon) start(store *intent.Store) error {
	var err error
	s := d.settings
	d.transport, err = peer.Listen(peer.Options{Address: s.ListenPeer, Clock: d.clock, Key: []byte(s.FleetKey), Receive: d.loop.contact.Receive, Reachable: d.reachable})
	if err != nil {
		return err
	}
	d.control, err = control.Listen(control.Options{
		Address: s.ListenControl, FleetKey: s.FleetKey, Operators: s.Operators, Store: store, Syncer: d.syncer,
		Config: d.config, Levels: d.dispatcher.Levels, Status: d.loop.contact.Statuses, Confirmed: d.askSync, Ready: d.ready,
		WrongKey: func() { d.metrics.Inc(metric.WrongOperatorKeys) }, Metrics: d.metrics.Handler(),
	})
	if err != nil {
		return err
	}
	d.ingress, err = ingress.Listen(ingress.Options{
		Address: s.ListenCaller, Clock: d.clock, Syncer: d.syncer, Dispatcher: d.dispatcher, Claims: d.claims,
		Clients: d.clients, Quarantine: d.quarantine, Metrics: d.metrics, NewID: uuid.NewString,
		Limits: ingress.Limits{BodyBytes: s.MaxBodyBytes, HeaderBytes: s.MaxHeaderBytes, Connections: s.MaxConnections,
			RequestTimeout: s.RequestTimeout, WriteTimeout: s.WriteTimeout, StopTimeout: s.StopTimeout},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	d.group.Go(func() error { return d.loop.run(ctx) })
	d.group.Go(func() error { return d.poll(ctx) })
	d.group.Go(func() error { return d.giveOrders(ctx) })
	keeper := quarantine.Persister{List: d.quarantine, Table: d.platform.Table(), Clock: d.clock, Log: d.log, Metrics: d.metrics}
	d.group.Go(func() error { return keeper.Run(ctx) })
	d.log.Info().Stringer("caller", d.ingress.Address()).Stringer("control", d.control.Address()).
		Stringer("peer", d.transport.Address()).Msg("started")
	return nil
}

// Close makes the planned stop: the balancer and the peers are told, accepted
// requests end, then everything is closed.
func (d *Daemon) Close() error {
	d.stopping.Store(true)
	d.log.Info().Msg("stopping")
	d.clock.Sleep(d.settings.StopDelay)
	err := d.ingress.Close()
	d.stop()
	err = errors.Join(err, d.group.Wait(), d.control.Close(), d.transport.Close(), d.metrics.Close())
	d.claims.Close()
	d.clients.Close()
	d.platform.Close()
	d.peers.CloseIdleConnections()
	d.log.Info().Msg("stopped")
	return err
}

// config is what peers are given.
func (d *Daemon) config() *zinccovev1.FetchConfigResponse {
	snap := d.syncer.Current()
	if snap == nil {
		return nil
	}
	return &zinccovev1.FetchConfigResponse{Version: snap.Version(), Digest: snap.Digest, Body: snap.Body}
}

// ready reports whether the balancer may send callers here.
func (d *Daemon) ready() bool { return d.syncer.Current() != nil && !d.stopping.Load() }

// adopt brings a configuration in force.
func (d *Daemon) adopt(cfg *config.Config) {
	d.dispatcher.Configure(cfg)
	d.metrics.Inc(metric.ConfigAdopted)
	d.metrics.Set(metric.ConfigVersion, float64(cfg.Version))
	d.log.Info().Uint64("version", cfg.Version).Msg("configuration in force")
}

// askSync makes the poller look at the platform's head at once.
func (d *Daemon) askSync() {
	select {
	case d.syncNow <- struct{}{}:
	default:
	}
}

// jitter is the part by which periods vary, so that routers that started
// together do not stay in step.
const jitter = 0.2

func jittered(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (1 - jitter/2 + jitter*rand.Float64()))
}

// hostListPeriod is the time between looks at the platform's list of hosts
// once another router was heard; before that, each poll looks at it.
const hostListPeriod = 2 * time.Second

// poll looks at the platform until ctx ends.
func (d *Daemon) poll(ctx context.Context) error {
	var hostsRead time.Time
	down := false
	for {
		err := d.syncer.Poll(ctx)
		d.claims.Recover()
		if err == nil && (d.loop.contact.Isolated() || d.clock.Since(hostsRead) >= hostListPeriod) {
			var hosts []platform.Host
			if hosts, err = d.platform.Hosts(ctx); err == nil {
				hostsRead = d.clock.Now()
				d.loop.post(func(l *loop) { l.learnHosts(hosts) })
			}
		}
		down = d.notePlatform(err, down)
		select {
		case <-ctx.Done():
			return nil
		case <-d.syncNow:
		case <-d.clock.After(jittered(d.settings.PollInterval)):
		}
	}
}

// notePlatform counts failures and logs when the platform goes or comes back.
func (d *Daemon) notePlatform(err error, down bool) bool {
	if err != nil {
		d.metrics.Inc(metric.PlatformErrors)
		if !down {
			d.log.Warn().Err(err).Msg("platform not reachable")
		}
		return true
	}
	if down {
		d.log.Info().Msg("platform reachable again")
	}
	return false
}

// peerClient returns a client for calls to the router at a control address.
func (d *Daemon) peerClient(addr netip.AddrPort) zinccovev1connect.PeerServiceClient {
	return zinccovev1connect.NewPeerServiceClient(d.peers, "http://"+addr.String(), control.Authorize("", d.settings.FleetKey))
}

func (d *Daemon) fetchConfig(ctx context.Context, addr netip.AddrPort) ([]byte, string, error) {
	resp, err := d.peerClient(addr).FetchConfig(ctx, new(zinccovev1.FetchConfigRequest))
	if err != nil {
		return nil, "", err
	}
	return resp.Body, resp.Digest, nil
}

// fetchLevels takes the service levels of another router.
func (d *Daemon) fetchLevels(ctx context.Context, addr netip.AddrPort) error {
	resp, err := d.peerClient(addr).FetchService(ctx, new(zinccovev1.FetchServiceRequest))
	if err != nil {
		return err
	}
	for _, p := range resp.Pools {
		levels := dispatch.PoolLevels{Pool: p.Pool}
		for i := range min(len(p.Customers), len(p.Levels)) {
			levels.Levels = append(levels.Levels, fair.Level{Customer: fair.Customer(p.Customers[i]), Level: p.Levels[i]})
		}
		d.dispatcher.RaiseLevels(levels)
	}
	return nil
}
