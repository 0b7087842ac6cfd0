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

// answered is when the store last answered about a table.
type answered struct{ at atomic.Pointer[time.Time] }

func (a *answered) set(now time.Time) { a.at.Store(&now) }

// time is when the store answered, zero if it never did.
func (a *answered) time() time.Time {
	if at := a.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

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
	switch table {
	case wire.TableOperator:
		return &g.routesAnswered
	case wire.TableRouters:
		return &g.routersAnswered
	}
	return &g.targetsAnswered
}

// parts are those of the store's table.
func (g *Gateway) parts(table string) []string {
	if table == wire.TableRouters {
		return g.hostParts()
	}
	return nil
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
			b, err := g.store.Snapshot(ctx, table, g.parts(table)...)
			return b, b.Revision, err
		},
		Feed: func(ctx context.Context, since revision.Revision, wait time.Duration) (platform.Batch, revision.Revision, error) {
			if t.wantsWhole(log.NeedsSnapshot()) {
				return platform.Batch{}, since, platform.ErrHistoryLost
			}
			b, ask, err := t.next(ctx, since, wait)
			if ask {
				b, err = g.store.Feed(ctx, table, since, wait)
			}
			return b, b.Revision, err
		},
		HistoryLost: func(err error) bool { return eris.Is(err, platform.ErrHistoryLost) },
		OnSnapshot: func(b platform.Batch) {
			log.Reset(b.Revision, rowsOf(b)...)
			take(b, true)
		},
		OnChanges: func(b platform.Batch) {
			log.Append(b.Revision, rowsOf(b)...)
			take(b, false)
		},
		OnLost: func(loss follow.Loss) {
			log.SetLost()
			g.metrics.Inc(metric.PlatformErrors)
			g.log.Warn().Err(loss.Err).Str("table", table).Stringer("since", loss.Since).
				Dur("waited_ms", loss.Waited).Dur("unheard_ms", loss.SinceResponse).Msg("store lost")
		},
		OnRegained: func() { g.log.Info().Str("table", table).Msg("store regained") },
		OnSuccess: func() {
			heard := g.heardOf(table)
			if !t.active() { // else the other router says when the store answered
				heard.set(g.clock.Now())
			}
			log.Confirm(heard.time())
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
	lost, regained := o.OnLost, o.OnRegained
	o.OnLost = func(loss follow.Loss) { g.storeLost.Store(true); lost(loss) }
	o.OnRegained = func() { g.storeLost.Store(false); regained() }
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
	lost, regained := o.OnLost, o.OnRegained
	o.Full = func(b platform.Batch) bool { return len(b.Changes) >= wire.MaxRows }
	o.BatchDelay = func() time.Duration {
		if t.active() {
			return 0 // the other router collects changes
		}
		return g.settle()
	}
	o.OnLost = func(loss follow.Loss) { g.loop.post(ctx, func(l *loop) { l.roster.MarkDisconnected() }); lost(loss) }
	o.OnRegained = func() { g.loop.post(ctx, func(l *loop) { l.roster.MarkReconnected() }); regained() }
	return follow.Run(ctx, o)
}

// followRouters follows the entries of other routers once there are many: in small fleets all
// hear all.
func (g *Gateway) followRouters(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.many:
	}
	t := &through{gateway: g, table: wire.TableRouters}
	defer t.close("stopping")
	return follow.Run(ctx, g.source(t, func(b platform.Batch, _ bool) {
		g.loop.post(ctx, func(l *loop) { l.takeRouters(b) })
	}))
}
