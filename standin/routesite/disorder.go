package routesite

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"
)

// Disorder is a way in which the events of a stream are out of order.
type Disorder string

// The ways.
const (
	InOrder Disorder = ""
	// Lost lacks events before the one that came, Repeated has that one before.
	Lost     Disorder = "lost"
	Repeated Disorder = "repeated"
	// Joined has events of two runs: of two requests or two versions, or an event made of parts of others.
	Joined Disorder = "joined"
	// EarlyEnd looks complete and lacks its last events.
	EarlyEnd Disorder = "early end"
)

// compareEvent compares an event with the n-th one of a request. It returns the version that wrote it.
func compareEvent(id string, n int, number, data string) (version string, d Disorder) {
	text, found := strings.CutPrefix(number, "id: ")
	got, err := strconv.Atoi(text)
	version, ok := strings.CutPrefix(data, fmt.Sprintf("data: %s %d ", id, got))
	switch {
	case !found || err != nil || !ok || strings.Contains(version, " "):
		return version, Joined
	case got < n:
		return version, Repeated
	case got > n:
		return version, Lost
	}
	return version, InOrder
}

// Disorder returns how the events of the response to a stream's request, which began it, are out of
// order.
func (a *Answer) Disorder() Disorder {
	if !a.Complete() {
		return InOrder
	}
	s := &Stream{Tries: []Try{{Status: a.Status}}}
	s.read(a.ID, bufio.NewReader(strings.NewReader(a.Body)), nil) //nolint:errcheck // the stream tells
	return s.Disorder()
}
