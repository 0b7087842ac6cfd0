package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/revision"
)

const (
	// recoveryTime is the time that all routers get to rewrite their claims: a few of their calls
	// to Recover, and the writes.
	recoveryTime = 2 * time.Second
	// maxRecent limits the number of claims that are kept in memory to be rewritten; each takes as
	// much memory as its response.
	maxRecent = 512
)

// recovery holds the latest records of this router, which a restored table may lack.
type recovery struct {
	group errgroup.Group

	mu sync.Mutex
	// era is the known era of the table. After a new one claims are refused until refuseUntil.
	era         uint64
	refuseUntil time.Time
	recent      []recent
	// rewrites are the records to be rewritten, rewriting is set while that is in progress.
	rewrites  []recent
	rewriting bool
}

// recent is a record and when it was written.
type recent struct {
	held Claim
	rec  Record
	at   time.Time
}

// remember stores a record that was written, replacing an earlier one of its claim.
func (s *Store) remember(h Claim, rec Record) {
	l := &s.recovery
	now := s.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.recent[:0]
	for _, r := range l.recent {
		if r.held != h && now.Sub(r.at) < revision.MaxBackupAge {
			kept = append(kept, r)
		}
	}
	if len(kept) >= maxRecent {
		kept = kept[1:]
	}
	l.recent = append(kept, recent{held: h, rec: rec, at: now})
}

// Recover reports whether claims may be made. After the table was restored from a backup it
// rewrites this router's latest claims, and claims are refused until other routers had time to.
func (s *Store) Recover() bool {
	l := &s.recovery
	now, era := s.clock.Now(), s.table.Era()
	l.mu.Lock()
	defer l.mu.Unlock()
	if era > l.era {
		l.era, l.refuseUntil = era, now.Add(recoveryTime)
		l.rewrites = slices.Clone(l.recent)
	}
	open := !now.Before(l.refuseUntil)
	if len(l.rewrites) > 0 && !l.rewriting && !open {
		l.rewriting = true
		l.group.Go(s.rewriteAll)
	}
	return open
}

// rewriteAll writes records that the table lacks, or holds in an earlier state. Records that could
// not be written are left to the next call of Recover.
func (s *Store) rewriteAll() error {
	l := &s.recovery
	l.mu.Lock()
	records := l.rewrites
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTime)
	defer cancel()
	failed := make([]bool, len(records))
	var g errgroup.Group
	g.SetLimit(maxBatch)
	for i, r := range records {
		g.Go(func() error {
			failed[i] = !s.rewriteOne(ctx, r)
			return nil
		})
	}
	err := g.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rewrites, l.rewriting = nil, false
	for i, r := range records {
		if failed[i] {
			l.rewrites = append(l.rewrites, r)
		}
	}
	return err
}

// supersedes reports whether the record is later than the one in the table: that is of the same
// request while it was running, or of another one that released the key. All other records in the
// table are as new, or another router's.
func (r *recent) supersedes(current *Record) bool {
	if current.Request != r.held.request {
		return current.State == NotRun && r.rec.State != NotRun
	}
	return current.State == Running && r.rec.State != Running
}

// rewriteOne writes a record if the table lacks it, and reports whether the table has it now. A
// claim of another router that learned of the new era by that very write is released soon.
func (s *Store) rewriteOne(ctx context.Context, r recent) bool {
	row, current, err := s.read(ctx, r.held.key)
	switch {
	case eris.Is(err, platform.ErrNotFound):
		row.Revision = revision.Revision{}
	case err != nil:
		return false
	case !r.supersedes(current):
		return current.Request == r.held.request || current.State != Running
	}
	return s.write(ctx, &r.held, row.Revision, r.rec) == nil
}
