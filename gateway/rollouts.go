package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/presence"
	"zinccove.example/zinccove/revision"
	"zinccove.example/zinccove/rollout"
)

const (
	// writerStep is how much later each next router that follows the store writes the state
	// of an order, if the ones before it by name did not: they may have ended or be cut off.
	writerStep = 250 * time.Millisecond
	// rewriteEvery is the least time between tries of one router to write a state.
	rewriteEvery = 500 * time.Millisecond
	// judgedEvery is the least time between words to others that an answer spoke against a new
	// version.
	judgedEvery = 50 * time.Millisecond
	// rolloutsEvery is the time between words to others in fleets in which all hear all.
	rolloutsEvery = 400 * time.Millisecond
)

// rolloutWrites is what a router knows of the states in the store.
type rolloutWrites struct {
	// found is since when a state is to be written, by service.
	found map[string]foundState
	// tried is when one was last written.
	tried time.Time
	busy  bool
	// told is when others were last told, due tells that an answer speaks against a version.
	told time.Time
	due  chan struct{}
}

type foundState struct {
	at      revision.Revision
	state   rollout.State
	since   time.Time
	written bool
}

func newRolloutWrites() rolloutWrites {
	return rolloutWrites{found: make(map[string]foundState), due: make(chan struct{}, 1)}
}

// takeRollouts takes the operators' orders to move services. A whole table names all.
func (l *loop) takeRollouts(b platform.Batch, whole bool) {
	g := l.gateway
	listed := make(map[string]bool)
	for _, c := range b.Changes {
		service, ok := platform.RolloutService(c.Key)
		if !ok {
			continue
		}
		listed[service] = true
		if c.Removed {
			g.rollouts.Drop(service)
			g.log.Info().Str("service", service).Uint64("version", c.Revision.Count).Msg("order to move a service taken back")
			continue
		}
		o, err := platform.DecodeRollout(c, g.clock.Now())
		if err != nil {
			g.metrics.Inc(metric.ConfigRejected)
			g.log.Error().Err(err).Str("service", service).Msg("order to move a service rejected")
			continue
		}
		if g.rollouts.Put(o) {
			g.log.Info().Str("service", service).Str("target_version", o.Version).Dur("within_ms", o.Duration).
				Uint64("era", c.Revision.Era).Uint64("version", c.Revision.Count).Msg("service moves to a new version")
		}
	}
	if !whole {
		return
	}
	for _, c := range g.rollouts.Counts(nil) {
		if !listed[c.Service] {
			g.rollouts.Drop(c.Service)
		}
	}
}

// moveServices judges the orders, has their states written and tells others.
func (l *loop) moveServices(ctx context.Context, now time.Time) {
	g := l.gateway
	if !g.rollouts.Active() {
		return
	}
	for _, v := range g.rollouts.Evaluate() {
		l.noteVerdict(ctx, v, now)
	}
	if !l.reporting() && now.Sub(l.rollouts.told) >= rolloutsEvery {
		l.tellRollouts(now)
	}
}

// noteVerdict has the state of an order written when it is this router's turn.
func (l *loop) noteVerdict(ctx context.Context, v rollout.Evaluation, now time.Time) {
	g := l.gateway
	f := l.rollouts.found[v.Order.Service]
	if f.at != v.Order.Revision || f.state != v.State {
		f = foundState{at: v.Order.Revision, state: v.State, since: now}
		g.log.Info().Str("service", v.Order.Service).Str("target_version", v.Order.Version).Str("state", string(v.State)).
			Dur("after_ms", now.Sub(v.Order.At)).Int("answers", v.New.Requests).Int("failures", v.New.Failures).Int("slow", v.New.Slow).
			Int("old_answers", v.Old.Requests).Int("old_failures", v.Old.Failures).Int("old_slow", v.Old.Slow).Int("old_running", v.OldRunning).
			Msg("state of a service that moves, as this router finds it")
		if v.State == rollout.RolledBack {
			l.judged()
		}
	}
	turn := now.Sub(f.since) >= time.Duration(g.rank.Load())*writerStep
	if g.leads.Load() && !f.written && turn && !l.rollouts.busy && now.Sub(l.rollouts.tried) >= rewriteEvery {
		l.rollouts.busy, l.rollouts.tried = true, now
		g.group.Go(func() error {
			stands, err := g.writeRollout(ctx, v)
			l.post(ctx, func(l *loop) { l.takeWritten(v, stands, err) })
			return nil
		})
	}
	l.rollouts.found[v.Order.Service] = f
}

// writeRollout writes the state of an order, unless another one stands that never changes, and
// returns the state that stands.
func (g *Gateway) writeRollout(ctx context.Context, v rollout.Evaluation) (stands rollout.State, err error) {
	s, err := g.store.RolloutState(ctx, v.Order.Service)
	if err != nil && !eris.Is(err, platform.ErrNotFound) {
		return "", err
	}
	// A state from before the order is that of an earlier one to the same version.
	ofOrder := s.Version == v.Order.Version && v.Order.Revision.Before(s.Revision)
	if ofOrder && (s.State.Final() || s.State == v.State) {
		return s.State, nil
	}
	return v.State, g.store.SetRolloutState(ctx, v.Order, v.State, s.Revision)
}

// takeWritten takes what stands in the store.
func (l *loop) takeWritten(v rollout.Evaluation, stands rollout.State, err error) {
	g := l.gateway
	l.rollouts.busy = false
	if err != nil {
		g.log.Warn().Err(err).Str("service", v.Order.Service).Str("state", string(v.State)).Msg("state of a service that moves not written, trying again")
		return
	}
	if f := l.rollouts.found[v.Order.Service]; f.at == v.Order.Revision && f.state == v.State {
		f.written = stands == v.State
		l.rollouts.found[v.Order.Service] = f
	}
	g.log.Info().Str("service", v.Order.Service).Str("target_version", v.Order.Version).Str("state", string(stands)).Msg("state of a service that moves, in the store")
	if stands.Final() {
		g.rollouts.SetState(v.Order.Service, v.Order.Version, stands)
		l.judged()
	}
}

// judged has others told soon. It may be called by any goroutine.
func (l *loop) judged() {
	select {
	case l.rollouts.due <- struct{}{}:
	default: // they will be
	}
}

// tellJudged tells others, if that was not done a moment ago.
func (l *loop) tellJudged() {
	now := l.gateway.clock.Now()
	if left := judgedEvery - now.Sub(l.rollouts.told); left > 0 {
		l.gateway.clock.AfterFunc(left, l.judged)
		return
	}
	l.tellRollouts(now)
}

// tellRollouts tells other routers what this one saw: all of them, or its relays.
func (l *loop) tellRollouts(now time.Time) {
	l.rollouts.told = now
	if l.reporting() {
		for _, m := range l.presence.Messages() {
			l.sendMessage(m, false)
		}
		return
	}
	hb := l.header()
	hb.Partial = true
	hb.Rollouts = encodeRollouts(l.gateway.rollouts.Counts(nil))
	if len(hb.Rollouts) > 0 {
		l.contact.Send(hb, l.destinations()...)
	}
}

// rolloutsOf returns the counts that go with messages of a scope: this router's own to its
// relays, those of the cell up, those of the data centre across. What comes down is the state.
func (l *loop) rolloutsOf(scope presence.Kind) []*zinccovev1.RolloutCounts {
	if !l.gateway.rollouts.Active() {
		return nil
	}
	var counts []rollout.Counts
	switch scope {
	case presence.Heartbeat, presence.FleetReport:
		counts = l.gateway.rollouts.Counts(nil)
	case presence.CellReport:
		counts = l.gateway.rollouts.Counts(isRouter)
	case presence.DataCentreReport:
		own := dataCentreName(l.gateway.settings.DataCentre)
		counts = l.gateway.rollouts.Counts(func(from string) bool { return isRouter(from) || isCell(from, own) })
	}
	if scope == presence.FleetReport {
		for i := range counts {
			counts[i].Tallies, counts[i].OldRunning = nil, 0
		}
	}
	return encodeRollouts(counts)
}

// hearRollouts takes what another router says of services that move. What other relays say of
// the cell of this one is made of answers that it was told of itself.
func (l *loop) hearRollouts(host, dataCentre string, hb *zinccovev1.Heartbeat) {
	if len(hb.Rollouts) == 0 {
		return
	}
	from, known := host, false
	if hb.Report != nil {
		switch decodeScope(hb.Report.Scope) {
		case presence.CellReport:
			g := l.groupOf(host)
			from, known = dataCentreName(g.dataCentre)+g.cell, g == l.ownGroup()
		case presence.DataCentreReport:
			from = dataCentreName(dataCentre)
		}
	}
	for _, enc := range hb.Rollouts {
		c := decodeRollout(enc)
		if known {
			c.Tallies, c.OldRunning = nil, 0
		}
		l.gateway.rollouts.Receive(from, c)
	}
}

// dataCentreName is under what name counts of a data centre are kept, and with the cell after
// it those of a cell; no router has such a name.
func dataCentreName(dc string) string { return "/" + dc + "/" }

func isRouter(from string) bool { return from[0] != '/' }

func isCell(from, dataCentre string) bool {
	return len(from) > len(dataCentre) && from[:len(dataCentre)] == dataCentre
}

func encodeRollouts(list []rollout.Counts) []*zinccovev1.RolloutCounts {
	var enc []*zinccovev1.RolloutCounts
	for _, c := range list {
		e := &zinccovev1.RolloutCounts{
			Service: c.Service, TargetVersion: c.Version, Version: c.Revision.Count, Era: c.Revision.Era, OldRunning: uint32(max(c.OldRunning, 0)), State: string(c.State),
		}
		for _, key := range slices.SortedFunc(maps.Keys(c.Tallies), byRoute) {
			t := c.Tallies[key]
			e.Tallies = append(e.Tallies, &zinccovev1.RouteTally{
				Route: key.Route, NewVersion: key.New, Answers: uint32(t.Requests), Failures: uint32(t.Failures), Slow: uint32(t.Slow),
			})
		}
		enc = append(enc, e)
	}
	return enc
}

func byRoute(a, b rollout.Key) int {
	switch {
	case a.Route < b.Route, a.Route == b.Route && !a.New && b.New:
		return -1
	case a == b:
		return 0
	}
	return 1
}

func decodeRollout(e *zinccovev1.RolloutCounts) rollout.Counts {
	c := rollout.Counts{
		Service: e.Service, Version: e.TargetVersion, Revision: revision.Revision{Era: e.Era, Count: e.Version}, OldRunning: int(e.OldRunning),
		State: rollout.State(e.State), Tallies: make(map[rollout.Key]rollout.Tally),
	}
	for _, t := range e.Tallies {
		c.Tallies[rollout.Key{Route: t.Route, New: t.NewVersion}] = rollout.Tally{Requests: int(t.Answers), Failures: int(t.Failures), Slow: int(t.Slow)}
	}
	return c
}
