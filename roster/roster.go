// Package roster keeps the list of targets that register themselves.
//
// Targets write an entry into a table that lags, and that can be unreachable for long. The removal
// of an entry means that its target stopped or crashed, with one exception: entries also expire
// while the table is unreachable, because targets cannot renew them then. After an outage, entries
// that are missing are therefore kept until the targets had time to write them again, unless the
// outage was too short for entries to expire. An outage in which a feed stays open is not noticed;
// a removed entry that was not draining is therefore always kept for the interval between two
// writes of a target.
//
// A target may restart under its ID. It keeps no state across a restart, so everything that is
// known of a target belongs to one incarnation of it. The entry of a later incarnation ends the
// one before; a late message about an incarnation that ended does not apply to the running one.
//
// A target whose entry cannot be decoded is not used. The last valid entry is kept, marked as
// unreadable, until a valid one follows.
//
// The table may be restored from a backup that is some seconds old (package revision). Its content
// does not revert what was known: a target that was draining stays draining, one that ended stays
// out, one that is missing has time to write its entry again. Targets rewrite what they wrote
// since the backup; these writes count immediately.
//
// The package has no I/O and is not safe for concurrent use; Targets returns immutable values.
//
// # Usage
//
//	r := roster.New(roster.Options{Clock: clock, ReturnTimeout: 2 * time.Second})
//	terminated := r.Replace(entries, revision) // the complete table at a revision
//	terminated, ended := r.Put(entry)          // single changes
//	terminated, ended := r.Remove(id, revision, 0)
//	r.MarkDisconnected()                       // the table is unreachable
//	r.MarkReconnected(outage)                  // it can be read again
//	terminated, reinstated := r.Expire()       // periodically
//	for _, t := range r.Targets() { ... }
package roster

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"zinccove.example/zinccove/revision"
)

// Target is a running engine or instance of a plain service.
type Target struct {
	// ID is the target's name for itself. Only one incarnation uses it at a time.
	ID string
	// Started is when this incarnation started; zero if the target does not report it.
	Started    time.Time
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Version is that of its software.
	Version string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Draining targets take no new work.
	Draining bool
	// Unreadable means that the entry cannot be decoded, so the target takes no new work. Only ID
	// and Revision of such an entry are known.
	Unreadable bool
	// WarmUpRemaining is how much longer the target warms up, as of its entry.
	WarmUpRemaining time.Duration
	// Revision is that of the last change of the entry.
	Revision revision.Revision
}

// Incarnation returns a name for this incarnation of the target, unique among all targets.
func (t *Target) Incarnation() string {
	if t.Started.IsZero() {
		return t.ID
	}
	return t.ID + "@" + strconv.FormatInt(t.Started.UnixMilli(), 10)
}

// Termination identifies an incarnation of a target that ended or is draining.
type Termination struct {
	ID string
	// Incarnation is the name of the incarnation.
	Incarnation string
	// Revision is that of the table at which the entry was draining, removed or missing.
	Revision revision.Revision
}

// missingEntry is an entry that was removed and may be written again.
type missingEntry struct {
	deadline time.Time
	revision revision.Revision
}

// endedTTL is how long an incarnation that ended is remembered, in case a backup of the table
// still contains it: after that time the entry of an ended one has expired there again.
const endedTTL = 10 * time.Second

// Options configure a roster.
type Options struct {
	Clock clockwork.Clock
	// ReturnTimeout is how long targets may take to write their entries again after the table was
	// unreachable.
	ReturnTimeout time.Duration
	// RenewalInterval is the interval between two writes of a target. The target of a removed
	// entry has ended unless the entry is written again within it.
	RenewalInterval time.Duration
	// MinExpiry is the length of the shortest outage in which entries can expire.
	MinExpiry time.Duration
}

// Roster is the list of targets.
type Roster struct {
	options Options
	targets map[string]*Target
	// missing holds the entries that were removed and may be written again.
	missing map[string]missingEntry
	// latest is the revision of the table read last, restored holds the targets whose entry was
	// read from a restored table and not written since.
	latest   revision.Revision
	restored map[string]bool
	// ended holds, by incarnation, until when ended incarnations are remembered, withheld the
	// entries of such incarnations in a restored table.
	ended    map[string]time.Time
	withheld map[string]Target
	// changed holds the IDs of targets whose entry changed since the last TakeChanged.
	changed      map[string]bool
	disconnected bool
	// syncing is set until the changes made during an outage are applied.
	syncing bool
	// returnDeadline is when targets whose entries were removed during an outage count as ended.
	returnDeadline time.Time
}

// New returns an empty roster.
func New(o Options) *Roster {
	return &Roster{
		options: o, targets: make(map[string]*Target), missing: make(map[string]missingEntry),
		restored: make(map[string]bool), ended: make(map[string]time.Time), withheld: make(map[string]Target),
		changed: make(map[string]bool),
	}
}

// MarkDisconnected records that the table cannot be followed.
func (r *Roster) MarkDisconnected() { r.disconnected = true }

// MarkReconnected records that the table can be followed again. Outage is the time for which no
// response was received. Entries that were removed in an outage in which none can expire are
// treated as removed when it began.
func (r *Roster) MarkReconnected(outage time.Duration) {
	if !r.disconnected {
		return
	}
	r.disconnected, r.syncing = false, true
	timeout := r.options.ReturnTimeout
	if outage < r.options.MinExpiry {
		timeout = r.options.RenewalInterval - outage
	}
	r.returnDeadline = r.options.Clock.Now().Add(timeout)
}

// MarkSynced records that the changes made during an outage are applied.
func (r *Roster) MarkSynced() { r.syncing = false }

// Termination returns the Termination of this incarnation at a revision of the table.
func (t *Target) Termination(at revision.Revision) Termination {
	return Termination{ID: t.ID, Incarnation: t.Incarnation(), Revision: at}
}

// Get returns a target, nil if it is unknown.
func (r *Roster) Get(id string) *Target { return r.targets[id] }

// Put adds or changes an entry. Entries that are older than the known one and those of an earlier
// incarnation are ignored. It returns the incarnation that the entry ended, if any.
func (r *Roster) Put(t Target) (terminated Termination, ended bool) {
	r.latest = revision.Later(r.latest, t.Revision)
	delete(r.restored, t.ID)
	delete(r.withheld, t.ID)
	return r.put(t)
}

func (r *Roster) put(t Target) (terminated Termination, ended bool) {
	known := r.targets[t.ID]
	switch {
	case known == nil && t.Unreadable:
		return Termination{}, false
	case known == nil:
		r.set(&t)
		return Termination{}, false
	case t.Revision.Before(known.Revision):
		return Termination{}, false
	case t.Unreadable:
		unreadable := *known
		unreadable.Unreadable, unreadable.Revision = true, t.Revision
		t = unreadable
	case t.Started.Before(known.Started) && !t.Started.IsZero():
		return Termination{}, false
	}
	r.set(&t)
	delete(r.missing, t.ID)
	if t.Incarnation() == known.Incarnation() {
		return Termination{}, false
	}
	return known.Termination(t.Revision), true
}

// set stores t as the entry of its target.
func (r *Roster) set(t *Target) {
	r.targets[t.ID] = t
	r.changed[t.ID] = true
}

// TakeChanged returns the IDs of targets whose entry changed or was removed since the last call.
func (r *Roster) TakeChanged() []string {
	ids := slices.Collect(maps.Keys(r.changed))
	clear(r.changed)
	return ids
}

// putRestored adds an entry of a table that was restored from a backup.
func (r *Roster) putRestored(t Target) (terminated Termination, ended bool) {
	if until, ok := r.ended[t.Incarnation()]; ok && r.options.Clock.Now().Before(until) {
		r.withheld[t.ID] = t
		return Termination{}, false
	}
	if known := r.targets[t.ID]; known != nil && known.Incarnation() == t.Incarnation() {
		t.Draining = t.Draining || known.Draining
	}
	r.restored[t.ID] = true
	return r.put(t)
}

// Remove records that an entry was removed at a revision of the table, which was read age ago. It
// returns the target if it has ended; otherwise the entry may just have expired.
func (r *Roster) Remove(id string, at revision.Revision, age time.Duration) (terminated Termination, ended bool) {
	delete(r.withheld, id)
	t := r.targets[id]
	if t == nil {
		return Termination{}, false
	}
	if t.Draining {
		r.drop(id)
		return t.Termination(at), true
	}
	if _, ok := r.missing[id]; ok {
		return Termination{}, false
	}
	until := r.options.Clock.Now().Add(r.options.RenewalInterval - age)
	if r.syncing {
		// It was removed during the outage, so its target has the complete timeout.
		until = r.returnDeadline
	}
	r.missing[id] = missingEntry{deadline: until, revision: at}
	return Termination{}, false
}

// MarkDraining records that another router read, at a revision of the table, that a target is
// draining or has ended. It reports whether that was new. The caller ensures that the report is
// about the running incarnation. A report from before the table was restored from a backup counts
// as long as the target did not write since.
func (r *Roster) MarkDraining(id string, at revision.Revision) bool {
	t := r.targets[id]
	if t == nil || t.Draining {
		return false
	}
	beforeRestore := r.restored[id] && at.OfEarlierEra(t.Revision)
	if !t.Revision.Before(at) && !beforeRestore {
		return false
	}
	leaving := *t
	leaving.Draining = true
	r.set(&leaving)
	return true
}

// drop removes a target that ended, and remembers the name of its incarnation.
func (r *Roster) drop(id string) {
	r.ended[r.targets[id].Incarnation()] = r.options.Clock.Now().Add(endedTTL)
	delete(r.targets, id)
	r.changed[id] = true
	delete(r.missing, id)
	delete(r.restored, id)
}

// Replace applies the complete table as of a revision; entries that it lacks were removed. It
// returns the targets that ended.
func (r *Roster) Replace(entries []Target, at revision.Revision) []Termination {
	put := r.Put
	if r.latest.OfEarlierEra(at) {
		// This includes the first table that is read, unless the store was never restored from a
		// backup: a restore may have happened just before.
		put = r.putRestored
		r.syncing = true
		r.returnDeadline = r.options.Clock.Now().Add(r.options.ReturnTimeout)
	}
	r.latest = revision.Later(r.latest, at)
	present := make(map[string]bool, len(entries))
	var terminated []Termination
	for _, t := range entries {
		present[t.ID] = true
		if d, ended := put(t); ended {
			terminated = append(terminated, d)
		}
	}
	for id := range r.targets {
		if present[id] {
			continue
		}
		if d, left := r.Remove(id, at, 0); left {
			terminated = append(terminated, d)
		}
	}
	return terminated
}

// Expire removes the targets whose entries are still missing although they had time to write them
// again, and returns them. It reports whether entries were reinstated that a restored table
// contained although their targets were known to have ended.
func (r *Roster) Expire() (terminated []Termination, reinstated bool) {
	now := r.options.Clock.Now()
	for incarnation, until := range r.ended {
		if !now.Before(until) {
			delete(r.ended, incarnation)
		}
	}
	for id, t := range r.withheld {
		if _, remembered := r.ended[t.Incarnation()]; !remembered {
			delete(r.withheld, id)
			r.put(t)
			reinstated = true
		}
	}
	if r.disconnected {
		return nil, reinstated
	}
	for id, d := range r.missing {
		if !now.Before(d.deadline) {
			terminated = append(terminated, r.targets[id].Termination(d.revision))
			r.drop(id)
		}
	}
	return terminated, reinstated
}

// Targets returns all targets in the order of their IDs.
func (r *Roster) Targets() []*Target {
	list := make([]*Target, 0, len(r.targets))
	for _, t := range r.targets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}
