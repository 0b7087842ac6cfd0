// Package service is a stand-in for a plain HTTP service with a fixed number
// of workers.
//
// POST calls have an effect, which is counted by their body; other calls have
// none. GET /effects tells the counts, so that a proof that gives each call a
// body of its own can compare what ran with what callers were told.
//
// # Usage
//
//	s := service.New(service.Options{Workers: 4, CallTime: 20 * time.Millisecond})
//	err := fasthttp.ListenAndServe("127.0.0.1:0", s.Handle)
//
// # Faults
//
// The step "call" can be switched; see package fault.
package service

import (
	"cmp"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/standin/fault"
)

// Options configure a service.
type Options struct {
	// Workers is the number of calls run at once.
	Workers int
	// CallTime is the time of one call.
	CallTime time.Duration
}

// Service serves calls.
type Service struct {
	Faults fault.Switches

	options Options
	workers chan struct{}

	mu      sync.Mutex
	effects map[string]int
}

// New returns a service.
func New(o Options) *Service {
	o.Workers = cmp.Or(o.Workers, 4)
	return &Service{options: o, workers: make(chan struct{}, o.Workers), effects: make(map[string]int)}
}

// Handle serves one call.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	switch {
	case s.Faults.Handle(ctx):
	case string(ctx.Path()) == "/effects":
		s.writeEffects(ctx)
	case string(ctx.Path()) == "/load":
		fmt.Fprintf(ctx, `{"slots":%d,"running":%d,"waiting":0}`, s.options.Workers, len(s.workers))
	default:
		s.call(ctx)
	}
}

func (s *Service) writeEffects(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	body, err := json.Marshal(s.effects)
	s.mu.Unlock()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

func (s *Service) call(ctx *fasthttp.RequestCtx) {
	f, _ := s.Faults.Take("call")
	if fault.Before(ctx, f) {
		return
	}
	s.workers <- struct{}{}
	time.Sleep(s.options.CallTime)
	if ctx.IsPost() {
		s.mu.Lock()
		s.effects[string(ctx.PostBody())]++
		s.mu.Unlock()
	}
	<-s.workers
	if f.Mode == fault.DropAnswer {
		fault.Hangup(ctx)
		return
	}
	echo := string(ctx.Request.Header.Peek("X-Attempt-Id"))
	if f.Mode == fault.Cross {
		echo = "another-attempt"
	}
	ctx.Response.Header.Set("X-Attempt-Id", echo)
	fmt.Fprintf(ctx, "%s %s %d bytes\n", ctx.Method(), ctx.Path(), len(ctx.PostBody()))
}
