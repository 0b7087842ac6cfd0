// Package gateway is the router of a fleet whose operators write routes into
// the platform's store. It connects callers, targets, other routers and the store.
//
// One goroutine, the control loop in loop.go, owns the routing table, the list
// of targets and the list of routers, and publishes immutable values. Callers
// are served by goroutines of package relay.
//
// # Usage
//
//	g, err := gateway.Start(gateway.Options{Settings: s, Clock: clock, Out: os.Stdout})
//	defer g.Close() // graceful shutdown
package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"zinccove.example/zinccove/cachefeed"
	"zinccove.example/zinccove/collector"
	"zinccove.example/zinccove/control"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/link"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/offload"
	"zinccove.example/zinccove/owner"
	"zinccove.example/zinccove/peer"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/processor"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/relay"
	"zinccove.example/zinccove/request"
	"zinccove.example/zinccove/revision"
	"zinccove.example/zinccove/rollout"
	"zinccove.example/zinccove/route"
	"zinccove.example/zinccove/settings"
)

// Options configure a gateway. All fields but Reachable and Dial are required.
type Options struct {
	Settings *settings.Settings
	Clock    clockwork.Clock
	// Out receives the log.
	Out io.Writer
	// Reachable reports whether datagrams reach another router. Tests use it to simulate a cut; nil
	// means that all are sent.
	Reachable func(netip.AddrPort) bool
	// Dial connects to the store and to other routers; the default is link.DialTimeout. Tests use it
	// to simulate a cut.
	Dial func(addr string, timeout time.Duration) (net.Conn, error)
}

// Gateway is a running router.
type Gateway struct {
	settings  *settings.Settings
	clock     clockwork.Clock
	log       zerolog.Logger
	logWriter *logWriter
	metrics   *metric.Metrics
	store     *platform.Client
	placer    *place.Placer
	links     *link.Pool
	// quarantine lists the requests that crash their targets.
	quarantine *quarantine.List
	relay      *relay.Server
	// processor measures the processor time of this process, spares holds what other routers have
	// left of theirs. offloadClient hands requests over to them, offloadServer takes theirs over.
	processor     *processor.Meter
	spares        *offload.Spares
	offloadPeers  atomic.Pointer[[]offload.Router]
	offloadClient *offload.Client
	offloadServer *offload.Server
	// caches follows what the targets of this router cache; nil if that is turned off.
	caches    *cachefeed.Set
	collector *collector.Tuner
	retries   *request.Budget
	// rollouts holds the rollouts of services to new versions.
	rollouts  *rollout.Set
	control   *control.Server
	readiness *readiness
	transport *peer.Transport
	// listening is set once transport may be used.
	listening  atomic.Bool
	peerClient *http.Client
	// streamClient is for long-lived calls. It has no timeout.
	streamClient *http.Client
	// logs hold what this router reads from the store's tables, for the routers that follow it.
	logs tableLogs
	// owners maps targets to the routers that own them. querier sends them queries.
	owners  atomic.Pointer[owner.Table]
	querier *querier
	origins *origins
	// confirmer confirms the list of targets for streams whose origin no router knows.
	confirmer *confirmer
	waits     *waits
	loop      *loop

	table atomic.Pointer[activeConfig]
	// routesConfirmed, targetsConfirmed and routersConfirmed hold when the store last confirmed
	// each table. They bound the age of the configuration and of the list of targets.
	routesConfirmed  confirmation
	targetsConfirmed confirmation
	routersConfirmed confirmation
	storeLost        atomic.Bool
	// targetsApplied is the revision up to which the placer knows the table of targets, nil if none.
	targetsApplied atomic.Pointer[revision.Revision]
	stopping       atomic.Bool
	// followers is the number of other routers that follow the store directly. followerRank is the
	// number of those whose name sorts before the name of this one.
	followers    atomic.Int64
	followerRank atomic.Int64
	// started is when this router started. routersKnown is closed once it has read the list of the
	// other routers.
	started      time.Time
	routersKnown chan struct{}
	// reporting is set once this router exchanges reports with the others instead of heartbeats to
	// all; see startReporting.
	reporting atomic.Bool
	// reportingStarted is closed when reporting is set.
	reportingStarted chan struct{}
	// reannounce receives a value when the store may have lost this router's entry.
	reannounce chan struct{}
	// entryRemoved is set after another router removed this router's entry because it considered
	// this router failed.
	entryRemoved atomic.Bool
	// dataCentreSize is the number of known routers of this data centre.
	dataCentreSize atomic.Int64
	// dataCentreRank is the position of this router by name within its data centre.
	dataCentreRank atomic.Int64
	// leads is set while this router follows the store itself, serves while others may follow this
	// router. leaders are the routers through which it follows the store if it does not lead, in
	// the order in which they are tried.
	leads   atomic.Bool
	serves  atomic.Bool
	leaders atomic.Pointer[[]leader]

	group errgroup.Group
	stop  context.CancelFunc
}

// activeConfig is the routing table in force and the encoded configuration that it was built from.
type activeConfig struct {
	table  *route.Table
	body   []byte
	digest string
}

const (
	// peerTimeout bounds a call to another router.
	peerTimeout = time.Second
	// peerIdle is the idle timeout of connections to other routers.
	peerIdle = 10 * time.Second
	// stopMargin is how long before the stop limit a graceful shutdown aborts the requests that
	// still run, so that the process ends by itself.
	stopMargin = 700 * time.Millisecond
	// stopQuiet is the time without a new request after which a graceful shutdown expects no more
	// requests. The balancer checks every second, and callers return sooner.
	stopQuiet = 500 * time.Millisecond
	// retryShare is the share of the fleet's retry budget that all routers together use. It is
	// below 1 because each router knows only its own requests.
	retryShare = 0.7
	// assumedRouters is the fleet size by which the fleet's retry slack is divided while the
	// number of routers is not known yet.
	assumedRouters = 9
	// minRetryBurst is the minimum number of retries that a router may make at once, whatever the
	// size of the fleet.
	minRetryBurst = 2
)

// retryBurst returns the share of one router in the retry slack of a fleet with the given number
// of other routers.
func retryBurst(slack float64, others int) float64 {
	return max(slack*retryShare/float64(others+1), minRetryBurst)
}

// newRetries returns the retry budget of a router that starts. It is empty at a restart, because
// the process before it may have spent its burst already.
func newRetries(s *settings.Settings) *request.Budget {
	b := request.NewBudget(s.RetryRatio*retryShare, retryBurst(s.RetrySlack, assumedRouters-1))
	if !s.FirstStart {
		b.Exhaust()
	}
	return b
}

// Start opens all addresses and begins to serve.
func Start(o Options) (*Gateway, error) {
	metrics, err := metric.New()
	if err != nil {
		return nil, err
	}
	s := o.Settings
	if o.Dial == nil {
		o.Dial = link.DialTimeout
	}
	dial := func(_ context.Context, _, addr string) (net.Conn, error) { return o.Dial(addr, link.MaxDialTimeout) }
	l := newLogWriter(o.Out, o.Clock, metrics)
	g := &Gateway{
		settings: s, clock: o.Clock, logWriter: l, metrics: metrics,
		log:    zerolog.New(l).Level(s.LogLevel).With().Timestamp().Str("host", s.Host).Logger(),
		placer: place.New(place.Options{Clock: o.Clock, AssumeCached: !s.FirstStart, Regions: s.Regions, DataCentre: s.DataCentre, NearHomes: s.NearHomes, Backups: s.Backups}),
		links:  link.NewPool(link.Options{Clock: o.Clock}), quarantine: quarantine.New(o.Clock),
		processor: processor.New(processor.Options{Clock: o.Clock, Share: s.Processor}), spares: offload.NewSpares(),
		collector: collector.New(s.Memory()), rollouts: rollout.New(rollout.Options{Clock: o.Clock, ExposeShare: s.ExposeShare}),
		peerClient:   &http.Client{Timeout: peerTimeout, Transport: &http.Transport{IdleConnTimeout: peerIdle, DialContext: dial}},
		streamClient: &http.Client{Transport: &http.Transport{IdleConnTimeout: peerIdle, DialContext: dial}},
		store: platform.New(platform.Options{
			Address: s.PlatformAddress, Clock: o.Clock, Timeout: s.PlatformTimeout, Dial: o.Dial,
			Budget:    platform.Budget{ReadsPerSecond: float64(s.ReadsPerSecond), WritesPerSecond: float64(s.WritesPerSecond)},
			MinExpiry: platform.MinExpiry(s.TargetHeartbeat),
		}),
	}
	g.retries = newRetries(s)
	g.started, g.routersKnown, g.reportingStarted, g.reannounce = o.Clock.Now(), make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	g.logs = g.newLogs()
	g.querier = newQuerier(g)
	g.caches = g.newCaches()
	g.origins = newOrigins(g)
	g.confirmer = newConfirmer(g)
	g.waits = newWaits(g)
	g.offloadPeers.Store(new([]offload.Router))
	g.leaders.Store(new([]leader))
	g.leads.Store(true)
	g.serves.Store(true)
	g.logs.setKeeping(true)
	g.loop = newLoop(g)
	if err := g.start(o.Reachable); err != nil {
		return nil, errors.Join(err, g.metrics.Close(), l.Close())
	}
	return g, nil
}

// start opens the addresses in such an order that no part receives requests before the parts that
// it depends on are ready.
func (g *Gateway) start(reachable func(netip.AddrPort) bool) error {
	var err error
	s := g.settings
	g.transport, err = peer.Listen(peer.Options{Address: s.ListenPeer, Clock: g.clock, Key: []byte(s.FleetKey), Receive: g.loop.receive, Reachable: reachable})
	if err != nil {
		return err
	}
	g.listening.Store(true)
	g.control, err = control.Listen(control.Options{
		Address: s.ListenControl, FleetKey: s.FleetKey, Operators: s.Operators, Config: g.config, Follow: g.serveTable,
		Status: g.loop.contact.Statuses, Ready: g.ready, WrongKey: func() { g.metrics.Inc(metric.WrongOperatorKeys) }, Metrics: g.metrics.Handler(),
	})
	if err != nil {
		return err
	}
	g.relay, err = relay.Listen(relay.Options{
		Address: s.ListenCaller, Clock: g.clock, Log: g.log, RequestLog: g.logWriter.requestLogger(g.log, requestLines(s.Processor)), Metrics: g.metrics, Codec: platform.Codec,
		View: g.view, Placer: g.placer, Links: g.links, Query: g.querier.query,
		Origins: relay.Origins{Record: g.origins.record, Find: g.origins.find, Confirm: g.confirmer.confirm},
		Retries: g.retries, Quarantine: g.quarantine, Rollouts: g.rollouts, OnVersionFailure: g.loop.requestRolloutReport,
		Processor: g.processor, Offload: g.offload(), Waits: g.relayWaits(),
		Limits: relay.Limits{
			BodyBytes: s.MaxBodyBytes, HeaderBytes: s.MaxHeaderBytes, Connections: s.MaxConnections, Memory: s.Memory(), WriteTimeout: s.WriteTimeout, PassWithin: s.PassWithin,
			StopDelay: s.StopDelay, QuietPeriod: stopQuiet, StopTimeout: s.StopTimeout - stopMargin,
		},
	})
	if err != nil {
		return err
	}
	if err := g.listenOffload(); err != nil {
		return err
	}
	if s.ListenReady.IsValid() {
		if g.readiness, err = listenReady(s.ListenReady, g.clock, g.ready); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	g.group.Go(func() error { return g.loop.run(ctx) })
	g.group.Go(func() error { return g.followRoutes(ctx) })
	g.group.Go(func() error { return g.followTargets(ctx) })
	g.group.Go(func() error { return g.followRouters(ctx) })
	g.group.Go(func() error { return g.announce(ctx) })
	persister := quarantine.Persister{List: g.quarantine, Table: g.store.Table(), Clock: g.clock, Log: g.log, Metrics: g.metrics}
	g.group.Go(func() error { return persister.Run(ctx) })
	g.log.Info().Stringer("caller", g.relay.Address()).Stringer("control", g.control.Address()).Stringer("peer", g.transport.Address()).
		Stringer("platform", s.PlatformAddress).Str("data_centre", s.DataCentre).Float64("memory_mb", s.MemoryMB).Bool("first_start", s.FirstStart).Msg("started")
	return nil
}

// Close shuts the router down gracefully: it announces the stop to the balancer and the peers,
// waits for accepted requests to end, and then closes everything.
func (g *Gateway) Close() error {
	g.stopping.Store(true)
	g.log.Info().Int("running", g.relay.Running()).Msg("stopping")
	err := errors.Join(g.relay.Close(), g.closeOffload())
	g.stop()
	g.logs.close()
	g.store.Close()
	err = errors.Join(err, g.group.Wait(), g.closeCaches(), g.control.Close(), g.transport.Close())
	if g.readiness != nil {
		err = errors.Join(err, g.readiness.Close())
	}
	g.links.Close()
	g.peerClient.CloseIdleConnections()
	g.streamClient.CloseIdleConnections()
	g.log.Info().Err(err).Msg("stopped")
	return errors.Join(err, g.metrics.Close(), g.logWriter.Close())
}

// Reload logs that the settings file changed. Settings are read at start only, so a change while a
// router runs applies to its next start.
func (g *Gateway) Reload() {
	g.log.Info().Msg("settings file changed; it is read at the next start")
}

// ready reports whether the balancer may send callers to this router.
func (g *Gateway) ready() bool {
	return g.table.Load() != nil && !g.stopping.Load() && !g.relay.Overloaded()
}

// confirmationTTL is how long a confirmation of the store is valid. It covers the longest time for
// which a feed is held open and the time until a store that does not respond is noticed.
const confirmationTTL = maxHold + 4*time.Second

// view returns the routing table in force and the age of its data.
func (g *Gateway) view() relay.View {
	a := g.table.Load()
	if a == nil {
		return relay.View{}
	}
	now := g.clock.Now()
	age, ok := g.routesConfirmed.age(now)
	v := relay.View{Table: a.table, Fresh: ok && !g.storeLost.Load() && age < confirmationTTL}
	v.TargetsAge, _ = g.targetsConfirmed.age(now)
	return v
}

// config returns the configuration in force for peers that fetch it.
func (g *Gateway) config() *zinccovev1.FetchConfigResponse {
	a := g.table.Load()
	if a == nil {
		return nil
	}
	return &zinccovev1.FetchConfigResponse{Version: a.table.Version, Digest: a.digest, Body: a.body}
}

// peerAddress returns the datagram address of a contact, which listens on the same port as this
// router.
func (g *Gateway) peerAddress(contact netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(contact, g.transport.Address().Port())
}
