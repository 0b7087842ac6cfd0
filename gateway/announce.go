package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"zinccove.example/zinccove/feed"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/revision"
)

// announce writes this router's entry, unless the entry of an earlier incarnation is still there,
// and reads the entries of the others. Routers that start later send heartbeats to the routers
// that they read, so reading once is enough.
func (g *Gateway) announce(ctx context.Context) error {
	self := platform.Host{
		Name: g.settings.Host, DataCentre: g.settings.DataCentre, Peer: g.transport.Address(), State: platform.HostLive,
	}
	pause := announceDelay
	for {
		hosts, err := g.ensureEntry(ctx, self)
		if err == nil {
			g.loop.post(ctx, func(l *loop) { l.learnHosts(hosts) })
			g.readOtherHosts(ctx, len(hosts))
			return g.keepAnnounced(ctx, self)
		}
		g.log.Warn().Err(err).Msg("could not announce router; retrying")
		select {
		case <-ctx.Done():
			return nil
		case <-g.clock.After(pause):
		}
		pause = min(2*pause, maxAnnounceDelay)
	}
}

// ensureEntry returns the entries of the routers of this data centre, including the entry of this
// router, which it writes if it is missing. A fleet that starts for the first time has no entries
// to read.
func (g *Gateway) ensureEntry(ctx context.Context, self platform.Host) ([]platform.Host, error) {
	if !g.settings.FirstStart {
		hosts, err := g.hosts(ctx, g.ownPart())
		if err != nil || slices.Contains(hosts, self) {
			return hosts, err
		}
	}
	if err := g.store.RegisterRouter(ctx, self, g.ownPart()); err != nil {
		return nil, err
	}
	return g.hosts(ctx, g.ownPart())
}

// hosts reads the entries of routers. Invalid ones are passed over.
func (g *Gateway) hosts(ctx context.Context, parts ...string) ([]platform.Host, error) {
	hosts, rejected, err := g.store.Hosts(ctx, parts...)
	g.logRejected(rejected)
	return hosts, err
}

// logRejected counts and logs an error of entries of routers; nil is ignored.
func (g *Gateway) logRejected(rejected error) {
	if rejected != nil {
		g.metrics.Inc(metric.EntriesRejected)
		g.log.Warn().Err(rejected).Msg("router entries rejected")
	}
}

// smallDataCentre is the number of routers in the own data centre up to which each of them reads the
// entries of the other data centres from the store too. In larger ones only the leaders do, and the
// others learn them from the leaders: the contacts of the settings may all be gone.
const smallDataCentre = 48

// readsOtherHosts reports whether this router reads the entries of the routers of the other data
// centres from the store. Own is the number of entries of its data centre.
func (g *Gateway) readsOtherHosts(own int) bool {
	return own <= smallDataCentre || g.dataCentreRank.Load() < feed.LeaderCount
}

// readOtherHosts reads the entries of the routers of the other data centres if this router has to.
// No other step depends on them.
func (g *Gateway) readOtherHosts(ctx context.Context, own int) {
	others := slices.DeleteFunc(g.hostParts(), func(part string) bool { return part == g.ownPart() })
	select {
	case <-ctx.Done():
		return
	case <-g.routersKnown:
	}
	if len(others) == 0 || !g.readsOtherHosts(own) {
		return
	}
	for pause := announceDelay; ctx.Err() == nil; pause = min(2*pause, maxAnnounceDelay) {
		hosts, err := g.hosts(ctx, others...)
		if err == nil {
			g.loop.post(ctx, func(l *loop) { l.learnAddresses(hosts) })
			return
		}
		g.log.Warn().Err(err).Msg("could not read routers of other data centres; retrying")
		select {
		case <-ctx.Done():
		case <-g.clock.After(pause):
		}
	}
}

// ownPart returns the part of the table that holds the entries of this data centre's routers. If
// the settings name no data centres, all routers use the unnamed part.
func (g *Gateway) ownPart() string {
	if len(g.settings.Regions) == 0 {
		return ""
	}
	return g.settings.DataCentre
}

// hostParts returns all parts of the table of routers.
func (g *Gateway) hostParts() []string {
	parts := slices.Sorted(maps.Keys(g.settings.Regions))
	if own := g.ownPart(); !slices.Contains(parts, own) {
		parts = append(parts, own)
	}
	return parts
}

// Delays between attempts to announce this router. Heartbeats to the configured contacts bridge
// the time until an attempt succeeds.
const (
	announceDelay    = 300 * time.Millisecond
	maxAnnounceDelay = 5 * time.Second
)

// announceAgain requests that this router's entry is written again, as a restored store may lack
// it.
func (g *Gateway) announceAgain() {
	select {
	case g.reannounce <- struct{}{}:
	default:
	}
}

// keepAnnounced writes this router's entry again whenever the store may have lost it.
func (g *Gateway) keepAnnounced(ctx context.Context, self platform.Host) error {
	written := g.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.reannounce:
		}
		if !g.entryRemoved.Swap(false) && g.clock.Since(written) > revision.MaxBackupAge {
			continue
		}
		if err := g.store.RegisterRouter(ctx, self, g.ownPart()); err != nil {
			g.log.Warn().Err(err).Msg("could not announce router again; retrying")
			g.clock.Sleep(announceDelay)
			g.announceAgain()
			continue
		}
		written = g.clock.Now()
	}
}
