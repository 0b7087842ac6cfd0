package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/follow"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/platform/wire"
	"zinccove.example/zinccove/revision"
)

// confirmation holds when the store last confirmed a table.
type confirmation struct{ at atomic.Pointer[time.Time] }

func (a *confirmation) set(now time.Time) { a.at.Store(&now) }

// time returns when the store last confirmed the table, zero if it never did.
func (a *confirmation) time() time.Time {
	if at := a.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// age returns the time since the last confirmation. It reports whether there was one.
func (a *confirmation) age(now time.Time) (time.Duration, bool) {
	at := a.at.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}

// confirmation returns the confirmation of a table.
func (g *Gateway) confirmation(table string) *confirmation {
	switch table {
	case wire.TableOperator:
		return &g.routesConfirmed
	case wire.TableRouters:
		return &g.routersConfirmed
	}
	return &g.targetsConfirmed
}

// tableParts returns the parts of a table to read, nil for all.
func (g *Gateway) tableParts(table string) []string {
	if table == wire.TableRouters {
		return g.hostParts()
	}
	return nil
}

// followOptions returns the options to follow a table of the store, directly or through another
// router, and to record when the store confirmed it.
func (g *Gateway) followOptions(t *tableFollower, apply func(platform.Batch, bool)) follow.Options[platform.Batch] {
	table, log := t.table, g.logs[t.table]
	return follow.Options[platform.Batch]{
		Clock: g.clock,
		Snapshot: func(ctx context.Context) (platform.Batch, revision.Revision, error) {
			if b, ok := t.snapshot(ctx); ok {
				return b, b.Revision, nil
			}
			b, err := g.store.Snapshot(ctx, table, g.tableParts(table)...)
			return b, b.Revision, err
		},
		Feed: func(ctx context.Context, since revision.Revision, wait time.Duration) (platform.Batch, revision.Revision, error) {
			if t.needsSnapshot(log.NeedsSnapshot()) {
				return platform.Batch{}, since, platform.ErrHistoryLost
			}
			b, callStore, err := t.next(ctx, since, wait)
			if callStore {
				b, err = g.store.Feed(ctx, table, since, wait)
				g.logSilence(table, b.Silence)
			}
			return b, b.Revision, err
		},
		HistoryLost: func(err error) bool { return eris.Is(err, platform.ErrHistoryLost) },
		OnSnapshot: func(b platform.Batch) {
			log.Reset(b.Revision, rowsOf(b)...)
			apply(b, true)
		},
		OnChanges: func(b platform.Batch) {
			log.Append(b.Revision, rowsOf(b)...)
			apply(b, false)
		},
		OnLost: func(loss follow.Loss) {
			t.confirmedBefore = g.confirmation(table).time()
			log.SetLost()
			g.metrics.Inc(metric.PlatformErrors)
			g.log.Warn().Err(loss.Err).Str("table", table).Stringer("since", loss.Since).
				Dur("waited_ms", loss.Waited).Dur("unheard_ms", loss.SinceResponse).Msg("store lost")
		},
		OnRegained: func() {
			g.log.Info().Str("table", table).Dur("outage_ms", t.outage()).Msg("store regained")
		},
		OnSuccess: func() {
			confirmed := g.confirmation(table)
			if !t.active() { // otherwise the leader reports when the store confirmed
				confirmed.set(g.clock.Now())
			}
			log.Confirm(confirmed.time())
		},
		Hold: func() time.Duration { return holdTime(int(g.followerRank.Load())) },
	}
}

// logSilence logs that a feed was repeated because its connection was silent for a time.
func (g *Gateway) logSilence(table string, silence time.Duration) {
	if silence > 0 {
		g.log.Warn().Str("table", table).Dur("silence_ms", silence).Msg("feed was silent and repeated on a new connection")
	}
}

// followRoutes follows the configuration that operators write.
func (g *Gateway) followRoutes(ctx context.Context) error {
	t := &tableFollower{gateway: g, table: wire.TableOperator}
	defer t.close("stopping")
	o := g.followOptions(t, func(b platform.Batch, complete bool) {
		g.loop.post(ctx, func(l *loop) { l.applyOperatorRows(b, complete) })
	})
	lost, regained := o.OnLost, o.OnRegained
	o.OnLost = func(loss follow.Loss) { g.storeLost.Store(true); lost(loss) }
	o.OnRegained = func() { g.storeLost.Store(false); regained() }
	return follow.Run(ctx, o)
}

const (
	// minHold is how long the first router by name holds feeds open. holdStep is by how much
	// longer each next router does. A call that the store never responds to is given up after that
	// time plus the store's timeout. The first router that calls again then notifies the others of
	// leaving targets. Once the store is back, a leaving target must be known within the drain,
	// which is 2 s in the smallest fleets.
	minHold  = 1500 * time.Millisecond
	holdStep = 500 * time.Millisecond
	// maxHold bounds how late the last routers learn of new targets, which other routers do not
	// report to them. Each call has a cost: 59 routers that all held feeds for minHold would make
	// five times as many calls as with these times.
	maxHold = 10 * time.Second
)

// holdTime returns how long the router of a rank holds feeds open.
func holdTime(rank int) time.Duration {
	return min(minHold+time.Duration(rank)*holdStep, maxHold)
}

const (
	// minSettle is the minimum time for which changes of targets are collected.
	minSettle = 100 * time.Millisecond
	// settlePerRouter is that time for each router that follows the store. Each response has a
	// cost, and without it each change would cause one for every such router. Together they call
	// for changes about 20 times a second, and more often only where the drain is too short for
	// that.
	settlePerRouter = 50 * time.Millisecond
	// drainMargin is the part of the drain that is reserved for the store's response and for
	// requests in flight, so that a target that left receives no new requests after its drain.
	drainMargin = 400 * time.Millisecond
)

// settleTime returns how long a router collects changes of targets in a fleet in which the given
// number of other routers follow the store. A removed entry is kept for one heartbeat of its
// target. Both times together stay below the drain, after which the target must receive no new
// requests, unless the drain leaves less than minSettle.
func settleTime(routers int, drain, heartbeat time.Duration) time.Duration {
	limit := drain - heartbeat - drainMargin
	return max(min(time.Duration(routers)*settlePerRouter, limit), minSettle)
}

// renewalTime returns how long a removed entry is kept: one heartbeat interval of its target, or
// less if the drain requires it.
func renewalTime(drain, heartbeat time.Duration) time.Duration {
	return max(min(heartbeat, drain-drainMargin-minSettle), 0)
}

// settle returns how long this router collects changes of targets.
func (g *Gateway) settle() time.Duration {
	return settleTime(int(g.followers.Load()), g.settings.TargetDrain, g.settings.TargetHeartbeat)
}

// followTargets follows the entries of targets.
func (g *Gateway) followTargets(ctx context.Context) error {
	t := &tableFollower{gateway: g, table: wire.TableTargets}
	defer t.close("stopping")
	o := g.followOptions(t, func(b platform.Batch, complete bool) {
		g.loop.post(ctx, func(l *loop) { l.applyTargets(b, complete) })
	})
	lost, regained := o.OnLost, o.OnRegained
	o.Full = func(b platform.Batch) bool { return len(b.Changes) >= wire.MaxRows }
	o.BatchDelay = func() time.Duration {
		if t.active() {
			return 0 // the leader collects changes already
		}
		return g.settle()
	}
	o.OnLost = func(loss follow.Loss) { g.loop.post(ctx, func(l *loop) { l.roster.MarkDisconnected() }); lost(loss) }
	o.OnRegained = func() {
		outage := t.outage()
		g.loop.post(ctx, func(l *loop) { l.roster.MarkReconnected(outage) })
		regained()
	}
	return follow.Run(ctx, o)
}

// followRouters follows the entries of other routers once the fleet is large. In small fleets each
// router receives heartbeats from all others.
func (g *Gateway) followRouters(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.reportingStarted:
	}
	t := &tableFollower{gateway: g, table: wire.TableRouters}
	defer t.close("stopping")
	return follow.Run(ctx, g.followOptions(t, func(b platform.Batch, _ bool) {
		g.loop.post(ctx, func(l *loop) { l.applyRouters(b) })
	}))
}
