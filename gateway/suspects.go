package gateway

import (
	"context"
	"net/netip"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/quarantine"
)

// tellSuspects tells other routers of requests under which targets ended, if there is
// anything to tell.
func (g *Gateway) tellSuspects(to ...netip.AddrPort) {
	if hb := g.quarantine.Tell(); hb != nil {
		g.send(hb, to...)
	}
}

// hearSuspects takes another router's word on such requests.
func (g *Gateway) hearSuspects(told []*zinccovev1.Suspect, from netip.AddrPort) {
	for _, f := range g.quarantine.Learn(told) {
		g.log.Warn().Stringer("fingerprint", f).Stringer("peer", from).Msg("request barred, as another router says")
	}
}

// keepBarred keeps barred requests in the store.
func (g *Gateway) keepBarred(ctx context.Context) error {
	k := quarantine.Keeper{
		List: g.quarantine, Table: g.store.Table(), Clock: g.clock,
		Failed: func(err error) {
			g.metrics.Inc(metric.PlatformErrors)
			g.log.Warn().Err(err).Msg("barred requests not read or kept, trying again")
		},
		Learned: func(f quarantine.Fingerprint) {
			g.log.Warn().Stringer("fingerprint", f).Msg("request barred, as the store says")
		},
	}
	return k.Run(ctx)
}
