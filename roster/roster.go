// Package roster keeps the list of targets that announce themselves.
//
// Targets write an entry into a table that lags, and that can be away for long.
// An entry that goes means that its target left or died, with one exception:
// entries also lapse while the table is away, because targets cannot renew them
// then. After an outage, entries that are missing are therefore kept until the
// targets had time to come back. An outage in which a feed stays open is not
// noticed; so an entry that goes without a word of draining is always kept for
// the time between two writes of a target.
//
// A target may start again under its id. It then keeps nothing of before, so that
// everything that is known of a target belongs to one incarnation of it. The entry of
// a later incarnation ends the one before; a word on an incarnation that ended, which
// may come late, says nothing of the one that runs.
//
// An entry that cannot be read names no target to use. The one that stood before it
// is held back until a good entry follows.
//
// The table may come back from a copy that is some seconds old (package revision). What it
// says then takes nothing back of what was known: a target that was leaving goes on to
// leave, one that was gone stays out, one that is missing has time to write its entry
// again. Targets write again what they wrote since the copy; what they write counts at once.
//
// The package has no I/O and is not safe for concurrent use; Targets returns
// immutable values.
//
// # Usage
//
//	r := roster.New(roster.Options{Clock: clock, Return: 2 * time.Second})
//	gone := r.Replace(entries, revision) // the whole table at a revision
//	gone, ended := r.Put(entry)          // single changes
//	gone, left := r.Remove(id, revision, 0)
//	r.Interrupted()                      // the table is away
//	gone, back := r.Expire()             // from time to time
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
	// ID is what the target calls itself. Only one run has it at a time.
	ID string
	// Started is when this run began; zero if the target does not say.
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
	// Unreadable tells that the entry cannot be read, so that the target takes no new
	// work. Of such an entry only ID and Revision are known.
	Unreadable bool
	// WarmUpRemaining is how much longer the target is cold, as of its entry.
	WarmUpRemaining time.Duration
	// Revision is that of the last change of the entry.
	Revision revision.Revision
}

// Incarnation names this run of the target; no other run of any target has the name.
func (t *Target) Incarnation() string {
	if t.Started.IsZero() {
		return t.ID
	}
	return t.ID + "@" + strconv.FormatInt(t.Started.UnixMilli(), 10)
}

// Termination is a run of a target that is gone.
type Termination struct {
	ID string
	// Incarnation names the run.
	Incarnation string
	// Revision is that of the table at which its entry went or was missing.
	Revision revision.Revision
}

// doubt is an entry that went and may come back.
type doubt struct {
	until    time.Time
	revision revision.Revision
}

// goneFor is how long a run of a target that is gone is remembered, in case a copy of the
// table still names it: by then the entry of one that ended has lapsed there again.
const goneFor = 10 * time.Second

// Options configure a roster.
type Options struct {
	Clock clockwork.Clock
	// ReturnTimeout is how long targets may take to write their entries again after
	// the table was away.
	ReturnTimeout time.Duration
	// RenewalInterval is the time between two writes of a target. An entry that goes is
	// gone unless it is back by then.
	RenewalInterval time.Duration
}

// Roster is the list of targets.
type Roster struct {
	options Options
	targets map[string]*Target
	// doubted holds the entries that went and may come back.
	doubted map[string]doubt
	// latest is the revision of the table read last, copied are the targets whose entry is
	// as it stood when the table came back from a copy.
	latest revision.Revision
	copied map[string]bool
	// gone holds until when runs that are gone are remembered, by incarnation, withheld
	// the entries of such runs in a copy.
	gone     map[string]time.Time
	withheld map[string]Target
	// changed are the ids of targets whose entry is another than TakeChanged told last.
	changed map[string]bool
	away    bool
	// catching is set until the changes made during an outage were taken.
	catching bool
	// settled is when entries that are missing after an outage count as gone.
	settled time.Time
}

// New returns an empty roster.
func New(o Options) *Roster {
	return &Roster{
		options: o, targets: make(map[string]*Target), doubted: make(map[string]doubt),
		copied: make(map[string]bool), gone: make(map[string]time.Time), withheld: make(map[string]Target),
		changed: make(map[string]bool),
	}
}

// MarkDisconnected notes that the table cannot be followed.
func (r *Roster) MarkDisconnected() { r.away = true }

// MarkReconnected notes that the table can be followed again.
func (r *Roster) MarkReconnected() {
	if r.away {
		r.away, r.catching = false, true
		r.settled = r.options.Clock.Now().Add(r.options.ReturnTimeout)
	}
}

// MarkSynced notes that the changes made during an outage were taken.
func (r *Roster) MarkSynced() { r.catching = false }

// Termination is that of a run that leaves or is gone at a revision of the table.
func (t *Target) Termination(at revision.Revision) Termination {
	return Termination{ID: t.ID, Incarnation: t.Incarnation(), Revision: at}
}

// Get returns a target, nil if it is not known.
func (r *Roster) Get(id string) *Target { return r.targets[id] }

// Put adds or changes an entry. Entries that are older than the known one and those of
// an earlier incarnation are ignored. It returns the incarnation that ended by it, if
// there was one.
func (r *Roster) Put(t Target) (gone Termination, ended bool) {
	r.latest = revision.Later(r.latest, t.Revision)
	delete(r.copied, t.ID)
	delete(r.withheld, t.ID)
	return r.put(t)
}

func (r *Roster) put(t Target) (gone Termination, ended bool) {
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
		held := *known
		held.Unreadable, held.Revision = true, t.Revision
		t = held
	case t.Started.Before(known.Started) && !t.Started.IsZero():
		return Termination{}, false
	}
	r.set(&t)
	delete(r.doubted, t.ID)
	if t.Incarnation() == known.Incarnation() {
		return Termination{}, false
	}
	return known.Termination(t.Revision), true
}

// set makes t the entry of its target.
func (r *Roster) set(t *Target) {
	r.targets[t.ID] = t
	r.changed[t.ID] = true
}

// TakeChanged returns the ids of the targets whose entry changed or went since the last call.
func (r *Roster) TakeChanged() []string {
	ids := slices.Collect(maps.Keys(r.changed))
	clear(r.changed)
	return ids
}

// putCopied takes an entry of a table that came back from a copy.
func (r *Roster) putCopied(t Target) (gone Termination, ended bool) {
	if until, ok := r.gone[t.Incarnation()]; ok && r.options.Clock.Now().Before(until) {
		r.withheld[t.ID] = t
		return Termination{}, false
	}
	if known := r.targets[t.ID]; known != nil && known.Incarnation() == t.Incarnation() {
		t.Draining = t.Draining || known.Draining
	}
	r.copied[t.ID] = true
	return r.put(t)
}

// Remove notes that an entry went at a revision of the table, which was read some
// time ago. It returns the target if it is gone; else the entry may have lapsed only.
func (r *Roster) Remove(id string, at revision.Revision, age time.Duration) (gone Termination, left bool) {
	delete(r.withheld, id)
	t := r.targets[id]
	if t == nil {
		return Termination{}, false
	}
	if t.Draining {
		r.drop(id)
		return t.Termination(at), true
	}
	if _, ok := r.doubted[id]; ok {
		return Termination{}, false
	}
	until := r.options.Clock.Now().Add(r.options.RenewalInterval - age)
	if r.catching {
		// It went during the outage, so it has the whole time to come back.
		until = r.settled
	}
	r.doubted[id] = doubt{until: until, revision: at}
	return Termination{}, false
}

// MarkDraining notes that somebody else read at a revision of the table that a target
// is leaving or gone. It reports whether that was news. The caller knows that the word
// is on the incarnation that runs. A word from before the table came back from a copy
// counts as long as the target did not write since.
func (r *Roster) MarkDraining(id string, at revision.Revision) bool {
	t := r.targets[id]
	if t == nil || t.Draining {
		return false
	}
	fromBefore := r.copied[id] && at.OfEarlierEra(t.Revision)
	if !t.Revision.Before(at) && !fromBefore {
		return false
	}
	leaving := *t
	leaving.Draining = true
	r.set(&leaving)
	return true
}

// drop forgets a target that is gone, but for the name of its run.
func (r *Roster) drop(id string) {
	r.gone[r.targets[id].Incarnation()] = r.options.Clock.Now().Add(goneFor)
	delete(r.targets, id)
	r.changed[id] = true
	delete(r.doubted, id)
	delete(r.copied, id)
}

// Replace takes the whole table as of a revision; entries that are not in it went.
// It returns the targets that are gone.
func (r *Roster) Replace(entries []Target, at revision.Revision) []Termination {
	put := r.Put
	if r.latest.OfEarlierEra(at) {
		// Also the first table that is read, unless the store never came back from a copy:
		// that may have been a moment ago.
		put = r.putCopied
		r.catching = true
		r.settled = r.options.Clock.Now().Add(r.options.ReturnTimeout)
	}
	r.latest = revision.Later(r.latest, at)
	present := make(map[string]bool, len(entries))
	var gone []Termination
	for _, t := range entries {
		present[t.ID] = true
		if d, ended := put(t); ended {
			gone = append(gone, d)
		}
	}
	for id := range r.targets {
		if present[id] {
			continue
		}
		if d, left := r.Remove(id, at, 0); left {
			gone = append(gone, d)
		}
	}
	return gone
}

// Expire drops the entries that are still missing although the targets had
// time to write them again, and returns them. Back tells that entries count again that a
// copy of the table named although their targets were gone.
func (r *Roster) Expire() (gone []Termination, back bool) {
	now := r.options.Clock.Now()
	for incarnation, until := range r.gone {
		if !now.Before(until) {
			delete(r.gone, incarnation)
		}
	}
	for id, t := range r.withheld {
		if _, remembered := r.gone[t.Incarnation()]; !remembered {
			delete(r.withheld, id)
			r.put(t)
			back = true
		}
	}
	if r.away {
		return nil, back
	}
	for id, d := range r.doubted {
		if !now.Before(d.until) {
			gone = append(gone, r.targets[id].Termination(d.revision))
			r.drop(id)
		}
	}
	return gone, back
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
