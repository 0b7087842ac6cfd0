package relay

import (
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/target"
)

// requestContent returns the content that identifies what the request asks for; request IDs,
// deadlines and similar headers are not part of it. It needs the body.
func (f *flight) requestContent() *quarantine.Content {
	if f.content == nil {
		f.content = &quarantine.Content{
			Customer: f.customer, Method: f.header.Method(), Host: f.header.Host(), URI: f.header.RequestURI(), Body: f.body,
		}
	}
	return f.content
}

// recordLoss counts a target that ended while the request may have been running there; partial
// reports that it had begun to respond.
func (f *flight) recordLoss(fail *target.Failure, partial bool) {
	if !fail.ConnectionLost() || f.interrupted() != causeNone {
		return
	}
	loss := quarantine.Loss{Target: quarantine.IncarnationHash(place.HashOf(f.run.Incarnation())), Partial: partial}
	if f.server.options.Quarantine.RecordLoss(f.requestContent(), loss) {
		f.server.requestEvent(f.server.options.Log.Warn(), f).Stringer("fingerprint", f.requestContent().Fingerprint()).
			Str("target", f.run.Target.ID).Msg("request barred: targets ended while they ran it")
	}
}

// clear clears the content of a request that a target ran to its end. A body that ends with its
// connection does not prove that it was: the target may have ended.
func (f *flight) clear(b *body) {
	if b.framed() {
		f.server.options.Quarantine.RecordResponse(f.requestContent())
	}
}
