// Package quarantine keeps requests from targets that end the targets which run them.
//
// Some requests end each target that begins to run them: an engine that crashes on one
// prompt crashes on it again. Their callers send them again, under other ids and to other
// routers, so neither the retries of one request nor what one router remembers bounds
// them: one such request ended 16 targets of a fleet within a minute, and cut what else ran
// there.
//
// A List knows requests by their Fingerprint. A request whose connection to a target
// breaks while it may run there is a suspect: the loss of that run of a target counts
// against it, twice if the target had not begun to answer. All routers tell each other
// their suspects, and a request with enough losses is barred from all targets.
//
// Many other requests run at a target that ends, and connections break for other reasons.
// Hardly any of these come again with the same content, so they never have enough losses.
// Those that do are asked by many callers, and are answered by other targets: a request that
// was answered whole is no suspect, and losses do not count for some seconds after an
// answer.
//
// A List has no input and output; a Persister keeps what is barred in the platform's table.
//
// # Usage
//
//	l := quarantine.New(clock)
//	if l.Barred(content) { ... }      // before each attempt
//	barred := l.RecordLoss(content, loss) // the connection broke
//	l.RecordResponse(content)             // the whole answer came
//	heartbeat := l.NextHeartbeat()           // for other routers, with each heartbeat
//	barred := l.Merge(told)         // what another router told
//	<-l.Changed()                     // a request was barred, tell others at once
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
	// weightToBar is the weight of losses with which a request is barred, silentWeight that
	// of a target that ended before it answered anything, partialWeight that of one that had
	// begun to answer: of 30 streams that were cut by targets that ended, the 6 tries of the
	// request that ended them were all without an event, the 24 others had some. So two
	// targets may end under a request without a word, and four in any case.
	weightToBar   = 4
	silentWeight  = 2
	partialWeight = 1
	// keepFor is how long a suspect is known after its last loss: longer than callers and
	// their operators go on sending one, short enough for a repaired target.
	keepFor = 10 * time.Minute
	// answeredFor is how long a request that was answered is above suspicion. Losses that
	// are told late are of targets that ended before.
	answeredFor = 10 * time.Second
	// mostAnswered bounds the requests known as answered in half of that time, mostSuspects
	// the suspects, mostLosses the losses that are kept of one.
	mostAnswered = 4096
	mostSuspects = 4096
	mostLosses   = 8
	// mostUnsaved bounds the barred requests that wait to be kept.
	mostUnsaved = 64
	// tellTimes is the number of heartbeats with which a change is told, so that lost
	// datagrams do no harm. Routers that start or come back from a cut learn the rest by
	// turns: repeatCount suspects with each repeatEvery-th heartbeat.
	tellTimes   = 5
	repeatEvery = 10
	repeatCount = 8
	// mostTold bounds the suspects of one datagram; each takes up to 64 bytes.
	mostTold = 16
)

// IncarnationHash names a run of a target.
type IncarnationHash uint32

// Loss is a run of a target that ended under a request.
type Loss struct {
	Target IncarnationHash
	// Partial tells that the target had begun to answer.
	Partial bool
}

func (l *Loss) weight() int {
	if l.Partial {
		return partialWeight
	}
	return silentWeight
}

// suspect is a request under which targets ended, or that was one until it was answered.
type suspect struct {
	fingerprint Fingerprint
	// losses are the runs that ended under it, the last of them at changed.
	losses  []Loss
	changed time.Time
	// answered tells that it was answered since, at changed.
	answered bool
	// tell is the number of heartbeats that are still to tell it.
	tell int
}

func (s *suspect) barred() bool {
	weight := 0
	for i := range s.losses {
		weight += s.losses[i].weight()
	}
	return weight >= weightToBar
}

// add adds a loss. Of two words on the same run the heavier counts.
func (s *suspect) add(loss Loss) {
	i := slices.IndexFunc(s.losses, func(l Loss) bool { return l.Target == loss.Target })
	switch {
	case i >= 0:
		s.losses[i].Partial = s.losses[i].Partial && loss.Partial
	case len(s.losses) < mostLosses:
		s.losses = append(s.losses, loss)
	}
}

// List is what a router knows of such requests. It is safe for concurrent use.
type List struct {
	clock   clockwork.Clock
	seed    maphash.Seed
	changed chan struct{}
	// unsaved are requests that this router barred, for the Persister.
	unsaved chan suspect
	// known is the number of suspects that are not answered.
	known atomic.Int64

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	// order holds the suspects by age, turn counts those that were told by turns.
	order []*suspect
	turn  int
	tells int
	// answers are the requests answered here since rotated, earlier those before.
	answers, earlier map[uint64]struct{}
	rotated          time.Time
}

// New returns an empty list.
func New(clock clockwork.Clock) *List {
	return &List{
		clock: clock, seed: maphash.MakeSeed(), changed: make(chan struct{}, 1), unsaved: make(chan suspect, mostUnsaved), suspects: make(map[Fingerprint]*suspect),
		answers: make(map[uint64]struct{}), rotated: clock.Now(),
	}
}

// any reports whether there are suspects; while there are none, no fingerprint is needed.
func (l *List) any() bool { return l.known.Load() > 0 }

// Changed receives when a request was barred for a loss of this router's.
func (l *List) Changed() <-chan struct{} { return l.changed }

// Barred reports whether a request must not reach any target. One that others have barred
// and that was answered here lately is cleared.
func (l *List) Barred(c *Content) bool {
	if !l.any() {
		return false
	}
	f := c.Fingerprint()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	s := l.suspects[f]
	if s == nil || !s.barred() || now.Sub(s.changed) >= keepFor {
		return false
	}
	if l.cleared(c.local(l.seed), now) {
		l.acquit(s, now)
		return false
	}
	return true
}

// RecordLoss notes that the connection to a target broke while the request may have run there.
// It reports whether the request is barred from now on.
func (l *List) RecordLoss(c *Content, loss Loss) (barred bool) {
	f, local := c.Fingerprint(), c.local(l.seed)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.cleared(local, now) {
		return false
	}
	barred = l.blame(f, []Loss{loss}, now)
	s := l.suspects[f]
	if s != nil && !s.answered {
		s.tell = tellTimes
	}
	if barred {
		l.announce(s)
	}
	return barred
}

// announce has a request that was barred here told to other routers at once, and kept. One
// that finds too many waiting is kept by routers only.
func (l *List) announce(s *suspect) {
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

// PersistAgain has what was barred lately kept again, after the table may have lost it.
func (l *List) PersistAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.order {
		if s.barred() && l.clock.Since(s.changed) < revision.MaxBackupAge {
			l.announce(s)
		}
	}
}

// blame adds losses and reports whether the request is barred by them. Some are told after
// the word that the request was answered, and do not count.
func (l *List) blame(f Fingerprint, losses []Loss, at time.Time) (barred bool) {
	s := l.suspects[f]
	if s == nil {
		if s = l.add(f); s == nil {
			return false
		}
	}
	before := s.barred()
	if s.answered {
		if l.clock.Since(s.changed) < answeredFor {
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

// add begins a suspect, in place of the oldest that is not barred if there are too many:
// callers with many such requests cannot push out what is barred. It returns nil if all are.
func (l *List) add(f Fingerprint) *suspect {
	if len(l.order) >= mostSuspects {
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

// RecordResponse notes that a target answered the request whole. Other routers are told if it
// was suspected.
func (l *List) RecordResponse(c *Content) {
	local := c.local(l.seed)
	if l.any() {
		c.Fingerprint()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.rotate(now)
	if len(l.answers) < mostAnswered {
		l.answers[local] = struct{}{}
	}
	if c.fingerprint == nil {
		return
	}
	if s := l.suspects[*c.fingerprint]; s != nil && !s.answered {
		l.acquit(s, now)
	}
}

// acquit makes a suspect one that others are told to be none.
func (l *List) acquit(s *suspect, now time.Time) {
	if !s.answered {
		l.known.Add(-1)
	}
	s.answered, s.losses, s.changed, s.tell = true, nil, now, tellTimes
}

// cleared reports whether a request was answered here lately.
func (l *List) cleared(local uint64, now time.Time) bool {
	l.rotate(now)
	_, lately := l.answers[local]
	_, before := l.earlier[local]
	return lately || before
}

// rotate forgets answers that are older than answeredFor.
func (l *List) rotate(now time.Time) {
	since := now.Sub(l.rotated)
	if since < answeredFor/2 {
		return
	}
	l.earlier, l.answers, l.rotated = l.answers, make(map[uint64]struct{}), now
	if since >= answeredFor {
		l.earlier = nil
	}
}

// forget drops suspects whose time is over. Those that were answered need to be known only
// as long as losses before that may be told.
func (l *List) forget(now time.Time) {
	for i := len(l.order) - 1; i >= 0; i-- {
		s := l.order[i]
		age := now.Sub(s.changed)
		if age >= keepFor || s.answered && age >= answeredFor {
			l.remove(i)
		}
	}
}

// Counts returns the number of requests that are suspected, and of those that are barred.
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
