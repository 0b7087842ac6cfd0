package ingress

import (
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/dispatch"
	"zinccove.example/zinccove/fair"
	"zinccove.example/zinccove/request"
	"zinccove.example/zinccove/target"
)

// newTestFlow returns a flow of the server's only customer to its only service.
func newTestFlow(s *Server, timeout time.Duration) *flow {
	clock := s.options.Clock
	snap := s.options.Syncer.Current()
	deadline := clock.Now().Add(timeout)
	return &flow{
		server: s, accepted: clock.Now(), deadline: deadline, callerDone: make(chan struct{}),
		submission: dispatch.Request{
			Pool: snap.Config.Service("s").Number, Customer: fair.Customer(snap.Customer([]byte("key")).Number),
		},
		request: request.New(request.Options{ID: "r", Repeatable: true, Deadline: deadline, MaxAttempts: maxAttempts}),
	}
}

// TestDisconnectedCallersDoNotOpenTheCircuit cancels attempts because their callers
// disconnected. However many there are, the target must stay usable for the
// next caller.
func TestDisconnectedCallersDoNotOpenTheCircuit(t *testing.T) {
	s := newServer(t, listenHTTP(t, echo))
	for range 10 {
		f := newTestFlow(s, 100*time.Millisecond)
		f.unwatch = func() {} // it has no connection to watch
		assert.Assert(t, f.acquire() == nil)
		f.attempt()
		f.interrupt()
		r := f.handleFailure(&target.Failure{Kind: target.Broken, Err: eris.New("connection closed")})
		assert.Equal(t, r.Code, CodeCallerGone)
	}
	f := newTestFlow(s, 100*time.Millisecond)
	f.unwatch = func() {} // it has no connection to watch
	r := f.acquire()
	assert.Assert(t, r == nil, "%v", r)
	f.release(dispatch.Completed)
}
