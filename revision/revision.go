// Package revision orders what routers read from the platform's store.
//
// The store counts its transactions, and each row carries the count of its last write. The store
// may be restored from a backup that is some seconds old. What it acknowledged after the backup is
// then lost, the count goes back and the same numbers are assigned again, so that a count alone
// defines no order. The store therefore reports its era, which increases with each restore. Only
// era and count together order what routers read, store and exchange; they are compared in this
// package only.
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

// MaxBackupAge exceeds the age of any backup that the store may be restored from: writes that are
// older are part of the backup.
const MaxBackupAge = time.Minute

// Revision is a state of the store, or the last write of a row as it was read in an era. The zero
// Revision comes before all others.
type Revision struct {
	Era uint64
	// Count is the number of the store's transactions in the era.
	Count uint64
}

// Compare returns -1 if r comes before o, 0 if they are equal, and 1 otherwise.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Count, o.Count))
}

// Before reports whether r comes before o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// OfEarlierEra reports whether the store was restored from a backup between r and o.
func (r Revision) OfEarlierEra(o Revision) bool { return r.Era < o.Era }

// IsZero reports whether r is the zero Revision.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns era and count in the form of the logs.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era, r.Count) }

// Later returns the later of two revisions.
func Later(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}
