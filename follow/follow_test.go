package follow

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

var (
	errDown      = eris.New("down")
	errForgotten = eris.New("history lost")
)

// script answers the calls of a follower in turn, then ends it.
type script struct {
	cancel context.CancelFunc
	steps  []step
	log    []string
}

type step struct {
	batch string
	next  uint64
	err   error
}

func (s *script) take(call string) (string, uint64, error) {
	s.log = append(s.log, call)
	if len(s.steps) == 0 {
		s.cancel()
		return "", 0, context.Canceled
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	return next.batch, next.next, next.err
}

func (s *script) run(t *testing.T) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	clock := clockwork.NewFakeClock()
	var since []uint64
	var g errgroup.Group
	g.Go(func() error {
		return Run(ctx, Options[string]{
			Clock:    clock,
			Snapshot: func(context.Context) (string, uint64, error) { return s.take("snapshot") },
			Feed: func(_ context.Context, from uint64, _ time.Duration) (string, uint64, error) {
				since = append(since, from)
				return s.take("feed")
			},
			HistoryLost: func(err error) bool { return eris.Is(err, errForgotten) },
			Whole:       func(b string) { s.log = append(s.log, "whole "+b) },
			Changed:     func(b string) { s.log = append(s.log, "changed "+b) },
			Lost:        func(Loss) { s.log = append(s.log, "lost") },
			Regained:    func() { s.log = append(s.log, "regained") },
			Alive:       func() {},
		})
	})
	g.Go(func() error {
		for ctx.Err() == nil {
			if clock.BlockUntilContext(ctx, 1) == nil {
				clock.Advance(longestPause * 2)
			}
		}
		return nil
	})
	assert.NilError(t, g.Wait())
	for i := 1; i < len(since); i++ {
		assert.Assert(t, since[i] >= since[i-1] || since[i-1] == 0)
	}
	return s.log
}

func TestFeedFollowsTheSnapshot(t *testing.T) {
	s := script{steps: []step{{batch: "all", next: 5}, {batch: "one", next: 7}}}
	assert.DeepEqual(t, s.run(t), []string{"snapshot", "whole all", "feed", "changed one", "feed"})
}

func TestLossIsToldOnceAndSoIsItsEnd(t *testing.T) {
	s := script{steps: []step{{err: errDown}, {err: errDown}, {batch: "all", next: 5}, {err: errDown}, {batch: "one", next: 6}}}
	assert.DeepEqual(t, s.run(t), []string{
		"snapshot", "lost", "snapshot", "snapshot", "regained", "whole all", "feed", "lost", "feed", "regained", "changed one", "feed",
	})
}

func TestLostHistoryIsReadWholeAgain(t *testing.T) {
	s := script{steps: []step{{batch: "all", next: 5}, {err: errForgotten}, {batch: "again", next: 9}}}
	assert.DeepEqual(t, s.run(t), []string{"snapshot", "whole all", "feed", "snapshot", "whole again", "feed"})
}
