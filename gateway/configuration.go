package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"zinccove.example/zinccove/member"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/platform/wire"
	"zinccove.example/zinccove/revision"
	"zinccove.example/zinccove/route"
)

// applyOperatorRows applies rows that operators wrote.
func (l *loop) applyOperatorRows(b platform.Batch, complete bool) {
	wentBack := l.noteEra(b.Revision)
	l.applyEvacuations(b, complete, wentBack)
	l.applyRollouts(b, complete)
	for _, c := range b.Changes {
		if c.Key == wire.ConfigKey && !c.Removed {
			l.adopt(c.Value, "store")
		}
	}
}

// noteEra records the era of a revision. It reports whether a new era began while this router
// runs, that is, whether the store was restored from an older copy.
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
		g.log.Warn().Uint64("era", r.Era).Uint64("era_before", before).Uint64("version", r.Count).Msg("store was restored from an older copy")
		g.quarantine.PersistAgain()
		g.announceAgain()
	}
	return wentBack
}

// adopt puts a configuration in force, unless it is invalid or not newer than the one in force.
func (l *loop) adopt(body []byte, from string) {
	g := l.gateway
	spec, err := platform.DecodeConfig(body)
	if l.mayBeBehind(spec.Version) {
		l.pendingConfig = body
		return
	}
	var table *route.Table
	if err == nil {
		table, err = route.New(spec)
	}
	if err != nil {
		g.metrics.Inc(metric.ConfigRejected)
		g.log.Error().Err(err).Str("from", from).Uint64("version", spec.Version).Msg("configuration rejected; the previous one stays in force")
		return
	}
	if table.Version <= l.version() {
		return
	}
	digest := sha256.Sum256(body)
	g.table.Store(&activeConfig{table: table, body: body, digest: hex.EncodeToString(digest[:])})
	g.metrics.Inc(metric.ConfigAdopted)
	g.metrics.Set(metric.ConfigVersion, float64(table.Version))
	g.log.Info().Uint64("version", table.Version).Str("from", from).Int("routes", len(table.Routes)).
		Int("customers", len(table.Customers)).Msg("configuration in force")
	if unknown := table.UnknownRegions(slices.Collect(maps.Values(g.settings.Regions))); len(unknown) > 0 {
		g.log.Warn().Uint64("version", table.Version).Strs("regions", unknown).Msg("configuration names regions without a data centre; requests restricted to them are refused")
	}
	l.publishServices()
}

// firstHeartbeatTimeout is how long a router that starts waits at most for the first heartbeat of
// another router before it adopts the store's configuration. fetchTimeout is how long it tries to
// get the newer configuration of another router. The first routers that receive its heartbeat
// reply at once.
const (
	firstHeartbeatTimeout = 300 * time.Millisecond
	fetchTimeout          = 2 * time.Second
	// knownOthersTimeout replaces firstHeartbeatTimeout where other routers are assumed alive.
	knownOthersTimeout = 800 * time.Millisecond
)

// mayBeBehind reports whether other routers have, or may have, a configuration newer than the
// given version, which the store returned to this router just after its start. The store may have
// been restored from an older copy a moment ago.
func (l *loop) mayBeBehind(version uint64) bool {
	g := l.gateway
	if g.settings.FirstStart || l.version() > 0 {
		return false
	}
	waited := g.clock.Since(l.contact.Started)
	if !l.receivedHeartbeat {
		return waited < firstHeartbeatTimeout || l.aliveOthers > 0 && waited < knownOthersTimeout
	}
	newer := func(h *member.Host) bool { return h.ConfigVersion > version }
	return waited < fetchTimeout && slices.ContainsFunc(l.reachable(), newer)
}

// adoptPending retries the configuration that was held back until heartbeats of other routers
// arrived.
func (l *loop) adoptPending() {
	if body := l.pendingConfig; body != nil {
		l.pendingConfig = nil
		l.adopt(body, "store")
	}
}

// version returns the version of the table in force, 0 if there is none.
func (l *loop) version() uint64 {
	if a := l.gateway.table.Load(); a != nil {
		return a.table.Version
	}
	return 0
}
