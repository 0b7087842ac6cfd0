package cachefeed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// follower follows one target.
type follower struct {
	options *Options
	target  Target
	source  Source

	position position
	backoff  time.Duration
	// listDue is the earliest time of the next list.
	listDue time.Time
}

// run follows the target until ctx ends.
func (f *follower) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { f.close() })
	defer stop()
	f.listDue = f.options.Clock.Now().Add(rand.N(listSpread))
	for ctx.Err() == nil {
		start := f.options.Clock.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			break
		}
		f.sleep(ctx, f.delay(err, f.options.Clock.Since(start)))
	}
}

func (f *follower) close() {
	if err := f.source.Close(); err != nil {
		f.failed(err)
	}
}

func (f *follower) failed(err error) {
	if f.options.Failed != nil {
		f.options.Failed(f.target, err)
	}
}

// step reads the next events, or the list if events were lost. Until the list is due nothing is
// read: events without it tell nothing.
func (f *follower) step(ctx context.Context) error {
	if f.position.needsList {
		return f.list(ctx)
	}
	e, err := f.source.Events(f.position.since, hold)
	if err != nil {
		return err
	}
	if change, ok := f.position.advance(e); ok {
		f.apply(ctx, change)
	}
	return nil
}

// apply passes a change on, unless the target is no longer followed.
func (f *follower) apply(ctx context.Context, c Change) {
	if ctx.Err() == nil {
		c.Target = f.target.ID
		f.options.Apply(c)
	}
}

// mayList reports whether the list may be read now.
func (f *follower) mayList() bool {
	if f.options.Clock.Now().Before(f.listDue) {
		return false
	}
	return f.options.Busy == nil || !f.options.Busy(f.target)
}

func (f *follower) list(ctx context.Context) error {
	if !f.mayList() {
		return nil
	}
	f.listDue = f.options.Clock.Now().Add(listInterval)
	l, err := f.source.List()
	if err != nil {
		return err
	}
	f.apply(ctx, f.position.adopt(l))
	return nil
}

// delay returns the time until the next call after one that took a time.
func (f *follower) delay(err error, took time.Duration) time.Duration {
	if err == nil {
		f.backoff = 0
		return max(minInterval-took, 0)
	}
	f.failed(err)
	mean := fullBackoff
	if !eris.Is(err, ErrTooManyCalls) {
		f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
		mean = f.backoff
	}
	return mean/2 + rand.N(mean)
}

func (f *follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.options.Clock.After(d):
	}
}
