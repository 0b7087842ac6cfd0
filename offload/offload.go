// Package offload hands requests over to other routers of a data centre.
//
// The balancer sends all requests of a caller to one router, so that a customer with few callers
// fills one small host while the others are idle. A router at its limits therefore forwards
// requests to a router with processor time left, which serves them as if the caller had connected
// to it. The response comes back as it is written, and the first router copies its bytes to the
// caller, which costs a fraction of serving the request.
//
// Two routers share one connection for all requests between them, multiplexed by yamux. Each
// stream begins with a head, the size and age of the request, followed by the request as HTTP; the
// response follows in the other direction. What several streams write within a moment is sent
// together. A connection is authenticated by the key of the fleet, but not encrypted.
//
// # Usage
//
//	s, err := offload.Listen(offload.ServerOptions{Address: addr, Key: key, Serve: serve, ...})
//	c := offload.NewClient(offload.Options{Key: key, Clock: clock})
//	defer c.Close()
//	for _, r := range spares.Choose(routers, 2, clock.Now()) {
//		stream, err := c.Open(r.Peer, age, request)
//		// err: nothing was sent
//	}
package offload

import (
	"io"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/jonboulle/clockwork"

	"zinccove.example/zinccove/bootclock"
)

// Router is a router that requests can be handed over to.
type Router struct {
	Name string
	// Peer is the address at which the router receives datagrams; it accepts connections at the
	// same port.
	Peer netip.AddrPort
}

// deadline returns the deadline of a connection after a time.
func deadline(clock clockwork.Clock, d time.Duration) time.Time {
	return bootclock.ToMonotonic(clock, clock.Now().Add(d))
}

const (
	// sessionTimeout is how long another router may take to accept a write or to reply to a probe
	// before its connection counts as broken.
	sessionTimeout = 2 * time.Second
	// probeInterval is the time between probes of a connection.
	probeInterval = time.Second
	// maxOpening is the number of streams that another router may not have accepted yet.
	maxOpening = 1024
)

// servingConfig returns the configuration of the end that requests are handed over to. It waits for
// the other router to close a stream whose response was written: that one does so when its caller has
// read the response, or reads nothing for too long. To reset the stream earlier would cut the response.
func servingConfig() *yamux.Config {
	c := sessionConfig()
	c.StreamCloseTimeout = 0
	return c
}

// sessionConfig returns the configuration of the end that hands requests over.
func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = maxOpening
	c.EnableKeepAlive = false // see keepAlive
	c.ConnectionWriteTimeout = sessionTimeout
	// Probes find routers that do not reply; a timer for each stream would only repeat that.
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = sessionTimeout
	c.LogOutput = io.Discard
	return c
}
