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
	// againTime is the time that all routers get to write their claims again: some of
	// their looks at the table, and the writes.
	againTime = 2 * time.Second
	// mostRecent bounds the claims that are remembered to be written again; each takes
	// as much as its answer.
	mostRecent = 512
)

// lost is what the table may lose: the latest records of this router.
type lost struct {
	group errgroup.Group

	mu sync.Mutex
	// era is that of the table. Claims are refused until closed after a new one.
	era    uint64
	closed time.Time
	recent []recent
	// again are the records that are to be written again, writing is set while that is
	// under way.
	again   []recent
	writing bool
}

// recent is a record and when it was written.
type recent struct {
	held Claim
	rec  Record
	at   time.Time
}

// remember keeps a record that was written, in place of an earlier one of its key.
func (s *Store) remember(h Claim, rec Record) {
	l := &s.lost
	now := s.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.recent[:0]
	for _, r := range l.recent {
		if r.held != h && now.Sub(r.at) < revision.MaxBackupAge {
			kept = append(kept, r)
		}
	}
	if len(kept) >= mostRecent {
		kept = kept[1:]
	}
	l.recent = append(kept, recent{held: h, rec: rec, at: now})
}

// Recover reports whether claims may be made. After the table came back from a copy it
// writes this router's latest claims again, and claims are refused until others had time to.
func (s *Store) Recover() bool {
	l := &s.lost
	now, era := s.clock.Now(), s.table.Era()
	l.mu.Lock()
	defer l.mu.Unlock()
	if era > l.era {
		l.era, l.closed = era, now.Add(againTime)
		l.again = slices.Clone(l.recent)
	}
	open := !now.Before(l.closed)
	if len(l.again) > 0 && !l.writing && !open {
		l.writing = true
		l.group.Go(s.writeAgain)
	}
	return open
}

// writeAgain writes records that the table lost, or that it holds as they were before. What
// could not be written is left to the next look.
func (s *Store) writeAgain() error {
	l := &s.lost
	l.mu.Lock()
	all := l.again
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), againTime)
	defer cancel()
	left := make([]bool, len(all))
	var g errgroup.Group
	g.SetLimit(maxBatch)
	for i, r := range all {
		g.Go(func() error {
			left[i] = !s.writeOne(ctx, r)
			return nil
		})
	}
	err := g.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.again, l.writing = nil, false
	for i, r := range all {
		if left[i] {
			l.again = append(l.again, r)
		}
	}
	return err
}

// follows reports whether the record comes after one that the table holds: the same call
// running, or another one that gave the key back. All else is as new, or another router's.
func (r *recent) follows(now *Record) bool {
	if now.Request != r.held.request {
		return now.State == NotRun && r.rec.State != NotRun
	}
	return now.State == Running && r.rec.State != Running
}

// writeOne writes one record if the table lacks it, and reports whether it has it now. A
// claim of another router that learned of the new era with it is given back soon.
func (s *Store) writeOne(ctx context.Context, r recent) bool {
	row, now, err := s.read(ctx, r.held.key)
	switch {
	case eris.Is(err, platform.ErrNotFound):
		row.Revision = revision.Revision{}
	case err != nil:
		return false
	case !r.follows(now):
		return now.Request == r.held.request || now.State != Running
	}
	return s.write(ctx, &r.held, row.Revision, r.rec) == nil
}
