package relay

import (
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/link"
	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/target"
)

// requestContent returns the content that identifies what the request asks for; request IDs,
// deadlines and similar headers are not part of it. It needs the body.
func (f *flight) requestContent() *quarantine.Content {
	if f.content == nil {
		f.content = &quarantine.Content{
			Customer: f.customer, Method: f.header.Method(), Host: f.header.Host(), URI: f.header.RequestURI(), Body: f.body, Service: f.service,
		}
		if f.engine {
			f.content.Parts = partIDs(f.call.SharedParts())
		}
	}
	return f.content
}

func partIDs(parts []message.PrefixPart) []string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
}

// refuseBarred refuses a request that must not reach any target; nil if it may.
func (f *flight) refuseBarred() *refusal {
	f.barred = f.server.options.Quarantine.Barred(f.requestContent())
	if f.barred == nil {
		return nil
	}
	f.server.options.Metrics.Inc(metric.RequestsBarred)
	if f.barred.Part != "" {
		f.server.options.Metrics.Inc(metric.RequestsBarredByPart)
	}
	return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonEndsTargets}
}

// refuseBarredSince refuses a request that was barred while it was placed or waited, and ends its run.
func (f *flight) refuseBarredSince(r *place.Run) *refusal {
	refused := f.refuseBarred()
	if refused != nil {
		r.End(place.NotSent)
		return refused
	}
	if f.content.Trial() {
		f.server.requestEvent(f.server.options.Log.Info(), f).Strs("parts", f.content.Parts).Str("target", r.Target.ID).Msg("trial of parts that are barred")
	}
	return nil
}

// progress returns how far the target of the current attempt was with its response.
func (f *flight) progress(partial bool) quarantine.Progress {
	switch {
	case f.responding() >= quarantine.BeginPeriod:
		return quarantine.Advanced
	case partial:
		return quarantine.Begun
	}
	return quarantine.NotBegun
}

// lossProbe is the delay after which a target is probed that broke a connection, or the request is repeated.
const lossProbe = 25 * time.Millisecond

// probe checks whether the target of the current attempt runs; see link.Pool.Probe.
func (f *flight) probe() error {
	return f.server.options.Links.Probe(f.run.Incarnation(), f.run.Target.Address, min(f.left(), link.MaxDialTimeout), lossProbe)
}

// recordLoss counts a target that broke the connection while the request may have been running there;
// partial reports that it had begun to respond.
func (f *flight) recordLoss(fail *target.Failure, partial bool) {
	if !fail.ConnectionLost() || f.interrupted() != causeNone {
		return
	}
	list, content, progress := f.server.options.Quarantine, f.requestContent(), f.progress(partial)
	t := quarantine.IncarnationHash(place.HashOf(f.run.Incarnation()))
	f.logBarred(list.RecordBreak(content, t, progress)) // before the probe: others are notified at once
	switch {
	case progress == quarantine.Advanced:
	case list.ConsidersParts(content):
		if f.targetRuns = f.probe() == nil; !f.targetRuns {
			f.logBarred(list.RecordEnd(content, t, progress))
		}
	case f.route.Retryable():
		// The same request may have ended targets of other routers at this moment.
		f.server.options.Clock.Sleep(min(f.left(), lossProbe))
	}
}

func (f *flight) logBarred(barred []quarantine.Attribute) {
	for _, a := range barred {
		withAttribute(f.server.requestEvent(f.server.options.Log.Warn(), f), &a).Str("target", f.run.Target.ID).
			Msg("request barred: targets ended while they ran it")
	}
}

// clearContent clears the content of a request that a target ran to its end. A backup that goes on with a run
// of another target does not begin the request, and targets may end as they do; so it clears nothing.
func (f *flight) clearContent() {
	if f.continues != nil {
		return
	}
	f.server.options.Quarantine.RecordResponse(f.requestContent())
}

// clearParts clears the parts of a prompt on which a target wrote a response for a while, or to its
// end, unless it went on with a run of another target.
func (f *flight) clearParts() {
	if f.continues != nil {
		return
	}
	f.server.options.Quarantine.RecordWritten(f.requestContent())
}
