package relay

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

var (
	errRepeatedEvent = eris.New("target repeats an event that was passed on")
	errMissedEvent   = eris.New("target leaves out events after the last one that was passed on")
)

// minConsecutive is the number of events from which on consecutive IDs count events. IDs that count
// tokens are consecutive for a while, too, where each event holds one.
const minConsecutive = 8

// sequence checks that the events of a stream follow each other, over all targets that send parts of
// it. The IDs of events rise; those that are no numbers are not compared. Most targets count events, so
// that a gap between two targets shows if the IDs before it were consecutive. Within the response of
// one target a gap may be an event with several tokens.
type sequence struct {
	// last is the ID of the last event, number its value; numbered reports that it is a number.
	last     string
	number   uint64
	numbered bool
	// events is the number of events with an ID, gaps reports that their IDs were not consecutive.
	events int
	gaps   bool
	// nameless is set while an event with data and without an ID is the last one: no target can be told
	// from where to go on.
	nameless bool
	// resumption is the latest one, until it is taken; resuming is set until its first event.
	resumption *resumption
	resuming   bool
}

// resumption is where a target resumed a stream.
type resumption struct {
	// last is the event after which the stream was resumed, first the first event of the target.
	last, first string
}

// resumeAfter expects the events of a target that resumes the stream after an event. An empty ID
// expects a stream from its start.
func (s *sequence) resumeAfter(last string) {
	if last == "" {
		return
	}
	s.set(last)
	s.resuming = true
}

// set makes id that of the last event.
func (s *sequence) set(id string) {
	n, err := strconv.ParseUint(id, 10, 64)
	s.last, s.number, s.numbered = id, n, err == nil
}

// takeResumed returns a resumption once its first event is known; nil otherwise.
func (s *sequence) takeResumed() *resumption {
	r := s.resumption
	s.resumption = nil
	return r
}

// add adds complete events. It returns the length of those that follow the earlier ones, and an error
// if one does not.
func (s *sequence) add(events []byte) (n int, err error) {
	for n < len(events) {
		size := eventSize(events[n:])
		if err := s.addEvent(events[n : n+size]); err != nil {
			return n, err
		}
		n += size
	}
	return n, nil
}

// addEvent adds one event.
func (s *sequence) addEvent(event []byte) error {
	id, data := eventID(event)
	if id == "" {
		s.nameless = s.nameless || data
		return nil
	}
	if s.resuming {
		s.resumption = &resumption{last: s.last, first: id}
	}
	if err := s.compare(id); err != nil {
		return err
	}
	s.set(id)
	s.events++
	s.resuming, s.nameless = false, false
	return nil
}

// compare compares the ID of the next event with the last one.
func (s *sequence) compare(id string) error {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil || !s.numbered {
		return nil //nolint:nilerr // only numbers are compared
	}
	switch {
	case n <= s.number:
		return errRepeatedEvent
	case n == s.number+1:
		return nil
	case s.resuming && !s.gaps && s.events >= minConsecutive:
		return errMissedEvent
	}
	s.gaps = true
	return nil
}

// eventSize returns the length of the first of some complete events.
func eventSize(events []byte) int {
	size := 0
	for line := range bytes.Lines(events) {
		size += len(line)
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return size
		}
	}
	return size
}

// eventID returns the ID of an event, empty if it has none, and whether the event has data.
func eventID(event []byte) (id string, data bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		data = data || bytes.HasPrefix(line, []byte("data:"))
	}
	return id, data
}
