package daemon

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"zinccove.example/zinccove/contact"
	"zinccove.example/zinccove/dispatch"
	"zinccove.example/zinccove/exchange"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/member"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/platform"
)

// Periods and bounds of the control loop.
const (
	// tickPeriod is the time between recomputations of the windows.
	tickPeriod = 50 * time.Millisecond
	// failureTimeout is the shortest silence after which a router is not
	// reachable.
	failureTimeout = 3 * time.Second
	// missedBeats is the number of own periods of heartbeats that a silence must
	// last; all routers of a fleet have about the same period.
	missedBeats = 4
	// forgetAfter is the silence after which a router is forgotten.
	forgetAfter = time.Hour
	// inbox holds the tasks that wait for the control loop.
	inbox = 1024
	// identifyEvery is the number of heartbeats from one that says who the
	// sender is to the next.
	identifyEvery = 8
	// lateSequence is the number of heartbeats after which a run that is first
	// heard has been going on for long.
	lateSequence = 20
	// maxEntries and maxTargets keep a heartbeat inside a datagram.
	maxEntries = 90
	maxTargets = 60
)

// loop is the control loop. Its fields below the channels belong to its
// goroutine.
type loop struct {
	daemon  *Daemon
	tasks   chan func(*loop)
	contact *contact.Contact

	book        *exchange.Table
	lastBeat    time.Time
	nextBalance time.Time
	// credit is what heartbeats may cost now, in bytes.
	credit   float64
	credited time.Time
	// inFlight is each router's requests at targets.
	inFlight map[string]dispatch.InFlight
	// spent is the time spent by this loop.
	spent time.Duration
	// learning is set while a configuration is fetched from a peer.
	learning bool
	// levelled is set once the levels of a peer were taken.
	levelled bool
}

func newLoop(d *Daemon) *loop {
	return &loop{
		daemon: d,
		tasks:  make(chan func(*loop), inbox),
		contact: contact.New(contact.Options{
			Host: d.settings.Host, DataCentre: d.settings.DataCentre, Clock: d.clock, Log: d.log, Metrics: d.metrics,
			Quarantine: d.quarantine, FailureTimeout: failureTimeout,
			Send: func(hb *zinccovev1.Heartbeat, to ...netip.AddrPort) (size, sent int, err error) {
				return d.transport.Send(hb, to...)
			},
			Control: func() netip.AddrPort { return d.control.Address() },
			Peer:    func() netip.AddrPort { return d.transport.Address() },
		}),
		book:     exchange.New(exchange.Options{Repeats: 2, Rotate: 4, MaxEntries: maxEntries}),
		inFlight: make(map[string]dispatch.InFlight),
	}
}

// post has task run on the loop's goroutine; it is dropped if the inbox is
// full, so tasks must be repeated by their nature.
func (l *loop) post(task func(*loop)) {
	select {
	case l.tasks <- task:
	default:
	}
}

func (l *loop) run(ctx context.Context) error {
	tick := l.daemon.clock.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-l.contact.Heartbeats():
			l.spend(func() { l.hear(ctx, r) })
		case task := <-l.tasks:
			l.spend(func() { task(l) })
		case <-l.daemon.quarantine.Changed():
			l.spend(func() { l.credit -= float64(l.contact.SendSuspects(l.destinations()...)) })
		case <-tick.Chan():
			l.spend(func() { l.tick(ctx) })
		}
	}
}

// spend does work and adds its time to what control costs.
func (l *loop) spend(work func()) {
	started := l.daemon.clock.Now()
	work()
	l.spent += l.daemon.clock.Since(started)
}

// hear takes a heartbeat of another router.
func (l *loop) hear(ctx context.Context, r contact.Received) {
	host, news := l.contact.HandleHeartbeat(r)
	switch news {
	case member.Ignored:
		return
	case member.Restarted:
		_, known := l.inFlight[host.Name]
		l.book.ResetHost(host.Name, !known && r.Heartbeat.Sequence > lateSequence)
	}
	l.daemon.dispatcher.Observe(l.book.ApplyReports(host.Name, r.Heartbeat.Pools))
	l.inFlight[host.Name] = inFlight(r.Heartbeat)
	l.learn(ctx, host)
}

func inFlight(hb *zinccovev1.Heartbeat) dispatch.InFlight {
	at := make(dispatch.InFlight, len(hb.Targets))
	for i := range min(len(hb.Targets), len(hb.InFlight)) {
		at[hb.Targets[i]] = int(hb.InFlight[i])
	}
	return at
}

// learn fetches the configuration of a peer that has a higher version.
func (l *loop) learn(ctx context.Context, h *member.Host) {
	if l.learning || !h.Control.IsValid() || h.ConfigVersion <= l.daemon.syncer.Current().Version() {
		return
	}
	l.learning = true
	addr, version := h.Control, h.ConfigVersion
	l.daemon.group.Go(func() error {
		err := l.daemon.syncer.AdoptFromPeer(ctx, addr, version)
		if err != nil {
			l.daemon.metrics.Inc(metric.PeerErrors)
		}
		l.tasks <- func(l *loop) { l.learning = false }
		return nil
	})
}

// takeLevels takes the service levels of a peer once after the start.
func (l *loop) takeLevels(ctx context.Context) {
	if l.levelled || l.daemon.syncer.Current() == nil {
		return
	}
	for _, h := range l.contact.Members.Hosts() {
		if !h.Reachable || !h.Control.IsValid() {
			continue
		}
		l.levelled = true
		addr := h.Control
		l.daemon.group.Go(func() error {
			if l.daemon.fetchLevels(ctx, addr) != nil {
				l.daemon.metrics.Inc(metric.PeerErrors)
				l.tasks <- func(l *loop) { l.levelled = false }
			}
			return nil
		})
		return
	}
}

// learnHosts takes the platform's list, which names routers and may name the
// hosts of targets by the targets' names.
func (l *loop) learnHosts(hosts []platform.Host) {
	leaving := make(map[string]bool)
	for _, h := range hosts {
		if h.State == platform.HostLeaving {
			leaving[h.Name] = true
		}
		if h.Peer.IsValid() {
			l.contact.Members.Upsert(member.Address{Name: h.Name, DataCentre: h.DataCentre, Peer: h.Peer, Leaving: leaving[h.Name]})
		}
	}
	l.daemon.dispatcher.SetDraining(leaving)
}

// learnConfigured takes the hosts of the configuration in force.
func (l *loop) learnConfigured() {
	snap := l.daemon.syncer.Current()
	if snap == nil {
		return
	}
	for _, h := range snap.Config.Hosts {
		l.contact.Members.Upsert(member.Address{Name: h.Name, DataCentre: h.DataCentre, Peer: h.Peer, Leaving: h.Leaving})
	}
}

// tick does what is due.
func (l *loop) tick(ctx context.Context) {
	now := l.daemon.clock.Now()
	if d := l.contact.Suspended(); d > 0 {
		l.daemon.log.Warn().Dur("suspended_ms", d).Msg("host was suspended")
		l.daemon.platform.Reconnect()
		l.daemon.clients.Close()
	}
	l.expire()
	l.balance(now)
	l.takeLevels(ctx)
	l.beatIfDue(now)
	l.publish()
}

// balance computes the windows anew. Large fleets take longer, so the next
// time is put off until it costs no more than its share of a core.
func (l *loop) balance(now time.Time) {
	if now.Before(l.nextBalance) {
		return
	}
	l.daemon.dispatcher.Balance(l.view())
	took := l.daemon.clock.Since(now)
	l.nextBalance = now.Add(time.Duration(float64(took) / balanceShare))
}

// balanceShare is the most of a core that computing windows may take.
const balanceShare = 0.02

func (l *loop) expire() {
	gone, forgotten := l.contact.Expire(forgetAfter)
	for _, h := range gone {
		l.book.ClearDemand(h.Name)
		l.inFlight[h.Name] = nil
	}
	for _, h := range forgotten {
		l.book.Forget(h.Name)
		delete(l.inFlight, h.Name)
	}
}

func (l *loop) view() dispatch.View {
	v := dispatch.View{
		Demands: l.book.Demands(l.daemon.settings.Host), InFlight: l.others(), DataCentres: make(map[string]string), Routers: 1,
	}
	for _, h := range l.contact.Members.Hosts() {
		v.DataCentres[h.Name] = h.DataCentre
		if h.Reachable {
			v.Routers++
		}
	}
	return v
}

// others returns the requests of the other routers at each target.
func (l *loop) others() dispatch.InFlight {
	sum := make(dispatch.InFlight)
	for _, at := range l.inFlight {
		for number, n := range at {
			sum[number] += n
		}
	}
	return sum
}

// beatIfDue sends a heartbeat when one is due, or early when requests wait
// for a larger window, as far as the control budget allows.
func (l *loop) beatIfDue(now time.Time) {
	budget := float64(l.daemon.settings.ControlBytesPerSecond) * budgetUsed
	since := now.Sub(l.lastBeat)
	l.credit = min(l.credit+budget*now.Sub(l.credited).Seconds(), budget)
	l.credited = now
	due := since >= l.daemon.settings.HeartbeatInterval || since >= shortestBeat && l.daemon.dispatcher.Saturated()
	if !due || l.credit <= 0 {
		return
	}
	if !l.lastBeat.IsZero() {
		l.contact.Members.SetTimeout(max(failureTimeout, missedBeats*since))
	}
	l.lastBeat = now
	l.learnConfigured()
	l.credit -= float64(l.beat())
}

const (
	// budgetUsed is the part of the control budget that heartbeats may use; the
	// rest is for calls between routers.
	budgetUsed = 0.9
	// shortestBeat is the shortest time between heartbeats.
	shortestBeat = 100 * time.Millisecond
)

// beat sends a heartbeat to every router and returns its cost in bytes.
func (l *loop) beat() int {
	to := l.destinations()
	sent, cost := l.contact.Send(l.heartbeat(), to...)
	l.daemon.metrics.Add(metric.HeartbeatsSent, sent)
	return cost + l.contact.SendSuspects(to...)
}

// destinations returns the addresses of all known routers and, while there are
// none, the seeds.
func (l *loop) destinations() []netip.AddrPort {
	var to []netip.AddrPort
	reachable := false
	for _, h := range l.contact.Members.Hosts() {
		if h.Peer.IsValid() {
			to = append(to, h.Peer)
		}
		reachable = reachable || h.Reachable
	}
	if reachable {
		return to
	}
	return append(to, l.daemon.settings.Seeds...)
}

func (l *loop) heartbeat() *zinccovev1.Heartbeat {
	d := l.daemon
	d.dispatcher.Counters(l.book.SetLocal)
	hb := l.contact.NewHeartbeat(d.syncer.Current().Version(), d.stopping.Load())
	hb.Pools = l.book.Report()
	hb.Targets, hb.InFlight = busiest(d.dispatcher.OwnInFlight())
	if hb.Sequence <= identifyEvery/2 || hb.Sequence%identifyEvery == 0 {
		hb.Host = l.contact.Identity()
	}
	return hb
}

// busiest returns the targets with the most requests, at most maxTargets, so
// that a heartbeat fits a datagram.
func busiest(at dispatch.InFlight) (targets, inFlight []uint32) {
	targets = slices.SortedFunc(maps.Keys(at), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(at[b], at[a]), cmp.Compare(a, b))
	})
	targets = targets[:min(len(targets), maxTargets)]
	for _, number := range targets {
		inFlight = append(inFlight, uint32(at[number]))
	}
	return targets, inFlight
}

// publish makes the status that operators read, and the gauges.
func (l *loop) publish() {
	d := l.daemon
	own := &zinccovev1.RouterStatus{ConfigVersion: d.syncer.Current().Version(), Leaving: d.stopping.Load()}
	var queued, running int
	for _, s := range d.dispatcher.Status() {
		queued += s.Queued
		running += s.Running
		own.Pools = append(own.Pools, &zinccovev1.PoolStatus{
			Name: s.Name, Queued: uint32(s.Queued), InFlight: uint32(s.Running), Slots: uint32(s.Slots),
		})
	}
	l.contact.Publish(own)
	d.metrics.Set(metric.RequestsQueued, float64(queued))
	d.metrics.Set(metric.RequestsRunning, float64(running))
	d.metrics.Set(metric.ControlCPUSeconds, (l.spent + d.transport.Spent()).Seconds())
	d.metrics.Set(metric.HeartbeatsForged, float64(d.transport.Forged()))
}
