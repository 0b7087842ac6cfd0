// Package claim ensures that a request that may not be repeated runs at most once in the whole
// fleet.
//
// Before such a request is sent to a target, its Idempotency-Key is claimed with a row of the
// platform's table that is inserted only if absent. A router that finds the row reads the state of
// the first request from it. A claim is never taken over: a router that fails or pauses after
// claiming leaves the outcome unknown, which is safe. A request that ended without running
// releases its claim, so that the key can be used again.
//
// # Usage
//
//	s := claim.New(claim.Options{Table: client.Table(), Clock: clock})
//	defer s.Close()
//	claimed, earlier, err := s.Claim(ctx, claim.Key{Customer: 7, Text: key}, requestID)
//	switch {
//	case err != nil:        // not claimed: refuse, the request did not run
//	case earlier != nil:    // claimed by another request: return its state
//	default:                // run it, then
//		err = s.Finish(ctx, claimed, claim.Record{State: claim.Answered, Status: 200})
//	}
//
// # Restored tables
//
// The table may be restored from a backup that lacks its latest claims. Routers rewrite their
// claims of the last minute as soon as they notice (Recover, to be called often), and make no
// claims for some time after that, so that no request runs a second time because its claim was
// lost.
//
// # Batches
//
// Claims and records that arrive while a write is in progress are combined in the next one, so the
// table receives far fewer writes than requests.
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

// State is the state of a claimed request.
type State string

// The states.
const (
	// Running requests were claimed and have no outcome recorded. They may be running, or their
	// router failed.
	Running State = "running"
	// Answered requests ran; their response is recorded.
	Answered State = "answered"
	// NotRun requests did not run; the key may be claimed again.
	NotRun State = "not_run"
	// Unknown requests may have run.
	Unknown State = "unknown"
)

// Key identifies a request that may not be repeated.
type Key struct {
	// Customer is the customer's number; each customer has its own keys.
	Customer uint32
	// Text is the caller's Idempotency-Key.
	Text string
}

// row returns the key of the row, whose length is bounded whatever the caller sends.
func (k Key) row() string {
	sum := sha256.Sum256([]byte(k.Text))
	return fmt.Sprintf("claim/%d/%s", k.Customer, hex.EncodeToString(sum[:]))
}

// Record is the value of a claim's row.
type Record struct {
	// Request is the ID of the request that holds the claim. It is unique, so it also identifies
	// the writer of a row.
	Request string    `json:"request"`
	State   State     `json:"state"`
	At      time.Time `json:"at"`
	// Status, ContentType and Body are the response. Bodies larger than MaxBody are not stored.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyOmitted bool   `json:"body_lost,omitempty"`
}

// MaxBody is the size of the largest body that is stored, in bytes.
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
	table    platform.Table
	clock    clockwork.Clock
	batcher  *batcher
	recovery recovery
}

// New returns a store.
func New(o Options) *Store {
	return &Store{table: o.Table, clock: o.Clock, batcher: newBatcher(o.Table.Commit)}
}

// Close waits for the writes in progress.
func (s *Store) Close() {
	s.recovery.group.Wait() //nolint:errcheck // records that were not rewritten are lost
	s.batcher.close()
}

// maxClaimAttempts limits the retries of a claim after conflicts and lost responses.
const maxClaimAttempts = 5

// errRecovering means that the table was restored from a backup that may lack earlier claims.
var errRecovering = eris.Wrap(platform.ErrUnavailable, "routers are rewriting claims that the table lost")

// Claim claims a key for the request with the given ID, which must not have been used before. It
// returns either the claim or the earlier record. An error means that the key is not claimed as
// far as this router will ever know, so the request must not be run.
func (s *Store) Claim(ctx context.Context, k Key, request string) (*Claim, *Record, error) {
	if !s.Recover() {
		return nil, nil, errRecovering
	}
	era := s.table.Era()
	held, earlier, err := s.claim(ctx, k.row(), request)
	if held != nil && s.table.Era() != era {
		// The response has a new era: the restored table may lack an earlier claim of this key.
		err := s.Finish(ctx, held, Record{State: NotRun})
		s.Recover()
		return nil, nil, errors.Join(errRecovering, err)
	}
	return held, earlier, err
}

func (s *Store) claim(ctx context.Context, key, request string) (*Claim, *Record, error) {
	var at revision.Revision
	for range maxClaimAttempts {
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

// Finish records how a claimed request ended. An error means that the record may be missing; other
// requests with the key then find it running.
func (s *Store) Finish(ctx context.Context, held *Claim, rec Record) error {
	rec.Request = held.request
	if len(rec.Body) > MaxBody {
		rec.Body, rec.BodyOmitted = nil, true
	}
	for range maxFinishAttempts {
		row, current, err := s.read(ctx, held.key)
		switch {
		case eris.Is(err, platform.ErrNotFound):
			row.Revision = revision.Revision{} // the restored table lacks the row
		case err != nil:
			return err
		case current.Request != held.request:
			return errs.Wrap(&platform.ConflictError{Key: held.key}, "finish claim", "")
		case current.State == rec.State:
			return nil // the response to the write was lost
		}
		if err = s.write(ctx, held, row.Revision, rec); !platform.NeedsReread(err) {
			return err
		}
	}
	return errs.Wrap(platform.ErrUnknownOutcome, "finish claim", "")
}

// maxFinishAttempts limits the retries of a record after conflicts and lost responses.
const maxFinishAttempts = 3

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

// write writes a record over the given revision of the row, and remembers it.
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
