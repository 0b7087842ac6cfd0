package relay

import (
	"cmp"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/origin"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/route"
)

// Origins records where streams began, and finds it for those that callers resume, which may have
// begun at any router.
type Origins struct {
	// Record must not block. TTL is the time for which the stream may be resumed.
	Record func(k origin.Key, o origin.Origin, ttl time.Duration)
	// Find may wait for other routers for some ten milliseconds.
	Find func(k origin.Key) (o origin.Origin, ok bool)
	// Confirm reports whether the store's list of the targets of a service had no version but the
	// given one since this router's list was read, up to a time after the call. It may wait for the
	// store for some ten milliseconds. It is called only where no origin was found.
	Confirm func(service, version string) bool
}

// originMargin is added to the time for which a stream may be resumed, for clocks and queues.
const originMargin = 2 * time.Second

// streamLifetime returns the longest time from the start of a stream to its last attempt.
func (f *flight) streamLifetime() time.Duration {
	return max(f.call.Deadline, f.route.Timeout) + originMargin
}

func (f *flight) originKey(id string) origin.Key { return origin.KeyOf(f.customer, f.route.Name, id) }

// beginStream binds the request to the version of the target whose response begins, and records
// it for the case that the caller has to resume the stream at another router.
func (f *flight) beginStream() {
	f.resumed, f.software = true, f.run.Target.Version
	if f.route.Kind != route.Stream || !f.route.Resumable || f.software == "" {
		return
	}
	id := cmp.Or(f.call.ResumedID, f.call.ID)
	f.server.options.Origins.Record(f.originKey(id), origin.Origin{Service: f.service, Version: f.software}, f.streamLifetime())
}

// resumeAtOrigin binds a request by which a caller resumes a stream to the service and the version
// that began it. It returns a refusal if these are not known or the route no longer leads there.
func (f *flight) resumeAtOrigin() *refusal {
	if f.route.Kind != route.Stream || f.call.LastEventID == "" && f.call.ResumedID == "" {
		return nil
	}
	o, source := f.findOrigin()
	switch {
	case source == "":
		f.server.options.Metrics.Inc(metric.OriginsUnknown)
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonUnknownOrigin, retryAfter: unknownRetry}
	case !f.route.LeadsTo(o.Service):
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: string(place.NoVersion)}
	}
	f.resumed, f.software, f.originSource = true, o.Version, source
	if f.service != o.Service {
		f.setService(o.Service)
	}
	f.server.options.Metrics.Inc(metric.CallersResumed)
	return nil
}

// Sources of origins in logs.
const (
	sourceRecord      = "record"
	sourceOnlyVersion = "only_version"
)

// maxListAge is the maximum age of the list of targets that shows which versions a service has.
const maxListAge = 3 * time.Second

// lingerTime is how long a target may serve on after its entry went. A router that is cut off from the
// store and from the others goes on to begin streams there.
const lingerTime = 5 * time.Minute

// findOrigin returns where a stream that a caller resumes began, and how that is known; the source
// is empty if it is not.
func (f *flight) findOrigin() (o origin.Origin, source string) {
	origins := &f.server.options.Origins
	if f.call.ResumedID != "" {
		if o, ok := origins.Find(f.originKey(f.call.ResumedID)); ok {
			return o, sourceRecord
		}
	}
	version, ok := f.onlyVersion()
	if !ok || !origins.Confirm(f.service, version) {
		return origin.Origin{}, ""
	}
	// The list may have changed while the store was asked.
	if current, ok := f.onlyVersion(); !ok || current != version {
		return origin.Origin{}, ""
	}
	return origin.Origin{Service: f.service, Version: version}, sourceOnlyVersion
}

// onlyVersion returns the version of the service's targets as far as this router knows, if the route
// leads to one service, which has had only one version for the lifetime of a stream.
func (f *flight) onlyVersion() (version string, ok bool) {
	s := f.server
	if len(f.route.Splits) > 1 || s.options.View().TargetsAge > maxListAge {
		return "", false
	}
	return s.options.Placer.OnlyVersion(f.service, f.streamLifetime(), lingerTime)
}
