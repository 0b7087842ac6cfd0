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
	// writerDelay is how much later each next router that follows the store writes the state of an
	// order. It writes only if the routers before it by name did not, which may have failed or be
	// cut off.
	writerDelay = 250 * time.Millisecond
	// rewriteInterval is the minimum interval between attempts of one router to write a state.
	rewriteInterval = 500 * time.Millisecond
	// failureReportInterval is the minimum interval between reports to others that a response
	// counted against a new version.
	failureReportInterval = 50 * time.Millisecond
	// rolloutReportInterval is the interval between reports to others in fleets in which each
	// router sends heartbeats to all others.
	rolloutReportInterval = 400 * time.Millisecond
)

// rolloutWrites is what a router knows of the rollout states in the store and of its own writes.
type rolloutWrites struct {
	// observed are the states that this router determined, by service, and since when each waits
	// to be written.
	observed map[string]observedState
	// lastWrite is when this router last tried to write a state. writing is set during a write.
	lastWrite time.Time
	writing   bool
	// lastReport is when other routers were last notified. due receives a value when a response
	// counted against a version.
	lastReport time.Time
	due        chan struct{}
}

type observedState struct {
	at      revision.Revision
	state   rollout.State
	since   time.Time
	written bool
}

func newRolloutWrites() rolloutWrites {
	return rolloutWrites{observed: make(map[string]observedState), due: make(chan struct{}, 1)}
}

// applyRollouts applies the rollout orders of operators. A complete table names all of them.
func (l *loop) applyRollouts(b platform.Batch, complete bool) {
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
			g.log.Info().Str("service", service).Uint64("version", c.Revision.Count).Msg("rollout order withdrawn")
			continue
		}
		o, err := platform.DecodeRollout(c, g.clock.Now())
		if err != nil {
			g.metrics.Inc(metric.ConfigRejected)
			g.log.Error().Err(err).Str("service", service).Msg("rollout order rejected")
			continue
		}
		if g.rollouts.Put(o) {
			g.log.Info().Str("service", service).Str("target_version", o.Version).Dur("within_ms", o.Duration).
				Uint64("era", c.Revision.Era).Uint64("version", c.Revision.Count).Msg("rollout order accepted")
		}
	}
	if !complete {
		return
	}
	for _, c := range g.rollouts.Counts(nil) {
		if !listed[c.Service] {
			g.rollouts.Drop(c.Service)
		}
	}
}

// updateRollouts evaluates the rollouts, has their states written and reports them to others.
func (l *loop) updateRollouts(ctx context.Context, now time.Time) {
	g := l.gateway
	if !g.rollouts.Active() {
		return
	}
	for _, v := range g.rollouts.Evaluate() {
		l.noteVerdict(ctx, v, now)
	}
	if !l.usesReports() && now.Sub(l.rollouts.lastReport) >= rolloutReportInterval {
		l.sendRollouts(now)
	}
}

// noteVerdict records the state of a rollout and has it written when it is this router's turn.
func (l *loop) noteVerdict(ctx context.Context, v rollout.Evaluation, now time.Time) {
	g := l.gateway
	f := l.rollouts.observed[v.Order.Service]
	if f.at != v.Order.Revision || f.state != v.State {
		f = observedState{at: v.Order.Revision, state: v.State, since: now}
		g.log.Info().Str("service", v.Order.Service).Str("target_version", v.Order.Version).Str("state", string(v.State)).
			Dur("after_ms", now.Sub(v.Order.At)).Int("answers", v.New.Requests).Int("failures", v.New.Failures).Int("slow", v.New.Slow).
			Int("old_answers", v.Old.Requests).Int("old_failures", v.Old.Failures).Int("old_slow", v.Old.Slow).Int("old_running", v.OldRunning).
			Msg("rollout state determined by this router")
		if v.State == rollout.RolledBack {
			l.requestRolloutReport()
		}
	}
	turn := now.Sub(f.since) >= time.Duration(g.followerRank.Load())*writerDelay
	if g.leads.Load() && !f.written && turn && !l.rollouts.writing && now.Sub(l.rollouts.lastWrite) >= rewriteInterval {
		l.rollouts.writing, l.rollouts.lastWrite = true, now
		g.group.Go(func() error {
			stored, err := g.writeRollout(ctx, v)
			l.post(ctx, func(l *loop) { l.handleWrittenState(v, stored, err) })
			return nil
		})
	}
	l.rollouts.observed[v.Order.Service] = f
}

// writeRollout writes the state of a rollout, unless the store already has a final one, and
// returns the state that the store then has.
func (g *Gateway) writeRollout(ctx context.Context, v rollout.Evaluation) (stored rollout.State, err error) {
	s, err := g.store.RolloutState(ctx, v.Order.Service)
	if err != nil && !eris.Is(err, platform.ErrNotFound) {
		return "", err
	}
	// A state that is older than the order belongs to an earlier order for the same version.
	ofOrder := s.Version == v.Order.Version && v.Order.Revision.Before(s.Revision)
	if ofOrder && (s.State.Final() || s.State == v.State) {
		return s.State, nil
	}
	return v.State, g.store.SetRolloutState(ctx, v.Order, v.State, s.Revision)
}

// handleWrittenState records the state that the store has after a write.
func (l *loop) handleWrittenState(v rollout.Evaluation, stored rollout.State, err error) {
	g := l.gateway
	l.rollouts.writing = false
	if err != nil {
		g.log.Warn().Err(err).Str("service", v.Order.Service).Str("state", string(v.State)).Msg("could not write rollout state; retrying")
		return
	}
	if f := l.rollouts.observed[v.Order.Service]; f.at == v.Order.Revision && f.state == v.State {
		f.written = stored == v.State
		l.rollouts.observed[v.Order.Service] = f
	}
	g.log.Info().Str("service", v.Order.Service).Str("target_version", v.Order.Version).Str("state", string(stored)).Msg("state of a service that moves, in the store")
	if stored.Final() {
		g.rollouts.SetState(v.Order.Service, v.Order.Version, stored)
		l.requestRolloutReport()
	}
}

// requestRolloutReport requests that other routers are notified soon. It may be called by any
// goroutine.
func (l *loop) requestRolloutReport() {
	select {
	case l.rollouts.due <- struct{}{}:
	default: // already requested
	}
}

// sendDueRollouts notifies other routers, or schedules that if they were notified a moment ago.
func (l *loop) sendDueRollouts() {
	now := l.gateway.clock.Now()
	if left := failureReportInterval - now.Sub(l.rollouts.lastReport); left > 0 {
		l.gateway.clock.AfterFunc(left, l.requestRolloutReport)
		return
	}
	l.sendRollouts(now)
}

// sendRollouts reports the counts of this router to all other routers or, in large fleets, to its
// relays.
func (l *loop) sendRollouts(now time.Time) {
	l.rollouts.lastReport = now
	if l.usesReports() {
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

// rolloutsOf returns the counts that messages of a scope carry. Members send their own counts to
// their relays, relays those of their cell up to leaders, leaders those of the data centre across
// to other data centres. Messages down carry the state alone.
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
		own := dataCentreSource(l.gateway.settings.DataCentre)
		counts = l.gateway.rollouts.Counts(func(from string) bool { return isRouter(from) || isCell(from, own) })
	}
	if scope == presence.FleetReport {
		for i := range counts {
			counts[i].Tallies, counts[i].OldRunning = nil, 0
		}
	}
	return encodeRollouts(counts)
}

// handleRollouts applies the rollout counts that another router reports. Counts of other relays
// for this router's own cell are ignored, as they sum up responses that the members reported to it
// directly.
func (l *loop) handleRollouts(host, dataCentre string, hb *zinccovev1.Heartbeat) {
	if len(hb.Rollouts) == 0 {
		return
	}
	from, known := host, false
	if hb.Report != nil {
		switch decodeScope(hb.Report.Scope) {
		case presence.CellReport:
			g := l.groupOf(host)
			from, known = dataCentreSource(g.dataCentre)+g.cell, g == l.ownGroup()
		case presence.DataCentreReport:
			from = dataCentreSource(dataCentre)
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

// dataCentreSource returns the name under which counts of a data centre are kept. Followed by the
// name of a cell it is that of the cell. No router has such a name.
func dataCentreSource(dc string) string { return "/" + dc + "/" }

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
		for _, key := range slices.SortedFunc(maps.Keys(c.Tallies), compareKeys) {
			t := c.Tallies[key]
			e.Tallies = append(e.Tallies, &zinccovev1.RouteTally{
				Route: key.Route, NewVersion: key.New, Answers: uint32(t.Requests), Failures: uint32(t.Failures), Slow: uint32(t.Slow),
			})
		}
		enc = append(enc, e)
	}
	return enc
}

func compareKeys(a, b rollout.Key) int {
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
