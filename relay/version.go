package relay

import (
	"time"

	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/rollout"
	"zinccove.example/zinccove/target"
)

// firstEventSize is the number of events that the time to the first event of a stream counts
// as.
const firstEventSize = 2

// chooseVersions decides at which version of a service the request may run while the service is
// moved to a new version. It uses a number from 0 to 1: 1 selects the old version while there
// are two.
func (f *flight) chooseVersions(draw float64) {
	if rollouts := f.server.options.Rollouts; rollouts != nil {
		c := rollouts.Choose(f.service, draw)
		f.versions = place.Versions{Only: c.Only, Not: c.Exclude, Strict: c.Strict}
	}
}

// startVersion counts the attempt for the version of its target.
func (f *flight) startVersion() {
	if rollouts := f.server.options.Rollouts; rollouts != nil {
		f.run.OnEnd = rollouts.Begin(f.service, f.run.Target.Version)
	}
}

// recordOutcome reports the outcome of the current attempt to the rollout of its service.
func (f *flight) recordOutcome(a rollout.Outcome) {
	o := &f.server.options
	if o.Rollouts != nil && o.Rollouts.Record(f.service, f.route.Name, f.run.Target.Version, a) {
		o.OnVersionFailure()
	}
}

// recordFailure reports a failure of the target. Later attempts of the request are not sent to
// a new version that is still under evaluation.
func (f *flight) recordFailure(fail *target.Failure) {
	if f.interrupted() != causeNone {
		return
	}
	if fail.Kind == target.Broken || fail.Kind == target.Mismatched {
		f.recordOutcome(rollout.Outcome{Failed: true})
	}
	if f.versions.Only != "" {
		f.chooseVersions(1)
	}
}

// sinceSent returns the time since the current attempt was sent.
func (f *flight) sinceSent() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.server.options.Clock.Since(f.sent)
}
