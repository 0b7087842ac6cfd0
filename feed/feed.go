// Package feed forwards what one router reads of a table in the platform's store to other routers.
//
// A store charges for each call, and a fleet in which each router follows the store makes as many
// calls for each change as it has routers. Therefore a few routers of each data centre
// (LeaderCount) follow the store and the others follow them. A Log holds the newest state of each
// row, so that a reader can continue from any revision since the router read the complete table,
// even if it followed another router before. A reader that is further behind receives the complete
// table in pages, which are encoded once for all readers. No election is needed: two routers that
// both follow the store cost calls, not correctness, as rows carry the store's revisions.
//
// The package has no I/O. A Log is safe for concurrent use.
//
// # Usage
//
//	l := feed.NewLog(feed.Options[platform.Change]{Clock: clock, Encode: encode, MaxBytes: 16 << 20})
//	l.SetRetainRows(true)                   // while others may read
//	l.Reset(revision, rows...)              // after reading the complete table
//	l.Append(revision, rows...)             // each change
//	l.Confirm(clock.Now())                  // the store responded
//	l.SetLost()                             // the store does not respond
//	changes, changed, err := l.Since(known) // for a reader
package feed

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/revision"
)

// Errors of a Log.
var (
	// ErrHistoryLost means that the log does not reach back to the given revision.
	ErrHistoryLost = eris.New("log does not reach back")
	// ErrClosed means that the log was closed.
	ErrClosed = eris.New("log closed")
)

// Row is a row of type R with the metadata that the log needs.
type Row[R any] struct {
	Key      string
	Revision revision.Revision
	// Removed is set if the row no longer exists; it then has no value.
	Removed bool
	// Age is the time since the row was read from the store.
	Age time.Duration
	// Size is the approximate memory that the row takes, in bytes.
	Size  int
	Value R
}

// TimedRow is a row with the time at which it was read.
type TimedRow[R any] struct {
	Row[R]
	ReadAt time.Time
}

// Changes is what a log knows beyond a revision.
type Changes[R any] struct {
	// Rows are the newest states of the rows that changed since, by revision.
	Rows []TimedRow[R]
	// Complete is set if the log does not reach back to the revision, so that Pages hold the
	// complete table, as Options.Encode encoded them.
	Complete bool
	Pages    [][]byte
	// Revision is the revision up to which the log knows the table.
	Revision revision.Revision
	// StoreLost is set if the store does not respond to the router.
	StoreLost bool
	// LastResponse is when the store last responded.
	LastResponse time.Time
}

// Options configure a Log. All are required.
type Options[R any] struct {
	Clock clockwork.Clock
	// Encode encodes rows of a complete table for readers.
	Encode func(rows []Row[R]) []byte
	// MaxBytes limits the memory of the retained rows. No rows of a larger table are retained, and
	// readers that are behind read the store.
	MaxBytes int
}

// Log holds the changes of a table.
type Log[R any] struct {
	options Options[R]

	mu sync.Mutex
	// retain is set if rows are retained for readers.
	retain bool
	// rows are the newest states by revision, among replaced states, which are not live; slotOf are
	// the indexes of the live ones by key.
	rows   []slot[R]
	slotOf map[string]int
	// dead is the number of slots that are not live, removed that of live slots of removed rows.
	dead, removed int
	size          int
	// tooLarge is set once the rows exceeded MaxBytes.
	tooLarge bool
	// pages are encoded rows, pageRows slots each; nil after a slot of the page changed.
	pages [][]byte
	// initialized is set once the complete table was read; changes before base are not known row by
	// row. Complete is set if all rows of the table are held; latest is the revision up to which
	// they are known.
	initialized  bool
	complete     bool
	base, latest revision.Revision
	lastResponse time.Time
	storeLost    bool
	closed       bool
	// changed is closed at the next change.
	changed chan struct{}
}

// slot is a place for the state of a row.
type slot[R any] struct {
	TimedRow[R]
	live bool
}

const (
	// pageRows is the number of slots of a page: a change causes at most this many of them to be
	// encoded again.
	pageRows = 128
	// minDeadSlots and maxRemovedRows limit the slots held for replaced and removed rows.
	minDeadSlots   = 4 * pageRows
	maxRemovedRows = 4096
)

// NewLog returns a log that knows no rows yet and retains none.
func NewLog[R any](o Options[R]) *Log[R] {
	return &Log[R]{options: o, slotOf: make(map[string]int), changed: make(chan struct{})}
}

// SetRetainRows sets whether rows are retained for readers. A log that begins to retain them is
// incomplete until the next Reset.
func (l *Log[R]) SetRetainRows(keep bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retain && !keep {
		l.dropRows()
	}
	l.retain = keep
}

// NeedsSnapshot reports whether the complete table has to be read before readers can receive it.
func (l *Log[R]) NeedsSnapshot() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retain && !l.complete && !l.tooLarge
}

// dropRows removes all rows: changes until now are no longer known row by row.
func (l *Log[R]) dropRows() {
	l.rows, l.pages, l.slotOf = nil, nil, make(map[string]int)
	l.dead, l.removed, l.size = 0, 0, 0
	l.base, l.complete = l.latest, false
}

// Reset records the rows of the complete table, which was read at a revision. Changes before it are
// not known row by row.
func (l *Log[R]) Reset(at revision.Revision, rows ...Row[R]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest = at
	l.dropRows()
	l.initialized, l.tooLarge = true, false
	if l.retain {
		l.complete = true
		l.retainRows(rows)
	}
	l.markReachable()
}

// Append records rows that changed, up to a revision.
func (l *Log[R]) Append(at revision.Revision, rows ...Row[R]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest = revision.Later(l.latest, at)
	if l.retain {
		l.retainRows(rows)
	} else {
		l.base = l.latest
	}
	l.markReachable()
}

// retainRows stores rows unless they exceed MaxBytes.
func (l *Log[R]) retainRows(rows []Row[R]) {
	now := l.options.Clock.Now()
	inOrder := true
	for _, r := range rows {
		if i, known := l.slotOf[r.Key]; known {
			if r.Revision.Before(l.rows[i].Revision) {
				continue
			}
			l.markDead(i)
		}
		if n := len(l.rows); n > 0 && r.Revision.Before(l.rows[n-1].Revision) {
			inOrder = false
		}
		l.put(slot[R]{TimedRow: TimedRow[R]{Row: r, ReadAt: now.Add(-r.Age)}, live: true})
	}
	switch {
	case l.size > l.options.MaxBytes:
		l.dropRows()
		l.tooLarge = true
	case !inOrder || l.dead > max(minDeadSlots, len(l.rows)/2) || l.removed > 2*maxRemovedRows:
		l.compact()
	}
}

// put adds a live slot.
func (l *Log[R]) put(s slot[R]) {
	l.slotOf[s.Key] = len(l.rows)
	l.rows = append(l.rows, s)
	l.size += s.Size
	if s.Removed {
		l.removed++
	}
	l.changePage(len(l.rows) - 1)
}

// markDead marks a slot as replaced.
func (l *Log[R]) markDead(i int) {
	s := &l.rows[i]
	l.size -= s.Size
	if s.Removed {
		l.removed--
	}
	*s = slot[R]{TimedRow: TimedRow[R]{Row: Row[R]{Revision: s.Revision}}}
	l.dead++
	l.changePage(i)
}

func (l *Log[R]) changePage(i int) {
	if page := i / pageRows; page < len(l.pages) {
		l.pages[page] = nil
	}
}

// compact sorts the live slots and drops the others, and the oldest slots of removed rows beyond
// maxRemovedRows.
func (l *Log[R]) compact() {
	live := slices.DeleteFunc(l.rows, func(s slot[R]) bool { return !s.live })
	slices.SortStableFunc(live, func(a, b slot[R]) int { return a.Revision.Compare(b.Revision) })
	drop := max(l.removed-maxRemovedRows, 0)
	l.rows, l.pages, l.slotOf = make([]slot[R], 0, len(live)), nil, make(map[string]int, len(live))
	l.dead, l.removed, l.size = 0, 0, 0
	for _, s := range live {
		if s.Removed && drop > 0 {
			drop--
			l.base = revision.Later(l.base, s.Revision)
			continue
		}
		l.put(s)
	}
}

// Confirm records that the store responded at a time, to this router or to another one that follows
// it.
func (l *Log[R]) Confirm(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastResponse = at
	if l.storeLost {
		l.markReachable()
	}
}

// markReachable records that the store is reachable and wakes the readers.
func (l *Log[R]) markReachable() {
	if l.lastResponse.IsZero() {
		l.lastResponse = l.options.Clock.Now()
	}
	l.storeLost = false
	l.wake()
}

// SetLost records that the store does not respond.
func (l *Log[R]) SetLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.storeLost {
		l.storeLost = true
		l.wake()
	}
}

// Close ends all readers.
func (l *Log[R]) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.wake()
}

func (l *Log[R]) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Since returns what is known beyond a revision, and a channel that is closed when that changes.
// The store counts as lost for a log that knows no rows yet. A reader that knows an earlier era
// receives the complete table: rows that it knows may no longer exist.
func (l *Log[R]) Since(known revision.Revision) (Changes[R], <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return Changes[R]{}, nil, ErrClosed
	case l.initialized && known.Before(l.base) && !l.complete:
		return Changes[R]{}, nil, ErrHistoryLost
	}
	n := Changes[R]{Revision: revision.Later(l.latest, known), StoreLost: l.storeLost || !l.initialized, LastResponse: l.lastResponse}
	n.Complete = l.initialized && known.Before(l.base)
	switch {
	case !known.Before(l.latest):
	case n.Complete:
		n.Pages = l.encodedPages()
	default:
		n.Rows = l.rowsAfter(known)
	}
	return n, l.changed, nil
}

// rowsAfter returns the live rows that changed after a revision.
func (l *Log[R]) rowsAfter(known revision.Revision) []TimedRow[R] {
	first := sort.Search(len(l.rows), func(i int) bool { return known.Before(l.rows[i].Revision) })
	var rows []TimedRow[R]
	for _, s := range l.rows[first:] {
		if s.live {
			rows = append(rows, s.TimedRow)
		}
	}
	return rows
}

// encodedPages returns the pages of all rows that were not removed. Pages that did not change since
// they were encoded are reused.
func (l *Log[R]) encodedPages() [][]byte {
	for len(l.pages)*pageRows < len(l.rows) {
		l.pages = append(l.pages, nil)
	}
	for i, page := range l.pages {
		if page == nil {
			l.pages[i] = l.pack(l.rows[i*pageRows : min((i+1)*pageRows, len(l.rows))])
		}
	}
	return slices.Clone(l.pages)
}

func (l *Log[R]) pack(slots []slot[R]) []byte {
	rows := make([]Row[R], 0, len(slots))
	for _, s := range slots {
		if s.live && !s.Removed {
			rows = append(rows, s.Row)
		}
	}
	return l.options.Encode(rows)
}
