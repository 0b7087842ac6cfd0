package quarantine

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

const (
	// announceCount is the number of heartbeats that announce a change, so that lost datagrams
	// do no harm. Routers that start or were cut off receive the other suspects in turn:
	// repeatCount suspects with each repeatEvery-th heartbeat.
	announceCount = 5
	repeatEvery   = 10
	repeatCount   = 8
	// maxPerDatagram bounds the suspects of one datagram, maxDatagramBytes their size.
	maxPerDatagram   = 16
	maxDatagramBytes = 1200
)

// SetForwarding has suspects that other routers report announced as well, as routers of a large fleet
// do not send heartbeats to all others.
func (l *List) SetForwarding(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forwards = on
}

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
	d := datagram{now: now}
	for _, s := range l.pending() {
		if !d.add(s) {
			break
		}
		s.announcements--
	}
	l.heartbeats++
	if l.heartbeats%repeatEvery != 0 {
		return d.suspects
	}
	for _, s := range l.repeats() {
		if !d.add(s) {
			break
		}
	}
	return d.suspects
}

// repeats returns the suspects that are announced in turn, barred ones first: a router that was cut off
// needs them soon.
func (l *List) repeats() []*suspect {
	var barred, others []*suspect
	for _, s := range l.order {
		switch {
		case s.answered:
		case s.barred():
			barred = append(barred, s)
		default:
			others = append(others, s)
		}
	}
	l.turn += repeatCount
	return slices.Concat(rotated(barred, l.turn), rotated(others, l.turn))[:min(repeatCount, len(barred)+len(others))]
}

// rotated returns a list that begins at a position counted beyond its end.
func rotated[T any](list []T, from int) []T {
	if len(list) == 0 {
		return nil
	}
	from %= len(list)
	return slices.Concat(list[from:], list[:from])
}

// pending returns the suspects that are to be announced, those with the most losses first, and of these
// the ones that were announced less often.
func (l *List) pending() []*suspect {
	var list []*suspect
	for _, s := range l.order {
		if s.announcements > 0 {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.losses), len(a.losses)), cmp.Compare(b.announcements, a.announcements))
	})
	return list
}

// datagram collects suspects.
type datagram struct {
	now      time.Time
	suspects []*zinccovev1.Suspect
	bytes    int
}

// add adds a suspect unless the datagram is full.
func (d *datagram) add(s *suspect) bool {
	m := s.proto(d.now)
	size := proto.Size(m)
	if len(d.suspects) >= maxPerDatagram || d.bytes+size > maxDatagramBytes {
		return false
	}
	d.bytes += size
	d.suspects = append(d.suspects, m)
	return true
}

func (s *suspect) proto(now time.Time) *zinccovev1.Suspect {
	m := &zinccovev1.Suspect{Fingerprint: s.fingerprint[:], AgeMs: ageMs(s.changed, now), Answered: s.answered, Part: s.part}
	for _, loss := range s.losses {
		m.Targets = append(m.Targets, uint32(loss.Target))
		m.Partial = append(m.Partial, loss.Partial)
		m.Customers = append(m.Customers, uint32(loss.Customer))
		m.AgesMs = append(m.AgesMs, uint32(ageMs(loss.At, now)))
	}
	return m
}

// ageMs returns the time since t in milliseconds, at most suspectTTL.
func ageMs(t, now time.Time) uint64 {
	return uint64(min(max(now.Sub(t), 0), suspectTTL).Milliseconds())
}

// Merge adds the suspects of another router, and returns the attributes that are barred by them.
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
		l.mergeCleared(f, m, now)
		return false
	}
	at := mergedTime(m.AgeMs, now)
	if now.Sub(at) >= suspectTTL || len(m.Targets) == 0 {
		return false
	}
	added, barred := l.addLosses(f, m.Part, decodeLosses(m, now), at)
	s := l.suspects[f]
	if s == nil || !added {
		return false
	}
	if s.part && l.parts.contains(f, now) {
		l.markCleared(s, now) // a response that this router knows of
		return false
	}
	if l.forwards {
		s.announcements = announceCount
	}
	if barred && s.recordedHere {
		l.notifyBarred(s)
	}
	return barred
}

// mergeCleared clears a suspect of which another router reports a response.
func (l *List) mergeCleared(f Fingerprint, m *zinccovev1.Suspect, now time.Time) {
	s := l.suspects[f]
	if s == nil {
		if s = l.add(f); s == nil {
			return
		}
		s.part = m.Part
	}
	if s.answered {
		return
	}
	l.markCleared(s, now)
	if !l.forwards {
		s.announcements = 0 // the router that received the response announces it to all
	}
}

func decodeLosses(m *zinccovev1.Suspect, now time.Time) []Loss {
	losses := make([]Loss, 0, maxLosses)
	for i, t := range m.Targets[:min(len(m.Targets), maxLosses)] {
		loss := Loss{Target: IncarnationHash(t), Partial: i < len(m.Partial) && m.Partial[i], At: mergedTime(m.AgeMs, now)}
		if i < len(m.Customers) {
			loss.Customer = CustomerHash(m.Customers[i])
		}
		if i < len(m.AgesMs) {
			loss.At = mergedTime(uint64(m.AgesMs[i]), now)
		}
		losses = append(losses, loss)
	}
	return losses
}

// mergedTime returns the time of an age that another router reported.
func mergedTime(ageMs uint64, now time.Time) time.Time {
	return now.Add(-time.Duration(min(ageMs, uint64(suspectTTL.Milliseconds()))) * time.Millisecond)
}
