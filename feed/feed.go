// Package feed hands on what one router reads of a table of the platform's store.
//
// A store prices each call, and a fleet whose routers all follow it by themselves
// makes as many calls for each change as it has routers: 12,895 on a day of 295. So a
// few routers of each data centre follow the store (Leaders) and the others follow
// them. A Log keeps the newest state of each row, so that a reader can go on from any
// revision since the router read the table whole, also when it followed another router
// before; one that is further behind is given the whole table. Nobody is elected: two
// routers that both follow cost calls, not truth, as rows carry the store's revisions.
//
// The package has no I/O. A Log is safe for concurrent use.
//
// # Usage
//
//	l := feed.NewLog[platform.Change](clock)
//	l.Reset(revision, rows...)           // after reading the table whole
//	l.Append(revision, rows...)          // each change
//	l.Confirm()                          // the store answered without changes
//	l.SetLost()                          // it does not answer
//	news, changed, err := l.Since(known) // for a reader
package feed

import (
	"slices"
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
	// Size is about the memory that it takes in bytes.
	Size  int
	Value R
}

// Dated is a row and when it was read.
type Dated[R any] struct {
	Row[R]
	At time.Time
}

// News is what a log knows beyond a revision.
type News[R any] struct {
	// Rows are the newest states of the rows that changed since, by revision.
	Rows []Dated[R]
	// Whole tells that Rows are the whole table, because the log does not reach back.
	Whole bool
	// Revision is that up to which the log knows the table.
	Revision revision.Revision
	// Lost tells that the store does not answer the router.
	Lost bool
	// Answered is when the store last answered.
	Answered time.Time
}

// Log keeps the changes of a table.
type Log[R any] struct {
	clock clockwork.Clock

	mu   sync.Mutex
	rows map[string]Dated[R]
	size int
	// known is set once the table was read whole, at revision base. Complete tells that
	// all its rows are here; latest is the revision up to which they are known.
	known        bool
	complete     bool
	base, latest revision.Revision
	answered     time.Time
	lost         bool
	closed       bool
	// changed is closed at the next change.
	changed chan struct{}
}

// maxSize bounds the rows kept in bytes. Of a larger table only what changes is kept,
// and a reader that is further behind reads the table from the store.
const maxSize = 1 << 20

// NewLog returns a log that knows nothing yet.
func NewLog[R any](clock clockwork.Clock) *Log[R] {
	return &Log[R]{clock: clock, rows: make(map[string]Dated[R]), changed: make(chan struct{})}
}

// Reset notes the rows of the table that was read whole at a revision. What changed
// before is not known row by row.
func (l *Log[R]) Reset(at revision.Revision, rows ...Row[R]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.rows)
	l.size = 0
	l.known, l.complete, l.base, l.latest = true, true, at, at
	l.keep(rows)
	l.answer()
}

// Append notes rows that changed, up to a revision.
func (l *Log[R]) Append(at revision.Revision, rows ...Row[R]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest = revision.Later(l.latest, at)
	l.keep(rows)
	l.answer()
}

// keep keeps rows as long as they are not too large.
func (l *Log[R]) keep(rows []Row[R]) {
	now := l.clock.Now()
	for _, r := range rows {
		l.size += r.Size - l.rows[r.Key].Size
		l.rows[r.Key] = Dated[R]{Row: r, At: now}
	}
	if l.size > maxSize {
		clear(l.rows)
		l.size, l.base, l.complete = 0, l.latest, false
	}
}

// Confirm notes that the store answered.
func (l *Log[R]) Confirm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered = l.clock.Now()
	if l.lost {
		l.answer()
	}
}

// answer notes an answer of the store and wakes the readers.
func (l *Log[R]) answer() {
	l.answered = l.clock.Now()
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
func (l *Log[R]) Since(known revision.Revision) (News[R], <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return News[R]{}, nil, ErrClosed
	case l.known && known.Before(l.base) && !l.complete:
		return News[R]{}, nil, ErrHistoryLost
	}
	n := News[R]{Revision: revision.Later(l.latest, known), Lost: l.lost || !l.known, Answered: l.answered}
	n.Whole = l.known && known.Before(l.base)
	if !known.Before(l.latest) {
		return n, l.changed, nil
	}
	for _, r := range l.rows {
		if n.Whole || known.Before(r.Revision) {
			n.Rows = append(n.Rows, r)
		}
	}
	slices.SortFunc(n.Rows, func(a, b Dated[R]) int { return a.Revision.Compare(b.Revision) })
	return n, l.changed, nil
}
