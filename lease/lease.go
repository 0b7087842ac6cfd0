// Package lease gives one router at a time the right to order targets about,
// with a fencing number that grows with each holder.
//
// The lease is a row of the platform's table. No clocks are compared between
// hosts: the holder trusts its own monotonic clock, counted from before it
// wrote the row; others take the lease only after they have watched the row
// unchanged for the whole time to live plus the longest flight of an order.
//
// # Usage
//
//	l := lease.New(lease.Options{Table: table, Clock: clock, Name: "orders/dc1", Holder: id, TTL: 6 * time.Second, Flight: time.Second})
//	err := l.Step(ctx)                  // again and again, well within the TTL
//	if number, ok := l.Held(); ok {     // right before each order
//		send(order, number)
//	}
//
// # Pauses
//
// A holder that was paused finds its lease run out by its own clock, however
// long it slept. An order that was already on its way is covered by Flight; an
// order that is delayed for longer is refused by targets that check the
// number. Targets that do not check can be set back by such an order until the
// present holder looks at them again; see package order.
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
	// Name is what the lease is for.
	Name string
	// Holder is unique to this run of this router.
	Holder string
	// TTL is how long a holder may act after it wrote the row.
	TTL time.Duration
	// OrderTimeout is the longest time that an order is under way.
	OrderTimeout time.Duration
}

// row is the value of the lease's row.
type row struct {
	Holder string `json:"holder"`
	// Number is the fencing number; it grows with each change of holder.
	Number uint64 `json:"number"`
}

// Lease is one router's side of a lease. It is safe for concurrent use.
type Lease struct {
	options Options

	mu sync.Mutex
	// number and until are this router's own claim; until is zero if it has
	// none.
	number uint64
	until  time.Time
	// seen is the revision of the row seen last and since when.
	seen  revision.Revision
	since time.Time
}

// New returns a lease that is not held.
func New(o Options) *Lease { return &Lease{options: o} }

func (l *Lease) key() string { return "lease/" + l.options.Name }

// Held returns the fencing number and whether the lease is held now. It must
// be asked right before each use.
func (l *Lease) Held() (number uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.number, l.options.Clock.Now().Before(l.until)
}

// Step renews a held lease, or takes a free one, or watches the holder. An
// error is one of package platform; the lease then runs out unless a later
// step succeeds.
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

// next decides what to write over a row, if anything. A store that came back from a copy
// may have lost the row, or that somebody else took the lease: one that is held is written
// again, and nobody takes another one before its holder had time to.
func (l *Lease) next(cur row, at revision.Revision) (row, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	if at != l.seen || l.since.IsZero() {
		l.seen, l.since = at, now
	}
	none, own := at.Count == 0, cur.Holder == l.options.Holder && at.Count > 0
	held := now.Before(l.until)
	expired := now.Sub(l.since) >= l.options.TTL+l.options.OrderTimeout
	switch {
	case held && (none || !own && cur.Number < l.number):
		return row{Holder: l.options.Holder, Number: l.number}, true
	case held && own:
		return cur, true
	case expired, (none || own) && at.Era == 0:
		// A lease that ran out, also one's own, gets a new number, so that orders
		// sent under the old one are refused.
		return row{Holder: l.options.Holder, Number: nextNumber(cur.Number, at.Era)}, true
	default:
		return row{}, false
	}
}

// eraBits is the number of bits of a fencing number below those of the store's era.
const eraBits = 32

// nextNumber is the fencing number after one that was read in an era. Numbers of an era
// are above all of earlier ones, which the store may have lost.
func nextNumber(number, era uint64) uint64 { return max(number, era<<eraBits) + 1 }

// write puts a row over a revision. A lost answer leaves the claim as it was:
// if the write took effect, the next step finds the row to be this router's.
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
	l.number, l.until = next.Number, started.Add(l.options.TTL)
	return nil
}
