package quarantine

import (
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

// NextHeartbeat returns the datagram that is sent to other routers with the next heartbeat, nil
// if there are no suspects to send.
func (l *List) NextHeartbeat() *zinccovev1.Heartbeat {
	l.mu.Lock()
	defer l.mu.Unlock()
	suspects := l.nextSuspects()
	if len(suspects) == 0 {
		return nil
	}
	return &zinccovev1.Heartbeat{Suspects: suspects}
}

func (l *List) nextSuspects() []*zinccovev1.Suspect {
	if len(l.order) == 0 {
		return nil
	}
	now := l.clock.Now()
	l.expire(now)
	var suspects []*zinccovev1.Suspect
	for _, s := range l.order {
		if s.announcements > 0 && len(suspects) < maxPerDatagram {
			s.announcements--
			suspects = append(suspects, s.proto(now))
		}
	}
	l.heartbeats++
	if l.heartbeats%repeatEvery != 0 {
		return suspects
	}
	for range min(repeatCount, len(l.order), maxPerDatagram-len(suspects)) {
		l.turn++
		if s := l.order[l.turn%len(l.order)]; !s.answered {
			suspects = append(suspects, s.proto(now))
		}
	}
	return suspects
}

func (s *suspect) proto(now time.Time) *zinccovev1.Suspect {
	m := &zinccovev1.Suspect{Fingerprint: s.fingerprint[:], AgeMs: uint64(max(now.Sub(s.changed), 0).Milliseconds()), Answered: s.answered}
	for _, loss := range s.losses {
		m.Targets = append(m.Targets, uint32(loss.Target))
		m.Partial = append(m.Partial, loss.Partial)
	}
	return m
}

// Merge adds the suspects of another router, and returns the requests that are barred by them.
// Entries without a valid fingerprint are skipped.
func (l *List) Merge(suspects []*zinccovev1.Suspect) []Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var barred []Fingerprint
	for _, m := range suspects {
		if len(m.Fingerprint) != len(Fingerprint{}) {
			continue
		}
		f := Fingerprint(m.Fingerprint)
		if l.mergeSuspect(f, m, now) {
			barred = append(barred, f)
		}
	}
	return barred
}

// mergeSuspect adds one suspect, or clears it if the other router reports a response.
func (l *List) mergeSuspect(f Fingerprint, m *zinccovev1.Suspect, now time.Time) (barred bool) {
	if m.Answered {
		s := l.suspects[f]
		if s == nil {
			s = l.add(f)
		}
		if s != nil && !s.answered {
			l.markCleared(s, now)
			s.announcements = 0 // the router that received the response announces it to all
		}
		return false
	}
	age := time.Duration(min(m.AgeMs, uint64(suspectTTL.Milliseconds()))) * time.Millisecond
	if age >= suspectTTL {
		return false
	}
	losses := make([]Loss, 0, maxLosses)
	for i, t := range m.Targets[:min(len(m.Targets), maxLosses)] {
		losses = append(losses, Loss{Target: IncarnationHash(t), Partial: i < len(m.Partial) && m.Partial[i]})
	}
	return l.addLosses(f, losses, now.Add(-age))
}
