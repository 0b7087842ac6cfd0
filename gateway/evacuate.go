package gateway

import (
	"maps"
	"slices"
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/revision"
)

// evacuation is what operators requested for a data centre.
type evacuation struct {
	// requested is set if the targets of the data centre must receive no new requests.
	requested bool
	revision  revision.Revision
	// readAt is when this router read it in the store, zero if another router reported it.
	readAt time.Time
}

// applyEvacuations applies evacuation rows of the store. A complete table names all requested
// evacuations. Exceptions are those that other routers read at a later revision, and a table of a
// restored store, which may lack some; operators write those again.
func (l *loop) applyEvacuations(b platform.Batch, complete, wentBack bool) {
	next := maps.Clone(l.evacuations)
	if complete && !wentBack {
		maps.DeleteFunc(next, func(_ string, e evacuation) bool { return !b.Revision.Before(e.revision) })
	}
	now := l.gateway.clock.Now()
	for _, c := range b.Changes {
		if dc, ok := platform.EvacuatedDataCentre(c.Key); ok {
			next[dc] = evacuation{requested: !c.Removed, revision: c.Revision, readAt: now}
		}
	}
	l.setEvacuations(next, "store", b.Revision)
}

// handleEvacuations applies the evacuations that another router reports.
func (l *loop) handleEvacuations(from string, reported []*zinccovev1.Evacuation) {
	if len(reported) == 0 {
		return
	}
	next := maps.Clone(l.evacuations)
	var latest revision.Revision
	for _, t := range reported {
		at := revision.Revision{Era: t.Era, Count: t.Version}
		if next[t.DataCentre].revision.Before(at) {
			next[t.DataCentre] = evacuation{requested: t.Asked, revision: at}
			latest = revision.Later(latest, at)
		}
	}
	l.setEvacuations(next, from, latest)
}

// setEvacuations puts the requested evacuations in force.
func (l *loop) setEvacuations(next map[string]evacuation, from string, at revision.Revision) {
	l.evacuations = next
	evacuated := make(map[string]bool)
	for dc, e := range next {
		if e.requested {
			evacuated[dc] = true
		}
	}
	if maps.Equal(evacuated, l.evacuated) {
		return
	}
	l.evacuated = evacuated
	l.gateway.placer.SetEvacuated(evacuated)
	l.gateway.log.Info().Strs("data_centres", slices.Sorted(maps.Keys(evacuated))).Str("from", from).
		Uint64("era", at.Era).Uint64("version", at.Count).Msg("data centres to be evacuated")
}

// recentEvacuations returns what this router read recently, for other routers. There are never
// many.
func (l *loop) recentEvacuations() []*zinccovev1.Evacuation {
	now := l.gateway.clock.Now()
	var list []*zinccovev1.Evacuation
	for dc, e := range l.evacuations {
		if now.Sub(e.readAt) < leavingTTL {
			list = append(list, &zinccovev1.Evacuation{DataCentre: dc, Asked: e.requested, Version: e.revision.Count, Era: e.revision.Era})
		}
	}
	return list
}
