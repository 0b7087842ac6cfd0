package quarantine

import (
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

// NextHeartbeat returns the datagram that goes to other routers with the next heartbeat, nil if there
// is nothing to tell.
func (l *List) NextHeartbeat() *zinccovev1.Heartbeat {
	l.mu.Lock()
	defer l.mu.Unlock()
	told := l.tell()
	if len(told) == 0 {
		return nil
	}
	return &zinccovev1.Heartbeat{Suspects: told}
}

func (l *List) tell() []*zinccovev1.Suspect {
	if len(l.order) == 0 {
		return nil
	}
	now := l.clock.Now()
	l.forget(now)
	var told []*zinccovev1.Suspect
	for _, s := range l.order {
		if s.tell > 0 && len(told) < mostTold {
			s.tell--
			told = append(told, s.message(now))
		}
	}
	l.tells++
	if l.tells%repeatEvery != 0 {
		return told
	}
	for range min(repeatCount, len(l.order), mostTold-len(told)) {
		l.turn++
		if s := l.order[l.turn%len(l.order)]; !s.answered {
			told = append(told, s.message(now))
		}
	}
	return told
}

func (s *suspect) message(now time.Time) *zinccovev1.Suspect {
	m := &zinccovev1.Suspect{Fingerprint: s.fingerprint[:], AgeMs: uint64(max(now.Sub(s.changed), 0).Milliseconds()), Answered: s.answered}
	for _, loss := range s.losses {
		m.Targets = append(m.Targets, uint32(loss.Target))
		m.Partial = append(m.Partial, loss.Partial)
	}
	return m
}

// Merge takes what another router told, and returns the requests that are barred by it.
// What is not a fingerprint is passed over.
func (l *List) Merge(told []*zinccovev1.Suspect) []Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var barred []Fingerprint
	for _, m := range told {
		if len(m.Fingerprint) != len(Fingerprint{}) {
			continue
		}
		f := Fingerprint(m.Fingerprint)
		if l.learn(f, m, now) {
			barred = append(barred, f)
		}
	}
	return barred
}

// learn takes one suspect, or the word that one is none.
func (l *List) learn(f Fingerprint, m *zinccovev1.Suspect, now time.Time) (barred bool) {
	if m.Answered {
		s := l.suspects[f]
		if s == nil {
			s = l.add(f)
		}
		if s != nil && !s.answered {
			l.acquit(s, now)
			s.tell = 0 // who saw the answer tells all
		}
		return false
	}
	age := time.Duration(min(m.AgeMs, uint64(keepFor.Milliseconds()))) * time.Millisecond
	if age >= keepFor {
		return false
	}
	losses := make([]Loss, 0, mostLosses)
	for i, t := range m.Targets[:min(len(m.Targets), mostLosses)] {
		losses = append(losses, Loss{Target: IncarnationHash(t), Partial: i < len(m.Partial) && m.Partial[i]})
	}
	return l.blame(f, losses, now.Add(-age))
}
