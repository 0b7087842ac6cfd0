// Package contact is what every router does to stay in contact with the others, wherever its routes
// come from: it identifies itself in heartbeats, sends and receives datagrams, tracks which routers
// are reachable, notifies others of requests under which targets ended, and publishes the status
// that operators see.
//
// The control loop that owns a Contact decides what else heartbeats carry, when they are sent and
// to whom.
//
// # Usage
//
//	c := contact.New(contact.Options{Host: name, Clock: clock, Send: transport.Send, ...})
//	transport, err := peer.Listen(peer.Options{Receive: c.Receive, ...})
//	select {
//	case r := <-c.Heartbeats():
//		host, outcome := c.HandleHeartbeat(r)
//	case <-tick:
//		failed, forgotten := c.Expire(time.Minute)
//		hb := c.NewHeartbeat(version, stopping)
//		hb.Host = c.Identity()
//		c.Send(hb, addresses...)
//	}
package contact

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"zinccove.example/zinccove/bootclock"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/member"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/quarantine"
)

// Options configure a Contact. All are required.
type Options struct {
	// Host and DataCentre are those of this router.
	Host       string
	DataCentre string
	Clock      clockwork.Clock
	Log        zerolog.Logger
	Metrics    *metric.Metrics
	Quarantine *quarantine.List
	// FailureTimeout is the time without heartbeats after which a router is unreachable.
	FailureTimeout time.Duration
	// Send sends a datagram to addresses. It returns the datagram's size on the wire and the number
	// of addresses that it was sent to; see peer.Transport.
	Send func(hb *zinccovev1.Heartbeat, to ...netip.AddrPort) (size, sent int, err error)
	// Control and Peer return the addresses by which others reach this router. They are called once
	// it listens.
	Control func() netip.AddrPort
	Peer    func() netip.AddrPort
}

// inboxSize is the number of heartbeats that may wait for the control loop.
const inboxSize = 1024

// Received is a received heartbeat and its size in bytes.
type Received struct {
	Heartbeat *zinccovev1.Heartbeat
	Size      int
}

// Contact is this router's part in the communication of all routers. Receive, Send, SendSuspects
// and Statuses are safe for concurrent use, the rest belongs to the control loop.
type Contact struct {
	options Options
	// Members are the other routers.
	Members *member.Table
	// Started is when this process started, Incarnation identifies it.
	Started     time.Time
	Incarnation uint64

	heartbeats   chan Received
	sequence     uint64
	suspendWatch bootclock.Watch
	published    atomic.Pointer[[]*zinccovev1.RouterStatus]
}

// New returns a Contact that knows no other router.
func New(o Options) *Contact {
	return &Contact{
		options:      o,
		Members:      member.New(member.Options{Self: o.Host, Clock: o.Clock, Timeout: o.FailureTimeout}),
		Started:      o.Clock.Now(),
		heartbeats:   make(chan Received, inboxSize),
		Incarnation:  rand.Uint64(),
		suspendWatch: bootclock.Watch{Clock: o.Clock},
	}
}

// Receive handles another router's notice of suspects, and queues heartbeats for the control loop.
// A heartbeat that finds the queue full is dropped as if it were lost.
func (c *Contact) Receive(hb *zinccovev1.Heartbeat, from netip.AddrPort, size int) {
	if len(hb.Suspects) > 0 {
		c.handleSuspects(hb.Suspects, from)
		return
	}
	select {
	case c.heartbeats <- Received{hb, size}:
	default:
	}
}

// handleSuspects records the requests under which targets ended according to another router.
func (c *Contact) handleSuspects(suspects []*zinccovev1.Suspect, from netip.AddrPort) {
	for _, f := range c.options.Quarantine.Merge(suspects) {
		c.options.Log.Warn().Stringer("fingerprint", f).Stringer("peer", from).Msg("request barred, as another router says")
	}
}

// Heartbeats delivers the heartbeats that Receive queued.
func (c *Contact) Heartbeats() <-chan Received { return c.heartbeats }

// HandleHeartbeat records a heartbeat from another router; see member.Table.RecordHeartbeat.
func (c *Contact) HandleHeartbeat(r Received) (*member.Host, member.Outcome) {
	m := c.options.Metrics
	m.Inc(metric.HeartbeatsReceived)
	m.Add(metric.ControlBytesReceived, r.Size)
	host, outcome := c.Members.RecordHeartbeat(r.Heartbeat)
	switch outcome {
	case member.Ignored:
		m.Inc(metric.HeartbeatsIgnored)
	case member.Restarted:
		c.options.Log.Info().Str("peer", host.Name).Stringer("address", host.Peer).Msg("router heard")
	}
	return host, outcome
}

// Expire returns the routers that became unreachable, and those that it removed because they were
// last seen more than forgetAfter ago.
func (c *Contact) Expire(forgetAfter time.Duration) (failed, forgotten []*member.Host) {
	now := c.options.Clock.Now()
	failed = c.Members.Expire()
	for _, h := range failed {
		c.options.Metrics.Inc(metric.HostsLost)
		c.options.Log.Warn().Str("peer", h.Name).Dur("silent_ms", now.Sub(h.LastSeen)).Msg("router not reachable")
	}
	return failed, c.Members.Forget(now.Add(-forgetAfter))
}

// Suspended returns for how long the host was suspended since the last call, 0 if it was not.
func (c *Contact) Suspended() time.Duration {
	d := c.suspendWatch.Suspended()
	if d > 0 {
		c.options.Metrics.Inc(metric.Suspensions)
	}
	return d
}

// NewHeartbeat returns the next heartbeat with its header only.
func (c *Contact) NewHeartbeat(version uint64, leaving bool) *zinccovev1.Heartbeat {
	c.sequence++
	return &zinccovev1.Heartbeat{Incarnation: c.Incarnation, Sequence: c.sequence, ConfigVersion: version, Leaving: leaving}
}

// Identity returns the information that identifies this router in heartbeats.
func (c *Contact) Identity() *zinccovev1.HostInfo {
	return &zinccovev1.HostInfo{
		Name: c.options.Host, DataCentre: c.options.DataCentre,
		Control: c.options.Control().String(), Peer: c.options.Peer().String(),
		StartedUnixMs: c.Started.UnixMilli(),
	}
}

// Send sends a datagram to some routers. It returns the number of routers that it was sent to, and
// its cost in bytes.
func (c *Contact) Send(hb *zinccovev1.Heartbeat, to ...netip.AddrPort) (sent, cost int) {
	size, sent, err := c.options.Send(hb, to...)
	if err != nil {
		c.options.Metrics.Add(metric.PeerErrors, len(to)-sent)
	}
	c.options.Metrics.Add(metric.ControlBytesSent, size*sent)
	return sent, size * sent
}

// SendSuspects notifies other routers of requests under which targets ended, if there are any to
// report, and returns the cost in bytes.
func (c *Contact) SendSuspects(to ...netip.AddrPort) (cost int) {
	if len(to) == 0 {
		return 0
	}
	if hb := c.options.Quarantine.NextHeartbeat(); hb != nil {
		_, cost = c.Send(hb, to...)
	}
	return cost
}

// Publish updates the status that operators read, with this router's own first, and the gauges on
// other routers and suspects. It returns the number of reachable routers.
func (c *Contact) Publish(own *zinccovev1.RouterStatus) (reachable int) {
	now := c.options.Clock.Now()
	c.setTurn()
	own.Host, own.DataCentre, own.Reachable = c.options.Host, c.options.DataCentre, true
	all := []*zinccovev1.RouterStatus{own}
	for _, h := range c.Members.Hosts() {
		if h.Reachable {
			reachable++
		}
		all = append(all, h.Status(now))
	}
	c.published.Store(&all)
	m := c.options.Metrics
	m.Set(metric.HostsReachable, float64(reachable))
	suspected, barred := c.options.Quarantine.Counts()
	m.Set(metric.SuspectsKnown, float64(suspected))
	m.Set(metric.BarredKnown, float64(barred))
	return reachable
}

// setTurn sets the place of this router among all that are known and stay. Unreachable ones count, so that
// the two sides of a cut do not have the same turn.
func (c *Contact) setTurn() {
	position, routers := 0, 1
	for _, h := range c.Members.Hosts() {
		if h.Leaving {
			continue
		}
		routers++
		if h.Name < c.options.Host {
			position++
		}
	}
	c.options.Quarantine.SetTurn(position, routers)
}

// Statuses returns the statuses that were published last.
func (c *Contact) Statuses() []*zinccovev1.RouterStatus {
	if p := c.published.Load(); p != nil {
		return *p
	}
	return nil
}

// Isolated reports whether no other router was reachable when the statuses were last published.
func (c *Contact) Isolated() bool {
	for _, r := range c.Statuses() {
		if r.Reachable && r.Host != c.options.Host {
			return false
		}
	}
	return true
}
