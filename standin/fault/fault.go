// Package fault holds the switchable faults of the stand-ins.
//
// A stand-in asks its Switches at each step which fault applies. Tests set
// faults over HTTP: PUT /faults with a JSON list replaces them all.
//
// # Usage
//
//	if f, ok := switches.Take("commit"); ok && f.Mode == fault.Refuse {
//		ctx.SetStatusCode(503)
//	}
package fault

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Mode is what goes wrong.
type Mode string

// The modes. Not every step has every mode; an unknown pair does nothing.
const (
	// Refuse answers 503 without doing anything.
	Refuse Mode = "refuse"
	// Delay waits before doing anything.
	Delay Mode = "delay"
	// DropAnswer does the work and closes the connection without an answer.
	DropAnswer Mode = "drop-answer"
	// DropRequest closes the connection without doing anything.
	DropRequest Mode = "drop-request"
	// Cut closes the connection in the middle of the answer.
	Cut Mode = "cut"
	// Reset is Cut, but resets the connection.
	Reset Mode = "reset"
	// Truncate ends the answer early but properly, without its end mark.
	Truncate Mode = "truncate"
	// Cross answers with the identity of another request.
	Cross Mode = "cross"
	// Duplicate sends a part of the answer twice.
	Duplicate Mode = "duplicate"
	// Backoff answers 503 without doing anything, and asks for no requests for Delay.
	Backoff Mode = "backoff"
	// Leaving answers as usual, and says that the target is leaving.
	Leaving Mode = "leaving"
)

// Fault is one switched fault.
type Fault struct {
	Step string `json:"step"`
	Mode Mode   `json:"mode"`
	// Count is how often it applies; 0 means until replaced.
	Count int `json:"count,omitempty"`
	// Delay is the waiting time of mode Delay and the time that mode Backoff asks for, in
	// nanoseconds.
	Delay time.Duration `json:"delay,omitempty"`
	// After is the number of parts of the answer that go out first.
	After int `json:"after,omitempty"`
	// Inside has the answer end inside the part that follows.
	Inside bool `json:"inside,omitempty"`
}

// Switches is the set of faults in force. The zero value has none.
type Switches struct {
	mu     sync.Mutex
	faults []Fault
	taken  map[string]int
}

// Set replaces all faults.
func (s *Switches) Set(faults []Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Take returns the fault that applies to step now and counts its use.
func (s *Switches) Take(step string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.faults {
		f := &s.faults[i]
		if f.Step != step || f.Count < 0 {
			continue
		}
		if f.Count == 1 {
			f.Count = -1
		} else if f.Count > 1 {
			f.Count--
		}
		s.count(step)
		return *f, true
	}
	return Fault{}, false
}

func (s *Switches) count(step string) {
	if s.taken == nil {
		s.taken = make(map[string]int)
	}
	s.taken[step]++
}

// Taken returns how often faults applied to step.
func (s *Switches) Taken(step string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taken[step]
}

// Handle serves PUT /faults and reports whether the request was for it.
func (s *Switches) Handle(ctx *fasthttp.RequestCtx) bool {
	if string(ctx.Path()) != "/faults" {
		return false
	}
	var faults []Fault
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return true
	}
	s.Set(faults)
	return true
}

// Before applies the faults that come before the work of a step. It reports
// whether the request is thereby ended.
func Before(ctx *fasthttp.RequestCtx, f Fault) bool {
	switch f.Mode {
	case Refuse:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return true
	case Backoff:
		AskBackoff(ctx, f)
		return true
	case DropRequest:
		Hangup(ctx)
		return true
	case Delay:
		time.Sleep(f.Delay)
	}
	return false
}

// AskBackoff refuses a request and asks for the time of the fault without any.
func AskBackoff(ctx *fasthttp.RequestCtx, f Fault) {
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(f.Delay.Seconds(), 'f', -1, 64))
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// Hangup closes the connection without an answer.
func Hangup(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}
