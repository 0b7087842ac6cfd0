package relay

import (
	"time"

	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/rollout"
	"zinccove.example/zinccove/target"
)

// firstEventSize is how many events the time to the first one of a stream counts as.
const firstEventSize = 2

// chooseVersions decides at which version of a service that moves to a new one the request may
// run, by a number from 0 to 1: 1 is the old one while there are two.
func (f *flight) chooseVersions(draw float64) {
	if rollouts := f.server.options.Rollouts; rollouts != nil {
		c := rollouts.Choose(f.service, draw)
		f.versions = place.Versions{Only: c.Only, Not: c.Exclude, Strict: c.Strict}
	}
}

// beginVersion counts the attempt at the version of its target.
func (f *flight) beginVersion() {
	if rollouts := f.server.options.Rollouts; rollouts != nil {
		f.run.OnEnd = rollouts.Begin(f.service, f.run.Target.Version)
	}
}

// judge takes an answer of the target of the current attempt.
func (f *flight) judge(a rollout.Outcome) {
	o := &f.server.options
	if o.Rollouts != nil && o.Rollouts.Record(f.service, f.route.Name, f.run.Target.Version, a) {
		o.OnVersionFailure()
	}
}

// judgeFailure takes a failure of the target. What follows it is not sent to a new version
// that is still judged.
func (f *flight) judgeFailure(fail *target.Failure) {
	if f.interrupted() != running {
		return
	}
	if fail.Kind == target.Broken || fail.Kind == target.Mismatched {
		f.judge(rollout.Outcome{Failed: true})
	}
	if f.versions.Only != "" {
		f.chooseVersions(1)
	}
}

// sinceSent is the time since the current attempt was sent.
func (f *flight) sinceSent() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.server.options.Clock.Since(f.sent)
}
