package gateway

import (
	"errors"
	"math"
	"net"
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/offload"
	"zinccove.example/zinccove/relay"
)

// offloadChoices is the number of routers that are tried for one request: the second is for a first
// one that has just ended.
const offloadChoices = 2

// offload returns how the relay hands requests over, nothing if settings turn that off.
func (g *Gateway) offload() relay.Offload {
	if !g.settings.Offload {
		return relay.Offload{}
	}
	g.offloadClient = offload.NewClient(offload.Options{Key: []byte(g.settings.FleetKey), Clock: g.clock})
	return relay.Offload{
		Choose: func() []offload.Router { return g.spares.Choose(*g.offloadPeers.Load(), offloadChoices, g.clock.Now()) },
		Open: func(to offload.Router, age time.Duration, request []byte) (net.Conn, error) {
			return g.offloadClient.Open(to.Peer, age, request)
		},
		Probe: g.offloadClient.Probe, Delay: g.offloadClient.Delay,
	}
}

// listenOffload takes requests of other routers over, at the port of the datagrams.
func (g *Gateway) listenOffload() error {
	if !g.settings.Offload {
		return nil
	}
	var err error
	g.offloadServer, err = offload.Listen(offload.ServerOptions{
		Address: g.transport.Address(), Key: []byte(g.settings.FleetKey), Clock: g.clock, Log: g.log,
		MaxRequest: g.settings.MaxBodyBytes + g.settings.MaxHeaderBytes, Serve: g.relay.ServeOffloaded,
	})
	return err
}

// closeOffload closes the connections to other routers. No request uses them any more.
func (g *Gateway) closeOffload() error {
	var err error
	if g.offloadClient != nil {
		err = g.offloadClient.Close()
	}
	if g.offloadServer != nil {
		err = errors.Join(err, g.offloadServer.Close())
	}
	return err
}

// updateOffloadPeers updates the routers of this data centre to which requests can be handed over.
func (l *loop) updateOffloadPeers() {
	g := l.gateway
	var peers []offload.Router
	for _, r := range l.routers[1:] { // the first one is this router
		if r.DataCentre == g.settings.DataCentre {
			peers = append(peers, offload.Router{Name: r.Name, Peer: r.Peer})
		}
	}
	g.offloadPeers.Store(&peers)
}

// millicores is the number of thousandths of a core in one.
const millicores = 1000

// reportSpare adds to a message what this router has left of its processor time. A router that
// takes no requests over reports nothing.
func (g *Gateway) reportSpare(hb *zinccovev1.Heartbeat) {
	if !g.settings.Offload || g.stopping.Load() {
		return
	}
	if cores, known := g.processor.Spare(); known {
		hb.SpareMillicores = 1 + uint32(math.Round(cores*millicores))
	}
}

// recordSpare records what another router reports of its processor time.
func (g *Gateway) recordSpare(router string, hb *zinccovev1.Heartbeat) {
	if !g.settings.Offload {
		return
	}
	if hb.Leaving {
		g.spares.Forget(router)
	} else if hb.SpareMillicores > 0 {
		g.spares.Record(router, float64(hb.SpareMillicores-1)/millicores, g.clock.Now())
	}
}
