// Package revision orders what is read from the platform's store.
//
// The store counts its transactions, and each row carries the count of its last write.
// The store may come back from a copy that is some seconds old. What it acknowledged since
// is gone, the count goes back and numbers are given out a second time, so that a count
// alone orders nothing. The store therefore tells its era, which rises each time. Only era
// and count together order what routers read, keep and tell each other; they are compared
// nowhere but here.
//
// # Usage
//
//	r := revision.Revision{Era: era, Count: version}
//	if r.Before(known) { ... }
//	since = revision.Later(since, r)
package revision

import (
	"cmp"
	"fmt"
	"time"
)

// MaxBackupAge is longer than a copy is old from which the store may come back: what was written
// before that is in it.
const MaxBackupAge = time.Minute

// Revision is a state of the store, or the last write of a row as it was read in an era.
// The zero Revision comes before all others.
type Revision struct {
	Era uint64
	// Count is that of the store's transactions in the era.
	Count uint64
}

// Compare returns -1 if r comes before o, 0 if they are equal, and 1 otherwise.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Count, o.Count))
}

// Before reports whether r comes before o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// OfEarlierEra reports whether the store came back from a copy between r and o.
func (r Revision) OfEarlierEra(o Revision) bool { return r.Era < o.Era }

// IsZero reports whether r is that of nothing.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns era and count as they stand in logs.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era, r.Count) }

// Later returns the one of two revisions that comes last.
func Later(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}
