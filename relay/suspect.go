package relay

import (
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/target"
)

// asks is what the request asks for; ids, deadlines and the like are no part of it. It
// needs the body.
func (f *flight) asks() *quarantine.Content {
	if f.content == nil {
		f.content = &quarantine.Content{
			Customer: f.customer, Method: f.header.Method(), Host: f.header.Host(), URI: f.header.RequestURI(), Body: f.body,
		}
	}
	return f.content
}

// blame counts a target that ended while the request may have been running there; partial
// tells that it had begun to answer.
func (f *flight) blame(fail *target.Failure, partial bool) {
	if !fail.ConnectionLost() || f.interrupted() != running {
		return
	}
	loss := quarantine.Loss{Target: quarantine.IncarnationHash(place.HashOf(f.run.Incarnation())), Partial: partial}
	if f.server.options.Quarantine.RecordLoss(f.asks(), loss) {
		f.server.event(f.server.options.Log.Warn(), f).Stringer("fingerprint", f.asks().Fingerprint()).
			Str("target", f.run.Target.ID).Msg("request barred, targets ended under it")
	}
}

// clear notes that a target ran the request to its end. A body that ends with its
// connection does not show that: the target may have ended.
func (f *flight) clear(b *body) {
	if b.framed() {
		f.server.options.Quarantine.RecordResponse(f.asks())
	}
}
