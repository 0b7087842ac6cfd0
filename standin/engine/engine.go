// Package engine is a stand-in for a model engine with continuous batching.
//
// It runs a fixed number of requests at once, takes time for input and for
// each output token, orders waiting requests by priority, streams tokens as
// server-sent events, cancels and resumes, and reports its load with a lag.
// The answer to a prompt is a fixed function of it (see Answer), so a caller
// can check every byte.
//
// # Usage
//
//	e := engine.New(engine.Options{Slots: 8, TokenTime: 5 * time.Millisecond})
//	defer e.Close()
//	err := fasthttp.ListenAndServe("127.0.0.1:0", e.Handle)
//
// # Faults
//
// The steps "complete" and "load" can be switched, and "say" with the mode Leaving; see package
// fault.
package engine

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"zinccove.example/standin/fault"
	"zinccove.example/zinccove/target"
)

// Options configure an engine.
type Options struct {
	// Slots is the number of requests run at once.
	Slots int
	// TokenTime is the time of one step, which is one token of every request.
	TokenTime time.Duration
	// InputPerStep is the number of input tokens computed in one step.
	InputPerStep int
	// Version is the model version loaded at the start; an engine without one
	// serves every version and takes no orders.
	Version string
	// CheckFence makes the engine refuse orders with an old fencing number.
	CheckFence bool
	// LoadTime is the time to load a version, in which nothing is accepted.
	LoadTime time.Duration
	// LoadLag is how old the reported load is at most.
	LoadLag time.Duration
}

// Load is the engine's report of its load.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Counts are running totals for experiments.
type Counts struct {
	Steps     uint64 `json:"steps"`
	BusySlots uint64 `json:"busy_slots"`
	Tokens    uint64 `json:"tokens"`
	Ended     uint64 `json:"ended"`
	Running   int    `json:"running"`
	Waiting   int    `json:"waiting"`
}

// Run is one attempt the engine accepted.
type Run struct {
	Request string `json:"request"`
	Attempt string `json:"attempt"`
}

// Engine serves requests until Close.
type Engine struct {
	Faults fault.Switches

	options Options
	group   errgroup.Group
	stop    chan struct{}

	mu       sync.Mutex
	batch    batch
	jobs     map[string]*job
	runs     []Run
	orders   orders
	load     Load
	reported time.Time
}

// maxRuns bounds the remembered attempts.
const maxRuns = 1 << 20

// defaultOutput is the number of output tokens of a request that names none.
const defaultOutput = 16

// New starts an engine.
func New(o Options) *Engine {
	o.Slots = cmp.Or(o.Slots, 8)
	o.TokenTime = cmp.Or(o.TokenTime, 5*time.Millisecond)
	o.InputPerStep = cmp.Or(o.InputPerStep, 256)
	e := &Engine{options: o, stop: make(chan struct{}), jobs: make(map[string]*job), batch: batch{slots: o.Slots}, orders: orders{version: o.Version}}
	e.group.Go(e.run)
	return e
}

// Close stops the engine and waits for it.
func (e *Engine) Close() error {
	close(e.stop)
	return e.group.Wait()
}

func (e *Engine) run() error {
	tick := time.NewTicker(e.options.TokenTime)
	defer tick.Stop()
	for {
		select {
		case <-e.stop:
			return nil
		case <-tick.C:
			e.mu.Lock()
			e.batch.step()
			e.mu.Unlock()
		}
	}
}

// completion is the body of a request.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// OutputTokens is the true length of the answer; the default is MaxTokens.
	OutputTokens int `json:"output_tokens"`
	// ResumeFrom is the number of tokens the caller already has.
	ResumeFrom int `json:"resume_from"`
}

// Handle serves one request.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	if e.Faults.Handle(ctx) {
		return
	}
	switch string(ctx.Path()) {
	case "/v1/completions":
		e.complete(ctx)
	case "/v1/cancel":
		e.cancelNamed(string(ctx.QueryArgs().Peek("attempt")))
	case "/v1/state":
		e.writeLocked(ctx, func() any { return e.orders.state(time.Now()) })
	case "/v1/orders":
		e.order(ctx)
	case "/orders":
		e.writeLocked(ctx, func() any { return e.orders.taken })
	case "/load":
		e.writeLoad(ctx)
	case "/counts":
		e.writeLocked(ctx, func() any {
			return Counts{Steps: e.batch.steps, BusySlots: e.batch.busy, Tokens: e.batch.tokens, Ended: e.batch.ended,
				Running: len(e.batch.running), Waiting: len(e.batch.waiting)}
		})
	case "/runs":
		e.writeLocked(ctx, func() any { return e.runs })
	default:
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}

func (e *Engine) writeLocked(ctx *fasthttp.RequestCtx, value func() any) {
	e.mu.Lock()
	body, err := json.Marshal(value())
	e.mu.Unlock()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (e *Engine) writeLoad(ctx *fasthttp.RequestCtx) {
	if f, ok := e.Faults.Take("load"); ok && fault.Before(ctx, f) {
		return
	}
	e.writeLocked(ctx, func() any {
		if now := time.Now(); now.Sub(e.reported) >= e.options.LoadLag {
			e.reported = now
			e.load = Load{Slots: e.options.Slots, Running: len(e.batch.running), Waiting: len(e.batch.waiting)}
		}
		return e.load
	})
}

func (e *Engine) cancelNamed(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j := e.jobs[attempt]; j != nil {
		e.batch.cancel(j)
		close(j.events)
		delete(e.jobs, attempt)
	}
}

func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	if f, ok := e.Faults.Take("say"); ok && f.Mode == fault.Leaving {
		ctx.Response.Header.Set(target.HeaderLeaving, "1")
	}
	f, _ := e.Faults.Take("complete")
	if fault.Before(ctx, f) {
		return
	}
	if !e.serves(string(ctx.Request.Header.Peek(target.HeaderVersion))) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	j, err := e.newJob(ctx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.start(j)
	if f.Mode == fault.DropAnswer {
		e.drain(j)
		fault.Hangup(ctx)
		return
	}
	echo := j.id
	if f.Mode == fault.Cross {
		echo = "another-attempt"
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("X-Attempt-Id", echo)
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.finish(j)
		if !e.stream(w, j, f) {
			conn.Close()
		}
	})
}

func (e *Engine) newJob(ctx *fasthttp.RequestCtx) (*job, error) {
	var c completion
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		return nil, err
	}
	priority, _ := strconv.ParseInt(string(ctx.Request.Header.Peek("X-Priority")), 10, 64)
	input := max(len(strings.Fields(c.Prompt)), 1)
	output := cmp.Or(c.OutputTokens, c.MaxTokens, defaultOutput)
	return &job{
		id:       string(ctx.Request.Header.Peek("X-Attempt-Id")),
		request:  string(ctx.Request.Header.Peek("X-Request-Id")),
		priority: priority,
		seed:     xxhash.Sum64String(c.Prompt),
		input:    input,
		output:   output,
		next:     c.ResumeFrom,
		prefill:  (input + e.options.InputPerStep - 1) / e.options.InputPerStep,
		events:   make(chan event, max(output-c.ResumeFrom, 0)+1),
	}, nil
}

func (e *Engine) start(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jobs[j.id] = j
	e.batch.add(j)
	if len(e.runs) < maxRuns {
		e.runs = append(e.runs, Run{Request: j.request, Attempt: j.id})
	}
}

func (e *Engine) drain(j *job) {
	for ev := range j.events {
		if ev.last {
			break
		}
	}
	e.finish(j)
}

func (e *Engine) finish(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.cancel(j)
	delete(e.jobs, j.id)
}

// stream writes the events of a job and reports whether the answer may end
// properly. A failed write means that the other side is gone.
func (e *Engine) stream(w *bufio.Writer, j *job, f fault.Fault) bool {
	sent := 0
	for ev := range j.events {
		if f.Mode == fault.Truncate && sent >= f.After {
			return true
		}
		if f.Mode == fault.Cut && sent >= f.After {
			return false
		}
		if ev.last {
			writeEnd(w, j)
			return true
		}
		writeToken(w, j, ev)
		if f.Mode == fault.Duplicate && sent == f.After {
			writeToken(w, j, ev)
		}
		sent++
		if err := w.Flush(); err != nil {
			return false
		}
	}
	return false
}

func writeToken(w *bufio.Writer, j *job, ev event) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"index\":%d,\"text\":%q}\n\n", j.id, ev.index, ev.text)
}

func writeEnd(w *bufio.Writer, j *job) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"finish_reason\":\"stop\",\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", j.id, j.input, j.output)
}
