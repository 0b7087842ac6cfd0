package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/revision"
)

// announce writes this router's entry, unless it stands there from an earlier run, and
// learns the others'. Routers that start later send heartbeats to those they read, so
// once is enough.
func (g *Gateway) announce(ctx context.Context) error {
	self := platform.Host{
		Name: g.settings.Host, DataCentre: g.settings.DataCentre, Peer: g.transport.Address(), State: platform.HostLive,
	}
	pause := announcePause
	for {
		hosts, err := g.introduce(ctx, self)
		if err == nil {
			g.loop.post(ctx, func(l *loop) { l.learnHosts(hosts) })
			g.readOtherHosts(ctx, len(hosts))
			return g.keepAnnounced(ctx, self)
		}
		g.log.Warn().Err(err).Msg("router not announced, trying again")
		select {
		case <-ctx.Done():
			return nil
		case <-g.clock.After(pause):
		}
		pause = min(2*pause, longestAnnouncePause)
	}
}

// introduce returns the entries of the routers of this data centre, with this one's among
// them. A fleet that starts for the first time has none.
func (g *Gateway) introduce(ctx context.Context, self platform.Host) ([]platform.Host, error) {
	if !g.settings.FirstStart {
		hosts, err := g.store.Hosts(ctx, g.ownPart())
		if err != nil || slices.Contains(hosts, self) {
			return hosts, err
		}
	}
	if err := g.store.RegisterRouter(ctx, self, g.ownPart()); err != nil {
		return nil, err
	}
	return g.store.Hosts(ctx, g.ownPart())
}

// fewHosts is the number of routers in the own data centre up to which those of the others
// are read in the store too. Routers of large fleets learn of them through leaders.
const fewHosts = 48

// readOtherHosts reads the entries of the routers of the other data centres if this one has
// few. Nothing waits for them.
func (g *Gateway) readOtherHosts(ctx context.Context, own int) {
	others := slices.DeleteFunc(g.hostParts(), func(part string) bool { return part == g.ownPart() })
	if own > fewHosts || len(others) == 0 {
		return
	}
	for pause := announcePause; ctx.Err() == nil; pause = min(2*pause, longestAnnouncePause) {
		hosts, err := g.store.Hosts(ctx, others...)
		if err == nil {
			g.loop.post(ctx, func(l *loop) { l.learnAddresses(hosts) })
			return
		}
		g.log.Warn().Err(err).Msg("routers of other data centres not read, trying again")
		select {
		case <-ctx.Done():
		case <-g.clock.After(pause):
		}
	}
}

// ownPart is the part of the table that has the entries of this data centre's routers. Where
// the settings name no data centres all routers use the unnamed part.
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

// Pauses between tries to announce this router. Heartbeats to known contacts
// bridge the time until it works.
const (
	announcePause        = 300 * time.Millisecond
	longestAnnouncePause = 5 * time.Second
)

// announceAgain has this router's entry written again: a copy of the store may lack it.
func (g *Gateway) announceAgain() {
	select {
	case g.unannounced <- struct{}{}:
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
		case <-g.unannounced:
		}
		if !g.withdrawn.Swap(false) && g.clock.Since(written) > revision.MaxBackupAge {
			continue
		}
		if err := g.store.RegisterRouter(ctx, self, g.ownPart()); err != nil {
			g.log.Warn().Err(err).Msg("router not announced again, trying again")
			g.clock.Sleep(announcePause)
			g.announceAgain()
			continue
		}
		written = g.clock.Now()
	}
}
