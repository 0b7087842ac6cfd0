package intent

import (
	"context"
	"fmt"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/platform"
)

// restorer is the operator named in the audit trail for versions that were written again.
const restorer = "(restored)"

// Restore writes the configuration that is in force on a router again, after the table came
// back from a copy that lacks it: an accepted configuration never goes back, and the next
// plan must not make its version a second time. The audit rows of the versions between are
// lost; the one that is written says so. It does nothing while the table has a version as
// new, or never came back from a copy. The error is one of package platform; a
// *platform.ConflictError means that somebody else was first.
func (s *Store) Restore(ctx context.Context, cfg *config.Config) error {
	h, err := s.head(ctx)
	if err != nil || h.Version >= cfg.Version || h.row.Era == 0 {
		return err
	}
	body, digest := cfg.Encode()
	if err := s.table.PutObject(ctx, objectName(digest), body); err != nil {
		return err
	}
	audit := Audit{
		Version: cfg.Version, FromVersion: h.Version, Operator: restorer, At: s.clock.Now(), Digest: digest,
		Differences: []string{fmt.Sprintf("the table lost versions %d to %d; version %d was written again by a router", h.Version+1, cfg.Version, cfg.Version)},
	}
	t := platform.Txn{Checks: []platform.Check{{Key: headKey, Revision: h.row}, {Key: auditKey(cfg.Version)}}}
	for _, r := range []struct {
		key   string
		value any
	}{{headKey, Head{Version: cfg.Version, Digest: digest}}, {auditKey(cfg.Version), audit}} {
		put, err := putJSON(r.key, r.value)
		if err != nil {
			return err
		}
		t.Puts = append(t.Puts, put)
	}
	return s.table.Commit(ctx, t)
}
