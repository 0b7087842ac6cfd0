// Package intent turns operators' intents into plans and confirmed plans into
// versions of the configuration.
//
// All state is in the platform's table: the head of the configuration, one row
// for each plan and one audit row for each version. Bodies of versions are
// objects named by their digest. A confirmation updates the head, marks the
// plan as confirmed and writes the audit row in one transaction, so that none
// of these changes exists without the others.
//
// # Usage
//
//	s := intent.New(intent.Options{Table: client.Table(), Clock: clock})
//	plan, err := s.Plan(ctx, "anna", changes)
//	version, err := s.Confirm(ctx, "anna", plan.ID)
//
// # Races and lost responses
//
// A plan whose base is no longer the head is applied to the head if the
// versions in between changed other objects; otherwise Confirm returns a
// *ConflictError that names the other plan. Confirm is idempotent: a caller
// that does not know whether a confirmation took effect reads the plan's row,
// which Confirm itself does when the platform's response is lost.
package intent

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/revision"
)

// State is the state of a plan.
type State string

// The states of a plan. Confirmed and discarded plans do not change again.
const (
	Proposed  State = "proposed"
	Confirmed State = "confirmed"
	Discarded State = "discarded"
	Expired   State = "expired"
)

// Plan is a proposed change of the configuration.
type Plan struct {
	ID          string          `json:"id"`
	Operator    string          `json:"operator"`
	BaseVersion uint64          `json:"base_version"`
	Changes     []config.Change `json:"changes"`
	// Differences and Consequences are texts for operators, one per line,
	// computed against the base version.
	Differences  []string  `json:"differences"`
	Consequences []string  `json:"consequences"`
	State        State     `json:"state"`
	Expires      time.Time `json:"expires"`
	// Version is the version that a confirmed plan created.
	Version uint64 `json:"version,omitempty"`
}

// Audit is the record of one accepted version.
type Audit struct {
	Version     uint64    `json:"version"`
	FromVersion uint64    `json:"from_version"`
	Operator    string    `json:"operator"`
	Plan        string    `json:"plan"`
	At          time.Time `json:"at"`
	Differences []string  `json:"differences"`
	// Objects are the objects that the version changed.
	Objects []config.Object `json:"objects"`
	// Changes are the changes from the previous version to this one.
	Changes []config.Change `json:"changes"`
	Digest  string          `json:"digest"`
}

// Head identifies the configuration in force.
type Head struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// Errors that callers match with errors.Is.
var (
	// ErrNoPlan means that there is no plan with the id.
	ErrNoPlan = eris.New("no such plan")
	// ErrNotProposed means that the plan was discarded or has expired.
	ErrNotProposed = eris.New("plan is not open")
	// ErrContended means that each attempt conflicted with another transaction.
	ErrContended = eris.New("too many concurrent changes")
)

// ConflictError means that another plan changed the same object first.
type ConflictError struct {
	Object   config.Object
	Plan     string
	Operator string
	Version  uint64
}

// Error names the object and the plan that changed it.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed by plan %s of %s in version %d", e.Object, e.Plan, e.Operator, e.Version)
}

// Keys of the table.
const (
	headKey     = "config/head"
	planPrefix  = "plan/"
	auditPrefix = "audit/"
)

func auditKey(version uint64) string { return fmt.Sprintf("%s%020d", auditPrefix, version) }

func objectName(digest string) string { return "config-" + digest }

// planLifetime is the time after which a proposed plan expires.
const planLifetime = 24 * time.Hour

// maxConfirmAttempts bounds the attempts of a confirmation or discard that
// conflict with other transactions.
const maxConfirmAttempts = 16

// Options configure a store. All are required.
type Options struct {
	Table platform.Table
	Clock clockwork.Clock
}

// Store reads and writes plans, versions and audit rows. It keeps no state and
// is safe for concurrent use, by several routers at once.
type Store struct {
	table platform.Table
	clock clockwork.Clock
}

// New returns a store.
func New(o Options) *Store { return &Store{table: o.Table, clock: o.Clock} }

// headRow is the head with the revision of its row, for the checks of
// transactions.
type headRow struct {
	Head
	revision revision.Revision
}

func (s *Store) head(ctx context.Context) (headRow, error) {
	row, err := s.table.Get(ctx, headKey)
	if eris.Is(err, platform.ErrNotFound) {
		return headRow{revision: row.Revision}, nil
	}
	if err != nil {
		return headRow{}, err
	}
	h := headRow{revision: row.Revision}
	err = json.Unmarshal(row.Value, &h.Head)
	return h, errs.Wrap(err, "decode head", "")
}

// Head returns the head; its version is 0 if there is no configuration yet.
func (s *Store) Head(ctx context.Context) (Head, error) {
	h, err := s.head(ctx)
	return h.Head, err
}

// Version returns the configuration of an accepted version. If the version does
// not exist, the error is platform.ErrNotFound.
func (s *Store) Version(ctx context.Context, version uint64) (*config.Config, error) {
	if version == 0 {
		return new(config.Config), nil
	}
	a, err := s.audit(ctx, version)
	if err != nil {
		return nil, err
	}
	return s.config(ctx, Head{Version: version, Digest: a.Digest})
}

// Rollback stores a plan that restores the objects of an earlier version. Once
// confirmed, the plan creates a new version; until then nothing in force changes.
func (s *Store) Rollback(ctx context.Context, operator string, version uint64) (Plan, error) {
	old, err := s.Version(ctx, version)
	if err != nil {
		return Plan{}, err
	}
	cur, err := s.current(ctx)
	if err != nil {
		return Plan{}, err
	}
	return s.planFrom(ctx, operator, cur, config.ChangesTo(cur, old))
}

// maxAppliedVersions bounds the versions whose changes Advance applies; if
// there are more, the complete configuration is fetched.
const maxAppliedVersions = 8

// Advance returns the configuration that a head names. It applies the changes
// between to an earlier configuration, because they are far smaller than the
// complete configuration. It fetches the complete configuration if there are
// too many versions in between, or no earlier configuration.
func (s *Store) Advance(ctx context.Context, from *config.Config, h Head) (*config.Config, error) {
	if from == nil || h.Version > from.Version+maxAppliedVersions {
		return s.config(ctx, h)
	}
	cfg := from
	for v := from.Version + 1; v <= h.Version; v++ {
		a, err := s.audit(ctx, v)
		if eris.Is(err, platform.ErrNotFound) {
			return s.config(ctx, h) // the row is missing after the table was restored from a backup
		}
		if err != nil {
			return nil, err
		}
		if cfg, err = cfg.Apply(a.Changes); err != nil {
			return nil, errs.Wrap(err, "apply changes of a version", "")
		}
	}
	if _, digest := cfg.Encode(); digest != h.Digest {
		return s.config(ctx, h)
	}
	return cfg, nil
}

// audit reads the audit row of a version.
func (s *Store) audit(ctx context.Context, version uint64) (Audit, error) {
	var a Audit
	row, err := s.table.Get(ctx, auditKey(version))
	if err != nil {
		return a, err
	}
	err = json.Unmarshal(row.Value, &a)
	return a, errs.Wrap(err, "decode audit row", "")
}

// Body returns the encoded configuration that a head names.
func (s *Store) Body(ctx context.Context, h Head) ([]byte, error) {
	return s.table.Object(ctx, objectName(h.Digest))
}

func (s *Store) config(ctx context.Context, h Head) (*config.Config, error) {
	if h.Version == 0 {
		return new(config.Config), nil
	}
	body, err := s.Body(ctx, h)
	if err != nil {
		return nil, err
	}
	cfg, err := config.Decode(body, h.Digest)
	return cfg, errs.Wrap(err, "decode configuration", "")
}

// Plan validates changes against the configuration in force and stores a plan.
// The error is a *config.InvalidError or one of the errors of package platform.
func (s *Store) Plan(ctx context.Context, operator string, changes []config.Change) (Plan, error) {
	cur, err := s.current(ctx)
	if err != nil {
		return Plan{}, err
	}
	return s.planFrom(ctx, operator, cur, changes)
}

// current returns the configuration in force.
func (s *Store) current(ctx context.Context) (*config.Config, error) {
	h, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	return s.config(ctx, h)
}

// planFrom stores a plan of changes to cur.
func (s *Store) planFrom(ctx context.Context, operator string, cur *config.Config, changes []config.Change) (Plan, error) {
	next, err := cur.Apply(changes)
	if err != nil {
		return Plan{}, err
	}
	p := Plan{
		ID:           uuid.NewString(),
		Operator:     operator,
		BaseVersion:  cur.Version,
		Changes:      changes,
		Differences:  differenceTexts(config.Diff(cur, next)),
		Consequences: config.Consequences(cur, next),
		State:        Proposed,
		Expires:      s.clock.Now().Add(planLifetime),
	}
	return p, s.createPlan(ctx, p)
}

func differenceTexts(ds []config.Difference) []string {
	lines := make([]string, len(ds))
	for i, d := range ds {
		lines[i] = d.Text
	}
	return lines
}

func differenceObjects(ds []config.Difference) []config.Object {
	os := make([]config.Object, len(ds))
	for i, d := range ds {
		os[i] = d.Object
	}
	return os
}

// createPlan stores a new plan. If the platform's response is lost, it reads
// the row to find out whether the plan was stored; the id is unique to the writer.
func (s *Store) createPlan(ctx context.Context, p Plan) error {
	key := planPrefix + p.ID
	put, err := putJSON(key, p)
	if err != nil {
		return err
	}
	err = s.table.Commit(ctx, platform.Txn{Checks: []platform.Check{{Key: key}}, Puts: []platform.Put{put}})
	if eris.Is(err, platform.ErrUnknownOutcome) {
		_, _, err = s.plan(ctx, p.ID)
	}
	return err
}

func putJSON(key string, v any) (platform.Put, error) {
	value, err := json.Marshal(v)
	return platform.Put{Key: key, Value: value}, errs.Wrap(err, "encode row "+key, "")
}

func (s *Store) plan(ctx context.Context, id string) (Plan, revision.Revision, error) {
	row, err := s.table.Get(ctx, planPrefix+id)
	if eris.Is(err, platform.ErrNotFound) {
		return Plan{}, revision.Revision{}, ErrNoPlan
	}
	if err != nil {
		return Plan{}, revision.Revision{}, err
	}
	var p Plan
	if err := json.Unmarshal(row.Value, &p); err != nil {
		return Plan{}, revision.Revision{}, errs.Wrap(err, "decode plan", "")
	}
	if p.State == Proposed && s.clock.Now().After(p.Expires) {
		p.State = Expired
	}
	return p, row.Revision, nil
}

// ReadPlan reads a plan.
func (s *Store) ReadPlan(ctx context.Context, id string) (Plan, error) {
	p, _, err := s.plan(ctx, id)
	return p, err
}

// Discard discards a plan. Discarding a discarded plan is not an error.
func (s *Store) Discard(ctx context.Context, id string) error {
	for range maxConfirmAttempts {
		p, planRevision, err := s.plan(ctx, id)
		if err != nil {
			return err
		}
		if p.State == Discarded {
			return nil
		}
		if p.State != Proposed {
			return ErrNotProposed
		}
		p.State = Discarded
		put, err := putJSON(planPrefix+id, p)
		if err != nil {
			return err
		}
		err = s.table.Commit(ctx, platform.Txn{
			Checks: []platform.Check{{Key: put.Key, Revision: planRevision}},
			Puts:   []platform.Put{put},
		})
		if !platform.NeedsReread(err) {
			return err
		}
	}
	return ErrContended
}

// Confirm puts a plan in force and returns the version that it created.
// Confirming a confirmed plan returns that version again. The error is
// ErrNoPlan, ErrNotProposed, ErrContended, a *ConflictError, a
// *config.InvalidError or one of the errors of package platform.
func (s *Store) Confirm(ctx context.Context, operator, id string) (uint64, error) {
	for range maxConfirmAttempts {
		p, planRevision, err := s.plan(ctx, id)
		switch {
		case err != nil:
			return 0, err
		case p.State == Confirmed:
			return p.Version, nil
		case p.State != Proposed:
			return 0, ErrNotProposed
		}
		err = s.confirm(ctx, operator, p, planRevision)
		if !platform.NeedsReread(err) && err != nil {
			return 0, err
		}
	}
	return 0, ErrContended
}

// confirm makes one attempt. The caller reads the plan to find out whether it
// succeeded.
func (s *Store) confirm(ctx context.Context, operator string, p Plan, planRevision revision.Revision) error {
	h, err := s.head(ctx)
	if err != nil {
		return err
	}
	if err := s.checkOverlap(ctx, p, h.Version); err != nil {
		return err
	}
	cur, err := s.config(ctx, h.Head)
	if err != nil {
		return err
	}
	next, err := cur.Apply(p.Changes)
	if err != nil {
		return err
	}
	body, digest := next.Encode()
	if err := s.table.PutObject(ctx, objectName(digest), body); err != nil {
		return err
	}
	ds := config.Diff(cur, next)
	p.State, p.Version = Confirmed, next.Version
	return s.commit(ctx, commit{
		head:         headRow{Head: Head{Version: next.Version, Digest: digest}, revision: h.revision},
		plan:         p,
		planRevision: planRevision,
		audit: Audit{Version: next.Version, FromVersion: cur.Version, Operator: operator, Plan: p.ID,
			At: s.clock.Now(), Differences: differenceTexts(ds), Objects: differenceObjects(ds), Changes: p.Changes, Digest: digest},
	})
}

// commit is the transaction that puts a plan in force.
type commit struct {
	head         headRow
	plan         Plan
	planRevision revision.Revision
	audit        Audit
}

func (s *Store) commit(ctx context.Context, c commit) error {
	t := platform.Txn{Checks: []platform.Check{
		{Key: headKey, Revision: c.head.revision},
		{Key: planPrefix + c.plan.ID, Revision: c.planRevision},
		{Key: auditKey(c.audit.Version)},
	}}
	rows := []struct {
		key   string
		value any
	}{{headKey, c.head.Head}, {planPrefix + c.plan.ID, c.plan}, {auditKey(c.audit.Version), c.audit}}
	for _, r := range rows {
		put, err := putJSON(r.key, r.value)
		if err != nil {
			return err
		}
		t.Puts = append(t.Puts, put)
	}
	return s.table.Commit(ctx, t)
}

// checkOverlap returns a *ConflictError if a version after the plan's base
// changed an object that the plan changes.
func (s *Store) checkOverlap(ctx context.Context, p Plan, headVersion uint64) error {
	for v := p.BaseVersion + 1; v <= headVersion; v++ {
		a, err := s.audit(ctx, v)
		if err != nil && !eris.Is(err, platform.ErrNotFound) {
			return err
		}
		// If the row is missing after the table was restored from a backup, what the
		// version changed is unknown.
		unknown := err != nil || a.Operator == restoreOperator
		for i := range p.Changes {
			if o := p.Changes[i].Object(); unknown || slices.Contains(a.Objects, o) {
				return &ConflictError{Object: o, Plan: a.Plan, Operator: a.Operator, Version: v}
			}
		}
	}
	return nil
}

// Audits returns up to limit accepted changes, newest first.
func (s *Store) Audits(ctx context.Context, limit int) ([]Audit, error) {
	rows, err := s.table.List(ctx, auditPrefix, limit, true)
	if err != nil {
		return nil, err
	}
	audits := make([]Audit, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &audits[i]); err != nil {
			return nil, errs.Wrap(err, "decode audit row", "")
		}
	}
	return audits, nil
}
