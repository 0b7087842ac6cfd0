package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/control"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/gen/zinccove/v1/zinccovev1connect"
	"zinccove.example/zinccove/member"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/platform/wire"
	"zinccove.example/zinccove/revision"
	"zinccove.example/zinccove/route"
)

// takeOperators takes rows that operators wrote.
func (l *loop) takeOperators(b platform.Batch, whole bool) {
	wentBack := l.noteEra(b.Revision)
	l.takeEvacuations(b, whole, wentBack)
	l.takeRollouts(b, whole)
	for _, c := range b.Changes {
		if c.Key == wire.ConfigKey && !c.Removed {
			l.adopt(c.Value, "store")
		}
	}
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
		g.quarantine.PersistAgain()
		g.announceAgain()
	}
	return wentBack
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
	if unknown := table.UnknownRegions(slices.Collect(maps.Values(g.settings.Regions))); len(unknown) > 0 {
		g.log.Warn().Uint64("version", table.Version).Strs("regions", unknown).Msg("configuration names regions without a data centre, requests bound to them alone are refused")
	}
	l.publishServices()
}

// hearTime is how long a router that starts waits at most to hear of another one, before it
// takes the store's configuration, fetchTime how long to get the newer one of another router.
// The first to hear it answer at once.
const (
	hearTime  = 300 * time.Millisecond
	fetchTime = 2 * time.Second
	// othersTime is hearTime where others are known to be there.
	othersTime = 800 * time.Millisecond
)

// mayBeBehind reports whether others have a newer configuration than the one of a version
// that the store gives to this router, which just started, or may have one: the store may
// have come back from a copy a moment ago.
func (l *loop) mayBeBehind(version uint64) bool {
	g := l.gateway
	if g.settings.FirstStart || l.version() > 0 {
		return false
	}
	waited := g.clock.Since(l.contact.Started)
	if !l.heard {
		return waited < hearTime || l.others > 0 && waited < othersTime
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

// catchUp asks another router for a newer configuration.
func (l *loop) catchUp(ctx context.Context, now time.Time) {
	ahead := l.ahead()
	if ahead == nil {
		l.behind = time.Time{}
		return
	}
	if l.behind.IsZero() {
		l.behind = now
	}
	if l.fetching || l.version() > 0 && now.Sub(l.behind) < behindFor {
		return
	}
	l.fetching = true
	g, addr := l.gateway, ahead.Control
	g.group.Go(func() error {
		body, err := g.fetchConfig(ctx, addr)
		l.post(ctx, func(l *loop) {
			l.fetching = false
			if err != nil {
				g.metrics.Inc(metric.PeerErrors)
				g.log.Warn().Err(err).Stringer("peer", addr).Msg("configuration not fetched from router")
				return
			}
			l.adopt(body, addr.String())
		})
		return nil
	})
}

// ahead returns a reachable router with a newer configuration.
func (l *loop) ahead() *member.Host {
	for _, h := range l.contact.Members.Hosts() {
		if h.Reachable && h.Control.IsValid() && h.ConfigVersion > l.version() {
			return h
		}
	}
	return nil
}

var errDigest = eris.New("configuration does not match its digest")

// fetchConfig reads the configuration of the router at a control address.
func (g *Gateway) fetchConfig(ctx context.Context, addr netip.AddrPort) ([]byte, error) {
	client := zinccovev1connect.NewPeerServiceClient(g.peers, "http://"+addr.String(), control.Authorize("", g.settings.FleetKey))
	resp, err := client.FetchConfig(ctx, new(zinccovev1.FetchConfigRequest))
	if err != nil {
		return nil, err
	}
	if digest := sha256.Sum256(resp.Body); hex.EncodeToString(digest[:]) != resp.Digest {
		return nil, errDigest
	}
	return resp.Body, nil
}
