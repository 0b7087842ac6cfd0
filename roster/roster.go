// Package roster keeps the list of targets that announce themselves.
//
// Targets write an entry into a table that lags, and that can be away for long.
// An entry that goes means that its target left or died, with one exception:
// entries also lapse while the table is away, because targets cannot renew them
// then. After an outage, entries that are missing are therefore kept until the
// targets had time to come back.
//
// The package has no I/O and is not safe for concurrent use; Targets returns
// immutable values.
//
// # Usage
//
//	r := roster.New(roster.Options{Clock: clock, Return: 2 * time.Second})
//	r.Replace(entries)           // the whole table
//	r.Put(entry); r.Remove(id)   // single changes
//	r.Interrupted()              // the table is away
//	removed := r.Expire()        // from time to time
//	for _, t := range r.Targets() { ... }
package roster

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
)

// Target is a running engine or instance of a plain service.
type Target struct {
	// ID differs between any two runs of a target.
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Draining targets take no new work.
	Draining bool
	// Version grows with each change of the entry.
	Version uint64
}

// Options configure a roster.
type Options struct {
	Clock clockwork.Clock
	// Return is how long targets may take to write their entries again after
	// the table was away.
	Return time.Duration
}

// Roster is the list of targets.
type Roster struct {
	options Options
	targets map[string]*Target
	// doubted holds when entries that went missing across an outage are removed.
	doubted map[string]time.Time
	away    bool
	// settled is when entries that are missing after an outage count as gone.
	settled time.Time
}

// New returns an empty roster.
func New(o Options) *Roster {
	return &Roster{options: o, targets: make(map[string]*Target), doubted: make(map[string]time.Time)}
}

// Interrupted notes that the table cannot be followed.
func (r *Roster) Interrupted() { r.away = true }

// Resumed notes that the table can be followed again.
func (r *Roster) Resumed() {
	if r.away {
		r.away = false
		r.settled = r.options.Clock.Now().Add(r.options.Return)
	}
}

// Put adds or changes an entry. Entries that are older than the known one are
// ignored.
func (r *Roster) Put(t Target) {
	if known := r.targets[t.ID]; known != nil && known.Version > t.Version {
		return
	}
	r.targets[t.ID] = &t
	delete(r.doubted, t.ID)
}

// Remove notes that an entry went.
func (r *Roster) Remove(id string) {
	if r.targets[id] == nil {
		return
	}
	if r.away || r.options.Clock.Now().Before(r.settled) {
		r.doubt(id)
		return
	}
	r.drop(id)
}

func (r *Roster) doubt(id string) {
	if _, ok := r.doubted[id]; !ok {
		r.doubted[id] = r.settled
	}
}

func (r *Roster) drop(id string) {
	delete(r.targets, id)
	delete(r.doubted, id)
}

// Replace takes the whole table; entries that are not in it went.
func (r *Roster) Replace(entries []Target) {
	present := make(map[string]bool, len(entries))
	for _, t := range entries {
		present[t.ID] = true
		r.Put(t)
	}
	for id := range r.targets {
		if !present[id] {
			r.Remove(id)
		}
	}
}

// Expire drops the entries that are still missing although the targets had
// time to write them again, and returns their ids.
func (r *Roster) Expire() []string {
	if r.away {
		return nil
	}
	now := r.options.Clock.Now()
	var gone []string
	for id, until := range r.doubted {
		if !now.Before(later(until, r.settled)) {
			gone = append(gone, id)
			r.drop(id)
		}
	}
	return gone
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Targets returns all targets in the order of their ids.
func (r *Roster) Targets() []*Target {
	list := make([]*Target, 0, len(r.targets))
	for _, t := range r.targets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}
