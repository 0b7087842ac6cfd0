package quarantine

import (
	"slices"
	"time"
)

const (
	// trialTurn is the time after which the next router may try parts that were barred together. A
	// trial begins in the first trialWindow of it, so that others know how it ended, or that it has
	// been written for a while, before the next one.
	trialTurn   = 2 * time.Second
	trialWindow = time.Second
	// maxUnexplained is the number of moments at which targets may have ended under a part, but not under
	// the one that is to blame instead: other targets end as well.
	maxUnexplained = 1
)

// SetTurn sets the place of this router among all that take turns with trials. There are no trials
// before it is called.
func (l *List) SetTurn(position, routers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.position, l.routers = position, routers
}

// hasTurn reports whether this router may begin a trial.
func (l *List) hasTurn(now time.Time) bool {
	if l.routers == 0 {
		return false
	}
	turn := now.UnixNano() / int64(trialTurn)
	return turn%int64(l.routers) == int64(l.position) && now.UnixNano()%int64(trialTurn) < int64(trialWindow)
}

// mayTry reports whether a request may reach a target despite its barred parts: as a trial of parts that
// another part, which the request does not have, explains as well. Its response clears them. If the target
// ends, they have a loss more than the other part.
func (l *List) mayTry(c *Content, barred []Attribute, now time.Time) bool {
	if !c.tried && !l.hasTurn(now) {
		return false
	}
	for _, a := range barred {
		s := l.suspects[a.Fingerprint]
		if !c.tried && now.Sub(s.tried) < trialTurn || !l.explainedWithout(c, s, now) {
			return false
		}
	}
	for _, a := range barred {
		l.suspects[a.Fingerprint].tried = now
	}
	c.tried = true
	return true
}

// explainedWithout reports whether a barred part that the request does not have explains the losses of s.
func (l *List) explainedWithout(c *Content, s *suspect, now time.Time) bool {
	return slices.ContainsFunc(l.order, func(other *suspect) bool {
		return other.part && other != s && now.Sub(other.changed) < suspectTTL &&
			s.unexplained(other) <= maxUnexplained && other.barred() && !c.hasPart(other.fingerprint)
	})
}

func (c *Content) hasPart(f Fingerprint) bool {
	return slices.ContainsFunc(c.parts(), func(a Attribute) bool { return a.Fingerprint == f })
}

// unexplained returns the number of moments at which targets ended under s and not under the other suspect.
func (s *suspect) unexplained(other *suspect) int {
	var losses []Loss
	for _, loss := range s.losses {
		if !slices.ContainsFunc(other.losses, func(l Loss) bool { return l.Target == loss.Target }) {
			losses = append(losses, loss)
		}
	}
	return countMoments(losses)
}
