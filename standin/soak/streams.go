package soak

import (
	"time"

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

// stream reads a stream from one router after the other until it is whole.
func (r *run) stream(router, n int) {
	st := r.site.NewStream(streamPath, key)
	leave := func(events int) bool { return n%leaveEvery == 0 && events == leaveAfter && len(st.Tries) == 0 }
	for i := range maxTries {
		sent := time.Now()
		st.Try(r.site.Routers[(router+i)%len(r.site.Routers)].Caller, leave)
		last := st.Last()
		r.take(&routesite.Answer{ID: last.ID, Path: streamPath, Router: last.Router, Sent: sent, Status: last.Status, Err: last.Err})
		if st.Whole() || len(st.Versions) == 0 {
			break
		}
	}
	r.takeStream(st)
}

// takeStream checks that one version wrote all events, none of them twice and none missing.
func (r *run) takeStream(st *routesite.Stream) {
	if st.Mixed() {
		r.violate("events of several versions in one stream: %v, %+v", st.Versions, st.Tries)
	}
	if st.Problem != "" {
		r.violate("%s, %+v", st.Problem, st.Tries)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
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
