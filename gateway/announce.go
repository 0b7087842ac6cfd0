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

// introduce returns the entries of all routers, with this one's among them. A fleet that
// starts for the first time has none.
func (g *Gateway) introduce(ctx context.Context, self platform.Host) ([]platform.Host, error) {
	if !g.settings.FirstStart {
		hosts, err := g.hosts(ctx)
		if err != nil || slices.Contains(hosts, self) {
			return hosts, err
		}
	}
	if err := g.store.Announce(ctx, self); err != nil {
		return nil, err
	}
	return g.hosts(ctx)
}

// fewHosts is the number of routers in the own data centre up to which those of the others
// are read in the store too. Routers of large fleets learn of them through leaders.
const fewHosts = 48

// hosts returns the entries of the routers of this data centre, and of the others if there
// are few.
func (g *Gateway) hosts(ctx context.Context) ([]platform.Host, error) {
	own := g.settings.DataCentre
	hosts, err := g.store.Hosts(ctx, own)
	if err != nil || len(hosts) > fewHosts {
		return hosts, err
	}
	others := slices.DeleteFunc(g.dataCentres(), func(dc string) bool { return dc == own })
	if len(others) == 0 {
		return hosts, nil
	}
	more, err := g.store.Hosts(ctx, others...)
	return append(hosts, more...), err
}

// dataCentres returns all that the settings name, this router's among them.
func (g *Gateway) dataCentres() []string {
	list := slices.Sorted(maps.Keys(g.settings.Regions))
	if !slices.Contains(list, g.settings.DataCentre) {
		list = append(list, g.settings.DataCentre)
	}
	return list
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
		if !g.withdrawn.Swap(false) && g.clock.Since(written) > revision.CopyAge {
			continue
		}
		if err := g.store.Announce(ctx, self); err != nil {
			g.log.Warn().Err(err).Msg("router not announced again, trying again")
			g.clock.Sleep(announcePause)
			g.announceAgain()
			continue
		}
		written = g.clock.Now()
	}
}
