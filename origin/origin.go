// Package origin remembers which service and which version of its software began each stream.
//
// What two versions write does not fit together, so a stream whose connection broke is only resumed
// at the version that began it. Callers resume at any router, mostly because the first one failed.
// The router that begins a stream therefore sends its origin to a few others before the caller
// receives the first event; a Table holds the origins that a router received.
//
// The identity of a customer and a route are part of a key, so that a caller cannot refer to the
// stream of another customer.
//
// The package has no I/O. A Table is safe for concurrent use.
//
// # Usage
//
//	t := origin.NewTable(clock)
//	key := origin.KeyOf(customer, route, requestID)
//	t.Put(key, origin.Origin{Service: "model", Version: "v1"}, time.Minute)
//	o, ok := t.Get(key)
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"
	"unique"

	"github.com/jonboulle/clockwork"
)

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is that of the software of the target.
	Version string
}

// Key identifies a stream.
type Key uint64

// KeyOf returns the key of the stream that the attempt with the given request ID began. It is part of
// a cryptographic hash, so that callers cannot produce the keys of others.
func KeyOf(customer, route, id string) Key {
	b := make([]byte, 0, len(customer)+len(route)+len(id)+2*binary.MaxVarintLen64)
	for _, s := range []string{customer, route} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	sum := sha256.Sum256(append(b, id...))
	return Key(binary.BigEndian.Uint64(sum[:]))
}

const (
	// maxRecords bounds a table. A record takes about 120 bytes.
	maxRecords = 1 << 15
	// MaxTTL bounds the time for which an origin is kept.
	MaxTTL = 10 * time.Minute
)

// record is an origin in a table. Contradicted is set if different origins were recorded under one
// key; the stream may then not be resumed.
type record struct {
	origin       unique.Handle[Origin]
	expires      time.Time
	contradicted bool
}

// Table holds origins until they expire. When it is full, the oldest ones are evicted.
type Table struct {
	clock clockwork.Clock

	mu      sync.Mutex
	records map[Key]record
	// order holds the keys in the order in which they were added.
	order []Key
}

// NewTable returns an empty table.
func NewTable(c clockwork.Clock) *Table { return &Table{clock: c, records: make(map[Key]record)} }

// Put records an origin for a time. Recording the same one again extends the time.
func (t *Table) Put(k Key, o Origin, ttl time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.evict(now)
	r, known := t.records[k]
	if !known || !now.Before(r.expires) {
		r = record{origin: unique.Make(o)}
	}
	r.contradicted = r.contradicted || r.origin != unique.Make(o)
	if until := now.Add(min(ttl, MaxTTL)); until.After(r.expires) {
		r.expires = until
	}
	t.records[k] = r
	if !known {
		t.order = append(t.order, k)
	}
}

// evict removes expired records from the front of the order, and the oldest one of a full table.
func (t *Table) evict(now time.Time) {
	for len(t.order) > 0 {
		k := t.order[0]
		if now.Before(t.records[k].expires) && len(t.order) < maxRecords {
			return
		}
		delete(t.records, k)
		t.order = t.order[1:]
	}
}

// Get returns the origin of a stream; ok is false if it is not known.
func (t *Table) Get(k Key) (o Origin, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.records[k]
	if !known || r.contradicted || !t.clock.Now().Before(r.expires) {
		return Origin{}, false
	}
	return r.origin.Value(), true
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
