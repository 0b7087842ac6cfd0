package gateway

import (
	"net/netip"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
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
