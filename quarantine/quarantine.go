// Package quarantine protects targets from requests that end the targets which run them.
//
// Some requests end each target that begins to run them: an engine that crashes on one prompt
// crashes on it again. Their callers send them again, with other IDs and to other routers, so
// neither the limit on retries of one request nor the memory of one router bounds them. Each end
// cuts the other requests that run there. Or requests of which no two are alike share the part of
// the prompt that does it.
//
// A List identifies requests by their attributes: the fingerprint of their content, and each part of
// their prompts that others may share. If the connection to a target breaks while a request may run
// there, its attributes are suspects: the loss of that incarnation of a target counts against them.
// All routers exchange their suspects, and requests with an attribute that has enough losses are
// barred from all targets.
//
// Many other requests run at a target that ends, and connections break for other reasons. What tells
// them apart are responses: an attribute under which a response was written is no suspect, and losses
// do not count against it for some seconds. A router that is told of a suspect and knows of such a
// response tells the others. Contents hardly ever arrive again, so those of other requests never have
// enough losses; for a part, losses only count of targets that do not run any more, while the response was
// about to begin, and those that come together count once.
//
// Nobody may have sent the sound parts of a prompt lately; they are barred together with the one that ends
// targets. So a request with some of the parts that were barred together, but not all, may be tried, in the
// whole fleet by one router at a time.
//
// A List does no input or output; a Persister stores the barred attributes in the platform's
// table.
//
// # Usage
//
//	l := quarantine.New(clock)
//	if a := l.Barred(content); a != nil { ... }               // before each attempt
//	barred := l.RecordBreak(content, target, quarantine.Begun) // the connection to the target broke
//	barred = l.RecordEnd(content, target, quarantine.Begun)   // and the target does not run any more
//	l.RecordWritten(content)                                  // a response was written for a while
//	l.RecordResponse(content)                                 // the complete response was received
//	heartbeat := l.NextHeartbeat()                            // for other routers, with each heartbeat
//	barred := l.Merge(suspects)                               // received from another router
//	l.SetTurn(2, 9)                                           // this router is the third of nine
//	<-l.Changed()                                             // notify others at once
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
	// clearedTTL is how long an attribute of a request that got a response cannot become a suspect.
	// Losses that other routers report late are of targets that ended before the response.
	clearedTTL = 10 * time.Second
	// maxAnswered bounds the contents and the parts recorded as answered in half of that time,
	// maxSuspects the suspects.
	maxAnswered = 4096
	maxSuspects = 4096
	// noticeInterval is the least time between two notices at once of contents that are not barred. There are
	// none in large fleets, where each would go to all routers.
	noticeInterval = 50 * time.Millisecond
	// maxUnsaved bounds the barred attributes that wait to be written.
	maxUnsaved = 64
)

// List holds the suspects and the barred attributes of a router. It is safe for concurrent use.
type List struct {
	clock   clockwork.Clock
	seed    maphash.Seed
	changed chan struct{}
	// unsaved are attributes that this router barred, for the Persister.
	unsaved chan suspect
	// known is the number of suspects that got no response since.
	known atomic.Int64

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	// order holds the suspects by age, turn counts those that were repeated in turn.
	order      []*suspect
	turn       int
	heartbeats int
	// forwards is set while suspects that others report are announced as well.
	forwards bool
	// contents and parts are those with a response here lately.
	contents recentSet[uint64]
	parts    recentSet[Fingerprint]
	// position and routers are the place of this router among those that take turns with trials.
	position, routers int
	// noticed is when other routers were last notified at once of a content that is not barred.
	noticed time.Time
}

// New returns an empty list.
func New(clock clockwork.Clock) *List {
	now := clock.Now()
	return &List{
		clock: clock, seed: maphash.MakeSeed(), changed: make(chan struct{}, 1), unsaved: make(chan suspect, maxUnsaved), suspects: make(map[Fingerprint]*suspect),
		contents: newRecentSet[uint64](clearedTTL, maxAnswered, now), parts: newRecentSet[Fingerprint](clearedTTL, maxAnswered, now),
	}
}

// any reports whether there are suspects; while there are none, no fingerprint is needed.
func (l *List) any() bool { return l.known.Load() > 0 }

// Changed receives a value when an attribute was barred to which this router reported a loss, or a content
// has a first one.
func (l *List) Changed() <-chan struct{} { return l.changed }

// Barred returns the attribute because of which a request must not reach any target, or nil. A
// content that others have barred and that got a response here recently is cleared.
func (l *List) Barred(c *Content) *Attribute {
	if !l.any() {
		return nil
	}
	f, parts, customer := c.Fingerprint(), c.parts(), HashCustomer(c.Customer)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if s := l.suspects[f]; s.barsAt(customer, now) {
		if !l.contents.contains(c.localHash(l.seed), now) {
			return &Attribute{Fingerprint: f}
		}
		l.markCleared(s, now)
	}
	var barred []Attribute
	for _, a := range parts {
		if l.suspects[a.Fingerprint].barsAt(customer, now) {
			barred = append(barred, a)
		}
	}
	if len(barred) == 0 || l.mayTry(c, barred, now) {
		return nil
	}
	return &barred[0]
}

// RecordLoss is RecordBreak and, after that, RecordEnd.
func (l *List) RecordLoss(c *Content, target IncarnationHash, p Progress) (barred []Attribute) {
	return append(l.RecordBreak(c, target, p), l.RecordEnd(c, target, p)...)
}

// RecordBreak records that the connection to a target broke while the request may have run there. It counts
// against the content only, as targets also break connections to many different requests that share parts.
// It returns the content if that is barred by this loss.
func (l *List) RecordBreak(c *Content, target IncarnationHash, p Progress) (barred []Attribute) {
	f, local := c.Fingerprint(), c.localHash(l.seed)
	l.mu.Lock()
	defer l.mu.Unlock()
	loss := l.newLoss(c, target, p)
	c.tried = false
	if l.contents.contains(local, loss.At) {
		return nil
	}
	if l.recordLoss(f, false, loss) {
		return []Attribute{{Fingerprint: f}}
	}
	if !loss.Partial && !l.forwards && loss.At.Sub(l.noticed) >= noticeInterval {
		l.noticed = loss.At
		l.notify()
	}
	return nil
}

// RecordEnd records that a target does not seem to run any more to which the connection broke while the request
// may have run there. It counts against the parts. It returns those that are barred by this loss.
func (l *List) RecordEnd(c *Content, target IncarnationHash, p Progress) (barred []Attribute) {
	if p == Advanced {
		return nil
	}
	parts := c.parts()
	l.mu.Lock()
	defer l.mu.Unlock()
	loss := l.newLoss(c, target, p)
	for _, a := range parts {
		if !l.parts.contains(a.Fingerprint, loss.At) && l.recordLoss(a.Fingerprint, true, loss) {
			barred = append(barred, a)
		}
	}
	return barred
}

func (l *List) newLoss(c *Content, target IncarnationHash, p Progress) Loss {
	return Loss{Target: target, Customer: HashCustomer(c.Customer), Partial: p != NotBegun, At: l.clock.Now()}
}

// ConsidersParts reports whether a loss would count against a part of the request.
func (l *List) ConsidersParts(c *Content) bool {
	parts := c.parts()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	return slices.ContainsFunc(parts, func(a Attribute) bool { return !l.parts.contains(a.Fingerprint, now) })
}

// recordLoss records a loss of this router and reports whether the attribute is barred by it.
func (l *List) recordLoss(f Fingerprint, part bool, loss Loss) (barred bool) {
	_, barred = l.addLosses(f, part, []Loss{loss}, loss.At)
	s := l.suspects[f]
	if s == nil || s.answered {
		return false
	}
	s.announcements, s.recordedHere = announceCount, true
	if barred {
		l.notifyBarred(s)
	}
	return barred
}

// notifyBarred has an attribute that was barred here sent to other routers at once, and written.
func (l *List) notifyBarred(s *suspect) {
	l.notify()
	l.persist(s, false)
}

// notify has suspects sent to other routers at once.
func (l *List) notify() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// persist has an attribute written as barred or as cleared. If too many wait to be written, only
// routers keep it.
func (l *List) persist(s *suspect, cleared bool) {
	kept := *s
	kept.losses, kept.answered = slices.Clone(s.losses), cleared
	select {
	case l.unsaved <- kept:
	default:
	}
}

// PersistAgain has recently barred attributes written again, after the table may have lost them.
func (l *List) PersistAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.order {
		if s.barred() && l.clock.Since(s.changed) < revision.MaxBackupAge {
			l.notifyBarred(s)
		}
	}
}

// addLosses adds losses. It reports whether any of them was new or weighs more than known, and whether
// the attribute is barred by them. Losses that are reported after a response do not count for clearedTTL.
func (l *List) addLosses(f Fingerprint, part bool, losses []Loss, at time.Time) (added, barred bool) {
	s := l.suspects[f]
	if s == nil {
		if s = l.add(f); s == nil {
			return false, false
		}
		s.part = part
	}
	before := s.barred()
	if s.answered {
		if l.clock.Since(s.changed) < clearedTTL {
			return false, false
		}
		s.answered = false
		l.known.Add(1)
	}
	for _, loss := range losses {
		added = s.add(loss) || added
	}
	if at.After(s.changed) {
		s.changed = at
	}
	return added, s.barred() && !before
}

// add adds a suspect. If there are too many, it replaces the oldest one that is not barred:
// callers with many such requests cannot displace barred attributes. It returns nil if all are
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
// are notified if its content was a suspect.
func (l *List) RecordResponse(c *Content) {
	local := c.localHash(l.seed)
	if l.any() {
		c.Fingerprint()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.contents.add(local, now)
	if c.fingerprint != nil {
		l.clear(*c.fingerprint, now)
	}
}

// RecordWritten records that a target wrote a response to the prompt for BeginPeriod, or to its end,
// and did not end. Other routers are notified if parts of it were suspects.
func (l *List) RecordWritten(c *Content) {
	parts := c.parts()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, a := range parts {
		l.parts.add(a.Fingerprint, now)
		l.clear(a.Fingerprint, now)
	}
}

// clear clears an attribute that is a suspect.
func (l *List) clear(f Fingerprint, now time.Time) {
	if s := l.suspects[f]; s != nil && !s.answered {
		l.markCleared(s, now)
	}
}

// markCleared makes a suspect one that is announced to others as cleared. Routers that had it written
// as barred have it written as cleared.
func (l *List) markCleared(s *suspect, now time.Time) {
	if !s.answered {
		l.known.Add(-1)
	}
	if (s.recordedHere || !s.tried.IsZero()) && s.barred() {
		l.persist(s, true)
	}
	s.answered, s.losses, s.changed, s.announcements, s.recordedHere = true, nil, now, announceCount, false
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

// Counts returns the number of suspects, and of attributes that are barred.
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
