package gateway

import (
	"zinccove.example/zinccove/cachefeed"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/platform"
)

// newCaches returns the followers of what the targets of this router cache; nil if they are turned
// off.
func (g *Gateway) newCaches() *cachefeed.Set {
	if !g.settings.CacheEvents {
		return nil
	}
	return cachefeed.New(cachefeed.Options{
		Clock: g.clock,
		Open:  openCache,
		Apply: g.applyCacheChange,
		Busy:  func(t cachefeed.Target) bool { return !g.placer.HasFreeSlot(place.Hash(t.ID)) },
		Failed: func(t cachefeed.Target, err error) {
			g.metrics.Inc(metric.CacheCallsFailed)
			g.log.Debug().Err(err).Uint64("run", t.ID).Msg("call for cache events failed")
		},
	})
}

func openCache(t cachefeed.Target) cachefeed.Source {
	c := platform.NewCacheClient(t.Address)
	return cachefeed.Source{Events: c.Events, List: c.List, Close: c.Close}
}

// applyCacheChange passes what a target reported on to the placer.
func (g *Gateway) applyCacheChange(c cachefeed.Change) {
	change := place.CacheChange{Target: place.Hash(c.Target), Known: c.Known, Complete: c.Complete}
	for _, part := range c.Parts {
		change.Parts = append(change.Parts, place.CachedPart{Part: place.HashOf(part.ID), Tokens: part.Tokens})
	}
	g.placer.ApplyCacheChange(change)
	g.metrics.Add(metric.CacheEvents, len(c.Parts))
	switch c.Reason {
	case "":
		return
	case cachefeed.ListRead:
		g.metrics.Inc(metric.CacheLists)
	case cachefeed.EventsLost:
		g.metrics.Inc(metric.CacheGaps)
	}
	id, _ := g.placer.TargetID(change.Target)
	g.log.Info().Str("target", id).Uint64("run", c.Target).Bool("known", c.Known).Int("parts", len(c.Parts)).Str("reason", string(c.Reason)).Msg("cache of a target")
}

// followCaches follows the targets that this router owns and whose service offers events.
func (l *loop) followCaches() {
	g := l.gateway
	if g.caches == nil {
		return
	}
	var targets []cachefeed.Target
	for hash, address := range g.placer.OwnedEngines() {
		targets = append(targets, cachefeed.Target{ID: uint64(hash), Address: address})
	}
	g.caches.Follow(targets)
	g.metrics.Set(metric.CachesFollowed, float64(g.caches.Len()))
}

// closeCaches stops following.
func (g *Gateway) closeCaches() error {
	if g.caches == nil {
		return nil
	}
	return g.caches.Close()
}
