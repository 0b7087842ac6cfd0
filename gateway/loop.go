package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"zinccove.example/zinccove/contact"
	"zinccove.example/zinccove/feed"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/owner"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/presence"
	"zinccove.example/zinccove/revision"
	"zinccove.example/zinccove/roster"
)

const (
	// tickPeriod is the interval between ticks of the control loop.
	tickPeriod = 50 * time.Millisecond
	// minFailureTimeout is the minimum time without a heartbeat after which a router counts as
	// unreachable; what it announced is then discarded. In fleets with long heartbeat intervals
	// the timeout is failureTimeoutPeriods intervals, so that a single lost heartbeat makes no
	// router fail.
	minFailureTimeout     = 2 * time.Second
	failureTimeoutPeriods = 2.5
	// forgetTimeout is the time without a heartbeat after which no heartbeats are sent to a router
	// any more.
	forgetTimeout = time.Minute
	// taskQueueSize is the capacity of the queue of tasks for the control loop.
	taskQueueSize = 1024
	// identifyEvery is the number of heartbeats between two that carry the identity of the sender.
	identifyEvery = 4
	// introductionsPerHeartbeat is the number of other routers that such a heartbeat names.
	introductionsPerHeartbeat = 3
	// targetRestoreTimeout is how long targets may take to write their entries again after an
	// outage of the store, as the platform documents.
	targetRestoreTimeout = 2 * time.Second
	// leavingTTL is how long other routers are notified of a leaving target: as long as targets
	// keep serving and outages of single routers last.
	leavingTTL = 10 * time.Second
	// fetchDelay is how long another router may have a newer configuration before this one fetches
	// it from there; the feed of the store is usually faster. A router without a configuration
	// fetches at once: in a data centre that is cut off, the routers that have one may be about to
	// stop.
	fetchDelay = 150 * time.Millisecond
	// minReceiveInterval is the minimum average interval between heartbeats that a router
	// receives. 125 heartbeats a second take about a hundredth of a core.
	minReceiveInterval = 8 * time.Millisecond
	// checkTicks is the number of ticks between checks for routers without heartbeats. roleTicks
	// is the number of ticks between updates of the role of this router and of the owners of
	// targets, which depend on all other routers.
	checkTicks = 2
	roleTicks  = 10
	// sweepTicks is the number of ticks between sweeps of idle connections.
	sweepTicks = 10
)

// loop is the control loop. Its fields below the channels belong to its goroutine.
type loop struct {
	gateway *Gateway
	tasks   chan func(*loop)
	contact *contact.Contact

	// presence determines which routers are alive in a large fleet. totals holds the usage totals
	// that other routers reported. lastTotals is when this router last sent some.
	presence   *presence.Node
	totals     totalsTable
	lastTotals time.Time
	// reportsPending is set while reports were received that are not applied to Members yet.
	reportsPending bool
	// rollouts is what this router knows of the rollout states in the store.
	rollouts rolloutWrites
	// lastWithdrawal is when this router last checked for entries of failed routers.
	lastWithdrawal time.Time

	// aliveOthers is the number of other routers that are assumed alive. role is what this router
	// does for the others of its data centre.
	aliveOthers int
	role        feed.Role
	// routers are the routers from which the owners of targets were last computed.
	routers []owner.Router
	// holders are all known routers, which may hold origins of streams.
	holders []owner.Router
	roster  *roster.Roster
	// published are the entries that the placer has, by id.
	published map[string]published
	// random draws the times of heartbeats; tests seed it.
	random *rand.Rand
	// heartbeatCount counts the heartbeats sent to all routers.
	heartbeatCount uint64
	// updateDue fires when an update on placed prompts is due for the owners of targets; it is nil
	// while nothing was placed.
	updateDue <-chan time.Time
	// waitsDue fires when a place for a waiting request is expected; it is nil while none waits.
	waitsDue <-chan time.Time
	ticks    int
	// slowTicks is set while ticks come at the longer interval of large fleets.
	slowTicks     bool
	nextHeartbeat time.Time
	// heartbeatPeriod is the heartbeat interval that was in force when the last heartbeat was
	// sent.
	heartbeatPeriod  time.Duration
	lastUses         time.Time
	nextIntroduction int
	// leaving holds the targets that the store reported as leaving or removed.
	leaving map[place.Hash]departure
	// tableRead is set once the table of targets was read. Until then pendingLeaving holds the
	// reports of other routers on leaving targets.
	tableRead      bool
	pendingLeaving map[place.Hash]revision.Revision
	// cutOff are the data centres that are considered cut off.
	cutOff []string
	// evacuations holds the requests of operators by data centre. evacuated are the data centres
	// that must receive no new requests.
	evacuations map[string]evacuation
	evacuated   map[string]bool
	// era is the latest era of the store. eraKnown is set once something was read from the store.
	era      uint64
	eraKnown bool
	// receivedHeartbeat is set once a heartbeat of another router was received. pendingConfig is
	// the configuration that is not adopted before that.
	receivedHeartbeat bool
	pendingConfig     []byte
	// behindSince is since when another router has a newer configuration; zero while none has.
	behindSince time.Time
	fetching    bool
}

func newLoop(g *Gateway) *loop {
	g.owners.Store(owner.New(nil))
	l := &loop{
		gateway: g,
		tasks:   make(chan func(*loop), taskQueueSize),
		contact: contact.New(contact.Options{
			Host: g.settings.Host, DataCentre: g.settings.DataCentre, Clock: g.clock, Log: g.log, Metrics: g.metrics,
			Quarantine: g.quarantine, FailureTimeout: minFailureTimeout,
			Send: func(hb *zinccovev1.Heartbeat, to ...netip.AddrPort) (size, sent int, err error) {
				return g.transport.Send(hb, to...)
			},
			Control: func() netip.AddrPort { return g.control.Address() },
			Peer:    func() netip.AddrPort { return g.transport.Address() },
		}),
		roster: roster.New(roster.Options{
			Clock: g.clock, ReturnTimeout: targetRestoreTimeout, MinExpiry: platform.MinExpiry(g.settings.TargetHeartbeat),
			RenewalInterval: renewalTime(g.settings.TargetDrain, g.settings.TargetHeartbeat),
		}),
		published:      make(map[string]published),
		leaving:        make(map[place.Hash]departure),
		pendingLeaving: make(map[place.Hash]revision.Revision),
		evacuations:    make(map[string]evacuation),
		totals:         make(totalsTable),
		rollouts:       newRolloutWrites(),
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	l.presence = presence.New(presence.Options{
		Host: g.settings.Host, DataCentre: g.settings.DataCentre, Clock: g.clock, Members: l.contact.Members, Random: l.random,
	})
	return l
}

// receive replies to a query, accepts a reply or an origin, or passes a heartbeat on to package
// contact.
func (l *loop) receive(hb *zinccovev1.Heartbeat, from netip.AddrPort, size int) {
	if !l.gateway.listening.Load() {
		return // others may send queries before this router can reply
	}
	switch {
	case hb.Question != nil:
		l.gateway.replyToQuery(hb.Question, from)
		return
	case hb.Answer != nil:
		l.gateway.querier.handleReply(hb)
		return
	case hb.Wait != nil:
		l.gateway.receiveWait(hb.Wait, from)
		return
	case hb.WaitEnd != nil:
		l.gateway.receiveWaitEnd(hb.WaitEnd, from)
		return
	case hb.Grant != nil:
		l.gateway.receiveGrant(hb.Grant, from)
		return
	case hb.Origin != nil:
		l.gateway.origins.receive(hb.Origin)
		return
	case hb.OriginQuery != nil:
		l.contact.Send(l.gateway.origins.reply(hb.OriginQuery), from)
		return
	case hb.OriginReply != nil:
		l.gateway.origins.handleReply(hb.OriginReply, from)
		return
	}
	l.contact.Receive(hb, from, size)
}

// post queues task to run on the loop's goroutine.
func (l *loop) post(ctx context.Context, task func(*loop)) {
	select {
	case l.tasks <- task:
	case <-ctx.Done():
	}
}

func (l *loop) run(ctx context.Context) error {
	tick := l.gateway.clock.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-l.contact.Heartbeats():
			l.handleHeartbeat(r)
		case task := <-l.tasks:
			task(l)
		case <-l.gateway.placer.UpdateReady():
			l.scheduleUpdate()
		case <-l.updateDue:
			l.sendUpdates()
		case <-l.gateway.placer.WaitsChanged():
			l.checkWaits()
		case <-l.waitsDue:
			l.checkWaits()
		case <-l.rollouts.due:
			l.sendDueRollouts()
		case <-l.gateway.quarantine.Changed():
			l.contact.SendSuspects(l.destinations()...)
		case <-tick.Chan():
			l.tick(ctx)
			if l.updateExchange() {
				tick.Reset(l.tickInterval())
			}
		}
	}
}

// updateExchange records whether this router exchanges heartbeats with all others or reports, and
// returns whether that changed.
func (l *loop) updateExchange() (changed bool) {
	reporting := l.usesReports()
	if reporting == l.slowTicks {
		return false
	}
	l.slowTicks = reporting
	l.gateway.log.Info().Bool("reports", reporting).Int("known_routers", len(l.contact.Members.Hosts())).Msg("exchange with other routers changed")
	return true
}

// ticksPerSlowTick is the number of tick periods between two ticks in a large fleet, where nothing
// happens more often than that.
const ticksPerSlowTick = 2

// tickInterval returns the current interval between ticks.
func (l *loop) tickInterval() time.Duration {
	if l.slowTicks {
		return ticksPerSlowTick * tickPeriod
	}
	return tickPeriod
}

// tick does the periodic work that is due.
func (l *loop) tick(ctx context.Context) {
	now := l.gateway.clock.Now()
	if l.slowTicks {
		l.ticks += l.ticks % ticksPerSlowTick
		l.ticks += ticksPerSlowTick - 1
	}
	l.ticks++
	if len(l.contact.Members.Hosts()) >= meshLimit {
		l.startReporting()
	}
	l.checkSuspension()
	l.adoptPending()
	if l.ticks%l.hostCheckTicks() == 0 {
		l.expireHosts()
		l.detectCutOff()
	}
	if l.ticks%checkTicks == 0 {
		l.expireTargets()
		l.fetchNewerConfig(ctx, now)
		l.updateRollouts(ctx, now)
	}
	switch {
	case l.usesReports():
		if l.ticks%checkTicks == 0 {
			l.exchangeReports(now)
			l.withdrawFailed(ctx, now)
		}
	case !now.Before(l.nextHeartbeat):
		l.scheduleHeartbeat(now)
		l.contact.Members.SetTimeout(failureTimeout(l.heartbeatPeriod))
		l.sendHeartbeats()
	}
	if l.ticks%roleTicks == 0 {
		l.updateRole(now)
		l.updateOwners()
		l.followCaches()
	}
	l.sendUpdates()
	if l.ticks%sweepTicks == 0 {
		l.gateway.placer.ExpireLoads()
		l.gateway.collector.Adjust()
		l.sweep()
		l.publish(now)
	}
}

// hostCheckTicks returns the number of ticks between checks of all other routers.
func (l *loop) hostCheckTicks() int {
	if l.usesReports() {
		return roleTicks
	}
	return checkTicks
}

// checkSuspension detects that the host was suspended. All ages that depend on the clock have
// grown by that time. Calls to the store may wait for responses that were given up in the
// meantime, so the store is called again at once, and idle connections to targets are not reused.
func (l *loop) checkSuspension() {
	d := l.contact.Suspended()
	if d == 0 {
		return
	}
	g := l.gateway
	g.log.Warn().Dur("suspended_ms", d).Uint64("era", l.era).Uint64("config", l.version()).Msg("host was suspended")
	g.store.Reconnect()
	g.links.Close()
}

func (l *loop) sweep() {
	l.gateway.links.Sweep(l.gateway.placer.Listed)
	if c := l.gateway.offloadClient; c != nil {
		c.Sweep()
	}
}
