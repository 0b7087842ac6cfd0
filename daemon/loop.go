package daemon

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"zinccove.example/zinccove/bootclock"
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
	// inbox holds what waits for the control loop.
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

// received is a heartbeat and its size in bytes.
type received struct {
	heartbeat *zinccovev1.Heartbeat
	size      int
}

// loop is the control loop. Its fields below the channels belong to its
// goroutine.
type loop struct {
	daemon     *Daemon
	heartbeats chan received
	tasks      chan func(*loop)
	// published is the status as of the last tick.
	published atomic.Pointer[[]*zinccovev1.RouterStatus]

	members     *member.Table
	book        *exchange.Book
	incarnation uint64
	started     time.Time
	sequence    uint64
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
	// awake notices that the host was suspended.
	awake bootclock.Watch
	// levelled is set once the levels of a peer were taken.
	levelled bool
}

func newLoop(d *Daemon) *loop {
	return &loop{
		daemon:      d,
		heartbeats:  make(chan received, inbox),
		tasks:       make(chan func(*loop), inbox),
		members:     member.New(member.Options{Self: d.settings.Host, Clock: d.clock, Timeout: failureTimeout}),
		book:        exchange.New(exchange.Options{Repeats: 2, Rotate: 4, MaxEntries: maxEntries}),
		incarnation: rand.Uint64(),
		started:     d.clock.Now(),
		awake:       bootclock.Watch{Clock: d.clock},
		inFlight:    make(map[string]dispatch.InFlight),
	}
}

// receive hands a heartbeat to the loop. A heartbeat that finds the inbox full
// is dropped like a lost one.
func (l *loop) receive(hb *zinccovev1.Heartbeat, from netip.AddrPort, size int) {
	if len(hb.Suspects) > 0 {
		for _, f := range l.daemon.quarantine.Learn(hb.Suspects) {
			l.daemon.log.Warn().Stringer("fingerprint", f).Stringer("peer", from).Msg("request barred, as another router says")
		}
		return
	}
	select {
	case l.heartbeats <- received{hb, size}:
	default:
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
		case r := <-l.heartbeats:
			l.spend(func() { l.hear(ctx, r) })
		case task := <-l.tasks:
			l.spend(func() { task(l) })
		case <-l.daemon.quarantine.Changed():
			l.spend(func() { l.credit -= float64(l.tellSuspects(l.destinations())) })
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
func (l *loop) hear(ctx context.Context, r received) {
	m := l.daemon.metrics
	m.Inc(metric.HeartbeatsReceived)
	m.Add(metric.ControlBytesReceived, r.size)
	host, news := l.members.Hear(r.heartbeat)
	switch news {
	case member.Ignored:
		m.Inc(metric.HeartbeatsIgnored)
		return
	case member.Restarted:
		_, known := l.inFlight[host.Name]
		l.book.Restart(host.Name, !known && r.heartbeat.Sequence > lateSequence)
		l.daemon.log.Info().Str("peer", host.Name).Msg("router heard")
	}
	l.daemon.dispatcher.Observe(l.book.Absorb(host.Name, r.heartbeat.Pools))
	l.inFlight[host.Name] = inFlight(r.heartbeat)
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
		err := l.daemon.syncer.Learn(ctx, addr, version)
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
	for _, h := range l.members.Hosts() {
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
			l.members.Learn(member.Address{Name: h.Name, DataCentre: h.DataCentre, Peer: h.Peer, Leaving: leaving[h.Name]})
		}
	}
	l.daemon.dispatcher.SetLeaving(leaving)
}

// learnConfigured takes the hosts of the configuration in force.
func (l *loop) learnConfigured() {
	snap := l.daemon.syncer.Current()
	if snap == nil {
		return
	}
	for _, h := range snap.Config.Hosts {
		l.members.Learn(member.Address{Name: h.Name, DataCentre: h.DataCentre, Peer: h.Peer, Leaving: h.Leaving})
	}
}

// tick does what is due.
func (l *loop) tick(ctx context.Context) {
	now := l.daemon.clock.Now()
	if d := l.awake.Suspended(); d > 0 {
		l.daemon.metrics.Inc(metric.Suspensions)
		l.daemon.log.Warn().Dur("suspended_ms", d).Msg("host was suspended")
		l.daemon.platform.Reconnect()
		l.daemon.clients.Close()
	}
	l.expire(now)
	l.balance(now)
	l.takeLevels(ctx)
	l.beatIfDue(now)
	l.publish(now)
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

func (l *loop) expire(now time.Time) {
	for _, h := range l.members.Expire() {
		l.book.Silence(h.Name)
		l.inFlight[h.Name] = nil
		l.daemon.metrics.Inc(metric.HostsLost)
		l.daemon.log.Warn().Str("peer", h.Name).Msg("router not reachable")
	}
	for _, h := range l.members.Forget(now.Add(-forgetAfter)) {
		l.book.Forget(h.Name)
		delete(l.inFlight, h.Name)
	}
}

func (l *loop) view() dispatch.View {
	v := dispatch.View{
		Demands: l.book.Demands(l.daemon.settings.Host), InFlight: l.others(), DataCentres: make(map[string]string), Routers: 1,
	}
	for _, h := range l.members.Hosts() {
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
	due := since >= l.daemon.settings.HeartbeatInterval || since >= shortestBeat && l.daemon.dispatcher.Pressed()
	if !due || l.credit <= 0 {
		return
	}
	if !l.lastBeat.IsZero() {
		l.members.SetTimeout(max(failureTimeout, missedBeats*since))
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
	sent, cost := l.send(l.heartbeat(), to)
	l.daemon.metrics.Add(metric.HeartbeatsSent, sent)
	return cost + l.tellSuspects(to)
}

// tellSuspects tells other routers of requests under which targets ended, if there is
// anything to tell, and returns its cost in bytes.
func (l *loop) tellSuspects(to []netip.AddrPort) int {
	hb := l.daemon.quarantine.Tell()
	if hb == nil {
		return 0
	}
	_, cost := l.send(hb, to)
	return cost
}

// send sends a datagram and returns to how many it left, and its cost in bytes.
func (l *loop) send(hb *zinccovev1.Heartbeat, to []netip.AddrPort) (sent, cost int) {
	size, sent, err := l.daemon.transport.Send(hb, to...)
	if err != nil {
		l.daemon.metrics.Add(metric.PeerErrors, len(to)-sent)
	}
	l.daemon.metrics.Add(metric.ControlBytesSent, size*sent)
	return sent, size * sent
}

// destinations returns the addresses of all known routers and, while there are
// none, the seeds.
func (l *loop) destinations() []netip.AddrPort {
	var to []netip.AddrPort
	reachable := false
	for _, h := range l.members.Hosts() {
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
	l.sequence++
	d.dispatcher.Counters(l.book.SetLocal)
	hb := &zinccovev1.Heartbeat{
		Incarnation:   l.incarnation,
		Sequence:      l.sequence,
		ConfigVersion: d.syncer.Current().Version(),
		Leaving:       d.stopping.Load(),
		Pools:         l.book.Report(),
	}
	hb.Targets, hb.InFlight = busiest(d.dispatcher.OwnInFlight())
	if l.sequence <= identifyEvery/2 || l.sequence%identifyEvery == 0 {
		hb.Host = l.identity()
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

func (l *loop) identity() *zinccovev1.HostInfo {
	d := l.daemon
	return &zinccovev1.HostInfo{
		Name:          d.settings.Host,
		DataCentre:    d.settings.DataCentre,
		Control:       d.control.Address().String(),
		Peer:          d.transport.Address().String(),
		StartedUnixMs: l.started.UnixMilli(),
	}
}

// publish makes the status that operators read, and the gauges.
func (l *loop) publish(now time.Time) {
	d := l.daemon
	own := &zinccovev1.RouterStatus{
		Host: d.settings.Host, DataCentre: d.settings.DataCentre, ConfigVersion: d.syncer.Current().Version(),
		Reachable: true, Leaving: d.stopping.Load(),
	}
	var queued, running, reachable int
	for _, s := range d.dispatcher.Status() {
		queued += s.Queued
		running += s.Running
		own.Pools = append(own.Pools, &zinccovev1.PoolStatus{
			Name: s.Name, Queued: uint32(s.Queued), InFlight: uint32(s.Running), Slots: uint32(s.Slots),
		})
	}
	all := []*zinccovev1.RouterStatus{own}
	for _, h := range l.members.Hosts() {
		if h.Reachable {
			reachable++
		}
		all = append(all, h.Status(now))
	}
	l.published.Store(&all)
	d.metrics.Set(metric.RequestsQueued, float64(queued))
	d.metrics.Set(metric.RequestsRunning, float64(running))
	d.metrics.Set(metric.HostsReachable, float64(reachable))
	d.metrics.Set(metric.ControlCPUSeconds, (l.spent + d.transport.Spent()).Seconds())
	suspected, barred := d.quarantine.Counts()
	d.metrics.Set(metric.SuspectsKnown, float64(suspected))
	d.metrics.Set(metric.BarredKnown, float64(barred))
	d.metrics.Set(metric.HeartbeatsForged, float64(d.transport.Forged()))
}

// statuses returns what is known of all routers as of the last tick.
func (l *loop) statuses() []*zinccovev1.RouterStatus {
	if p := l.published.Load(); p != nil {
		return *p
	}
	return nil
}

// alone reports whether no other router is reachable.
func (l *loop) alone() bool {
	for _, r := range l.statuses() {
		if r.Reachable && r.Host != l.daemon.settings.Host {
			return false
		}
	}
	return true
}
