// Package member keeps the list of routers that this router knows.
//
// It combines three sources: the platform's list, which lags and may be unavailable; the
// configuration; and the heartbeats of the routers themselves. A host is leaving as soon as one of
// these sources reports it. A router without a heartbeat or report for the failure timeout is
// unreachable; a pause of this process does not count against the others.
//
// The package has no I/O. The control loop owns a Table.
//
// # Usage
//
//	t := member.New(member.Options{Self: "entry-1", Clock: clock, Timeout: 3 * time.Second})
//	t.Upsert(member.Address{...})               // platform, configuration, seeds
//	host, outcome := t.RecordHeartbeat(hb)      // each heartbeat
//	failed := t.Expire()                        // each tick
//	for _, h := range t.Hosts() { ... }
//
// # Limits
//
// The timeout trades detection time against false alarms: the others consider a router that is
// paused for longer than the timeout unreachable until its next heartbeat.
package member

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

// Options configure a table.
type Options struct {
	// Self is the name of this host, which is never a member of its table.
	Self  string
	Clock clockwork.Clock
	// Timeout is the time since a host was last seen after which it is unreachable.
	Timeout time.Duration
}

// Host is the state of another router as far as this one knows.
type Host struct {
	Name string
	// Key identifies the host in reports that list many hosts.
	Key        uint64
	DataCentre string
	Peer       netip.AddrPort
	Control    netip.AddrPort
	// Incarnation is the incarnation of the last heartbeat; 0 if there was none.
	Incarnation   uint64
	Started       time.Time
	Sequence      uint64
	ConfigVersion uint64
	Reachable     bool
	Leaving       bool
	// LastSeen is when the host was last known to be reachable, LastHeartbeat when its last
	// heartbeat arrived here, LastReport the time of the latest report of others on whether it is
	// reachable, and Discovered when it became known.
	LastSeen      time.Time
	LastHeartbeat time.Time
	LastReport    time.Time
	Discovered    time.Time
}

// Status returns the host's status for operators.
func (h *Host) Status(now time.Time) *zinccovev1.RouterStatus {
	s := &zinccovev1.RouterStatus{
		Host: h.Name, DataCentre: h.DataCentre, ConfigVersion: h.ConfigVersion, Reachable: h.Reachable, Leaving: h.Leaving,
	}
	if !h.LastSeen.IsZero() {
		s.SilentMs = now.Sub(h.LastSeen).Milliseconds()
	}
	return s
}

// Outcome classifies a received heartbeat.
type Outcome int

// The outcomes.
const (
	// Ignored heartbeats are duplicates, out of order, or of an unknown or replaced incarnation.
	Ignored Outcome = iota
	// Current heartbeats are of the incarnation known so far.
	Current
	// Restarted heartbeats are the first of a new incarnation.
	Restarted
)

// Table is the list of routers. It is not safe for concurrent use.
type Table struct {
	options       Options
	hosts         map[string]*Host
	byIncarnation map[uint64]*Host
	lastTick      time.Time
	// sorted caches the hosts by name, as the control loop needs them many times a second; nil
	// after a host was added or removed.
	sorted []*Host
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{options: o, hosts: make(map[string]*Host), byIncarnation: make(map[uint64]*Host), lastTick: o.Clock.Now()}
}

// Address is where a host can be reached, from the platform's list, the
// configuration or settings.
type Address struct {
	Name       string
	DataCentre string
	Peer       netip.AddrPort
	Leaving    bool
}

// Upsert adds a host or updates its address. A host that is known to be leaving stays so until a
// new incarnation sends a heartbeat.
func (t *Table) Upsert(a Address) {
	if a.Name == t.options.Self {
		return
	}
	h := t.hosts[a.Name]
	if h == nil {
		h = t.add(&Host{Name: a.Name, DataCentre: a.DataCentre, Peer: a.Peer})
	}
	if !h.Reachable {
		h.Peer = a.Peer
	}
	h.Leaving = h.Leaving || a.Leaving
}

// RecordHeartbeat records a heartbeat and returns its sender and outcome. Heartbeats of an unknown
// incarnation are ignored until one names its host.
func (t *Table) RecordHeartbeat(hb *zinccovev1.Heartbeat) (*Host, Outcome) {
	h := t.byIncarnation[hb.Incarnation]
	outcome := Current
	if h == nil {
		h = t.adoptIncarnation(hb)
		outcome = Restarted
	}
	if h == nil || outcome == Current && hb.Sequence <= h.Sequence {
		return nil, Ignored
	}
	t.identify(h, hb.Host)
	h.Sequence = hb.Sequence
	h.ConfigVersion = max(h.ConfigVersion, hb.ConfigVersion)
	h.Leaving = h.Leaving || hb.Leaving
	h.LastSeen = t.options.Clock.Now()
	h.LastHeartbeat = h.LastSeen
	h.Reachable = true
	return h, outcome
}

// RecordReport records whether a host was reachable and leaving according to others at a time, and
// returns whether that changed the host. It ignores reports that are older than what is known.
func (t *Table) RecordReport(h *Host, reachable, leaving bool, at time.Time) (changed bool) {
	if !h.LastReport.Before(at) || !reachable && h.LastHeartbeat.After(at) {
		return false
	}
	h.LastReport = at
	if reachable && h.LastSeen.Before(at) {
		h.LastSeen = at
	}
	if h.LastHeartbeat.Before(at) {
		changed = h.Leaving != leaving
		h.Leaving = leaving
	}
	changed = changed || h.Reachable != reachable
	h.Reachable = reachable
	return changed
}

// adoptIncarnation makes an unknown incarnation the current one of its host, unless the host has a
// later incarnation that is still reachable.
func (t *Table) adoptIncarnation(hb *zinccovev1.Heartbeat) *Host {
	if hb.Host == nil || hb.Host.Name == "" || hb.Host.Name == t.options.Self {
		return nil
	}
	h := t.hosts[hb.Host.Name]
	started := time.UnixMilli(hb.Host.StartedUnixMs)
	if h == nil {
		h = t.add(&Host{Name: hb.Host.Name})
	}
	if h.Incarnation != 0 && h.Reachable && started.Before(h.Started) {
		return nil
	}
	delete(t.byIncarnation, h.Incarnation)
	t.byIncarnation[hb.Incarnation] = h
	h.Incarnation, h.Started = hb.Incarnation, started
	h.Sequence, h.ConfigVersion, h.Leaving = 0, 0, false
	return h
}

// identify updates the addresses from a heartbeat that carries them.
func (t *Table) identify(h *Host, info *zinccovev1.HostInfo) {
	if info == nil {
		return
	}
	h.DataCentre = info.DataCentre
	if a, err := netip.ParseAddrPort(info.Peer); err == nil {
		h.Peer = a
	}
	if a, err := netip.ParseAddrPort(info.Control); err == nil {
		h.Control = a
	}
}

// Expire marks the hosts as unreachable whose timeout has elapsed and returns them. Call it on
// every tick: if the time since the last call exceeds half the timeout or longPause, this process
// was paused, and the pause is not counted against the others.
func (t *Table) Expire() []*Host {
	now := t.options.Clock.Now()
	pause := now.Sub(t.lastTick)
	t.lastTick = now
	if pause > min(t.options.Timeout/2, longPause) {
		t.creditPause(pause)
		return nil
	}
	var failed []*Host
	for _, h := range t.hosts {
		if h.Reachable && now.Sub(h.LastSeen) > t.options.Timeout {
			h.Reachable = false
			failed = append(failed, h)
		}
	}
	return failed
}

// longPause is a pause of this process during which many heartbeats were queued unread.
const longPause = time.Second

func (t *Table) creditPause(pause time.Duration) {
	for _, h := range t.hosts {
		if h.Reachable {
			h.LastSeen = h.LastSeen.Add(pause)
			h.LastHeartbeat = h.LastHeartbeat.Add(pause)
		}
	}
}

// Forget removes unreachable hosts that were last seen before the given time and returns them.
// Otherwise the table of a fleet whose hosts are replaced daily would grow without bound. Upsert
// adds removed hosts again.
func (t *Table) Forget(before time.Time) []*Host {
	var removed []*Host
	for name, h := range t.hosts {
		if !h.Reachable && !h.LastSeen.IsZero() && h.LastSeen.Before(before) {
			delete(t.hosts, name)
			delete(t.byIncarnation, h.Incarnation)
			t.sorted = nil
			removed = append(removed, h)
		}
	}
	return removed
}

// Remove removes an unreachable host whose entry was removed from the store.
func (t *Table) Remove(name string) {
	h := t.hosts[name]
	if h == nil || h.Reachable {
		return
	}
	delete(t.hosts, name)
	delete(t.byIncarnation, h.Incarnation)
	t.sorted = nil
}

// SetTimeout changes the time since a host was last seen after which it is unreachable. The interval
// between heartbeats is longer in large fleets.
func (t *Table) SetTimeout(d time.Duration) { t.options.Timeout = d }

// add adds h to the table.
func (t *Table) add(h *Host) *Host {
	h.Key, h.Discovered = xxhash.Sum64String(h.Name), t.options.Clock.Now()
	t.hosts[h.Name] = h
	t.sorted = nil
	return h
}

// Host returns a known host; ok is false for a name that is not known.
func (t *Table) Host(name string) (h *Host, ok bool) {
	h, ok = t.hosts[name]
	return h, ok
}

// Hosts returns all known hosts by name. The list and its entries remain owned by the table.
func (t *Table) Hosts() []*Host {
	if t.sorted == nil {
		t.sorted = slices.SortedFunc(maps.Values(t.hosts), func(a, b *Host) int { return strings.Compare(a.Name, b.Name) })
	}
	return t.sorted
}
