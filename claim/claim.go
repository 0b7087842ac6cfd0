// Package claim makes sure that a request that may not be repeated runs at
// most once in the whole fleet.
//
// Before such a request is sent to a target, its Idempotency-Key is claimed by
// a row of the platform's table that is inserted only if absent. Whoever finds
// the row learns what became of the first request. A claim is never taken
// over: a router that dies or pauses after claiming leaves the outcome
// unknown, which is safe. A request that ended without running gives its claim
// back, so that the key can be used again.
//
// # Usage
//
//	s := claim.New(claim.Options{Table: client.Table(), Clock: clock})
//	defer s.Close()
//	held, earlier, err := s.Claim(ctx, claim.Key{Customer: 7, Text: key}, requestID)
//	switch {
//	case err != nil:        // not claimed: refuse, the request did not run
//	case earlier != nil:    // somebody else's: tell what became of it
//	default:                // run it, then
//		err = s.Settle(ctx, held, claim.Record{State: claim.Answered, Status: 200})
//	}
//
// # A table that comes back from a copy
//
// The table may come back from a copy that lacks its latest claims. Routers write theirs of
// the last minute again as soon as they know (Renew, to be called often), and claim nothing
// for some time after that, so that no call runs a second time whose claim was lost.
//
// # Batches
//
// Claims and records that arrive while a write is under way go together into
// the next one, so the table sees far fewer writes than requests.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/revision"
)

// State is what is known of a claimed request.
type State string

// The states.
const (
	// Running requests were claimed; their end is not recorded. They may be
	// running, or their router died.
	Running State = "running"
	// Answered requests ran; their answer is recorded.
	Answered State = "answered"
	// NotRun requests did not run; the key may be claimed again.
	NotRun State = "not_run"
	// Unknown requests may have run.
	Unknown State = "unknown"
)

// Key names a request that may not be repeated.
type Key struct {
	// Customer is the customer's number; keys of customers do not meet.
	Customer uint32
	// Text is the caller's Idempotency-Key.
	Text string
}

// row returns the key of the table, which has a bounded length whatever the
// caller sends.
func (k Key) row() string {
	sum := sha256.Sum256([]byte(k.Text))
	return fmt.Sprintf("claim/%d/%s", k.Customer, hex.EncodeToString(sum[:]))
}

// Record is the value of a claim's row.
type Record struct {
	// Request is the id of the request that holds the claim. It is unique, so
	// it also tells whose write a row is.
	Request string    `json:"request"`
	State   State     `json:"state"`
	At      time.Time `json:"at"`
	// Status, ContentType and Body are the answer. Bodies over MaxBody are not
	// kept.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyOmitted bool   `json:"body_lost,omitempty"`
}

// MaxBody is the largest answer that is kept, in bytes.
const MaxBody = 16 << 10

// Claim is a claim that this router holds.
type Claim struct {
	key     string
	request string
}

// Options configure a store. All are required.
type Options struct {
	Table platform.Table
	Clock clockwork.Clock
}

// Store claims keys until Close. It is safe for concurrent use.
type Store struct {
	table   platform.Table
	clock   clockwork.Clock
	batcher *batcher
	lost    lost
}

// New returns a store.
func New(o Options) *Store {
	return &Store{table: o.Table, clock: o.Clock, batcher: newBatcher(o.Table.Commit)}
}

// Close waits for the writes under way.
func (s *Store) Close() {
	s.lost.group.Wait() //nolint:errcheck // what was not written again is lost
	s.batcher.close()
}

// claimTries bounds how often a claim meets others or lost answers.
const claimTries = 5

// errAgain means that the table came back from a copy which may lack earlier claims.
var errAgain = eris.Wrap(platform.ErrUnavailable, "routers are writing claims again that the table lost")

// Claim claims a key for the request with the given id, which must not have
// been used before. It returns either the held claim or the earlier record.
// An error means that nothing is claimed as far as this router will ever
// know, so the request must not be run.
func (s *Store) Claim(ctx context.Context, k Key, request string) (*Claim, *Record, error) {
	if !s.Recover() {
		return nil, nil, errAgain
	}
	era := s.table.Era()
	held, earlier, err := s.claim(ctx, k.row(), request)
	if held != nil && s.table.Era() != era {
		// The answer told of a new era: an earlier claim may have been lost with the last one.
		err := s.Finish(ctx, held, Record{State: NotRun})
		s.Recover()
		return nil, nil, errors.Join(errAgain, err)
	}
	return held, earlier, err
}

func (s *Store) claim(ctx context.Context, key, request string) (*Claim, *Record, error) {
	var at revision.Revision
	for range claimTries {
		held := &Claim{key: key, request: request}
		err := s.write(ctx, held, at, Record{Request: request, State: Running})
		if err == nil {
			return held, nil, nil
		}
		if !platform.NeedsReread(err) {
			return nil, nil, err
		}
		row, rec, rerr := s.read(ctx, key)
		switch {
		case eris.Is(rerr, platform.ErrNotFound):
			at = revision.Revision{}
		case rerr != nil:
			return nil, nil, rerr
		case rec.Request == request:
			return held, nil, nil
		case rec.State == NotRun:
			at = row.Revision
		default:
			return nil, rec, nil
		}
	}
	return nil, nil, errs.Wrap(platform.ErrUnavailable, "claim", "")
}

// Finish records how a claimed request ended. An error means that the record
// may be missing; others that use the key are then told that it is running.
func (s *Store) Finish(ctx context.Context, held *Claim, rec Record) error {
	rec.Request = held.request
	if len(rec.Body) > MaxBody {
		rec.Body, rec.BodyOmitted = nil, true
	}
	for range settleTries {
		row, now, err := s.read(ctx, held.key)
		switch {
		case eris.Is(err, platform.ErrNotFound):
			row.Revision = revision.Revision{} // lost by the table
		case err != nil:
			return err
		case now.Request != held.request:
			return errs.Wrap(&platform.ConflictError{Key: held.key}, "settle", "")
		case now.State == rec.State:
			return nil // the answer to the write was lost
		}
		if err = s.write(ctx, held, row.Revision, rec); !platform.NeedsReread(err) {
			return err
		}
	}
	return errs.Wrap(platform.ErrUnknownOutcome, "settle", "")
}

// settleTries bounds how often a record meets lost answers.
const settleTries = 3

// Get returns the record of a key; a missing one is platform.ErrNotFound.
func (s *Store) Get(ctx context.Context, k Key) (*Record, error) {
	_, rec, err := s.read(ctx, k.row())
	return rec, err
}

func (s *Store) read(ctx context.Context, key string) (platform.Row, *Record, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return row, nil, err
	}
	rec := new(Record)
	err = json.Unmarshal(row.Value, rec)
	return row, rec, errs.Wrap(err, "decode claim", "")
}

// write puts a record over the given revision of the row, and remembers it.
func (s *Store) write(ctx context.Context, held *Claim, at revision.Revision, rec Record) error {
	rec.At = s.clock.Now()
	value, err := json.Marshal(rec)
	if err != nil {
		return errs.Wrap(err, "encode claim", "")
	}
	err = s.batcher.write(ctx, write{
		check: platform.Check{Key: held.key, Revision: at},
		put:   platform.Put{Key: held.key, Value: value},
	})
	if err == nil {
		s.remember(*held, rec)
	}
	return err
}
