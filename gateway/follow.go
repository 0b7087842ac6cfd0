package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/follow"
	"zinccove.example/zinccove/member"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/platform/wire"
	"zinccove.example/zinccove/revision"
	"zinccove.example/zinccove/roster"
	"zinccove.example/zinccove/route"
)

// answered is when the store last answered about a table.
type answered struct{ at atomic.Pointer[time.Time] }

func (a *answered) set(now time.Time) { a.at.Store(&now) }

// age is the time since the store answered. It reports whether it ever did.
func (a *answered) age(now time.Time) (time.Duration, bool) {
	at := a.at.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}

// heardOf returns when the store last answered about a table.
func (g *Gateway) heardOf(table string) *answered {
	if table == wire.TableOperator {
		return &g.routesAnswered
	}
	return &g.targetsAnswered
}

// source follows a table of the store, by itself or through another router, and notes
// when the store answered.
func (g *Gateway) source(t *through, take func(platform.Batch, bool)) follow.Options[platform.Batch] {
	table, log := t.table, g.logs[t.table]
	return follow.Options[platform.Batch]{
		Clock: g.clock,
		Snapshot: func(ctx context.Context) (platform.Batch, revision.Revision, error) {
			if b, ok := t.snapshot(ctx); ok {
				return b, b.Revision, nil
			}
			b, err := g.store.Snapshot(ctx, table)
			return b, b.Revision, err
		},
		Feed: func(ctx context.Context, since revision.Revision, wait time.Duration) (platform.Batch, revision.Revision, error) {
			b, ask, err := t.next(ctx, since, wait)
			if ask {
				b, err = g.store.Feed(ctx, table, since, wait)
			}
			return b, b.Revision, err
		},
		HistoryLost: func(err error) bool { return eris.Is(err, platform.ErrHistoryLost) },
		Whole: func(b platform.Batch) {
			log.Reset(b.Revision, rowsOf(b)...)
			take(b, true)
		},
		Changed: func(b platform.Batch) {
			log.Append(b.Revision, rowsOf(b)...)
			take(b, false)
		},
		Lost: func(loss follow.Loss) {
			log.SetLost()
			g.metrics.Inc(metric.PlatformErrors)
			g.log.Warn().Err(loss.Err).Str("table", table).Stringer("since", loss.Since).
				Dur("waited_ms", loss.Waited).Dur("unheard_ms", loss.Unheard).Msg("store lost")
		},
		Regained: func() { g.log.Info().Str("table", table).Msg("store regained") },
		Alive: func() {
			if !t.active() { // else the other router says when the store answered
				g.heardOf(table).set(g.clock.Now())
			}
			log.Confirm()
		},
		Hold: func() time.Duration { return holdTime(int(g.rank.Load())) },
	}
}

// followRoutes follows the operators' configuration.
func (g *Gateway) followRoutes(ctx context.Context) error {
	t := &through{gateway: g, table: wire.TableOperator}
	defer t.close("stopping")
	o := g.source(t, func(b platform.Batch, whole bool) {
		g.loop.post(ctx, func(l *loop) { l.takeOperators(b, whole) })
	})
	lost, regained := o.Lost, o.Regained
	o.Lost = func(loss follow.Loss) { g.storeLost.Store(true); lost(loss) }
	o.Regained = func() { g.storeLost.Store(false); regained() }
	return follow.Run(ctx, o)
}

const (
	// leastHold is how long the first router by name holds feeds open, holdStep by
	// how much longer each next one does. A call that the store never answers is
	// given up after that and the store's timeout; the first router to ask again tells
	// the others which targets leave. A target that leaves must be known of within
	// the drain, 2 s in the smallest fleets, once the store is back.
	leastHold = 1500 * time.Millisecond
	holdStep  = 500 * time.Millisecond
	// mostHold bounds how late the last routers learn of new targets, which others do
	// not tell them. Each call has its price: 59 routers that all held feeds for
	// leastHold would make five times as many as with these holds.
	mostHold = 10 * time.Second
)

// holdTime is how long the router of a rank holds feeds open.
func holdTime(rank int) time.Duration {
	return min(leastHold+time.Duration(rank)*holdStep, mostHold)
}

const (
	// leastSettle is the least time for which changes of targets are collected.
	leastSettle = 100 * time.Millisecond
	// routerSettle is that time for each router that follows the store: each answer
	// has its price, and each change would have one for every such router. Together
	// they so ask for changes about 20 times a second, and more often only where the
	// drain leaves less time.
	routerSettle = 50 * time.Millisecond
	// drainMargin is what is left of the time in which a target that left must be
	// left alone, for the store's answer and for requests on their way.
	drainMargin = 400 * time.Millisecond
)

// settleTime is how long a router collects changes of targets in a fleet in which so
// many others follow the store. An entry that goes is kept for a heartbeat of its target; together
// they stay below the drain, the time after which the target must get nothing
// new, unless the drain leaves less than leastSettle.
func settleTime(routers int, drain, heartbeat time.Duration) time.Duration {
	most := drain - heartbeat - drainMargin
	return max(min(time.Duration(routers)*routerSettle, most), leastSettle)
}

// renewalTime is how long an entry that goes is kept: a heartbeat of its target,
// or less where the drain allows no more.
func renewalTime(drain, heartbeat time.Duration) time.Duration {
	return max(min(heartbeat, drain-drainMargin-leastSettle), 0)
}

// settle is how long this router collects changes of targets.
func (g *Gateway) settle() time.Duration {
	return settleTime(int(g.followers.Load()), g.settings.TargetDrain, g.settings.TargetHeartbeat)
}

// followTargets follows the targets' entries.
func (g *Gateway) followTargets(ctx context.Context) error {
	t := &through{gateway: g, table: wire.TableTargets}
	defer t.close("stopping")
	o := g.source(t, func(b platform.Batch, whole bool) {
		g.loop.post(ctx, func(l *loop) { l.takeTargets(b, whole) })
	})
	lost, regained := o.Lost, o.Regained
	o.Settle = func() time.Duration {
		if t.active() {
			return 0 // the other router collects changes
		}
		return g.settle()
	}
	o.Lost = func(loss follow.Loss) { g.loop.post(ctx, func(l *loop) { l.roster.Interrupted() }); lost(loss) }
	o.Regained = func() { g.loop.post(ctx, func(l *loop) { l.roster.Resumed() }); regained() }
	return follow.Run(ctx, o)
}

// takeOperators takes rows that operators wrote. A copy of the table may lack that a data
// centre is to be evacuated; operators write that again.
func (l *loop) takeOperators(b platform.Batch, whole bool) {
	evacuated := make(map[string]bool)
	if wentBack := l.noteEra(b.Revision); !whole || wentBack {
		maps.Copy(evacuated, l.evacuated)
	}
	for _, c := range b.Changes {
		if dc, ok := platform.EvacuatedDataCentre(c.Key); ok {
			evacuated[dc] = !c.Removed
		}
		if c.Key == wire.ConfigKey && !c.Removed {
			l.adopt(c.Value, "store")
		}
	}
	maps.DeleteFunc(evacuated, func(_ string, asked bool) bool { return !asked })
	if maps.Equal(evacuated, l.evacuated) {
		return
	}
	l.evacuated = evacuated
	l.gateway.placer.SetEvacuated(evacuated)
	l.gateway.log.Info().Strs("data_centres", slices.Sorted(maps.Keys(evacuated))).Uint64("era", b.Revision.Era).Uint64("version", b.Revision.Count).
		Msg("data centres to be evacuated")
}

// adopt brings a configuration in force, unless it is not newer than the one
// in force or not valid.
func (l *loop) adopt(body []byte, from string) {
	g := l.gateway
	spec, err := platform.DecodeConfig(body)
	if l.mayBeBehind(spec.Version) {
		l.waiting = body
		return
	}
	var table *route.Table
	if err == nil {
		table, err = route.New(spec)
	}
	if err != nil {
		g.metrics.Inc(metric.ConfigRejected)
		g.log.Error().Err(err).Str("from", from).Uint64("version", spec.Version).Msg("configuration rejected, the one before stays in force")
		return
	}
	if table.Version <= l.version() {
		return
	}
	digest := sha256.Sum256(body)
	g.table.Store(&adopted{table: table, body: body, digest: hex.EncodeToString(digest[:])})
	g.metrics.Inc(metric.ConfigAdopted)
	g.metrics.Set(metric.ConfigVersion, float64(table.Version))
	g.log.Info().Uint64("version", table.Version).Str("from", from).Int("routes", len(table.Routes)).
		Int("customers", len(table.Customers)).Msg("configuration in force")
	l.publishTargets()
}

// hearTime is how long a router that starts waits at most to hear of another one, before it
// takes the store's configuration, fetchTime how long to get the newer one of another router.
// The first to hear it answer at once.
const (
	hearTime  = 300 * time.Millisecond
	fetchTime = 2 * time.Second
)

// mayBeBehind reports whether others have a newer configuration than the one of a version
// that the store gives to this router, which just started, or may have one: the store may
// have come back from a copy a moment ago.
func (l *loop) mayBeBehind(version uint64) bool {
	g := l.gateway
	if g.settings.FirstStart || l.version() > 0 {
		return false
	}
	waited := g.clock.Since(l.started)
	if !l.heard {
		return waited < hearTime || l.others > 0 && waited < hostsTime+hearTime
	}
	newer := func(h *member.Host) bool { return h.ConfigVersion > version }
	return waited < fetchTime && slices.ContainsFunc(l.reachable(), newer)
}

// adoptWaiting takes the configuration that waited until others were heard.
func (l *loop) adoptWaiting() {
	if body := l.waiting; body != nil {
		l.waiting = nil
		l.adopt(body, "store")
	}
}

// version is that of the table in force, 0 if there is none.
func (l *loop) version() uint64 {
	if a := l.gateway.table.Load(); a != nil {
		return a.table.Version
	}
	return 0
}

// noteEra reports whether a revision is the first of an era that began while this router
// runs: the store came back from a copy.
func (l *loop) noteEra(r revision.Revision) (wentBack bool) {
	before := l.era
	if l.eraKnown && r.Era <= before {
		return false
	}
	wentBack = l.eraKnown
	l.era, l.eraKnown = r.Era, true
	if wentBack {
		g := l.gateway
		g.metrics.Inc(metric.StoreWentBack)
		g.log.Warn().Uint64("era", r.Era).Uint64("era_before", before).Uint64("version", r.Count).Msg("store came back from a copy")
		g.quarantine.KeepAgain()
		g.announceAgain()
	}
	return wentBack
}

// takeTargets takes entries of targets.
func (l *loop) takeTargets(b platform.Batch, whole bool) {
	l.noteEra(b.Revision)
	var entries []roster.Target
	for _, c := range b.Changes {
		if c.Removed {
			l.removeTarget(c)
			continue
		}
		t := l.readTarget(c)
		entries = append(entries, t)
		if whole {
			continue
		}
		if gone, ended := l.roster.Put(t); ended {
			l.depart([]roster.Departure{gone}, "target started again")
		}
	}
	if whole {
		l.depart(l.roster.Replace(entries, b.Revision), "targets gone, their entries are missing")
	}
	for _, t := range entries {
		l.noteLeaving(t)
	}
	l.roster.CaughtUp()
	l.publishTargets()
}

// noteLeaving remembers whether a target whose entry was read is to be told of as leaving.
// What the roster holds counts: an entry of a copy takes nothing back.
func (l *loop) noteLeaving(t roster.Target) {
	if t.Unreadable {
		return
	}
	switch known := l.roster.Get(t.ID); {
	case known == nil:
	case known.Draining:
		l.leaves(known.Departure(known.Revision))
	default:
		delete(l.leaving, place.HashOf(known.Incarnation()))
	}
}

// removeTarget notes that an entry went.
func (l *loop) removeTarget(c platform.Change) {
	gone, left := l.roster.Remove(c.Key, c.Revision, c.Age)
	l.gateway.log.Info().Str("target", c.Key).Uint64("era", c.Revision.Era).Uint64("version", c.Revision.Count).Bool("gone", left).Msg("target entry removed")
	if left {
		l.leaves(gone)
	}
}

// readTarget returns the target of an entry. One that cannot be read names none.
func (l *loop) readTarget(c platform.Change) roster.Target {
	g := l.gateway
	t, err := platform.DecodeTarget(c)
	if err != nil {
		g.metrics.Inc(metric.EntriesRejected)
		g.log.Warn().Err(err).Str("target", c.Key).Uint64("era", c.Revision.Era).Uint64("version", c.Revision.Count).
			Msg("target entry rejected, it gets nothing new until a good one follows")
		return roster.Target{ID: c.Key, Revision: c.Revision, Unreadable: true}
	}
	g.log.Info().Str("target", t.ID).Time("started", t.Started).Str("service", t.Service).Stringer("address", t.Address).
		Bool("draining", t.Draining).Uint64("era", t.Revision.Era).Uint64("version", t.Revision.Count).Msg("target entry")
	return t
}

// departure is what this router read of a target that leaves.
type departure struct {
	at time.Time
	// revision is that of the store.
	revision revision.Revision
}

// leaves remembers a run of a target to tell other routers of.
func (l *loop) leaves(d roster.Departure) {
	l.leaving[place.HashOf(d.Incarnation)] = departure{at: l.gateway.clock.Now(), revision: d.Revision}
}

// depart remembers targets that are gone, and says why. It reports whether there
// are any.
func (l *loop) depart(gone []roster.Departure, why string) bool {
	if len(gone) == 0 {
		return false
	}
	ids := make([]string, len(gone))
	for i, d := range gone {
		ids[i] = d.ID
		l.leaves(d)
	}
	at := gone[0].Revision
	l.gateway.log.Info().Strs("targets", ids).Uint64("era", at.Era).Uint64("version", at.Count).Msg(why)
	return true
}

// publishTargets gives targets and engines to the placer.
func (l *loop) publishTargets() {
	var table *route.Table
	if a := l.gateway.table.Load(); a != nil {
		table = a.table
	}
	l.targets = l.roster.Targets()
	l.ids = make(map[place.Hash]string, len(l.targets))
	for _, t := range l.targets {
		l.ids[place.HashOf(t.Incarnation())] = t.ID
	}
	l.gateway.placer.SetTargets(l.targets, table)
	l.findOwners()
}
