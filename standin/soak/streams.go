package soak

import (
	"errors"
	"time"

	"zinccove.example/standin/fault"
	"zinccove.example/standin/fleet"
	"zinccove.example/standin/routesite"
)

const (
	// streamPath is the path whose streams callers resume.
	streamPath = "/gloss/a?x=1"
	// leaveEvery is the number of streams of which a caller leaves one after leaveAfter events, as if
	// its connection had broken.
	leaveEvery = 3
	leaveAfter = 5
	// maxTries is how often a caller requests a stream.
	maxTries = 3
)

// versions are those of the targets' software, which serve side by side.
var versions = []string{"v1", "v2"}

// breakStreams starts a target of each version and has both break off all streams after some events,
// so that routers and callers resume them elsewhere.
func (r *run) breakStreams() (func() error, error) {
	var targets []*fleet.Target
	for range versions {
		// The plain target between them makes their versions differ.
		for _, service := range []string{routesite.Model, routesite.Plain} {
			w, err := r.startTarget(service, r.draw.IntN(r.options.Routers), shortDrain)
			if err != nil {
				return nil, err
			}
			if service == routesite.Model {
				targets = append(targets, w)
			}
		}
	}
	after := 1 + r.draw.IntN(leaveAfter)
	set := func(faults ...fault.Fault) error {
		var err error
		for _, w := range targets {
			if !w.Ended() {
				err = errors.Join(err, fleet.SetFaults(w.Address, faults...))
			}
		}
		return err
	}
	return func() error { return set() }, set(fault.Fault{Step: "run", Mode: fault.Cut, After: after})
}

// stream reads a stream from one router after the other until it is whole.
func (r *run) stream(router, n int) {
	st := r.site.NewStream(streamPath, key)
	leave := func(events int) bool { return n%leaveEvery == 0 && events == leaveAfter && len(st.Tries) == 0 }
	for i := range maxTries {
		sent := time.Now()
		st.Try(r.site.Routers[(router+i)%len(r.site.Routers)].Caller, leave)
		last := st.Last()
		r.take(&routesite.Answer{ID: last.ID, Path: streamPath, Router: last.Router, Sent: sent, Status: last.Status, Err: last.Err})
		if st.Whole() || len(st.Versions) == 0 || st.Disorder() != routesite.InOrder {
			break
		}
	}
	r.takeStream(st)
}

// takeStream checks that the events are in order.
func (r *run) takeStream(st *routesite.Stream) {
	d := st.Disorder()
	if d != routesite.InOrder {
		r.violate("%s: %s: %s, %d events, versions %v, %+v", d, streamPath, st.Problem, len(st.Versions), st.Versions, st.Tries)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range st.Tries {
		if d != routesite.InOrder {
			r.wrong = append(r.wrong, t.ID)
		}
	}
	if st.Whole() {
		r.report.Whole++
	}
	if len(st.Tries) > 1 {
		r.report.Resumed++
		if st.Whole() {
			r.report.ResumedWhole++
		}
	}
}
