package intent

import (
	"context"
	"fmt"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/platform"
)

// restoreOperator is the operator named in the audit trail for versions that were written again.
const restoreOperator = "(restored)"

// Restore writes the configuration that is in force on a router again, after the table was
// restored from a backup that lacks it: the accepted version must never decrease, and the next
// plan must not create the same version a second time. The audit rows of the versions in between
// are lost; the audit row that Restore writes states this. It does nothing if the table has a
// version at least as new, or was never restored from a backup. The error is one of the errors of
// package platform; a *platform.ConflictError means that another router was first.
func (s *Store) Restore(ctx context.Context, cfg *config.Config) error {
	h, err := s.head(ctx)
	if err != nil || h.Version >= cfg.Version || h.revision.Era == 0 {
		return err
	}
	body, digest := cfg.Encode()
	if err := s.table.PutObject(ctx, objectName(digest), body); err != nil {
		return err
	}
	audit := Audit{
		Version: cfg.Version, FromVersion: h.Version, Operator: restoreOperator, At: s.clock.Now(), Digest: digest,
		Differences: []string{fmt.Sprintf("the table lost versions %d to %d; version %d was written again by a router", h.Version+1, cfg.Version, cfg.Version)},
	}
	t := platform.Txn{Checks: []platform.Check{{Key: headKey, Revision: h.revision}, {Key: auditKey(cfg.Version)}}}
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
