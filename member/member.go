// Package member keeps the list of routers that this router knows.
//
// It joins three sources: the platform's list, which lags and may be away; the
// configuration; and the heartbeats of the routers themselves. A host is
// leaving as soon as one of them says so. A router that was silent for the
// failure timeout is not reachable; a pause of this process does not count as
// silence of the others.
//
// The package has no I/O. The control loop owns a Table.
//
// # Usage
//
//	t := member.New(member.Options{Self: "entry-1", Clock: clock, Timeout: 3 * time.Second})
//	t.Upsert(member.Address{...})               // platform, configuration, seeds
//	host, outcome := t.RecordHeartbeat(hb)      // each heartbeat
//	gone := t.Expire()                          // each tick
//	for _, h := range t.Hosts() { ... }
//
// # Limits
//
// The timeout trades detection against false alarms: a router that is paused
// for longer than it is not reachable for the others until it is heard again.
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
	// Self is the name of this host; it never becomes a member of its table.
	Self  string
	Clock clockwork.Clock
	// Timeout is the silence after which a host is not reachable.
	Timeout time.Duration
}

// Host is what is known of another router.
type Host struct {
	Name string
	// Key names the host in reports of many.
	Key        uint64
	DataCentre string
	Peer       netip.AddrPort
	Control    netip.AddrPort
	// Incarnation is the run of the router that was heard last; 0 if none was.
	Incarnation   uint64
	Started       time.Time
	Sequence      uint64
	ConfigVersion uint64
	Reachable     bool
	Leaving       bool
	// LastSeen is when the host was last known to be there, LastHeartbeat when the last heartbeat
	// arrived here, LastReport as of when others last said whether it is there, Discovered when it
	// became known.
	LastSeen      time.Time
	LastHeartbeat time.Time
	LastReport    time.Time
	Discovered    time.Time
}

// Status is the host as operators see it.
func (h *Host) Status(now time.Time) *zinccovev1.RouterStatus {
	s := &zinccovev1.RouterStatus{
		Host: h.Name, DataCentre: h.DataCentre, ConfigVersion: h.ConfigVersion, Reachable: h.Reachable, Leaving: h.Leaving,
	}
	if !h.LastSeen.IsZero() {
		s.SilentMs = now.Sub(h.LastSeen).Milliseconds()
	}
	return s
}

// Outcome is what a heartbeat said about its sender.
type Outcome int

// The kinds of news.
const (
	// Ignored heartbeats are duplicates, late or of an unknown or replaced run.
	Ignored Outcome = iota
	// Current heartbeats are of the run known so far.
	Current
	// Restarted heartbeats are the first of a new run.
	Restarted
)

// Table is the list of routers. It is not safe for concurrent use.
type Table struct {
	options Options
	hosts   map[string]*Host
	runs    map[uint64]*Host
	ticked  time.Time
	// sorted holds hosts by name; nil after one was added or removed. The control loop asks
	// for it many times a second.
	sorted []*Host
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{options: o, hosts: make(map[string]*Host), runs: make(map[uint64]*Host), ticked: o.Clock.Now()}
}

// Address is where a host can be reached, from the platform's list, the
// configuration or settings.
type Address struct {
	Name       string
	DataCentre string
	Peer       netip.AddrPort
	Leaving    bool
}

// Upsert adds a host or updates its address. Once a host is known to be
// leaving it stays so until a new run is heard.
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

// RecordHeartbeat takes a heartbeat and returns its sender and what it says. Heartbeats
// that do not say who the sender is are ignored until one does.
func (t *Table) RecordHeartbeat(hb *zinccovev1.Heartbeat) (*Host, Outcome) {
	h := t.runs[hb.Incarnation]
	news := Current
	if h == nil {
		h = t.admit(hb)
		news = Restarted
	}
	if h == nil || news == Current && hb.Sequence <= h.Sequence {
		return nil, Ignored
	}
	t.identify(h, hb.Host)
	h.Sequence = hb.Sequence
	h.ConfigVersion = max(h.ConfigVersion, hb.ConfigVersion)
	h.Leaving = h.Leaving || hb.Leaving
	h.LastSeen = t.options.Clock.Now()
	h.LastHeartbeat = h.LastSeen
	h.Reachable = true
	return h, news
}

// RecordReport notes whether a host is there and leaving as others said at a time, and reports
// whether that is news. What is older than what is known counts nothing.
func (t *Table) RecordReport(h *Host, there, leaving bool, at time.Time) (news bool) {
	if !h.LastReport.Before(at) || !there && h.LastHeartbeat.After(at) {
		return false
	}
	h.LastReport = at
	if there && h.LastSeen.Before(at) {
		h.LastSeen = at
	}
	if h.LastHeartbeat.Before(at) {
		news = h.Leaving != leaving
		h.Leaving = leaving
	}
	news = news || h.Reachable != there
	h.Reachable = there
	return news
}

// admit makes an unknown run the current one of its host, unless the host has
// a later run that is still heard.
func (t *Table) admit(hb *zinccovev1.Heartbeat) *Host {
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
	delete(t.runs, h.Incarnation)
	t.runs[hb.Incarnation] = h
	h.Incarnation, h.Started = hb.Incarnation, started
	h.Sequence, h.ConfigVersion, h.Leaving = 0, 0, false
	return h
}

// identify takes the addresses from a heartbeat that carries them.
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

// Expire marks the hosts that were silent for too long and returns those it
// marked. Call it on every tick: the time since the last call beyond half the
// timeout was a pause of this process and is not held against the others.
func (t *Table) Expire() []*Host {
	now := t.options.Clock.Now()
	pause := now.Sub(t.ticked)
	t.ticked = now
	if pause > min(t.options.Timeout/2, longPause) {
		t.excuse(pause)
		return nil
	}
	var gone []*Host
	for _, h := range t.hosts {
		if h.Reachable && now.Sub(h.LastSeen) > t.options.Timeout {
			h.Reachable = false
			gone = append(gone, h)
		}
	}
	return gone
}

// longPause is a pause of this process in which many heartbeats waited unread.
const longPause = time.Second

func (t *Table) excuse(pause time.Duration) {
	for _, h := range t.hosts {
		if h.Reachable {
			h.LastSeen = h.LastSeen.Add(pause)
			h.LastHeartbeat = h.LastHeartbeat.Add(pause)
		}
	}
}

// Forget removes unreachable hosts that were last heard before the given time
// and returns them, so that a fleet whose hosts are replaced daily does not
// grow the table for ever. Hosts that are learned again come back.
func (t *Table) Forget(before time.Time) []*Host {
	var gone []*Host
	for name, h := range t.hosts {
		if !h.Reachable && !h.LastSeen.IsZero() && h.LastSeen.Before(before) {
			delete(t.hosts, name)
			delete(t.runs, h.Incarnation)
			t.sorted = nil
			gone = append(gone, h)
		}
	}
	return gone
}

// Remove removes a host that is not there, as its entry went.
func (t *Table) Remove(name string) {
	h := t.hosts[name]
	if h == nil || h.Reachable {
		return
	}
	delete(t.hosts, name)
	delete(t.runs, h.Incarnation)
	t.sorted = nil
}

// SetTimeout changes the silence after which a host is not reachable. Heartbeats
// come less often in large fleets.
func (t *Table) SetTimeout(d time.Duration) { t.options.Timeout = d }

// add makes h a member.
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

// Hosts returns all known hosts by name. The list and its entries stay owned by the
// table.
func (t *Table) Hosts() []*Host {
	if t.sorted == nil {
		t.sorted = slices.SortedFunc(maps.Values(t.hosts), func(a, b *Host) int { return strings.Compare(a.Name, b.Name) })
	}
	return t.sorted
}
