package quarantine

import (
	"slices"
	"time"
)

const (
	// barWeight is the weight of losses from which on a content is barred. noResponseWeight is
	// the weight of a target that ended before it responded, partialWeight that of one that had
	// begun to respond: a request that ends its target mostly does so before the first event, while
	// most others that run there have some. So two targets may end under a request without a
	// response, and four in any case.
	barWeight        = 4
	noResponseWeight = 2
	partialWeight    = 1
	// barMoments is the number of moments at which targets have to end for a part to be barred.
	barMoments = 3
	// momentSpan is the time within which several targets count as ended at one moment: connections
	// of one router, or hosts of one power supply, break together whatever runs there.
	momentSpan = 100 * time.Millisecond
	// BeginPeriod is the time for which a target has only begun to respond. A part ends those that
	// begin to write a response; one under which a response was written for longer is sound.
	BeginPeriod = time.Second
	// suspectTTL is how long a suspect is kept after its last loss: longer than callers and
	// their operators continue to send one, short enough for a repaired target.
	suspectTTL = 10 * time.Minute
	// maxLosses bounds the losses that are kept of one suspect.
	maxLosses = 8
)

// IncarnationHash identifies an incarnation of a target.
type IncarnationHash uint32

// Progress is how far a target was with a response when it ended.
type Progress int

// The kinds of progress.
const (
	// NotBegun: no byte of the body was received.
	NotBegun Progress = iota
	// Begun: the body had begun less than BeginPeriod before.
	Begun
	// Advanced: the body had begun before that.
	Advanced
)

// Loss is an incarnation of a target that ended under a request.
type Loss struct {
	Target IncarnationHash
	// Customer is that of the request; 0 if it is not known.
	Customer CustomerHash
	// Partial reports that the target had begun to respond.
	Partial bool
	At      time.Time
}

func (l *Loss) weight() int {
	if l.Partial {
		return partialWeight
	}
	return noResponseWeight
}

// suspect is an attribute of requests under which targets ended, or that was one until a request with
// it got a response.
type suspect struct {
	fingerprint Fingerprint
	// part reports that the attribute is a part of a prompt.
	part bool
	// losses are the incarnations that ended under it.
	losses  []Loss
	changed time.Time
	// answered reports that it got a response since, at changed.
	answered bool
	// recordedHere reports that this router recorded one of the losses.
	recordedHere bool
	// tried is when this router last let a request with it reach a target for a trial.
	tried time.Time
	// announcements is the number of heartbeats that still have to announce it.
	announcements int
}

func (s *suspect) barred() bool {
	if s.part {
		return s.moments() >= barMoments
	}
	weight := 0
	for i := range s.losses {
		weight += s.losses[i].weight()
	}
	return weight >= barWeight
}

// moments returns the number of moments at which targets ended.
func (s *suspect) moments() int { return countMoments(s.losses) }

func countMoments(losses []Loss) (n int) {
	sorted := slices.SortedFunc(slices.Values(losses), func(a, b Loss) int { return a.At.Compare(b.At) })
	var last time.Time
	for i := range sorted {
		if n == 0 || sorted[i].At.Sub(last) >= momentSpan {
			n, last = n+1, sorted[i].At
		}
	}
	return n
}

// bars reports whether requests of a customer are barred. A part is barred for the customers whose
// requests it had when targets ended, and for all once these are several: no customer can have a part
// of another one barred, and one that ends targets under several ends them under all.
func (s *suspect) bars(customer CustomerHash) bool {
	if !s.barred() {
		return false
	}
	first := s.losses[0].Customer
	return slices.ContainsFunc(s.losses, func(l Loss) bool {
		return l.Customer == customer || l.Customer == 0 || l.Customer != first
	})
}

// barsAt reports whether requests of a customer are barred at a time; no suspect bars none.
func (s *suspect) barsAt(customer CustomerHash, now time.Time) bool {
	return s != nil && now.Sub(s.changed) < suspectTTL && s.bars(customer)
}

// add adds a loss and reports whether that changed the suspect. Of two reports on the same incarnation
// the one with the greater weight and the earlier time counts.
func (s *suspect) add(loss Loss) (changed bool) {
	i := slices.IndexFunc(s.losses, func(l Loss) bool { return l.Target == loss.Target })
	switch {
	case i >= 0:
		known := &s.losses[i]
		changed = known.Partial && !loss.Partial
		known.Partial = known.Partial && loss.Partial
		if loss.At.Before(known.At) {
			known.At = loss.At
		}
		return changed
	case len(s.losses) >= maxLosses:
		return s.part && s.replaceRedundant(loss)
	}
	s.losses = append(s.losses, loss)
	return true
}

// replaceRedundant has a loss replace one of several of the same moment, if that adds a moment: many
// targets that end together must not hide those that end later.
func (s *suspect) replaceRedundant(loss Loss) (replaced bool) {
	before := s.moments()
	for i, old := range s.losses {
		s.losses[i] = loss
		if s.moments() > before {
			return true
		}
		s.losses[i] = old
	}
	return false
}
