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
	"zinccove.example/zinccove/presence"
	"zinccove.example/zinccove/revision"
	"zinccove.example/zinccove/roster"
)

const (
	// tickPeriod is the time between looks at what is due.
	tickPeriod = 50 * time.Millisecond
	// silence is how long a router may at least be silent before it counts as not
	// reachable; what it announced is forgotten then. Where heartbeats come seldom it may be
	// silent for missedBeats periods, so that a lost one makes nobody go.
	silence     = 2 * time.Second
	missedBeats = 2.5
	// forgetAfter is the silence after which no heartbeats are sent to a router.
	forgetAfter = time.Minute
	// inbox holds the tasks that wait for the control loop.
	inbox = 1024
	// identifyEvery is the number of heartbeats from one that says who the sender
	// is to the next.
	identifyEvery = 4
	// introductions is the number of other routers named in such a heartbeat.
	introductions = 3
	// targetReturn is how long targets may take to write their entries again
	// after the store was away, as the platform states.
	targetReturn = 2 * time.Second
	// leavingFor is how long other routers are told of a target that leaves: as
	// long as targets serve on and outages of single routers last.
	leavingFor = 10 * time.Second
	// behindFor is how long another router may have a newer configuration before
	// it is asked for it; the feed is usually faster. A router that has none asks
	// at once: in a data centre that is cut off, those who have one may be about
	// to stop.
	behindFor = 150 * time.Millisecond
	// beatCost is the least time for each heartbeat received: 125 a second cost
	// about a hundredth of a core.
	beatCost = 8 * time.Millisecond
	// lookEvery is the number of ticks between looks at who is silent, leadEvery that
	// between looks at who follows the store and answers for targets, which concern all
	// other routers.
	lookEvery = 2
	leadEvery = 10
	// sweepEvery is the number of ticks between sweeps of idle connections.
	sweepEvery = 10
)

// loop is the control loop. Its fields below the channels belong to its
// goroutine.
type loop struct {
	gateway *Gateway
	tasks   chan func(*loop)
	contact *contact.Contact

	// presence finds out who is there in a large fleet, totals are the sums of use that other
	// routers told, lastTotals is when this one told some.
	presence   *presence.Node
	totals     totalsBoard
	lastTotals time.Time
	// reported is set while reports came that are not known to Members yet.
	reported bool
	// rollouts is what is known of the states of services that move to new versions.
	rollouts rolloutWrites
	// withdrew is when entries of routers that are gone were last looked for.
	withdrew time.Time

	// others is the number of other routers that count as there, role is what this one does
	// for those of its data centre.
	others int
	role   feed.Role
	// routers are those from which it was last found out who answers for targets.
	routers []owner.Router
	roster  *roster.Roster
	// published are the entries that the placer has by id.
	published map[string]published
	// random draws the times of heartbeats; tests seed it.
	random *rand.Rand
	// beats counts the heartbeats to all routers.
	beats uint64
	// newsDue fires when others are to be told of placed prompts; nil while nothing was
	// placed.
	newsDue <-chan time.Time
	ticks   int
	// slow is set while fewer ticks come.
	slow     bool
	nextBeat time.Time
	// period is that of heartbeats when the last one was sent.
	period     time.Duration
	lastUses   time.Time
	introduced int
	// leaving holds the targets of which the store said that they are leaving or
	// gone.
	leaving map[place.Hash]departure
	// tableRead is set once the table of targets was read; words are those of other
	// routers on targets that leave until then.
	tableRead bool
	words     map[place.Hash]revision.Revision
	// cut are the data centres that seem to be cut off.
	cut []string
	// evacuations is what operators want of data centres, evacuated are those that are to
	// get nothing more.
	evacuations map[string]evacuation
	evacuated   map[string]bool
	// era is the latest of the store, eraKnown is set once something was read.
	era      uint64
	eraKnown bool
	// heard is set once a heartbeat of another router came, waiting is the configuration that
	// is not taken before.
	heard   bool
	waiting []byte
	// behind is since when another router has a newer configuration.
	behind   time.Time
	fetching bool
}

func newLoop(g *Gateway) *loop {
	g.owners.Store(owner.New(nil))
	l := &loop{
		gateway: g,
		tasks:   make(chan func(*loop), inbox),
		contact: contact.New(contact.Options{
			Host: g.settings.Host, DataCentre: g.settings.DataCentre, Clock: g.clock, Log: g.log, Metrics: g.metrics,
			Quarantine: g.quarantine, FailureTimeout: silence,
			Send: func(hb *zinccovev1.Heartbeat, to ...netip.AddrPort) (size, sent int, err error) {
				return g.transport.Send(hb, to...)
			},
			Control: func() netip.AddrPort { return g.control.Address() },
			Peer:    func() netip.AddrPort { return g.transport.Address() },
		}),
		roster:      roster.New(roster.Options{Clock: g.clock, ReturnTimeout: targetReturn, RenewalInterval: renewalTime(g.settings.TargetDrain, g.settings.TargetHeartbeat)}),
		published:   make(map[string]published),
		leaving:     make(map[place.Hash]departure),
		words:       make(map[place.Hash]revision.Revision),
		evacuations: make(map[string]evacuation),
		totals:      make(totalsBoard),
		rollouts:    newRolloutWrites(),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	l.presence = presence.New(presence.Options{
		Host: g.settings.Host, DataCentre: g.settings.DataCentre, Clock: g.clock, Members: l.contact.Members, Random: l.random,
	})
	return l
}

// receive answers a question, takes an answer, or hands on what all routers tell.
func (l *loop) receive(hb *zinccovev1.Heartbeat, from netip.AddrPort, size int) {
	if !l.gateway.listening.Load() {
		return // others may ask before this router can answer
	}
	switch {
	case hb.Question != nil:
		l.gateway.answer(hb.Question, from)
		return
	case hb.Answer != nil:
		l.gateway.asker.take(hb.Answer)
		return
	}
	l.contact.Receive(hb, from, size)
}

// post has task run on the loop's goroutine.
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
			l.hear(r)
		case task := <-l.tasks:
			task(l)
		case <-l.gateway.placer.UpdateReady():
			l.placed()
		case <-l.newsDue:
			l.tellNews()
		case <-l.rollouts.due:
			l.tellJudged()
		case <-l.gateway.quarantine.Changed():
			l.contact.SendSuspects(l.destinations()...)
		case <-tick.Chan():
			l.tick(ctx)
			if reporting := l.reporting(); reporting != l.slow {
				l.slow = reporting
				tick.Reset(l.tickTime())
			}
		}
	}
}

// ticksAtOnce is the number of ticks that pass at once in a large fleet, where nothing comes
// more often than that.
const ticksAtOnce = 2

// tickTime is the time between ticks.
func (l *loop) tickTime() time.Duration {
	if l.slow {
		return ticksAtOnce * tickPeriod
	}
	return tickPeriod
}

// tick does what is due.
func (l *loop) tick(ctx context.Context) {
	now := l.gateway.clock.Now()
	if l.slow {
		l.ticks += l.ticks % ticksAtOnce
		l.ticks += ticksAtOnce - 1
	}
	l.ticks++
	l.noteSuspension()
	l.adoptWaiting()
	if l.ticks%l.hostLookEvery() == 0 {
		l.expire()
		l.findCuts()
	}
	if l.ticks%lookEvery == 0 {
		l.expireTargets()
		l.catchUp(ctx, now)
		l.moveServices(ctx, now)
	}
	switch {
	case l.reporting():
		if l.ticks%lookEvery == 0 {
			l.exchange(now)
			l.withdraw(ctx, now)
		}
	case !now.Before(l.nextBeat):
		l.scheduleBeat(now)
		l.contact.Members.SetTimeout(silenceTime(l.period))
		l.beat()
	}
	if l.ticks%leadEvery == 0 {
		l.findLeaders(now)
		l.findOwners()
	}
	l.tellNews()
	if l.ticks%sweepEvery == 0 {
		l.gateway.placer.ExpireLoads()
		l.gateway.collector.Adjust()
		l.sweep()
		l.publish(now)
	}
}

// hostLookEvery is the number of ticks between looks at all other routers.
func (l *loop) hostLookEvery() int {
	if l.reporting() {
		return leadEvery
	}
	return lookEvery
}

// noteSuspension notices that the host was suspended. All that goes by the clock is older by
// then; what waits for the store may wait for answers that were given up meanwhile, so it is
// asked anew at once, and idle connections to targets are not used again.
func (l *loop) noteSuspension() {
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
}
