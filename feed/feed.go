// Package feed hands on what one router reads of a table of the platform's store.
//
// A store prices each call, and a fleet whose routers all follow it by themselves
// makes as many calls for each change as it has routers. So a
// few routers of each data centre follow the store (LeaderCount) and the others follow
// them. A Log keeps the newest state of each row, so that a reader can go on from any
// revision since the router read the table whole, also when it followed another router
// before; one that is further behind is given the whole table in pages, which are encoded
// once for all readers. Nobody is elected: two routers that both follow cost calls, not
// truth, as rows carry the store's revisions.
//
// The package has no I/O. A Log is safe for concurrent use.
//
// # Usage
//
//	l := feed.NewLog(feed.Options[platform.Change]{Clock: clock, Encode: encode, MaxBytes: 16 << 20})
//	l.SetRetainRows(true)                // while others may ask
//	l.Reset(revision, rows...)           // after reading the table whole
//	l.Append(revision, rows...)          // each change
//	l.Confirm(clock.Now())               // the store answered
//	l.SetLost()                          // it does not answer
//	news, changed, err := l.Since(known) // for a reader
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

// Errors of a log.
var (
	// ErrHistoryLost means that the log does not reach back to a revision.
	ErrHistoryLost = eris.New("log does not reach back")
	// ErrClosed means that the log was closed.
	ErrClosed = eris.New("log closed")
)

// Row is a row of type R with what the log needs to know of it.
type Row[R any] struct {
	Key      string
	Revision revision.Revision
	// Removed rows tell only that there is no such row any more.
	Removed bool
	// Age is the time since it was read from the store.
	Age time.Duration
	// Size is about the memory that it takes in bytes.
	Size  int
	Value R
}

// TimedRow is a row and when it was read.
type TimedRow[R any] struct {
	Row[R]
	ReadAt time.Time
}

// Changes is what a log knows beyond a revision.
type Changes[R any] struct {
	// Rows are the newest states of the rows that changed since, by revision.
	Rows []TimedRow[R]
	// Complete tells that the log does not reach back, so that Pages have the whole table,
	// as Options.Encode encoded them.
	Complete bool
	Pages    [][]byte
	// Revision is that up to which the log knows the table.
	Revision revision.Revision
	// StoreLost tells that the store does not answer the router.
	StoreLost bool
	// LastResponse is when the store last answered.
	LastResponse time.Time
}

// Options configure a Log. All are required.
type Options[R any] struct {
	Clock clockwork.Clock
	// Encode encodes rows of a whole table for readers.
	Encode func(rows []Row[R]) []byte
	// MaxBytes bounds the rows kept in bytes. Of a larger table nothing is kept, and readers
	// that are behind read the store.
	MaxBytes int
}

// Log keeps the changes of a table.
type Log[R any] struct {
	options Options[R]

	mu sync.Mutex
	// keeping tells that rows are kept for readers.
	keeping bool
	// rows are the newest states by revision, among states that were replaced since, which
	// are not live; at are the places of the live ones by key.
	rows []slot[R]
	at   map[string]int
	// dead is the number of slots that are not live, removed that of live ones of rows that
	// were removed.
	dead, removed int
	size          int
	// tooLarge is set once the rows did not fit.
	tooLarge bool
	// pages are encoded rows, pageRows slots each; nil after one of them changed.
	pages [][]byte
	// known is set once the table was read whole; what changed before base is not known row
	// by row. Complete tells that all its rows are here; latest is the revision up to which
	// they are known.
	known        bool
	complete     bool
	base, latest revision.Revision
	answered     time.Time
	lost         bool
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
	// pageRows is the number of slots of a page: a change has no more of them encoded anew.
	pageRows = 128
	// leastDead and mostRemoved bound what is kept of rows that were replaced or removed.
	leastDead   = 4 * pageRows
	mostRemoved = 4096
)

// NewLog returns a log that knows nothing yet, and keeps no rows.
func NewLog[R any](o Options[R]) *Log[R] {
	return &Log[R]{options: o, at: make(map[string]int), changed: make(chan struct{})}
}

// SetRetainRows says whether rows are kept for readers. A log that begins to keep them is
// incomplete until the next Reset.
func (l *Log[R]) SetRetainRows(keep bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keeping && !keep {
		l.forget()
	}
	l.keeping = keep
}

// NeedsSnapshot reports whether the table has to be read whole before it can be given to readers.
func (l *Log[R]) NeedsSnapshot() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeping && !l.complete && !l.tooLarge
}

// forget drops all rows: what changed until now is not known row by row any more.
func (l *Log[R]) forget() {
	l.rows, l.pages, l.at = nil, nil, make(map[string]int)
	l.dead, l.removed, l.size = 0, 0, 0
	l.base, l.complete = l.latest, false
}

// Reset notes the rows of the table that was read whole at a revision. What changed
// before is not known row by row.
func (l *Log[R]) Reset(at revision.Revision, rows ...Row[R]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest = at
	l.forget()
	l.known, l.tooLarge = true, false
	if l.keeping {
		l.complete = true
		l.keep(rows)
	}
	l.answer()
}

// Append notes rows that changed, up to a revision.
func (l *Log[R]) Append(at revision.Revision, rows ...Row[R]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest = revision.Later(l.latest, at)
	if l.keeping {
		l.keep(rows)
	} else {
		l.base = l.latest
	}
	l.answer()
}

// keep keeps rows as long as they are not too large.
func (l *Log[R]) keep(rows []Row[R]) {
	now := l.options.Clock.Now()
	inOrder := true
	for _, r := range rows {
		if i, known := l.at[r.Key]; known {
			if r.Revision.Before(l.rows[i].Revision) {
				continue
			}
			l.kill(i)
		}
		if n := len(l.rows); n > 0 && r.Revision.Before(l.rows[n-1].Revision) {
			inOrder = false
		}
		l.put(slot[R]{TimedRow: TimedRow[R]{Row: r, ReadAt: now.Add(-r.Age)}, live: true})
	}
	switch {
	case l.size > l.options.MaxBytes:
		l.forget()
		l.tooLarge = true
	case !inOrder || l.dead > max(leastDead, len(l.rows)/2) || l.removed > 2*mostRemoved:
		l.compact()
	}
}

// put adds a live slot.
func (l *Log[R]) put(s slot[R]) {
	l.at[s.Key] = len(l.rows)
	l.rows = append(l.rows, s)
	l.size += s.Size
	if s.Removed {
		l.removed++
	}
	l.changePage(len(l.rows) - 1)
}

// kill marks a slot as replaced.
func (l *Log[R]) kill(i int) {
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

// compact brings the live slots in order and drops the others, and the oldest of those of
// removed rows.
func (l *Log[R]) compact() {
	live := slices.DeleteFunc(l.rows, func(s slot[R]) bool { return !s.live })
	slices.SortStableFunc(live, func(a, b slot[R]) int { return a.Revision.Compare(b.Revision) })
	drop := max(l.removed-mostRemoved, 0)
	l.rows, l.pages, l.at = make([]slot[R], 0, len(live)), nil, make(map[string]int, len(live))
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

// Confirm notes that the store answered at a time, this router or another one that follows
// it.
func (l *Log[R]) Confirm(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered = at
	if l.lost {
		l.answer()
	}
}

// answer notes that the store is reached and wakes the readers.
func (l *Log[R]) answer() {
	if l.answered.IsZero() {
		l.answered = l.options.Clock.Now()
	}
	l.lost = false
	l.wake()
}

// SetLost notes that the store does not answer.
func (l *Log[R]) SetLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lost {
		l.lost = true
		l.wake()
	}
}

// Close ends the reading of all readers.
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

// Since returns what is known beyond a revision, and a channel that is closed when
// that changes. A log that knows nothing yet counts as lost. A reader that knows an
// earlier era is given the whole table: what it knows may be gone.
func (l *Log[R]) Since(known revision.Revision) (Changes[R], <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return Changes[R]{}, nil, ErrClosed
	case l.known && known.Before(l.base) && !l.complete:
		return Changes[R]{}, nil, ErrHistoryLost
	}
	n := Changes[R]{Revision: revision.Later(l.latest, known), StoreLost: l.lost || !l.known, LastResponse: l.answered}
	n.Complete = l.known && known.Before(l.base)
	switch {
	case !known.Before(l.latest):
	case n.Complete:
		n.Pages = l.wholeTable()
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

// wholeTable returns the pages of all rows that were not removed. Those that were encoded
// before and did not change are given again.
func (l *Log[R]) wholeTable() [][]byte {
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
