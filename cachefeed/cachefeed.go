// Package cachefeed follows which prefix parts targets cache.
//
// A target is followed from its first event. A restart of the target begins a new epoch, of which
// all events are read again. A target keeps only its newest events: if some were lost, the list of
// all that it caches is read once. A list delays the work of the target, so lists are spread over
// time and rare.
//
// # Usage
//
//	set := cachefeed.New(cachefeed.Options{
//		Clock: clock,
//		Open:  func(t cachefeed.Target) cachefeed.Source { ... }, // calls of the target
//		Apply: func(c cachefeed.Change) { ... },
//	})
//	defer set.Close()
//	set.Follow(targets) // starts and stops followers
package cachefeed

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Part is a prefix part with the number of its tokens that a target keeps, 0 if it was evicted.
type Part struct {
	ID     string
	Tokens int
}

// Events are changes of what a target caches.
type Events struct {
	// Epoch changes when the target restarts. Next continues after these events.
	Epoch, Next uint64
	// Lost reports that the target no longer has all events since the requested one.
	Lost bool
	// Parts are the changed parts in order.
	Parts []Part
}

// List is all that a target caches.
type List struct {
	Epoch, Next uint64
	Parts       []Part
}

// ErrTooManyCalls means that others hold all calls that a target accepts.
var ErrTooManyCalls = eris.New("too many calls are held")

// Target is a target to follow.
type Target struct {
	// ID identifies the incarnation of the target.
	ID      uint64
	Address netip.AddrPort
}

// Source calls one target. Its calls do not overlap; Close ends the one under way.
type Source struct {
	Events func(since uint64, wait time.Duration) (Events, error)
	List   func() (List, error)
	Close  func() error
}

// Change is what was learned about a target.
type Change struct {
	Target uint64
	// Known is false from the moment at which the state of the target is not known until it is
	// complete again.
	Known bool
	// Complete reports that Parts are all that the target caches, rather than changes.
	Complete bool
	Parts    []Part
	// Reason tells why the state became known or unknown; empty if that did not change.
	Reason Reason
}

// Reason is why the state of a target became known or unknown.
type Reason string

// The reasons.
const (
	EventsRead       Reason = "all events read"
	ListRead         Reason = "list read"
	EventsLost       Reason = "events were lost"
	Restarted        Reason = "target restarted"
	NoLongerFollowed Reason = "no longer followed"
)

// Options configure a set. All but Busy and Failed are required.
type Options struct {
	Clock clockwork.Clock
	// Open returns the calls of a target.
	Open func(Target) Source
	// Apply is called with each change. It must not call the set.
	Apply func(Change)
	// Busy reports whether a target has no free slot; its list is read later.
	Busy func(Target) bool
	// Failed is called with each failed call.
	Failed func(Target, error)
}

const (
	// hold is how long a target holds a call without changes.
	hold = time.Second
	// minInterval is the minimum time between the starts of two calls: what a prompt needs from
	// its placement until its parts are cached, so that earlier events decide nothing.
	minInterval = 250 * time.Millisecond
	// minBackoff is the mean delay after a failure, which doubles up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
	// fullBackoff is the mean delay after ErrTooManyCalls: others follow the target, and
	// ownership moves within some seconds.
	fullBackoff = 10 * time.Second
	// listInterval is the minimum time between two lists of a target. The first one is read at a
	// random time within listSpread.
	listInterval = 10 * time.Second
	listSpread   = 5 * time.Second
	// MaxTargets bounds the targets that are followed at once.
	MaxTargets = 64
)

// Set follows a set of targets.
type Set struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	group   errgroup.Group

	mu        sync.Mutex
	followers map[uint64]context.CancelFunc
}

// New returns a set that follows no target.
func New(o Options) *Set {
	s := &Set{options: o, followers: make(map[uint64]context.CancelFunc)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Close stops all followers and waits for them.
func (s *Set) Close() error {
	s.cancel()
	return s.group.Wait()
}

// Len returns the number of followed targets.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.followers)
}

// Follow follows exactly these targets, at most MaxTargets of them.
func (s *Set) Follow(targets []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := make(map[uint64]bool, len(targets))
	for _, t := range targets[:min(len(targets), MaxTargets)] {
		wanted[t.ID] = true
		s.start(t)
	}
	for id, stop := range s.followers {
		if !wanted[id] {
			stop()
			delete(s.followers, id)
		}
	}
}

func (s *Set) start(t Target) {
	if s.followers[t.ID] != nil || s.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.followers[t.ID] = cancel
	f := &follower{options: &s.options, target: t, source: s.options.Open(t)}
	s.group.Go(func() error {
		defer cancel()
		f.run(ctx)
		s.forget(t)
		return nil
	})
}

// forget reports that the state of a target is not known any more, unless the target is followed
// again by now.
func (s *Set) forget(t Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.followers[t.ID] == nil || s.ctx.Err() != nil {
		s.options.Apply(Change{Target: t.ID, Reason: NoLongerFollowed})
	}
}
