// Package gateway is the router of fleets whose operators write routes into
// the platform's store: it joins callers, targets, other routers and the store.
//
// One goroutine, the control loop in loop.go, owns the routing table, the list
// of targets and the list of routers, and publishes immutable values. Callers
// are served by goroutines of package relay.
//
// # Usage
//
//	g, err := gateway.Start(gateway.Options{Settings: s, Clock: clock, Out: os.Stdout})
//	defer g.Close() // the planned stop
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

	"zinccove.example/zinccove/collector"
	"zinccove.example/zinccove/control"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/link"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/owner"
	"zinccove.example/zinccove/peer"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/relay"
	"zinccove.example/zinccove/request"
	"zinccove.example/zinccove/rollout"
	"zinccove.example/zinccove/route"
	"zinccove.example/zinccove/settings"
)

// Options configure a gateway. All are required.
type Options struct {
	Settings *settings.Settings
	Clock    clockwork.Clock
	// Out takes the log.
	Out io.Writer
}

// Gateway is a running router.
type Gateway struct {
	settings *settings.Settings
	clock    clockwork.Clock
	log      zerolog.Logger
	lines    *lines
	metrics  *metric.Metrics
	store    *platform.Client
	placer   *place.Placer
	links    *link.Pool
	// quarantine knows the requests that end their targets.
	quarantine *quarantine.List
	relay      *relay.Server
	collector  *collector.Tuner
	retries    *request.Budget
	// rollouts are the services that move to new versions.
	rollouts  *rollout.Set
	control   *control.Server
	readiness *readiness
	transport *peer.Transport
	// listening is set once transport may be used.
	listening atomic.Bool
	peers     *http.Client
	// streams is for calls that last, which have no time-out.
	streams *http.Client
	// logs are what this router reads of the store's tables, for those that follow it.
	logs tableLogs
	// owners says which routers answer for the targets, asker asks them.
	owners atomic.Pointer[owner.Table]
	asker  *asker
	loop   *loop

	table atomic.Pointer[adopted]
	// routesAnswered and targetsAnswered tell how old the configuration and the
	// list of targets may be.
	routesAnswered  answered
	targetsAnswered answered
	routersAnswered answered
	storeLost       atomic.Bool
	stopping        atomic.Bool
	// followers is the number of other routers that follow the store, rank that of those
	// of them before this one by name.
	followers atomic.Int64
	rank      atomic.Int64
	// started is when this router started, learned is closed once it has read which
	// others there are.
	started time.Time
	learned chan struct{}
	// large is set while there are so many routers that not all hear all.
	large atomic.Bool
	// many is closed once there are so many routers that not all hear all.
	many chan struct{}
	// unannounced receives when the store may have lost this router's entry.
	unannounced chan struct{}
	// withdrawn is set while another router has removed this one's entry, as it took it for
	// gone.
	withdrawn atomic.Bool
	// known is the number of routers of this data centre that are known.
	known atomic.Int64
	// ownRank is the place of this router in its data centre by name.
	ownRank atomic.Int64
	// leads is set while this router follows the store by itself, serves while others may
	// follow this router. Leaders are those through which it follows the store if it does not
	// lead, in the order to try them.
	leads   atomic.Bool
	serves  atomic.Bool
	leaders atomic.Pointer[[]leader]

	group errgroup.Group
	stop  context.CancelFunc
}

// adopted is a table in force and the body that it was read from.
type adopted struct {
	table  *route.Table
	body   []byte
	digest string
}

const (
	// peerTimeout bounds a call to another router.
	peerTimeout = time.Second
	// peerIdle is how long a connection to another router is kept unused.
	peerIdle = 10 * time.Second
	// stopMargin is how much earlier than the stop limit a planned stop cuts what
	// still runs, so that the process ends by itself.
	stopMargin = 700 * time.Millisecond
	// stopQuiet is the time without a new request after which a planned stop
	// expects no more: the balancer checks every second, callers come back sooner.
	stopQuiet = 500 * time.Millisecond
	// retryPart is the part of the fleet's retries that all routers together use:
	// each knows only its own requests.
	retryPart = 0.7
	// usualRouters divides the fleet's retry slack when the number of routers is
	// not known yet.
	usualRouters = 9
	// leastBurst is the least number of retries of a router at once, however many routers
	// there are.
	leastBurst = 2
)

// burstOf is the part of one router in the retry slack of a fleet with so many others.
func burstOf(slack float64, others int) float64 {
	return max(slack*retryPart/float64(others+1), leastBurst)
}

// newRetries returns the budget of a router that starts.
func newRetries(s *settings.Settings) *request.Budget {
	b := request.NewBudget(s.RetryRatio*retryPart, burstOf(s.RetrySlack, usualRouters-1))
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
	l := newLines(o.Out, o.Clock, metrics)
	g := &Gateway{
		settings: s, clock: o.Clock, lines: l, metrics: metrics,
		log:    zerolog.New(l).Level(s.LogLevel).With().Timestamp().Str("host", s.Host).Logger(),
		placer: place.New(place.Options{Clock: o.Clock, AssumeCached: !s.FirstStart, Regions: s.Regions}),
		links:  link.NewPool(link.Options{Clock: o.Clock}), quarantine: quarantine.New(o.Clock),
		collector: collector.New(s.Memory()), rollouts: rollout.New(rollout.Options{Clock: o.Clock, ExposeShare: s.ExposeShare}),
		peers: &http.Client{Timeout: peerTimeout, Transport: &http.Transport{IdleConnTimeout: peerIdle}},
		streams: &http.Client{Transport: &http.Transport{IdleConnTimeout: peerIdle, DialContext: func(_ context.Context, _, addr string) (net.Conn, error) {
			return link.DialTimeout(addr, link.MaxDialTimeout)
		}}},
		store: platform.New(platform.Options{
			Address: s.PlatformAddress, Clock: o.Clock, Timeout: s.PlatformTimeout, Dial: link.DialTimeout,
			Budget: platform.Budget{ReadsPerSecond: float64(s.ReadsPerSecond), WritesPerSecond: float64(s.WritesPerSecond)},
		}),
	}
	g.retries = newRetries(s)
	g.started, g.learned, g.many, g.unannounced = o.Clock.Now(), make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	g.logs = g.newLogs()
	g.asker = newAsker(g)
	g.leaders.Store(new([]leader))
	g.leads.Store(true)
	g.serves.Store(true)
	g.logs.setKeeping(true)
	g.loop = newLoop(g)
	if err := g.start(); err != nil {
		return nil, errors.Join(err, g.metrics.Close(), l.Close())
	}
	return g, nil
}

// start opens the addresses in an order in which nothing is asked of a part
// that is not there yet.
func (g *Gateway) start() error {
	var err error
	s := g.settings
	g.transport, err = peer.Listen(peer.Options{Address: s.ListenPeer, Clock: g.clock, Key: []byte(s.FleetKey), Receive: g.loop.receive})
	if err != nil {
		return err
	}
	g.listening.Store(true)
	g.control, err = control.Listen(control.Options{
		Address: s.ListenControl, FleetKey: s.FleetKey, Operators: s.Operators, Config: g.config, Follow: g.handOn,
		Status: g.loop.contact.Statuses, Ready: g.ready, WrongKey: func() { g.metrics.Inc(metric.WrongOperatorKeys) }, Metrics: g.metrics.Handler(),
	})
	if err != nil {
		return err
	}
	g.relay, err = relay.Listen(relay.Options{
		Address: s.ListenCaller, Clock: g.clock, Log: g.lines.requests(g.log), Metrics: g.metrics, Codec: platform.Codec,
		View: g.view, Placer: g.placer, Links: g.links, Query: g.asker.ask,
		Retries: g.retries, Quarantine: g.quarantine, Rollouts: g.rollouts, OnVersionFailure: g.loop.judged,
		Limits: relay.Limits{
			BodyBytes: s.MaxBodyBytes, HeaderBytes: s.MaxHeaderBytes, Connections: s.MaxConnections, Memory: s.Memory(), WriteTimeout: s.WriteTimeout,
			StopDelay: s.StopDelay, QuietPeriod: stopQuiet, StopTimeout: s.StopTimeout - stopMargin,
		},
	})
	if err != nil {
		return err
	}
	if s.ListenReady.IsValid() {
		if g.readiness, err = listenReady(s.ListenReady, g.ready); err != nil {
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
	keeper := quarantine.Persister{List: g.quarantine, Table: g.store.Table(), Clock: g.clock, Log: g.log, Metrics: g.metrics}
	g.group.Go(func() error { return keeper.Run(ctx) })
	g.log.Info().Stringer("caller", g.relay.Address()).Stringer("control", g.control.Address()).Stringer("peer", g.transport.Address()).
		Stringer("platform", s.PlatformAddress).Str("data_centre", s.DataCentre).Float64("memory_mb", s.MemoryMB).Bool("first_start", s.FirstStart).Msg("started")
	return nil
}

// Close makes the planned stop: the balancer and the peers are told, accepted
// requests end, then everything is closed.
func (g *Gateway) Close() error {
	g.stopping.Store(true)
	g.log.Info().Int("running", g.relay.Running()).Msg("stopping")
	err := g.relay.Close()
	g.stop()
	g.logs.close()
	g.store.Close()
	err = errors.Join(err, g.group.Wait(), g.control.Close(), g.transport.Close())
	if g.readiness != nil {
		err = errors.Join(err, g.readiness.Close())
	}
	g.links.Close()
	g.peers.CloseIdleConnections()
	g.streams.CloseIdleConnections()
	g.log.Info().Err(err).Msg("stopped")
	return errors.Join(err, g.metrics.Close(), g.lines.Close())
}

// Reload notes that the settings file changed. Settings are read at start
// only; those that change while a router runs concern its next start.
func (g *Gateway) Reload() {
	g.log.Info().Msg("settings file changed, it is read at the next start")
}

// ready reports whether the balancer may send callers here.
func (g *Gateway) ready() bool {
	return g.table.Load() != nil && !g.stopping.Load() && !g.relay.Overloaded()
}

// freshFor is how long a confirmation of the store holds: a feed is held open
// for a while, and a store that does not answer is noticed later.
const freshFor = mostHold + 4*time.Second

// view is the table in force.
func (g *Gateway) view() relay.View {
	a := g.table.Load()
	if a == nil {
		return relay.View{}
	}
	now := g.clock.Now()
	age, ok := g.routesAnswered.age(now)
	v := relay.View{Table: a.table, Fresh: ok && !g.storeLost.Load() && age < freshFor}
	v.TargetsAge, _ = g.targetsAnswered.age(now)
	return v
}

// config is what peers are given.
func (g *Gateway) config() *zinccovev1.FetchConfigResponse {
	a := g.table.Load()
	if a == nil {
		return nil
	}
	return &zinccovev1.FetchConfigResponse{Version: a.table.Version, Digest: a.digest, Body: a.body}
}

// peerAddress is where the datagrams of a contact are sent.
func (g *Gateway) peerAddress(contact netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(contact, g.transport.Address().Port())
}
