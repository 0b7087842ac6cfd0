// Package daemon is the router process: it connects callers, targets, peers and the platform.
//
// One goroutine, the control loop in loop.go, owns the membership and the
// exchanged counters. Callers are served by goroutines of their own, which share
// state with the control loop only through the dispatcher and immutable snapshots.
//
// # Usage
//
//	d, err := daemon.Start(daemon.Options{Settings: s, Clock: clock, Log: log})
//	defer d.Close() // graceful shutdown
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

	"connectrpc.com/connect"
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

// Options configure a daemon. The first three fields are required; tests and
// experiments replace the others.
type Options struct {
	Settings *settings.Settings
	Clock    clockwork.Clock
	Log      zerolog.Logger

	// Dial connects to targets, routers and the platform.
	Dial httpc.Dial
	// Reachable reports whether heartbeats reach an address. Tests use it to simulate
	// partitions; nil means that all addresses are reachable.
	Reachable func(netip.AddrPort) bool
	// Tune modifies the dispatcher's options before the dispatcher is made.
	Tune func(*dispatch.Options)
}

// Parameters that operators have no reason to change.
const (
	// catchup is the lag in cost per unit of weight that doubles a customer's
	// share of the slots.
	catchup = 2000
	// overcommit is the number of requests above its slots that one router may
	// place at a target while the windows of different routers, computed from
	// counters of different age, overlap.
	overcommit = 2
	// peerTimeout bounds a call to another router.
	peerTimeout = 2 * time.Second
	// peerIdleTimeout is how long an idle connection to another router is kept open.
	peerIdleTimeout = 10 * time.Second
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
	// quarantine lists the requests that terminate the targets that run them.
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
	// syncNow makes the poller read the platform's configuration head immediately.
	syncNow chan struct{}
}

// Start opens all addresses and starts serving.
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
		Queue: fair.Limits{PerCustomer: s.QueueLimit}, DebtRequests: s.DebtRequests, OnBackoff: d.handleNotice,
	}
	if o.Tune != nil {
		o.Tune(&options)
	}
	return options
}

// handleNotice counts and logs a notice by which a target announced that it is draining or
// requested a backoff. The dispatcher then places nothing at it for a while.
func (d *Daemon) handleNotice(t config.Target, n notice.Notice) {
	if n.Draining {
		d.metrics.Inc(metric.NoticesLeaving)
		d.log.Info().Str("target", t.Name).Stringer("address", t.Address).Msg("target says that it leaves")
		return
	}
	d.metrics.Inc(metric.NoticesBackoff)
	d.log.Info().Str("target", t.Name).Stringer("address", t.Address).Dur("backoff_ms", n.Backoff).Msg("target requested a backoff")
}

// peerTransport returns the HTTP transport for calls to other routers.
func peerTransport(dial httpc.Dial) *http.Transport {
	t := &http.Transport{IdleConnTimeout: peerIdleTimeout}
	if dial != nil {
		t.DialContext = func(_ context.Context, _, addr string) (net.Conn, error) { return dial(addr, peerTimeout) }
	}
	return t
}

// start opens the addresses in the order of their dependencies, so that no component is
// used before it exists.
func (d *Daemon) start(store *intent.Store) error {
	var err error
	s := d.settings
	d.transport, err = peer.Listen(peer.Options{Address: s.ListenPeer, Clock: d.clock, Key: []byte(s.FleetKey), Receive: d.loop.contact.Receive, Reachable: d.reachable})
	if err != nil {
		return err
	}
	d.control, err = control.Listen(control.Options{
		Address: s.ListenControl, FleetKey: s.FleetKey, Operators: s.Operators, Store: store, Syncer: d.syncer,
		Config: d.config, Levels: d.dispatcher.Levels, Status: d.loop.contact.Statuses, Confirmed: d.requestSync, Ready: d.ready,
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
	d.group.Go(func() error { return d.runOrders(ctx) })
	persister := quarantine.Persister{List: d.quarantine, Table: d.platform.Table(), Clock: d.clock, Log: d.log, Metrics: d.metrics}
	d.group.Go(func() error { return persister.Run(ctx) })
	d.log.Info().Stringer("caller", d.ingress.Address()).Stringer("control", d.control.Address()).
		Stringer("peer", d.transport.Address()).Msg("started")
	return nil
}

// Close shuts the router down gracefully: it announces the stop to the load balancer and
// the peers, lets accepted requests finish and then closes everything.
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

// config returns the configuration that peers fetch from this router, or nil if none is in
// force.
func (d *Daemon) config() *zinccovev1.FetchConfigResponse {
	snap := d.syncer.Current()
	if snap == nil {
		return nil
	}
	return &zinccovev1.FetchConfigResponse{Version: snap.Version(), Digest: snap.Digest, Body: snap.Body}
}

// ready reports whether the load balancer may send callers to this router.
func (d *Daemon) ready() bool { return d.syncer.Current() != nil && !d.stopping.Load() }

// adopt puts a configuration in force.
func (d *Daemon) adopt(cfg *config.Config) {
	d.dispatcher.Configure(cfg)
	d.metrics.Inc(metric.ConfigAdopted)
	d.metrics.Set(metric.ConfigVersion, float64(cfg.Version))
	d.log.Info().Uint64("version", cfg.Version).Msg("configuration in force")
}

// requestSync makes the poller read the platform's configuration head immediately.
func (d *Daemon) requestSync() {
	select {
	case d.syncNow <- struct{}{}:
	default:
	}
}

// jitter is the fraction by which intervals vary, so that routers that started
// at the same time do not stay synchronized.
const jitter = 0.2

func jittered(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (1 - jitter/2 + jitter*rand.Float64()))
}

// hostListInterval is the time between reads of the platform's list of hosts
// once a heartbeat of another router was received; before that, each poll reads it.
const hostListInterval = 2 * time.Second

// poll reads the configuration and the list of hosts from the platform until ctx is done.
func (d *Daemon) poll(ctx context.Context) error {
	var hostsRead time.Time
	down := false
	for {
		err := d.syncer.Poll(ctx)
		d.claims.Recover()
		if err == nil && (d.loop.contact.Isolated() || d.clock.Since(hostsRead) >= hostListInterval) {
			var (
				hosts    []platform.Host
				rejected error
			)
			if hosts, rejected, err = d.platform.Hosts(ctx); err == nil {
				hostsRead = d.clock.Now()
				d.logRejected(rejected)
				d.loop.post(func(l *loop) { l.updateHosts(hosts) })
			}
		}
		down = d.logPlatformState(err, down)
		select {
		case <-ctx.Done():
			return nil
		case <-d.syncNow:
		case <-d.clock.After(jittered(d.settings.PollInterval)):
		}
	}
}

// logRejected counts and logs an error of entries of hosts; nil is ignored.
func (d *Daemon) logRejected(rejected error) {
	if rejected != nil {
		d.metrics.Inc(metric.EntriesRejected)
		d.log.Warn().Err(rejected).Msg("host entries rejected")
	}
}

// logPlatformState counts failures, logs when the platform becomes unreachable or reachable
// again, and returns whether it is unreachable now.
func (d *Daemon) logPlatformState(err error, down bool) bool {
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

// maxPeerMessage bounds a response of another router in bytes.
const maxPeerMessage = 16 << 20

// peerClient returns a client for calls to the router at a control address.
func (d *Daemon) peerClient(addr netip.AddrPort) zinccovev1connect.PeerServiceClient {
	return zinccovev1connect.NewPeerServiceClient(d.peers, "http://"+addr.String(), control.Authorize("", d.settings.FleetKey),
		connect.WithReadMaxBytes(maxPeerMessage))
}

func (d *Daemon) fetchConfig(ctx context.Context, addr netip.AddrPort) ([]byte, string, error) {
	resp, err := d.peerClient(addr).FetchConfig(ctx, new(zinccovev1.FetchConfigRequest))
	if err != nil {
		return nil, "", err
	}
	return resp.Body, resp.Digest, nil
}

// fetchLevels fetches the service levels of another router and raises those of the
// dispatcher to them.
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
