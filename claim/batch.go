package claim

import (
	"context"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"zinccove.example/zinccove/platform"
)

// maxBatch is the maximum number of writes in one transaction.
const maxBatch = 64

// write is a row to be written if it is at the checked revision.
type write struct {
	check platform.Check
	put   platform.Put
}

// pending is a write that waits for its result.
type pending struct {
	write  write
	result chan error
}

// batcher combines the writes that arrive while a transaction is in progress into the next one.
type batcher struct {
	commit func(context.Context, platform.Txn) error
	queue  chan pending
	group  errgroup.Group
}

func newBatcher(commit func(context.Context, platform.Txn) error) *batcher {
	b := &batcher{commit: commit, queue: make(chan pending, maxBatch)}
	b.group.Go(b.run)
	return b
}

// close waits for the writes in progress. No write may start after it.
func (b *batcher) close() {
	close(b.queue)
	b.group.Wait() //nolint:errcheck // the goroutine returns no error
}

// write returns the result of a write: nil, a *platform.ConflictError,
// platform.ErrUnavailable or platform.ErrUnknownOutcome. A write whose context
// ends first has an unknown outcome.
func (b *batcher) write(ctx context.Context, w write) error {
	p := pending{write: w, result: make(chan error, 1)}
	select {
	case b.queue <- p:
	case <-ctx.Done():
		return eris.Wrap(platform.ErrUnavailable, "context ended before the claim was sent")
	}
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
		return eris.Wrap(platform.ErrUnknownOutcome, "context ended before the response to the claim")
	}
}

func (b *batcher) run() error {
	for first := range b.queue {
		b.send(b.collect(first))
	}
	return nil
}

// collect returns the pending writes, at most one for each row.
func (b *batcher) collect(first pending) []pending {
	batch := []pending{first}
	rows := map[string]bool{first.write.put.Key: true}
	for len(batch) < maxBatch {
		select {
		case p, ok := <-b.queue:
			if !ok {
				return batch
			}
			if rows[p.write.put.Key] {
				p.result <- &platform.ConflictError{Key: p.write.put.Key}
				continue
			}
			rows[p.write.put.Key] = true
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// send commits a batch within the table client's own timeout, independent of the contexts of its
// writes. A conflict concerns one row; that write gets the conflict as its result and the others
// are sent again.
func (b *batcher) send(batch []pending) {
	for len(batch) > 0 {
		var t platform.Txn
		for _, p := range batch {
			t.Checks = append(t.Checks, p.write.check)
			t.Puts = append(t.Puts, p.write.put)
		}
		err := b.commit(context.Background(), t)
		var conflict *platform.ConflictError
		if !eris.As(err, &conflict) {
			resolve(batch, err)
			return
		}
		rest := withoutRow(batch, conflict)
		if len(rest) == len(batch) {
			resolve(batch, err)
			return
		}
		batch = rest
	}
}

func resolve(batch []pending, err error) {
	for _, p := range batch {
		p.result <- err
	}
}

func withoutRow(batch []pending, conflict *platform.ConflictError) []pending {
	rest := batch[:0]
	for _, p := range batch {
		if p.write.put.Key == conflict.Key {
			p.result <- conflict
			continue
		}
		rest = append(rest, p)
	}
	return rest
}
