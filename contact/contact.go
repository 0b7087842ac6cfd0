// Package contact is what every router does to stay in touch with the others, wherever its
// routes come from: it names itself in heartbeats, sends and takes datagrams, knows who is
// heard, tells of requests that end their targets, and publishes what operators see.
//
// What heartbeats carry beside that, when they are sent and to whom is for the control loop
// that owns a Contact.
//
// # Usage
//
//	c := contact.New(contact.Options{Host: name, Clock: clock, Send: transport.Send, ...})
//	transport, err := peer.Listen(peer.Options{Receive: c.Receive, ...})
//	select {
//	case r := <-c.Heartbeats():
//		host, outcome := c.HandleHeartbeat(r)
//	case <-tick:
//		gone, forgotten := c.Expire(time.Minute)
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
	// Host and DataCentre are this router's.
	Host       string
	DataCentre string
	Clock      clockwork.Clock
	Log        zerolog.Logger
	Metrics    *metric.Metrics
	Quarantine *quarantine.List
	// FailureTimeout is the time after which a router that is not heard is not reachable.
	FailureTimeout time.Duration
	// Send sends a datagram to addresses. It returns its size on the wire and to how many
	// it left; see peer.Transport.
	Send func(hb *zinccovev1.Heartbeat, to ...netip.AddrPort) (size, sent int, err error)
	// Control and Peer are the addresses by which others reach this router. They are asked
	// once it listens.
	Control func() netip.AddrPort
	Peer    func() netip.AddrPort
}

// inbox holds the heartbeats that wait for the control loop.
const inbox = 1024

// Received is a heartbeat and its size in bytes.
type Received struct {
	Heartbeat *zinccovev1.Heartbeat
	Size      int
}

// Contact is this router's part in the exchange of all routers. Receive, Send, SendSuspects
// and Statuses are safe for concurrent use, the rest belongs to the control loop.
type Contact struct {
	options Options
	// Members are the other routers.
	Members *member.Table
	// Started is when this run began, Incarnation names it.
	Started     time.Time
	Incarnation uint64

	heartbeats chan Received
	sequence   uint64
	awake      bootclock.Watch
	published  atomic.Pointer[[]*zinccovev1.RouterStatus]
}

// New returns a Contact that knows no other router.
func New(o Options) *Contact {
	return &Contact{
		options:     o,
		Members:     member.New(member.Options{Self: o.Host, Clock: o.Clock, Timeout: o.FailureTimeout}),
		Started:     o.Clock.Now(),
		heartbeats:  make(chan Received, inbox),
		Incarnation: rand.Uint64(),
		awake:       bootclock.Watch{Clock: o.Clock},
	}
}

// Receive takes the word of another router on suspects, and hands heartbeats to the control
// loop. One that finds the inbox full is dropped like a lost one.
func (c *Contact) Receive(hb *zinccovev1.Heartbeat, from netip.AddrPort, size int) {
	if len(hb.Suspects) > 0 {
		c.hearSuspects(hb.Suspects, from)
		return
	}
	select {
	case c.heartbeats <- Received{hb, size}:
	default:
	}
}

// hearSuspects takes another router's word on requests under which targets ended.
func (c *Contact) hearSuspects(told []*zinccovev1.Suspect, from netip.AddrPort) {
	for _, f := range c.options.Quarantine.Merge(told) {
		c.options.Log.Warn().Stringer("fingerprint", f).Stringer("peer", from).Msg("request barred, as another router says")
	}
}

// Heartbeats delivers what Receive took.
func (c *Contact) Heartbeats() <-chan Received { return c.heartbeats }

// HandleHeartbeat takes a heartbeat of another router; see member.Table.
func (c *Contact) HandleHeartbeat(r Received) (*member.Host, member.Outcome) {
	m := c.options.Metrics
	m.Inc(metric.HeartbeatsReceived)
	m.Add(metric.ControlBytesReceived, r.Size)
	host, news := c.Members.RecordHeartbeat(r.Heartbeat)
	switch news {
	case member.Ignored:
		m.Inc(metric.HeartbeatsIgnored)
	case member.Restarted:
		c.options.Log.Info().Str("peer", host.Name).Stringer("address", host.Peer).Msg("router heard")
	}
	return host, news
}

// Expire returns the routers that are not reachable any more, and those that are forgotten as
// they were silent for a time.
func (c *Contact) Expire(forgetAfter time.Duration) (gone, forgotten []*member.Host) {
	now := c.options.Clock.Now()
	gone = c.Members.Expire()
	for _, h := range gone {
		c.options.Metrics.Inc(metric.HostsLost)
		c.options.Log.Warn().Str("peer", h.Name).Dur("silent_ms", now.Sub(h.LastSeen)).Msg("router not reachable")
	}
	return gone, c.Members.Forget(now.Add(-forgetAfter))
}

// Suspended returns for how long the host was suspended since the last call, 0 if it was not.
func (c *Contact) Suspended() time.Duration {
	d := c.awake.Suspended()
	if d > 0 {
		c.options.Metrics.Inc(metric.Suspensions)
	}
	return d
}

// NewHeartbeat begins the next heartbeat.
func (c *Contact) NewHeartbeat(version uint64, leaving bool) *zinccovev1.Heartbeat {
	c.sequence++
	return &zinccovev1.Heartbeat{Incarnation: c.Incarnation, Sequence: c.sequence, ConfigVersion: version, Leaving: leaving}
}

// Identity says who this router is.
func (c *Contact) Identity() *zinccovev1.HostInfo {
	return &zinccovev1.HostInfo{
		Name: c.options.Host, DataCentre: c.options.DataCentre,
		Control: c.options.Control().String(), Peer: c.options.Peer().String(),
		StartedUnixMs: c.Started.UnixMilli(),
	}
}

// Send sends a datagram to some routers. It returns for how many it left, and its cost in
// bytes.
func (c *Contact) Send(hb *zinccovev1.Heartbeat, to ...netip.AddrPort) (sent, cost int) {
	size, sent, err := c.options.Send(hb, to...)
	if err != nil {
		c.options.Metrics.Add(metric.PeerErrors, len(to)-sent)
	}
	c.options.Metrics.Add(metric.ControlBytesSent, size*sent)
	return sent, size * sent
}

// SendSuspects tells other routers of requests under which targets ended, if there is
// anything to tell, and returns its cost in bytes.
func (c *Contact) SendSuspects(to ...netip.AddrPort) (cost int) {
	if hb := c.options.Quarantine.NextHeartbeat(); hb != nil {
		_, cost = c.Send(hb, to...)
	}
	return cost
}

// Publish makes the status that operators read, with this router's own first, and the gauges
// on other routers and suspects. It returns the number of routers that are reachable.
func (c *Contact) Publish(own *zinccovev1.RouterStatus) (reachable int) {
	now := c.options.Clock.Now()
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

// Statuses returns what was published last.
func (c *Contact) Statuses() []*zinccovev1.RouterStatus {
	if p := c.published.Load(); p != nil {
		return *p
	}
	return nil
}

// Isolated reports whether no other router is reachable, as of the last status.
func (c *Contact) Isolated() bool {
	for _, r := range c.Statuses() {
		if r.Reachable && r.Host != c.options.Host {
			return false
		}
	}
	return true
}
