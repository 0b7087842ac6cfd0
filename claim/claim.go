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
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/platform"
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
	BodyLost    bool   `json:"body_lost,omitempty"`
}

// MaxBody is the largest answer that is kept, in bytes.
const MaxBody = 16 << 10

// Held is a claim that this router holds.
type Held struct {
	key     string
	request string
	// row is the version of the row that this claim wrote.
	row uint64
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
}

// New returns a store.
func New(o Options) *Store {
	return &Store{table: o.Table, clock: o.Clock, batcher: newBatcher(o.Table.Commit)}
}

// Close waits for the writes under way.
func (s *Store) Close() { s.batcher.close() }

// claimTries bounds how often a claim meets others or lost answers.
const claimTries = 5

// Claim claims a key for the request with the given id, which must not have
// been used before. It returns either the held claim or the earlier record.
// An error means that nothing is claimed as far as this router will ever
// know, so the request must not be run.
func (s *Store) Claim(ctx context.Context, k Key, request string) (*Held, *Record, error) {
	key := k.row()
	version := uint64(0)
	for range claimTries {
		held := &Held{key: key, request: request, row: version + 1}
		err := s.write(ctx, held, version, Record{Request: request, State: Running})
		if err == nil {
			return held, nil, nil
		}
		if !platform.Undecided(err) {
			return nil, nil, err
		}
		row, rec, rerr := s.read(ctx, key)
		switch {
		case eris.Is(rerr, platform.ErrNotFound):
			version = 0
		case rerr != nil:
			return nil, nil, rerr
		case rec.Request == request:
			return &Held{key: key, request: request, row: row.Version}, nil, nil
		case rec.State == NotRun:
			version = row.Version
		default:
			return nil, rec, nil
		}
	}
	return nil, nil, errs.Wrap(platform.ErrUnavailable, "claim", "")
}

// Settle records how a claimed request ended. An error means that the record
// may be missing; others that use the key are then told that it is running.
func (s *Store) Settle(ctx context.Context, held *Held, rec Record) error {
	rec.Request = held.request
	if len(rec.Body) > MaxBody {
		rec.Body, rec.BodyLost = nil, true
	}
	err := s.write(ctx, held, held.row, rec)
	if !eris.Is(err, platform.ErrUnknownOutcome) {
		return err
	}
	_, now, err := s.read(ctx, held.key)
	if err != nil || now.State == rec.State {
		return err
	}
	return s.write(ctx, held, held.row, rec)
}

// Look returns the record of a key; a missing one is platform.ErrNotFound.
func (s *Store) Look(ctx context.Context, k Key) (*Record, error) {
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

// write puts a record over the given version of the row.
func (s *Store) write(ctx context.Context, held *Held, version uint64, rec Record) error {
	rec.At = s.clock.Now()
	value, err := json.Marshal(rec)
	if err != nil {
		return errs.Wrap(err, "encode claim", "")
	}
	return s.batcher.write(ctx, write{
		check: platform.Check{Key: held.key, Version: version},
		put:   platform.Put{Key: held.key, Value: value},
	})
}
