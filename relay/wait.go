package relay

import (
	"sync"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/route"
)

// Waits lets requests wait for places at targets. With a nil Begin none wait.
type Waits struct {
	// Begin asks the owners of targets for a place.
	Begin func(*place.Wait) *Wait
	// Requests is the largest number of requests that wait at once.
	Requests int
}

// Wait is a request that waits for a place.
type Wait struct {
	// Grants receives the places that the request gets. It is closed when none can come any more.
	Grants <-chan place.Grant
	// End ends the wait. Used is the place that the request uses, nil if it uses none.
	End func(used *place.Grant)
}

const (
	// maxWaitingBytes bounds the bodies of the requests that wait.
	maxWaitingBytes = 4 << 20
	// maxGrants is the number of places that one request may get without using them: what a place is
	// granted by is a few milliseconds old when it arrives.
	maxGrants = 3
)

// waiting counts the requests that wait for places.
type waiting struct {
	mu       sync.Mutex
	requests int
	bytes    int
}

// full reports whether no more requests may wait.
func (w *waiting) full(limit int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests >= limit
}

// enter counts a request with a body of a number of bytes, unless too much waits already.
func (w *waiting) enter(limit, bytes int) (requests int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.requests >= limit || w.bytes+bytes > maxWaitingBytes {
		return w.requests, false
	}
	w.requests++
	w.bytes += bytes
	return w.requests, true
}

func (w *waiting) leave(bytes int) (requests int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests--
	w.bytes -= bytes
	return w.requests
}

// mayWait reports whether the request may wait for a place: a stream that was sent nowhere yet, at a
// router that is neither impaired nor stopping.
func (f *flight) mayWait() bool {
	s := f.server
	w := &s.options.Waits
	return w.Begin != nil && f.engine && f.route.Kind == route.Stream && len(f.tried) == 0 && !f.resumed &&
		s.stopped.Load() == nil && !s.impaired() && (f.waits || !s.waiting.full(w.Requests))
}

// awaitPlace lets a request wait that is refused for load, and places it where it gets a place. The
// refusal is set if the wait was ended by the caller or by this router.
func (f *flight) awaitPlace(d place.Decision) (place.Decision, *refusal) {
	s := f.server
	requests, ok := s.waiting.enter(s.options.Waits.Requests, len(f.body))
	if !ok {
		return d, nil
	}
	s.options.Metrics.Set(metric.RequestsWaiting, float64(requests))
	defer func() { s.options.Metrics.Set(metric.RequestsWaiting, float64(s.waiting.leave(len(f.body)))) }()
	f.markDispatched()
	f.waits = true
	defer func() { f.waits = false }()
	began := s.options.Clock.Now()
	s.logWaits(f, d.Waiting)
	var r *refusal
	for granted := 0; d.Waiting != nil && granted < maxGrants; granted++ {
		var placed place.Decision
		if placed, r = f.waitOnce(d.Waiting); r != nil || placed.Reason == "" && placed.Run == nil {
			break
		}
		d = placed
	}
	f.waited = s.options.Clock.Since(began)
	s.options.Metrics.Observe(metric.PlaceWait, f.waited)
	if d.Run != nil {
		s.options.Metrics.Inc(metric.WaitsGranted)
	} else {
		s.options.Metrics.Inc(metric.WaitsNotGranted)
	}
	return d, r
}

// waitOnce waits for one place and places the request there. The decision is zero if there came none.
func (f *flight) waitOnce(w *place.Wait) (place.Decision, *refusal) {
	s := f.server
	f.waitedLate = w.Late
	wake := f.beginWait()
	if wake == nil {
		return place.Decision{}, f.refuseInterrupted()
	}
	asked := s.options.Waits.Begin(w)
	timer := s.options.Clock.NewTimer(w.Left)
	defer timer.Stop()
	select {
	case g, ok := <-asked.Grants:
		if !ok {
			break
		}
		return f.useGrant(asked, &g), nil
	case <-timer.Chan():
	case <-wake:
		asked.End(nil)
		return place.Decision{}, f.refuseInterrupted()
	case <-s.stopping:
		asked.End(nil)
		return place.Decision{}, &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonStopping, retryAfter: stoppingRetry}
	}
	asked.End(nil)
	return place.Decision{}, nil
}

// useGrant places the request at the target that granted a place.
func (f *flight) useGrant(w *Wait, g *place.Grant) place.Decision {
	f.mu.Lock()
	f.wake = nil
	f.mu.Unlock()
	r := f.placement()
	r.Grant = g
	f.decision = f.server.options.Placer.Place(r)
	switch {
	case f.decision.Run != nil:
		w.End(g)
	case f.decision.Reason == place.Overloaded:
		w.End(nil)
	default: // the target takes no requests any more
		w.End(nil)
		return f.place()
	}
	return f.decision
}

// refuseInterrupted returns the refusal of a request that was cancelled while it waited.
func (f *flight) refuseInterrupted() *refusal {
	switch f.interrupted() {
	case causeCallerClosed:
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonCallerGone}
	case causeStopped:
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonStopping, retryAfter: stoppingRetry}
	}
	return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonTimeLimit}
}

// beginWait returns a channel that interrupt closes, nil if the request was cancelled.
func (f *flight) beginWait() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cause != causeNone {
		return nil
	}
	f.wake = make(chan struct{})
	return f.wake
}

// endWait wakes the request if it waits. The caller holds f.mu.
func (f *flight) endWait() {
	if f.wake != nil {
		close(f.wake)
		f.wake = nil
	}
}
