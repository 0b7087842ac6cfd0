package place

import (
	"math"
	"time"
)

// health is what this router has seen of a target lately: how often it failed.
type health struct {
	// failed is the recent part of answers that were failures, between 0 and 1.
	failed float64
	at     time.Time
}

const (
	// failureWeight is the weight of one answer in the recent part of failures.
	failureWeight = 0.12
	// failureHalfLife is the time after which half of the failures are forgotten,
	// so that a target that was left alone is tried again.
	failureHalfLife = 2 * time.Second
	// greyPart is the part of failures from which on a target is left alone, if
	// it also fails greyRatio times as often as the others of its service.
	greyPart  = 0.3
	greyRatio = 2.5
)

// rate returns the recent part of failures.
func (h *health) rate(now time.Time) float64 {
	if h.failed == 0 {
		return 0
	}
	return h.failed * math.Exp2(-now.Sub(h.at).Seconds()/failureHalfLife.Seconds())
}

// note takes the result of one run.
func (h *health) note(r Result, now time.Time) {
	var failure float64
	switch r {
	case Failed, Unreachable, ErrorResponse:
		failure = 1
	case Cancelled, NotSent, Refused, Replaced:
		return
	}
	h.failed = h.rate(now)*(1-failureWeight) + failure*failureWeight
	h.at = now
}

// grey reports whether a target fails so much more often than the others of
// its service that it is better left alone although it answers.
func (s *service) grey(t *target, now time.Time) bool {
	rate := t.health.rate(now)
	if rate < greyPart || len(s.targets) < 2 {
		return false
	}
	var others float64
	for _, o := range s.targets {
		if o != t {
			others += o.health.rate(now)
		}
	}
	return rate > greyRatio*others/float64(len(s.targets)-1)
}

// MinSilence is how long neither the routers nor the targets of a data centre
// may at least be heard until it is taken as cut off: several heartbeats, and longer
// than a busy engine is silent between two events.
const MinSilence = 450 * time.Millisecond

// SetHeartbeats takes when a router of each other data centre was last heard, and
// returns the data centres that seem to be cut off from here, as nothing of them was heard
// for a time. Their targets are used only if there are no others.
func (p *Placer) SetHeartbeats(beats map[string]time.Time, silence time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	clear(p.cut)
	var cut []string
	for dc, beat := range beats {
		if now.Sub(beat) > silence && now.Sub(p.heard[dc]) > silence {
			p.cut[dc] = true
			cut = append(cut, dc)
		}
	}
	return cut
}

// CutOff reports whether the target's data centre seems to be cut off.
func (r *Run) CutOff() bool {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[r.Target.DataCentre]
}

// RecordContact notes that a router of a data centre was heard, other than by a heartbeat.
func (p *Placer) RecordContact(dataCentre string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[dataCentre] = p.clock.Now()
}

// RecordReceived notes that bytes arrived from the target.
func (r *Run) RecordReceived() {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[r.Target.DataCentre] = p.clock.Now()
}
