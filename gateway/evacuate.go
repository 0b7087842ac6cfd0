package gateway

import (
	"maps"
	"slices"
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/revision"
)

// evacuation is what operators want of a data centre.
type evacuation struct {
	// asked tells that its targets are to get nothing more.
	asked    bool
	revision revision.Revision
	// read is when this router read it in the store, zero if another router told it.
	read time.Time
}

// takeEvacuations takes what operators want of data centres. A whole table names all that
// are asked for, but for what other routers read later, and for a copy of the table that
// may lack some: operators write those again.
func (l *loop) takeEvacuations(b platform.Batch, whole, wentBack bool) {
	next := maps.Clone(l.evacuations)
	if whole && !wentBack {
		maps.DeleteFunc(next, func(_ string, e evacuation) bool { return !b.Revision.Before(e.revision) })
	}
	now := l.gateway.clock.Now()
	for _, c := range b.Changes {
		if dc, ok := platform.EvacuatedDataCentre(c.Key); ok {
			next[dc] = evacuation{asked: !c.Removed, revision: c.Revision, read: now}
		}
	}
	l.setEvacuations(next, "store", b.Revision)
}

// hearEvacuations takes another router's word on data centres.
func (l *loop) hearEvacuations(from string, told []*zinccovev1.Evacuation) {
	if len(told) == 0 {
		return
	}
	next := maps.Clone(l.evacuations)
	var latest revision.Revision
	for _, t := range told {
		at := revision.Revision{Era: t.Era, Count: t.Version}
		if next[t.DataCentre].revision.Before(at) {
			next[t.DataCentre] = evacuation{asked: t.Asked, revision: at}
			latest = revision.Later(latest, at)
		}
	}
	l.setEvacuations(next, from, latest)
}

// setEvacuations puts what operators want in force.
func (l *loop) setEvacuations(next map[string]evacuation, from string, at revision.Revision) {
	l.evacuations = next
	evacuated := make(map[string]bool)
	for dc, e := range next {
		if e.asked {
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

// evacuationsToTell returns what this router read lately. There are never many.
func (l *loop) evacuationsToTell() []*zinccovev1.Evacuation {
	now := l.gateway.clock.Now()
	var list []*zinccovev1.Evacuation
	for dc, e := range l.evacuations {
		if now.Sub(e.read) < leavingFor {
			list = append(list, &zinccovev1.Evacuation{DataCentre: dc, Asked: e.asked, Version: e.revision.Count, Era: e.revision.Era})
		}
	}
	return list
}
