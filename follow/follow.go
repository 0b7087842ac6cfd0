// Package follow follows a table of the platform without polling it at intervals.
//
// The complete table is read once as a snapshot; from then on a feed request is held open until
// rows change. A failure is retried with exponential backoff. When the store no longer has the
// history since the last revision, a new snapshot is read.
//
// A store may accept a call and never respond to it, while its connections stay up and it responds
// to later calls. Such a call cannot be told apart from a feed without changes until its hold time
// has elapsed. The hold time therefore bounds how old the data of a follower can be, and
// Options.Hold should give each process of a fleet a different one, so that the first detects the
// failure early and can notify the others.
//
// # Usage
//
//	err := follow.Run(ctx, follow.Options[platform.Batch]{
//		Clock: clock, Snapshot: snapshot, Feed: feed, // calls of the client, bound to a table
//		Hold: func() time.Duration { return 2 * time.Second },
//		HistoryLost: func(err error) bool { return eris.Is(err, platform.ErrHistoryLost) },
//		OnSnapshot:  func(b platform.Batch) { ... }, // the complete table
//		OnChanges:   func(b platform.Batch) { ... }, // rows written or removed since
//		OnLost:      func(l follow.Loss) { ... }, OnRegained: func() { ... }, OnSuccess: func() { ... },
//	})
package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/revision"
)

// Options configure a follower of batches of type B. All but Full and BatchDelay are required.
type Options[B any] struct {
	Clock clockwork.Clock
	// Snapshot reads the complete table and returns its revision.
	Snapshot func(context.Context) (B, revision.Revision, error)
	// Feed waits for changes after a revision and returns the next revision.
	Feed func(ctx context.Context, since revision.Revision, wait time.Duration) (B, revision.Revision, error)
	// HistoryLost reports whether an error of Feed requires a new snapshot.
	HistoryLost func(error) bool
	// OnSnapshot is called with each snapshot, OnChanges with the changes after it.
	OnSnapshot func(B)
	OnChanges  func(B)
	// OnLost is called with the first of a series of failures, OnRegained with the
	// first success after it.
	OnLost     func(Loss)
	OnRegained func()
	// OnSuccess is called after each successful call.
	OnSuccess func()
	// Hold returns how long the next feed request is held open without changes.
	Hold func() time.Duration
	// Full reports whether a batch has the maximum size of a response, so that more changes may be
	// pending and are requested immediately; if nil, no batch counts as full.
	Full func(B) bool
	// BatchDelay returns the maximum time to wait after changes before requesting more, so that
	// changes in quick succession arrive in one response; if nil, more are requested immediately.
	// The actual wait is drawn from the last quarter of this time: otherwise all processes that
	// read the same change would send the next request at the same moment, and none would receive
	// changes if that moment is a bad one.
	BatchDelay func() time.Duration
}

// Loss is the first of a series of failures.
type Loss struct {
	Err error
	// Since is the revision that was followed from, zero before the table was read.
	Since revision.Revision
	// Waited is how long the failed call had been in progress, SinceResponse the time since the
	// last response; 0 if there was none.
	Waited        time.Duration
	SinceResponse time.Duration
}

const (
	// minBackoff is the mean delay after the first failure; it doubles up to maxBackoff, which
	// stays below the second within which targets that lost their entries write them again.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// errEarlierEra means that a snapshot is of an earlier era than the known revision: its source has
// not yet detected that the store was restored from a backup.
var errEarlierEra = eris.New("snapshot is of an earlier era of the store")

// Run follows until ctx ends. It returns nil; failures go to Options.OnLost.
func Run[B any](ctx context.Context, o Options[B]) error {
	f := follower[B]{options: o}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(ctx, err)
		}
	}
	return nil
}

// follower is the state of one Run.
type follower[B any] struct {
	options Options[B]
	// since is the revision followed from; known is set once the table was read.
	since revision.Revision
	known bool
	// lost is set from a failure to the next success; backoff is the mean delay after the last
	// failure.
	lost    bool
	backoff time.Duration
	// lastCall is when the last call was made, lastResponse when a call last succeeded.
	lastCall     time.Time
	lastResponse time.Time
}

// step reads a snapshot or waits for the next changes.
func (f *follower[B]) step(ctx context.Context) error {
	var (
		batch B
		since revision.Revision
		err   error
	)
	snapshot := !f.known
	f.lastCall = f.options.Clock.Now()
	if snapshot {
		batch, since, err = f.options.Snapshot(ctx)
	} else {
		batch, since, err = f.options.Feed(ctx, f.since, f.holdTime())
	}
	switch {
	case err != nil:
		return err
	case snapshot && since.OfEarlierEra(f.since):
		return errEarlierEra
	}
	f.succeeded()
	f.since, f.known = revision.Later(since, f.since), true
	if snapshot {
		f.options.OnSnapshot(batch)
		return nil
	}
	f.options.OnChanges(batch)
	if f.options.BatchDelay == nil || f.options.Full != nil && f.options.Full(batch) {
		return nil
	}
	f.sleep(ctx, batchDelay(f.options.BatchDelay()))
	return nil
}

// batchDelay draws the time to wait for further changes, which is at most the given one.
func batchDelay(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return limit - rand.N(limit/4+1)
}

// sleep waits for d, or until ctx ends.
func (f *follower[B]) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.options.Clock.After(d):
	}
}

// holdTime returns how long the next feed request is held open: zero after a failure, so that the
// end of an outage is detected immediately.
func (f *follower[B]) holdTime() time.Duration {
	if f.lost {
		return 0
	}
	return f.options.Hold()
}

func (f *follower[B]) succeeded() {
	f.backoff = 0
	f.lastResponse = f.options.Clock.Now()
	if f.lost {
		f.lost = false
		f.options.OnRegained()
	}
	f.options.OnSuccess()
}

func (f *follower[B]) failed(ctx context.Context, err error) {
	if f.options.HistoryLost(err) {
		f.known = false
		return
	}
	if !f.lost {
		f.lost = true
		f.options.OnLost(f.loss(err))
	}
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	f.sleep(ctx, f.backoff/2+rand.N(f.backoff))
}

// loss describes the failure of the last call.
func (f *follower[B]) loss(err error) Loss {
	now := f.options.Clock.Now()
	l := Loss{Err: err, Since: f.since, Waited: now.Sub(f.lastCall)}
	if !f.lastResponse.IsZero() {
		l.SinceResponse = now.Sub(f.lastResponse)
	}
	return l
}
