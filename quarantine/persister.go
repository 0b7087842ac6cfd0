package quarantine

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"zinccove.example/zinccove/errs"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/platform"
)

// Persister stores barred attributes in the platform's table, so that they stay barred when all
// routers lose their lists at once. The routers that recorded losses of one write it, and mark the
// row as cleared if it got a response; every router reads the rows once, when it starts.
//
// A row is named by the first byte of a fingerprint: there are never more than 256 rows, and
// none needs to be removed. A newer attribute replaces one with the same byte, which the running
// routers still have in their lists.
type Persister struct {
	List    *List
	Table   platform.Table
	Clock   clockwork.Clock
	Log     zerolog.Logger
	Metrics *metric.Metrics
}

// record is the value of a row.
type record struct {
	Fingerprint string `json:"fingerprint"`
	// Part reports that the attribute is a part of prompts.
	Part bool `json:"part,omitempty"`
	// Losses are empty once the attribute was cleared.
	Losses []Loss `json:"losses"`
	// LostUnixMs is when the last of the targets ended.
	LostUnixMs int64 `json:"lost_unix_ms"`
}

const (
	rowPrefix = "barred/"
	maxRows   = 256
	// retryInterval is the time between two attempts of a call.
	retryInterval = time.Second
)

// Run reads the barred requests, and then writes those that this router bars until ctx ends.
func (k *Persister) Run(ctx context.Context) error {
	if !k.try(ctx, k.load) {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-k.List.unsaved:
			if !k.try(ctx, func(ctx context.Context) error { return k.save(ctx, s) }) {
				return nil
			}
		}
	}
}

// try repeats a call until it succeeds. It reports false if ctx ended before that.
func (k *Persister) try(ctx context.Context, call func(context.Context) error) bool {
	for {
		err := call(ctx)
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		k.Metrics.Inc(metric.PlatformErrors)
		k.Log.Warn().Err(err).Msg("barred requests not read or written; trying again")
		select {
		case <-ctx.Done():
			return false
		case <-k.Clock.After(retryInterval):
		}
	}
}

// load reads all rows. Rows that cannot be decoded are skipped.
func (k *Persister) load(ctx context.Context) error {
	rows, err := k.Table.List(ctx, rowPrefix, maxRows, false)
	if err != nil {
		return errs.Wrap(err, "read barred requests", "")
	}
	now := k.Clock.Now()
	var suspects []*zinccovev1.Suspect
	for _, row := range rows {
		var r record
		if json.Unmarshal(row.Value, &r) == nil {
			suspects = append(suspects, r.suspect(now))
		}
	}
	for _, f := range k.List.Merge(suspects) {
		k.Log.Warn().Stringer("fingerprint", f).Msg("request barred by a row of the store")
	}
	return nil
}

func (r *record) suspect(now time.Time) *zinccovev1.Suspect {
	f, _ := hex.DecodeString(r.Fingerprint) //nolint:errcheck // Merge skips what is no fingerprint
	m := &zinccovev1.Suspect{Fingerprint: f, AgeMs: uint64(max(now.UnixMilli()-r.LostUnixMs, 0)), Part: r.Part}
	for _, loss := range r.Losses {
		m.Targets = append(m.Targets, uint32(loss.Target))
		m.Partial = append(m.Partial, loss.Partial)
		m.Customers = append(m.Customers, uint32(loss.Customer))
		m.AgesMs = append(m.AgesMs, uint32(ageMs(loss.At, now)))
	}
	return m
}

// save writes the row of an attribute, or marks it as cleared if it still is the one that the row
// holds.
func (k *Persister) save(ctx context.Context, s suspect) error {
	key := rowPrefix + hex.EncodeToString(s.fingerprint[:1])
	r := record{Fingerprint: s.fingerprint.String(), Part: s.part, Losses: s.losses, LostUnixMs: s.changed.UnixMilli()}
	if s.answered {
		rows, err := k.Table.List(ctx, key, 1, false)
		if err != nil {
			return errs.Wrap(err, "read barred request", "")
		}
		var written record
		if len(rows) == 0 || json.Unmarshal(rows[0].Value, &written) != nil || written.Fingerprint != r.Fingerprint {
			return nil
		}
		r.Losses = nil
	}
	value, err := json.Marshal(r)
	if err != nil {
		return errs.Wrap(err, "encode barred request", "")
	}
	return errs.Wrap(k.Table.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}}), "write barred request", "")
}
