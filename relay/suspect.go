package relay

import (
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/target"
)

// fingerprint names what the request asks for.
func (f *flight) fingerprint() quarantine.Fingerprint {
	if f.content == nil {
		c := quarantine.Content{
			Customer: f.customer, Method: f.header.Method(), Host: f.header.Host(), URI: f.header.RequestURI(), Body: f.body,
		}
		f.content = new(c.Fingerprint())
	}
	return *f.content
}

// barred reports whether the request must not reach any target, because some ended under
// earlier tries of it.
func (f *flight) barred() bool {
	list := f.server.options.Quarantine
	return list.Any() && list.Barred(f.fingerprint())
}

// blame counts a target that ended while the request may have been running there.
func (f *flight) blame(fail *target.Failure) {
	if !fail.Dropped() || f.interrupted() != running {
		return
	}
	lost := quarantine.Target(place.HashOf(f.run.Incarnation()))
	if f.server.options.Quarantine.Lost(f.fingerprint(), lost) {
		f.server.event(f.server.options.Log.Warn(), f).Stringer("fingerprint", f.fingerprint()).
			Str("target", f.run.Target.ID).Msg("request barred, targets ended under it")
	}
}

// clear notes that a target ran the request to its end. A body that ends with its
// connection does not show that: the target may have ended.
func (f *flight) clear(b *body) {
	if b.framed() {
		f.server.options.Quarantine.Answered(f.fingerprint())
	}
}
