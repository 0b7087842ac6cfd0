// Package lease gives one router at a time the right to send orders to targets, with a fencing
// number that grows with each holder.
//
// The lease is a row of the platform's table. No clocks are compared between hosts: the holder
// relies on its own monotonic clock, counted from before it wrote the row; others take the lease
// only after they have seen the row unchanged for the whole TTL plus the longest time that an
// order is in flight.
//
// # Usage
//
//	l := lease.New(lease.Options{Table: table, Clock: clock, Name: "orders/dc1", Holder: id, TTL: 6 * time.Second, OrderTimeout: time.Second})
//	err := l.Step(ctx)                  // periodically, well within the TTL
//	if number, ok := l.Held(); ok {     // immediately before each order
//		send(order, number)
//	}
//
// # Pauses
//
// The lease of a holder that was paused expires by the holder's own clock, however long the pause
// was. An order that was already in flight is covered by OrderTimeout; an order that is delayed
// for longer is refused by targets that check the number. Such an order can revert a target that
// does not check until the current holder reads the target's state again; see package order.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/revision"
)

// Options configure a lease. All are required.
type Options struct {
	Table platform.Table
	Clock clockwork.Clock
	// Name names the resource that the lease protects.
	Name string
	// Holder is unique to this incarnation of this router.
	Holder string
	// TTL is how long a holder may act after it wrote the row.
	TTL time.Duration
	// OrderTimeout is the longest time that an order is in flight.
	OrderTimeout time.Duration
}

// row is the value of the lease's row.
type row struct {
	Holder string `json:"holder"`
	// Number is the fencing number; it increases with each change of holder.
	Number uint64 `json:"number"`
}

// Lease is one router's side of a lease. It is safe for concurrent use.
type Lease struct {
	options Options

	mu sync.Mutex
	// number and expires are those of this router's own lease; expires is zero if it never had
	// one.
	number  uint64
	expires time.Time
	// seen is the revision of the row at the last read, seenSince the time of its first read.
	seen      revision.Revision
	seenSince time.Time
}

// New returns a lease that is not held.
func New(o Options) *Lease { return &Lease{options: o} }

func (l *Lease) key() string { return "lease/" + l.options.Name }

// Held returns the fencing number and whether the lease is held now. It must be called immediately
// before each use.
func (l *Lease) Held() (number uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.number, l.options.Clock.Now().Before(l.expires)
}

// Step renews a held lease, takes a free one, or observes the holder. An error is one of package
// platform; the lease then expires unless a later step succeeds.
func (l *Lease) Step(ctx context.Context) error {
	r, err := l.options.Table.Get(ctx, l.key())
	if err != nil && !eris.Is(err, platform.ErrNotFound) {
		return err
	}
	var cur row
	if r.Revision.Count > 0 {
		if err := json.Unmarshal(r.Value, &cur); err != nil {
			return errs.Wrap(err, "decode lease", "")
		}
	}
	next, may := l.next(cur, r.Revision)
	if !may {
		return nil
	}
	return l.write(ctx, next, r.Revision)
}

// next returns the row to write over the current one, if any. A store that was restored from a
// backup may have lost the row, or a change of its holder: a lease that is held is written again,
// and no router takes another's lease before its holder had time to.
func (l *Lease) next(cur row, at revision.Revision) (row, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	if at != l.seen || l.seenSince.IsZero() {
		l.seen, l.seenSince = at, now
	}
	none, own := at.Count == 0, cur.Holder == l.options.Holder && at.Count > 0
	held := now.Before(l.expires)
	expired := now.Sub(l.seenSince) >= l.options.TTL+l.options.OrderTimeout
	switch {
	case held && (none || !own && cur.Number < l.number):
		return row{Holder: l.options.Holder, Number: l.number}, true
	case held && own:
		return cur, true
	case expired, (none || own) && at.Era == 0:
		// A lease that expired, also the router's own, gets a new number, so that orders sent with
		// the old one are refused.
		return row{Holder: l.options.Holder, Number: nextNumber(cur.Number, at.Era)}, true
	default:
		return row{}, false
	}
}

// eraBits is the number of bits of a fencing number below those of the store's era.
const eraBits = 32

// nextNumber returns the fencing number after one that was read in an era. Numbers of an era are
// greater than all numbers of earlier eras, which the store may have lost.
func nextNumber(number, era uint64) uint64 { return max(number, era<<eraBits) + 1 }

// write writes a row over a revision. A lost response leaves the lease as it was: if the write
// took effect, the next step finds that the row is this router's.
func (l *Lease) write(ctx context.Context, next row, at revision.Revision) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errs.Wrap(err, "encode lease", "")
	}
	started := l.options.Clock.Now()
	err = l.options.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: l.key(), Revision: at}},
		Puts:   []platform.Put{{Key: l.key(), Value: value}},
	})
	var conflict *platform.ConflictError
	if eris.As(err, &conflict) {
		return nil
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number, l.expires = next.Number, started.Add(l.options.TTL)
	return nil
}
