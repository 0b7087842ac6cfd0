package proof

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"zinccove.example/standin/engine"
	"zinccove.example/standin/fleet"
)

// Load of each cell of the matrix.
const (
	streams      = 12
	onceCalls    = 12
	streamTokens = 40
	timeoutMS    = "6000"
)

// told is what one caller was told.
type told struct {
	what    string
	outcome string
	// request is the id in the answer, if it named one.
	request string
	// body identifies the effect of a call.
	body string
	// wrong says what is wrong with an answer.
	wrong string
}

// history collects what all callers were told in one cell.
type history struct {
	mu    sync.Mutex
	tolds []told
}

func (h *history) add(t told) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tolds = append(h.tolds, t)
}

func (h *history) count(what, outcome string) int {
	n := 0
	for _, t := range h.tolds {
		if t.what == what && t.outcome == outcome {
			n++
		}
	}
	return n
}

// outcomes of requests as callers see them.
const (
	answered = "answered"
	replayed = "replayed"
	notRun   = "not_run"
	unknown  = "unknown"
	// silent: the connection broke without an answer, as when a router dies.
	silent = "silent"
)

// load sends streams, and calls that may not be repeated, each through two
// routers at once with the same key.
func (s *site) load(cell string) *history {
	h := new(history)
	var g errgroup.Group
	for i := range streams {
		to := s.Routers[i%len(s.Routers)]
		g.Go(func() error {
			h.add(stream(to, fmt.Sprintf("%s stream %d", cell, i)))
			return nil
		})
	}
	for i := range onceCalls {
		body := fmt.Sprintf("%s call %d", cell, i)
		for k := range 2 {
			to := s.Routers[(i+k)%len(s.Routers)]
			g.Go(func() error {
				h.add(callOnce(to, body))
				return nil
			})
		}
	}
	g.Wait() //nolint:errcheck // no function returns an error
	return h
}

func stream(to *fleet.Router, prompt string) told {
	r := newCaller("a").post(to.Caller, "/v1/completions", completion(prompt, streamTokens, true), "X-Timeout-Ms", timeoutMS)
	t := told{what: "stream", outcome: silent, request: r.header.Get("X-Request-Id")}
	got := parseStream(r.body)
	want := engine.Answer(prompt, streamTokens)
	switch {
	case r.status == http.StatusOK && got.whole && got.text == want:
		t.outcome = answered
	case r.status == http.StatusOK && got.whole:
		t.outcome, t.wrong = answered, fmt.Sprintf("got %q for %q", got.text, prompt)
	case !strings.HasPrefix(want, got.text):
		t.wrong = fmt.Sprintf("got a part %q that is not of the answer to %q", got.text, prompt)
	case r.status == http.StatusOK && got.err.Code != "":
		t.outcome = got.err.Outcome
	case r.status != 0 && r.status != http.StatusOK:
		t.outcome, t.request = r.refusal().Outcome, r.refusal().RequestID
	}
	if t.outcome == "" {
		t.wrong = fmt.Sprintf("status %d without an outcome: %s", r.status, r.body)
	}
	return t
}

func callOnce(to *fleet.Router, body string) told {
	r := newCaller("b").post(to.Caller, "/services/archive/entries", body, "Idempotency-Key", body, "X-Timeout-Ms", timeoutMS)
	t := told{what: "call", outcome: silent, body: body, request: r.header.Get("X-Request-Id")}
	want := fmt.Sprintf("POST /entries %d bytes\n", len(body))
	switch {
	case r.status == http.StatusOK && r.body != want:
		t.outcome, t.wrong = answered, fmt.Sprintf("got %q", r.body)
	case r.status == http.StatusOK && r.header.Get("X-Replayed") != "":
		t.outcome = replayed
	case r.status == http.StatusOK:
		t.outcome = answered
	case r.status != 0:
		t.outcome = r.refusal().Outcome
	}
	if t.outcome == "" {
		t.wrong = fmt.Sprintf("status %d without an outcome: %s", r.status, r.body)
	}
	return t
}

// ran is what the targets really did.
type ran struct {
	// streams counts attempts by request id, effects by body of the call.
	streams map[string]int
	effects map[string]int
}

func (s *site) ran() (ran, error) {
	all := ran{streams: make(map[string]int), effects: make(map[string]int)}
	for _, e := range s.Engines {
		var runs []engine.Run
		if err := fleet.GetJSON(e.Address, "/runs", &runs); err != nil {
			return all, err
		}
		for _, r := range runs {
			all.streams[r.Request]++
		}
	}
	for _, sv := range s.Services {
		var effects map[string]int
		if err := fleet.GetJSON(sv.Address, "/effects", &effects); err != nil {
			return all, err
		}
		for body, n := range effects {
			all.effects[body] += n
		}
	}
	return all, nil
}

// check compares what callers were told with what ran. Targets that were
// killed have forgotten what they ran, so partial says that counts may be too
// low.
func (h *history) check(r ran, partial bool) []string {
	var wrong []string
	fail := func(t told, text string) {
		wrong = append(wrong, fmt.Sprintf("%s %s %s told %s: %s", t.what, t.request, t.body, t.outcome, text))
	}
	for _, t := range h.tolds {
		if t.wrong != "" {
			fail(t, t.wrong)
		}
		if t.what == "stream" && t.outcome == notRun && t.request != "" && r.streams[t.request] > 0 {
			fail(t, "but an engine ran it")
		}
		if t.what == "call" && r.effects[t.body] > 1 {
			fail(t, fmt.Sprintf("but it ran %d times", r.effects[t.body]))
		}
		if t.what == "call" && t.outcome == answered && r.effects[t.body] == 0 && !partial {
			fail(t, "but it did not run")
		}
	}
	return append(wrong, h.checkNotRun(r)...)
}

// checkNotRun looks at the calls of which every caller was told that its own
// request did not run: then none has run.
func (h *history) checkNotRun(r ran) []string {
	ranByOther := make(map[string]bool)
	for _, t := range h.tolds {
		if t.what == "call" && t.outcome != notRun {
			ranByOther[t.body] = true
		}
	}
	var wrong []string
	for _, t := range h.tolds {
		if t.what == "call" && !ranByOther[t.body] && r.effects[t.body] > 0 {
			wrong = append(wrong, fmt.Sprintf("call %s ran, but both callers were told not_run", t.body))
		}
	}
	return wrong
}
