// Package quarantine protects targets from requests that end the targets which run them.
//
// Some requests end each target that begins to run them: an engine that crashes on one prompt
// crashes on it again. Their callers send them again, with other IDs and to other routers, so
// neither the limit on retries of one request nor the memory of one router bounds them: one
// such request ended 16 targets of a fleet within a minute, and cut the other requests that ran
// there.
//
// A List identifies requests by their Fingerprint. A request whose connection to a target
// breaks while it may run there is a suspect: the loss of that incarnation of a target counts
// against it, twice if the target had not begun to respond. All routers exchange their
// suspects, and a request with enough losses is barred from all targets.
//
// Many other requests run at a target that ends, and connections break for other reasons.
// Hardly any of these requests arrive again with the same content, so they never have enough
// losses. Those that do are sent by many callers, and get responses from other targets: a
// request with a complete response is no suspect, and losses do not count for some seconds
// after a response.
//
// A List does no input or output; a Persister stores the barred requests in the platform's
// table.
//
// # Usage
//
//	l := quarantine.New(clock)
//	if l.Barred(content) { ... }            // before each attempt
//	barred := l.RecordLoss(content, loss)   // the connection broke
//	l.RecordResponse(content)               // the complete response was received
//	heartbeat := l.NextHeartbeat()          // for other routers, with each heartbeat
//	barred := l.Merge(suspects)             // received from another router
//	<-l.Changed()                           // a request was barred, notify others at once
//
//	p := quarantine.Persister{List: l, Table: client.Table(), Clock: clock, Log: log, Metrics: m}
//	err := p.Run(ctx)
package quarantine

import (
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"zinccove.example/zinccove/revision"
)

const (
	// barWeight is the weight of losses from which on a request is barred. noResponseWeight is
	// the weight of a target that ended before it responded, partialWeight that of one that had
	// begun to respond: of 30 streams that were cut by targets that ended, the 6 attempts of
	// the request that ended them all had no event, the 24 others had some. So two targets may
	// end under a request without a response, and four in any case.
	barWeight        = 4
	noResponseWeight = 2
	partialWeight    = 1
	// suspectTTL is how long a suspect is kept after its last loss: longer than callers and
	// their operators continue to send one, short enough for a repaired target.
	suspectTTL = 10 * time.Minute
	// clearedTTL is how long a request that got a response cannot become a suspect. Losses that
	// other routers report late are of targets that ended before the response.
	clearedTTL = 10 * time.Second
	// maxAnswered bounds the requests recorded as answered in half of that time, maxSuspects
	// the suspects, maxLosses the losses that are kept of one suspect.
	maxAnswered = 4096
	maxSuspects = 4096
	maxLosses   = 8
	// maxUnsaved bounds the barred requests that wait to be written.
	maxUnsaved = 64
	// announceCount is the number of heartbeats that announce a change, so that lost datagrams
	// do no harm. Routers that start or were cut off receive the other suspects in turn:
	// repeatCount suspects with each repeatEvery-th heartbeat.
	announceCount = 5
	repeatEvery   = 10
	repeatCount   = 8
	// maxPerDatagram bounds the suspects of one datagram; each takes up to 64 bytes.
	maxPerDatagram = 16
)

// IncarnationHash identifies an incarnation of a target.
type IncarnationHash uint32

// Loss is an incarnation of a target that ended under a request.
type Loss struct {
	Target IncarnationHash
	// Partial reports that the target had begun to respond.
	Partial bool
}

func (l *Loss) weight() int {
	if l.Partial {
		return partialWeight
	}
	return noResponseWeight
}

// suspect is a request under which targets ended, or that was one until it got a response.
type suspect struct {
	fingerprint Fingerprint
	// losses are the incarnations that ended under it, the last of them at changed.
	losses  []Loss
	changed time.Time
	// answered reports that it got a response since, at changed.
	answered bool
	// announcements is the number of heartbeats that still have to announce it.
	announcements int
}

func (s *suspect) barred() bool {
	weight := 0
	for i := range s.losses {
		weight += s.losses[i].weight()
	}
	return weight >= barWeight
}

// add adds a loss. Of two reports on the same incarnation the one with the greater weight
// counts.
func (s *suspect) add(loss Loss) {
	i := slices.IndexFunc(s.losses, func(l Loss) bool { return l.Target == loss.Target })
	switch {
	case i >= 0:
		s.losses[i].Partial = s.losses[i].Partial && loss.Partial
	case len(s.losses) < maxLosses:
		s.losses = append(s.losses, loss)
	}
}

// List holds the suspects and the barred requests of a router. It is safe for concurrent use.
type List struct {
	clock   clockwork.Clock
	seed    maphash.Seed
	changed chan struct{}
	// unsaved are requests that this router barred, for the Persister.
	unsaved chan suspect
	// known is the number of suspects that got no response since.
	known atomic.Int64

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	// order holds the suspects by age, turn counts those that were repeated in turn.
	order      []*suspect
	turn       int
	heartbeats int
	// answers are the requests with a response here since rotated, previousAnswers those of the
	// interval before.
	answers, previousAnswers map[uint64]struct{}
	rotated                  time.Time
}

// New returns an empty list.
func New(clock clockwork.Clock) *List {
	return &List{
		clock: clock, seed: maphash.MakeSeed(), changed: make(chan struct{}, 1), unsaved: make(chan suspect, maxUnsaved), suspects: make(map[Fingerprint]*suspect),
		answers: make(map[uint64]struct{}), rotated: clock.Now(),
	}
}

// any reports whether there are suspects; while there are none, no fingerprint is needed.
func (l *List) any() bool { return l.known.Load() > 0 }

// Changed receives a value when a request was barred because of a loss of this router.
func (l *List) Changed() <-chan struct{} { return l.changed }

// Barred reports whether a request must not reach any target. A request that others have barred
// and that got a response here recently is cleared.
func (l *List) Barred(c *Content) bool {
	if !l.any() {
		return false
	}
	f := c.Fingerprint()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	s := l.suspects[f]
	if s == nil || !s.barred() || now.Sub(s.changed) >= suspectTTL {
		return false
	}
	if l.recentlyAnswered(c.localHash(l.seed), now) {
		l.markCleared(s, now)
		return false
	}
	return true
}

// RecordLoss records that the connection to a target broke while the request may have run
// there. It reports whether the request is barred by this loss.
func (l *List) RecordLoss(c *Content, loss Loss) (barred bool) {
	f, local := c.Fingerprint(), c.localHash(l.seed)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.recentlyAnswered(local, now) {
		return false
	}
	barred = l.addLosses(f, []Loss{loss}, now)
	s := l.suspects[f]
	if s != nil && !s.answered {
		s.announcements = announceCount
	}
	if barred {
		l.notifyBarred(s)
	}
	return barred
}

// notifyBarred has a request that was barred here sent to other routers at once, and written.
// If too many requests wait to be written, only routers keep it.
func (l *List) notifyBarred(s *suspect) {
	select {
	case l.changed <- struct{}{}:
	default:
	}
	kept := *s
	kept.losses = slices.Clone(s.losses)
	select {
	case l.unsaved <- kept:
	default:
	}
}

// PersistAgain has recently barred requests written again, after the table may have lost them.
func (l *List) PersistAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.order {
		if s.barred() && l.clock.Since(s.changed) < revision.MaxBackupAge {
			l.notifyBarred(s)
		}
	}
}

// addLosses adds losses and reports whether the request is barred by them. Losses that are
// reported after a response to the request do not count for clearedTTL.
func (l *List) addLosses(f Fingerprint, losses []Loss, at time.Time) (barred bool) {
	s := l.suspects[f]
	if s == nil {
		if s = l.add(f); s == nil {
			return false
		}
	}
	before := s.barred()
	if s.answered {
		if l.clock.Since(s.changed) < clearedTTL {
			return false
		}
		s.answered = false
		l.known.Add(1)
	}
	for _, loss := range losses {
		s.add(loss)
	}
	if at.After(s.changed) {
		s.changed = at
	}
	return s.barred() && !before
}

// add adds a suspect. If there are too many, it replaces the oldest one that is not barred:
// callers with many such requests cannot displace barred requests. It returns nil if all are
// barred.
func (l *List) add(f Fingerprint) *suspect {
	if len(l.order) >= maxSuspects {
		i := slices.IndexFunc(l.order, func(s *suspect) bool { return !s.barred() })
		if i < 0 {
			return nil
		}
		l.remove(i)
	}
	s := &suspect{fingerprint: f}
	l.suspects[f] = s
	l.order = append(l.order, s)
	l.known.Add(1)
	return s
}

func (l *List) remove(i int) {
	s := l.order[i]
	if !s.answered {
		l.known.Add(-1)
	}
	delete(l.suspects, s.fingerprint)
	l.order = slices.Delete(l.order, i, i+1)
}

// RecordResponse records that a target sent a complete response to the request. Other routers
// are notified if it was a suspect.
func (l *List) RecordResponse(c *Content) {
	local := c.localHash(l.seed)
	if l.any() {
		c.Fingerprint()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.rotate(now)
	if len(l.answers) < maxAnswered {
		l.answers[local] = struct{}{}
	}
	if c.fingerprint == nil {
		return
	}
	if s := l.suspects[*c.fingerprint]; s != nil && !s.answered {
		l.markCleared(s, now)
	}
}

// markCleared makes a suspect one that is announced to others as cleared.
func (l *List) markCleared(s *suspect, now time.Time) {
	if !s.answered {
		l.known.Add(-1)
	}
	s.answered, s.losses, s.changed, s.announcements = true, nil, now, announceCount
}

// recentlyAnswered reports whether a request got a response here recently.
func (l *List) recentlyAnswered(local uint64, now time.Time) bool {
	l.rotate(now)
	_, lately := l.answers[local]
	_, before := l.previousAnswers[local]
	return lately || before
}

// rotate drops responses that are older than clearedTTL.
func (l *List) rotate(now time.Time) {
	since := now.Sub(l.rotated)
	if since < clearedTTL/2 {
		return
	}
	l.previousAnswers, l.answers, l.rotated = l.answers, make(map[uint64]struct{}), now
	if since >= clearedTTL {
		l.previousAnswers = nil
	}
}

// expire drops suspects whose time is over. Suspects that got a response are kept only as long
// as losses before it may be reported.
func (l *List) expire(now time.Time) {
	for i := len(l.order) - 1; i >= 0; i-- {
		s := l.order[i]
		age := now.Sub(s.changed)
		if age >= suspectTTL || s.answered && age >= clearedTTL {
			l.remove(i)
		}
	}
}

// Counts returns the number of suspects, and of requests that are barred.
func (l *List) Counts() (suspected, barred int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.order {
		if s.barred() {
			barred++
		}
	}
	return int(l.known.Load()), barred
}
