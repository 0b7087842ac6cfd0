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

// takeTargets takes entries of targets.
func (l *loop) takeTargets(b platform.Batch, whole bool) {
	l.noteEra(b.Revision)
	single := len(b.Changes) <= linesOfBatch
	if !single {
		l.gateway.log.Info().Int("entries", len(b.Changes)).Bool("whole", whole).Uint64("era", b.Revision.Era).Uint64("version", b.Revision.Count).Msg("target entries")
	}
	var entries []roster.Target
	for _, c := range b.Changes {
		if c.Removed {
			l.removeTarget(c)
			continue
		}
		t := l.readTarget(c)
		if single || t.Draining {
			l.logEntry(t)
		}
		entries = append(entries, t)
		if whole {
			continue
		}
		if gone, ended := l.roster.Put(t); ended {
			l.depart([]roster.Termination{gone}, "target started again")
		}
	}
	if whole {
		l.depart(l.roster.Replace(entries, b.Revision), "targets gone, their entries are missing")
	}
	for _, t := range entries {
		l.noteLeaving(t)
	}
	if whole && !l.tableRead {
		l.recallWords()
	}
	l.roster.MarkSynced()
	l.publishTargets()
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
	return t
}

// linesOfBatch is the most entries that are logged one by one when they come together: all
// routers of a large fleet read thousands at a start. Those of targets that leave always are.
const linesOfBatch = 32

func (l *loop) logEntry(t roster.Target) {
	if t.Unreadable {
		return // logged as such
	}
	l.gateway.log.Info().Str("target", t.ID).Time("started", t.Started).Str("service", t.Service).Stringer("address", t.Address).
		Bool("draining", t.Draining).Uint64("era", t.Revision.Era).Uint64("version", t.Revision.Count).Msg("target entry")
}

// removeTarget notes that an entry went.
func (l *loop) removeTarget(c platform.Change) {
	gone, left := l.roster.Remove(c.Key, c.Revision, c.Age)
	l.gateway.log.Info().Str("target", c.Key).Uint64("era", c.Revision.Era).Uint64("version", c.Revision.Count).Bool("gone", left).Msg("target entry removed")
	if left {
		l.leaves(gone)
	}
}

// noteLeaving remembers whether a target whose entry was read is to be told of as leaving.
// What the roster holds counts: an entry of a copy takes nothing back.
func (l *loop) noteLeaving(t roster.Target) {
	if t.Unreadable {
		return
	}
	known := l.roster.Get(t.ID)
	if known == nil {
		return
	}
	hash := place.HashOf(known.Incarnation())
	word, told := l.leaving[hash]
	switch {
	case t.Draining:
		l.leaves(known.Termination(known.Revision))
	case known.Draining && told:
		// The entry is that of a copy. What was read before counts for others too.
		l.leaving[hash] = departure{at: l.gateway.clock.Now(), revision: word.revision}
	case !known.Draining:
		delete(l.leaving, hash)
	}
}

// departure is what this router read of a target that leaves.
type departure struct {
	at time.Time
	// revision is that of the store.
	revision revision.Revision
}

// leaves remembers a run of a target to tell other routers of.
func (l *loop) leaves(d roster.Termination) {
	l.leaving[place.HashOf(d.Incarnation)] = departure{at: l.gateway.clock.Now(), revision: d.Revision}
}

// depart remembers targets that are gone, and says why. It reports whether there
// are any.
func (l *loop) depart(gone []roster.Termination, why string) bool {
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

// maxLeaving bounds the targets of one heartbeat.
const maxLeaving = 30

// leavingTargets returns the targets to tell others of.
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
		case now.Sub(d.at) > leavingFor:
			delete(l.leaving, hash)
		case len(list) < maxLeaving:
			list = append(list, &zinccovev1.LeavingTarget{Target: uint64(hash), Version: d.revision.Count, Era: d.revision.Era})
		}
	}
	return list
}

// mostWords bounds the words that are kept.
const mostWords = 512

// hearLeaving takes another router's word on targets that leave. A router that starts hears
// of others before it has read the table, and keeps their words until then.
func (l *loop) hearLeaving(from string, leaving []*zinccovev1.LeavingTarget) {
	changed := false
	for _, t := range leaving {
		hash, at := place.Hash(t.Target), revision.Revision{Era: t.Era, Count: t.Version}
		id, known := l.gateway.placer.TargetID(hash)
		switch {
		case t.Said:
			l.hearSaid(hash, id, from)
		case known:
			changed = l.believe(id, at, from) || changed
		case !l.tableRead && len(l.words) < mostWords:
			l.words[hash] = at
		}
	}
	if changed {
		l.publishTargets()
	}
}

// hearSaid takes another router's word that a target said itself that it leaves.
func (l *loop) hearSaid(target place.Hash, id, from string) {
	if l.gateway.placer.MarkDraining(target) {
		l.gateway.log.Info().Str("target", id).Uint64("run", uint64(target)).Str("peer", from).Msg("target says that it leaves, as another router heard")
	}
}

// believe takes another router's word on a target that is known.
func (l *loop) believe(id string, at revision.Revision, from string) bool {
	if !l.roster.MarkDraining(id, at) {
		return false
	}
	l.gateway.log.Info().Str("target", id).Uint64("era", at.Era).Uint64("version", at.Count).Str("peer", from).
		Msg("target is leaving, as another router says")
	return true
}

// recallWords takes what others said before this router had read the table.
func (l *loop) recallWords() {
	l.tableRead = true
	for _, t := range l.roster.Targets() {
		if at, ok := l.words[place.HashOf(t.Incarnation())]; ok {
			l.believe(t.ID, at, "before the table was read")
		}
	}
	l.words = nil
}

// expireTargets drops targets that did not come back after an outage of the
// store.
func (l *loop) expireTargets() {
	gone, back := l.roster.Expire()
	if l.depart(gone, "targets gone, their entries did not come back") || back {
		l.publishTargets()
	}
}

// published is an entry that the placer has, and the hash of its run.
type published struct {
	entry *roster.Target
	hash  place.Hash
}

// publishTargets gives the targets that changed to the placer.
func (l *loop) publishTargets() {
	var entries []*roster.Target
	var gone []string
	for _, id := range l.roster.TakeChanged() {
		before, now := l.published[id].entry, l.roster.Get(id)
		if before != nil && (now == nil || now.Incarnation() != before.Incarnation()) {
			gone = append(gone, before.Incarnation())
		}
		if now == nil {
			delete(l.published, id)
			continue
		}
		l.published[id] = published{entry: now, hash: place.HashOf(now.Incarnation())}
		entries = append(entries, now)
	}
	l.gateway.placer.ChangeTargets(entries, gone, l.routes())
	for _, t := range entries {
		if target := (owner.Target{Hash: l.published[t.ID].hash, DataCentre: t.DataCentre}); l.answersFor(target) {
			l.gateway.placer.AddOwned(target.Hash)
		}
	}
}

// publishServices gives the services of the configuration in force to the placer.
func (l *loop) publishServices() { l.gateway.placer.ChangeTargets(nil, nil, l.routes()) }

// routes is the table in force, nil if there is none.
func (l *loop) routes() *route.Table {
	if a := l.gateway.table.Load(); a != nil {
		return a.table
	}
	return nil
}
