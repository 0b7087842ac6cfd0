package gateway

import (
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/owner"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/revision"
	"zinccove.example/zinccove/roster"
	"zinccove.example/zinccove/route"
)

// applyTargets applies entries of targets.
func (l *loop) applyTargets(b platform.Batch, complete bool) {
	l.noteEra(b.Revision)
	single := len(b.Changes) <= maxEntryLogs
	if !single {
		l.gateway.log.Info().Int("entries", len(b.Changes)).Bool("whole", complete).Uint64("era", b.Revision.Era).Uint64("version", b.Revision.Count).Msg("target entries")
	}
	if complete && l.tableRead {
		l.gateway.placer.RestartHistory() // what came and went between the two tables is not known
	}
	var entries []roster.Target
	for _, c := range b.Changes {
		if c.Removed {
			l.removeTarget(c)
			continue
		}
		t := l.decodeTarget(c)
		if single || t.Draining {
			l.logEntry(t)
		}
		entries = append(entries, t)
		if complete {
			continue
		}
		if departed, ended := l.roster.Put(t); ended {
			l.recordDepartures([]roster.Termination{departed}, "target restarted")
		}
	}
	if complete {
		l.recordDepartures(l.roster.Replace(entries, b.Revision), "targets gone, their entries are missing")
	}
	for _, t := range entries {
		l.updateLeaving(t)
	}
	if complete && !l.tableRead {
		l.applyPendingLeaving()
	}
	l.roster.MarkSynced()
	l.publishTargets()
	l.gateway.targetsApplied.Store(&b.Revision)
}

// decodeTarget returns the target of an entry. One that cannot be decoded is marked unreadable.
func (l *loop) decodeTarget(c platform.Change) roster.Target {
	g := l.gateway
	t, err := platform.DecodeTarget(c)
	if err != nil {
		g.metrics.Inc(metric.EntriesRejected)
		g.log.Warn().Err(err).Str("target", c.Key).Uint64("era", c.Revision.Era).Uint64("version", c.Revision.Count).
			Msg("target entry rejected; the target receives no new requests until a valid entry follows")
		return roster.Target{ID: c.Key, Revision: c.Revision, Unreadable: true}
	}
	return t
}

// maxEntryLogs is the maximum number of entries that are logged individually when they arrive
// together. All routers of a large fleet read thousands of entries at a start. Entries of draining
// targets are always logged.
const maxEntryLogs = 32

func (l *loop) logEntry(t roster.Target) {
	if t.Unreadable {
		return // the rejection was logged
	}
	l.gateway.log.Info().Str("target", t.ID).Time("started", t.Started).Str("service", t.Service).Stringer("address", t.Address).
		Bool("draining", t.Draining).Uint64("era", t.Revision.Era).Uint64("version", t.Revision.Count).Msg("target entry")
}

// removeTarget records that an entry was removed. One that was not known may have come and gone in
// a single batch of changes.
func (l *loop) removeTarget(c platform.Change) {
	if l.roster.Get(c.Key) == nil {
		l.gateway.placer.RestartHistory()
	}
	departed, left := l.roster.Remove(c.Key, c.Revision, c.Age)
	l.gateway.log.Info().Str("target", c.Key).Uint64("era", c.Revision.Era).Uint64("version", c.Revision.Count).Dur("age_ms", c.Age).Bool("gone", left).Msg("target entry removed")
	if left {
		l.recordLeaving(departed)
	}
}

// updateLeaving records whether a target whose entry was read is to be reported as leaving. The
// roster's state is authoritative: an entry of a restored store revokes nothing.
func (l *loop) updateLeaving(t roster.Target) {
	if t.Unreadable {
		return
	}
	known := l.roster.Get(t.ID)
	if known == nil {
		return
	}
	hash := place.HashOf(known.Incarnation())
	recorded, ok := l.leaving[hash]
	switch {
	case t.Draining:
		l.recordLeaving(known.Termination(known.Revision))
	case known.Draining && ok:
		// The entry is that of a restored store. The state that was read before applies to other
		// routers too.
		l.leaving[hash] = departure{at: l.gateway.clock.Now(), revision: recorded.revision}
	case !known.Draining:
		delete(l.leaving, hash)
	}
}

// departure is what this router read of a leaving target.
type departure struct {
	at time.Time
	// revision is the store's revision.
	revision revision.Revision
}

// recordLeaving records a leaving incarnation of a target to report it to other routers.
func (l *loop) recordLeaving(d roster.Termination) {
	l.leaving[place.HashOf(d.Incarnation)] = departure{at: l.gateway.clock.Now(), revision: d.Revision}
}

// recordDepartures records removed targets and logs the reason. It reports whether there are any.
func (l *loop) recordDepartures(departed []roster.Termination, reason string) bool {
	if len(departed) == 0 {
		return false
	}
	ids := make([]string, len(departed))
	for i, d := range departed {
		ids[i] = d.ID
		l.recordLeaving(d)
	}
	at := departed[0].Revision
	l.gateway.log.Info().Strs("targets", ids).Uint64("era", at.Era).Uint64("version", at.Count).Msg(reason)
	return true
}

// maxLeaving bounds the targets of one heartbeat.
const maxLeaving = 30

// leavingTargets returns the targets to report to others as leaving.
func (l *loop) leavingTargets() []*zinccovev1.LeavingTarget {
	now := l.gateway.clock.Now()
	var list []*zinccovev1.LeavingTarget
	for _, hash := range l.gateway.placer.AnnouncedDraining() {
		if len(list) < maxLeaving {
			list = append(list, &zinccovev1.LeavingTarget{Target: uint64(hash), Said: true})
		}
	}
	for hash, d := range l.leaving {
		switch {
		case now.Sub(d.at) > leavingTTL:
			delete(l.leaving, hash)
		case len(list) < maxLeaving:
			list = append(list, &zinccovev1.LeavingTarget{Target: uint64(hash), Version: d.revision.Count, Era: d.revision.Era})
		}
	}
	return list
}

// maxPendingLeaving bounds the reports that are kept.
const maxPendingLeaving = 512

// handleLeaving applies another router's report on leaving targets. A router that starts receives
// such reports before it has read the table, and keeps them until then.
func (l *loop) handleLeaving(from string, leaving []*zinccovev1.LeavingTarget) {
	changed := false
	for _, t := range leaving {
		hash, at := place.Hash(t.Target), revision.Revision{Era: t.Era, Count: t.Version}
		id, known := l.gateway.placer.TargetID(hash)
		switch {
		case t.Said:
			l.handleAnnouncedLeaving(hash, id, from)
		case known:
			changed = l.markLeaving(id, at, from) || changed
		case !l.tableRead && len(l.pendingLeaving) < maxPendingLeaving:
			l.pendingLeaving[hash] = at
		}
	}
	if changed {
		l.publishTargets()
	}
}

// handleAnnouncedLeaving applies another router's report that a target itself announced that it
// leaves.
func (l *loop) handleAnnouncedLeaving(target place.Hash, id, from string) {
	if l.gateway.placer.MarkDraining(target) {
		l.gateway.log.Info().Str("target", id).Uint64("run", uint64(target)).Str("peer", from).Msg("target says that it leaves, as another router heard")
	}
}

// markLeaving applies another router's report on a known target.
func (l *loop) markLeaving(id string, at revision.Revision, from string) bool {
	if !l.roster.MarkDraining(id, at) {
		return false
	}
	l.gateway.log.Info().Str("target", id).Uint64("era", at.Era).Uint64("version", at.Count).Str("peer", from).
		Msg("target is leaving, as another router says")
	return true
}

// applyPendingLeaving applies the reports that arrived before this router had read the table.
func (l *loop) applyPendingLeaving() {
	l.tableRead = true
	for _, t := range l.roster.Targets() {
		if at, ok := l.pendingLeaving[place.HashOf(t.Incarnation())]; ok {
			l.markLeaving(t.ID, at, "before the table was read")
		}
	}
	l.pendingLeaving = nil
}

// expireTargets removes targets that did not come back after an outage of the store.
func (l *loop) expireTargets() {
	departed, restored := l.roster.Expire()
	if l.recordDepartures(departed, "targets gone, their entries did not come back") || restored {
		l.publishTargets()
	}
}

// published is an entry that the placer has, and the hash of its incarnation.
type published struct {
	entry *roster.Target
	hash  place.Hash
}

// publishTargets passes the targets that changed to the placer.
func (l *loop) publishTargets() {
	var entries []*roster.Target
	var removed []string
	for _, id := range l.roster.TakeChanged() {
		before, now := l.published[id].entry, l.roster.Get(id)
		if before != nil && (now == nil || now.Incarnation() != before.Incarnation()) {
			removed = append(removed, before.Incarnation())
		}
		if now == nil {
			delete(l.published, id)
			continue
		}
		l.published[id] = published{entry: now, hash: place.HashOf(now.Incarnation())}
		entries = append(entries, now)
	}
	l.gateway.placer.ChangeTargets(entries, removed, l.routes())
	for _, t := range entries {
		if target := (owner.Target{Hash: l.published[t.ID].hash, DataCentre: t.DataCentre}); l.owns(target) {
			l.gateway.placer.AddOwned(target.Hash)
		}
	}
}

// publishServices passes the services of the configuration in force to the placer.
func (l *loop) publishServices() { l.gateway.placer.ChangeTargets(nil, nil, l.routes()) }

// routes returns the table in force, nil if there is none.
func (l *loop) routes() *route.Table {
	if a := l.gateway.table.Load(); a != nil {
		return a.table
	}
	return nil
}
