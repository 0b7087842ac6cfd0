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

// Intervals and limits of the control loop.
const (
	// tickInterval is the time between two ticks of the control loop.
	tickInterval = 50 * time.Millisecond
	// failureTimeout is the shortest time without a heartbeat after which a router
	// is considered unreachable.
	failureTimeout = 3 * time.Second
	// missedHeartbeats is the number of this router's own heartbeat intervals that must pass
	// without a heartbeat of another router before that router is considered unreachable; all
	// routers of a fleet have about the same interval.
	missedHeartbeats = 4
	// forgetAfter is the time without a heartbeat after which a router is removed from the
	// membership.
	forgetAfter = time.Hour
	// taskQueueSize is the number of tasks that may wait for the control loop.
	taskQueueSize = 1024
	// identifyEvery is the number of heartbeats from one that carries the identity of the
	// sender to the next.
	identifyEvery = 8
	// establishedSequence is the sequence number above which an incarnation whose first
	// heartbeat arrives is treated as one that has been running for long.
	establishedSequence = 20
	// maxEntries and maxTargets bound a heartbeat so that it fits a datagram.
	maxEntries = 90
	maxTargets = 60
)

// loop is the control loop. The fields below contact are accessed only by its
// goroutine.
type loop struct {
	daemon  *Daemon
	tasks   chan func(*loop)
	contact *contact.Contact

	counters      *exchange.Table
	lastHeartbeat time.Time
	nextBalance   time.Time
	// credit is the number of bytes that heartbeats may use now; creditedAt is when it was last
	// replenished.
	credit     float64
	creditedAt time.Time
	// inFlight has the requests that each other router has at targets, by the router's host.
	inFlight map[string]dispatch.InFlight
	// busyTime is the total time for which the loop has been working.
	busyTime time.Duration
	// fetchingConfig is set while a configuration is fetched from a peer.
	fetchingConfig bool
	// levelsFetched is set once the service levels of a peer were requested; it is cleared if
	// that fails.
	levelsFetched bool
}

func newLoop(d *Daemon) *loop {
	return &loop{
		daemon: d,
		tasks:  make(chan func(*loop), taskQueueSize),
		contact: contact.New(contact.Options{
			Host: d.settings.Host, DataCentre: d.settings.DataCentre, Clock: d.clock, Log: d.log, Metrics: d.metrics,
			Quarantine: d.quarantine, FailureTimeout: failureTimeout,
			Send: func(hb *zinccovev1.Heartbeat, to ...netip.AddrPort) (size, sent int, err error) {
				return d.transport.Send(hb, to...)
			},
			Control: func() netip.AddrPort { return d.control.Address() },
			Peer:    func() netip.AddrPort { return d.transport.Address() },
		}),
		counters: exchange.New(exchange.Options{Repeats: 2, Rotate: 4, MaxEntries: maxEntries}),
		inFlight: make(map[string]dispatch.InFlight),
	}
}

// post queues task to run on the loop's goroutine. The task is dropped if the queue is
// full, so callers must post it again periodically.
func (l *loop) post(task func(*loop)) {
	select {
	case l.tasks <- task:
	default:
	}
}

func (l *loop) run(ctx context.Context) error {
	tick := l.daemon.clock.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-l.contact.Heartbeats():
			l.measure(func() { l.handleHeartbeat(ctx, r) })
		case task := <-l.tasks:
			l.measure(func() { task(l) })
		case <-l.daemon.quarantine.Changed():
			l.measure(func() { l.credit -= float64(l.contact.SendSuspects(l.destinations()...)) })
		case <-tick.Chan():
			l.measure(func() { l.tick(ctx) })
		}
	}
}

// measure runs work and adds its duration to busyTime, which is reported as the cost of control.
func (l *loop) measure(work func()) {
	started := l.daemon.clock.Now()
	work()
	l.busyTime += l.daemon.clock.Since(started)
}

// handleHeartbeat processes a heartbeat of another router.
func (l *loop) handleHeartbeat(ctx context.Context, r contact.Received) {
	host, outcome := l.contact.HandleHeartbeat(r)
	switch outcome {
	case member.Ignored:
		return
	case member.Restarted:
		_, known := l.inFlight[host.Name]
		l.counters.ResetHost(host.Name, !known && r.Heartbeat.Sequence > establishedSequence)
	}
	l.daemon.dispatcher.Observe(l.counters.ApplyReports(host.Name, r.Heartbeat.Pools))
	l.inFlight[host.Name] = inFlight(r.Heartbeat)
	l.fetchNewerConfig(ctx, host)
}

func inFlight(hb *zinccovev1.Heartbeat) dispatch.InFlight {
	at := make(dispatch.InFlight, len(hb.Targets))
	for i := range min(len(hb.Targets), len(hb.InFlight)) {
		at[hb.Targets[i]] = int(hb.InFlight[i])
	}
	return at
}

// fetchNewerConfig fetches the configuration of a peer if its version is higher than that in
// force, unless a fetch is already running.
func (l *loop) fetchNewerConfig(ctx context.Context, h *member.Host) {
	if l.fetchingConfig || !h.Control.IsValid() || h.ConfigVersion <= l.daemon.syncer.Current().Version() {
		return
	}
	l.fetchingConfig = true
	addr, version := h.Control, h.ConfigVersion
	l.daemon.group.Go(func() error {
		err := l.daemon.syncer.AdoptFromPeer(ctx, addr, version)
		if err != nil {
			l.daemon.metrics.Inc(metric.PeerErrors)
		}
		l.tasks <- func(l *loop) { l.fetchingConfig = false }
		return nil
	})
}

// fetchLevelsOnce fetches the service levels of one reachable peer after the start and
// retries at a later tick if that fails.
func (l *loop) fetchLevelsOnce(ctx context.Context) {
	if l.levelsFetched || l.daemon.syncer.Current() == nil {
		return
	}
	for _, h := range l.contact.Members.Hosts() {
		if !h.Reachable || !h.Control.IsValid() {
			continue
		}
		l.levelsFetched = true
		addr := h.Control
		l.daemon.group.Go(func() error {
			if l.daemon.fetchLevels(ctx, addr) != nil {
				l.daemon.metrics.Inc(metric.PeerErrors)
				l.tasks <- func(l *loop) { l.levelsFetched = false }
			}
			return nil
		})
		return
	}
}

// updateHosts applies the platform's list of hosts. The list has the routers and may also
// have the hosts of targets, under the names of the targets.
func (l *loop) updateHosts(hosts []platform.Host) {
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

// addConfiguredHosts adds the hosts of the configuration in force to the membership.
func (l *loop) addConfiguredHosts() {
	snap := l.daemon.syncer.Current()
	if snap == nil {
		return
	}
	for _, h := range snap.Config.Hosts {
		l.contact.Members.Upsert(member.Address{Name: h.Name, DataCentre: h.DataCentre, Peer: h.Peer, Leaving: h.Leaving})
	}
}

// tick runs the periodic work of the loop that is due.
func (l *loop) tick(ctx context.Context) {
	now := l.daemon.clock.Now()
	if d := l.contact.Suspended(); d > 0 {
		l.daemon.log.Warn().Dur("suspended_ms", d).Msg("host was suspended")
		l.daemon.platform.Reconnect()
		l.daemon.clients.Close()
	}
	l.expire()
	l.balance(now)
	l.fetchLevelsOnce(ctx)
	l.sendHeartbeatIfDue(now)
	l.publish()
}

// balance recomputes the windows. This takes longer in large fleets, so the next
// computation is delayed until the average cost is at most maxBalanceShare of a core.
func (l *loop) balance(now time.Time) {
	if now.Before(l.nextBalance) {
		return
	}
	l.daemon.dispatcher.Balance(l.view())
	took := l.daemon.clock.Since(now)
	l.nextBalance = now.Add(time.Duration(float64(took) / maxBalanceShare))
}

// maxBalanceShare is the largest fraction of a core that computing the windows may use.
const maxBalanceShare = 0.02

func (l *loop) expire() {
	failed, forgotten := l.contact.Expire(forgetAfter)
	for _, h := range failed {
		l.counters.ClearDemand(h.Name)
		l.inFlight[h.Name] = nil
	}
	for _, h := range forgotten {
		l.counters.Forget(h.Name)
		delete(l.inFlight, h.Name)
	}
}

func (l *loop) view() dispatch.View {
	v := dispatch.View{
		Demands: l.counters.Demands(l.daemon.settings.Host), InFlight: l.inFlightOfOthers(), DataCentres: make(map[string]string), Routers: 1,
	}
	for _, h := range l.contact.Members.Hosts() {
		v.DataCentres[h.Name] = h.DataCentre
		if h.Reachable {
			v.Routers++
		}
	}
	return v
}

// inFlightOfOthers returns the sum of the requests of the other routers at each target.
func (l *loop) inFlightOfOthers() dispatch.InFlight {
	sum := make(dispatch.InFlight)
	for _, at := range l.inFlight {
		for number, n := range at {
			sum[number] += n
		}
	}
	return sum
}

// sendHeartbeatIfDue sends a heartbeat when one is due, or earlier when requests wait
// for a larger window, as far as the control budget allows.
func (l *loop) sendHeartbeatIfDue(now time.Time) {
	budget := float64(l.daemon.settings.ControlBytesPerSecond) * heartbeatBudgetShare
	since := now.Sub(l.lastHeartbeat)
	l.credit = min(l.credit+budget*now.Sub(l.creditedAt).Seconds(), budget)
	l.creditedAt = now
	due := since >= l.daemon.settings.HeartbeatInterval || since >= minHeartbeatInterval && l.daemon.dispatcher.Saturated()
	if !due || l.credit <= 0 {
		return
	}
	if !l.lastHeartbeat.IsZero() {
		l.contact.Members.SetTimeout(max(failureTimeout, missedHeartbeats*since))
	}
	l.lastHeartbeat = now
	l.addConfiguredHosts()
	l.credit -= float64(l.sendHeartbeat())
}

const (
	// heartbeatBudgetShare is the fraction of the control budget that heartbeats may use; the
	// rest is for calls between routers.
	heartbeatBudgetShare = 0.9
	// minHeartbeatInterval is the shortest time between heartbeats.
	minHeartbeatInterval = 100 * time.Millisecond
)

// sendHeartbeat sends a heartbeat to every router and returns its cost in bytes.
func (l *loop) sendHeartbeat() int {
	to := l.destinations()
	sent, cost := l.contact.Send(l.heartbeat(), to...)
	l.daemon.metrics.Add(metric.HeartbeatsSent, sent)
	return cost + l.contact.SendSuspects(to...)
}

// destinations returns the addresses of all known routers and, while none of them is
// reachable, the seeds as well.
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
	d.dispatcher.Counters(l.counters.SetLocal)
	hb := l.contact.NewHeartbeat(d.syncer.Current().Version(), d.stopping.Load())
	hb.Pools = l.counters.Report()
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

// publish updates the status that operators read and the gauges.
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
	d.metrics.Set(metric.ControlCPUSeconds, (l.busyTime + d.transport.ProcessingTime()).Seconds())
	d.metrics.Set(metric.HeartbeatsForged, float64(d.transport.Forged()))
}
