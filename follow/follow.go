// Package follow keeps up with a table of the platform without polling it.
//
// The table is read whole once; from then on a feed is held open that answers
// when rows change. A failure is retried after a pause that grows. When the
// table does not know its history any more, it is read whole again.
//
// A store may take a call and never answer it, while its connections stay up and
// it answers later calls. Such a call cannot be told from a feed without news until
// the time is over for which it was to be held. This time is therefore the bound
// on how old the news of a follower can be, and Options.Hold should give each
// process of a fleet another one, so that the first finds out early and can tell
// the others.
//
// # Usage
//
//	err := follow.Run(ctx, follow.Options[platform.Batch]{
//		Clock: clock, Snapshot: snapshot, Feed: feed, // calls of the client, bound to a table
//		Hold: func() time.Duration { return 2 * time.Second },
//		HistoryLost: func(err error) bool { return eris.Is(err, platform.ErrHistoryLost) },
//		OnSnapshot:  func(b platform.Batch) { ... }, // all rows
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

// Options configure a follower of batches of type B. All but Full and
// BatchDelay are required.
type Options[B any] struct {
	Clock clockwork.Clock
	// Snapshot reads the whole table and returns the revision it is of.
	Snapshot func(context.Context) (B, revision.Revision, error)
	// Feed waits for changes after a revision and returns the next revision.
	Feed func(ctx context.Context, since revision.Revision, wait time.Duration) (B, revision.Revision, error)
	// HistoryLost tells whether an error of Feed asks for a new snapshot.
	HistoryLost func(error) bool
	// OnSnapshot takes a snapshot, Changed what followed it.
	OnSnapshot func(B)
	OnChanges  func(B)
	// OnLost is called with the first of a series of failures, OnRegained with the
	// first success after it.
	OnLost     func(Loss)
	OnRegained func()
	// OnSuccess is called with each success.
	OnSuccess func()
	// Hold is how long the next feed is held open without news.
	Hold func() time.Duration
	// Full reports whether a batch has as much as one answer can have, so that more waits to
	// be asked for at once; nil takes none for full.
	Full func(B) bool
	// BatchDelay is how long to wait at most after changes before asking for more, so
	// that changes in quick succession come in one answer; nil asks at once. The
	// wait is drawn from its last quarter: processes that read the same change would
	// otherwise all ask again at the same moment, and all be without news if that
	// moment is a bad one.
	BatchDelay func() time.Duration
}

// Loss is the first of a series of failures.
type Loss struct {
	Err error
	// Since is the revision that was followed from, zero before the table was read.
	Since revision.Revision
	// Waited is how long the call that failed had been under way, SinceResponse the time
	// since the last answer; 0 if there was none.
	Waited        time.Duration
	SinceResponse time.Duration
}

const (
	// firstPause is the time after the first failure; it doubles up to
	// longestPause, which keeps below the second within which targets that lost
	// their entries write them again.
	firstPause   = 50 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// errEarlierEra means that a table read whole is older than what is known: who gave it has
// not noticed yet that the store came back from a copy.
var errEarlierEra = eris.New("table of an earlier era of the store")

// Run follows until ctx ends. It returns nil; failures go to Options.Lost.
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
	// lost is set from a failure to the next success; pause is the mean wait
	// after the last failure.
	lost  bool
	pause time.Duration
	// asked is when the last call was made, heard when one was last answered.
	asked time.Time
	heard time.Time
}

// step reads the table or waits for its next changes.
func (f *follower[B]) step(ctx context.Context) error {
	var (
		batch B
		since revision.Revision
		err   error
	)
	whole := !f.known
	f.asked = f.options.Clock.Now()
	if whole {
		batch, since, err = f.options.Snapshot(ctx)
	} else {
		batch, since, err = f.options.Feed(ctx, f.since, f.wait())
	}
	switch {
	case err != nil:
		return err
	case whole && since.OfEarlierEra(f.since):
		return errEarlierEra
	}
	f.succeeded()
	f.since, f.known = revision.Later(since, f.since), true
	if whole {
		f.options.OnSnapshot(batch)
		return nil
	}
	f.options.OnChanges(batch)
	if f.options.BatchDelay == nil || f.options.Full != nil && f.options.Full(batch) {
		return nil
	}
	f.rest(ctx, settled(f.options.BatchDelay()))
	return nil
}

// settled draws how long to collect changes for at most so long.
func settled(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return most - rand.N(most/4+1)
}

// rest waits for d, or until ctx ends.
func (f *follower[B]) rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.options.Clock.After(d):
	}
}

// wait is how long the next feed is held open: not at all after a failure, so
// that the end of an outage is known at once.
func (f *follower[B]) wait() time.Duration {
	if f.lost {
		return 0
	}
	return f.options.Hold()
}

func (f *follower[B]) succeeded() {
	f.pause = 0
	f.heard = f.options.Clock.Now()
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
	f.pause = min(max(2*f.pause, firstPause), longestPause)
	f.rest(ctx, f.pause/2+rand.N(f.pause))
}

// loss describes a failure of the last call.
func (f *follower[B]) loss(err error) Loss {
	now := f.options.Clock.Now()
	l := Loss{Err: err, Since: f.since, Waited: now.Sub(f.asked)}
	if !f.heard.IsZero() {
		l.SinceResponse = now.Sub(f.heard)
	}
	return l
}
