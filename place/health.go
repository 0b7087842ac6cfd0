package place

import (
	"math"
	"time"
)

// health is the recent failure rate of a target as seen by this router.
type health struct {
	// failureRate is the recent share of results that were failures as of at, between 0 and 1.
	failureRate float64
	at          time.Time
}

const (
	// failureWeight is the weight of one result in the failure rate.
	failureWeight = 0.12
	// failureHalfLife is the half-life of the failure rate, so that an avoided target is tried
	// again.
	failureHalfLife = 2 * time.Second
	// grayFailureRate is the failure rate from which on a target is avoided if it also fails
	// grayFailureRatio times as often as the other targets of its service.
	grayFailureRate  = 0.3
	grayFailureRatio = 2.5
)

// rate returns the failure rate at a time.
func (h *health) rate(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	return h.failureRate * math.Exp2(-now.Sub(h.at).Seconds()/failureHalfLife.Seconds())
}

// record adds the result of one run.
func (h *health) record(r Result, now time.Time) {
	var failure float64
	switch r {
	case Failed, Unreachable, ErrorResponse:
		failure = 1
	case Cancelled, NotSent, Refused, Replaced:
		return
	}
	h.failureRate = h.rate(now)*(1-failureWeight) + failure*failureWeight
	h.at = now
}

// grayFailing reports whether a target fails so much more often than the other targets of its
// service that it should be avoided although it still responds.
func (s *service) grayFailing(t *target, now time.Time) bool {
	rate := t.health.rate(now)
	if rate < grayFailureRate || len(s.targets) < 2 {
		return false
	}
	var others float64
	for _, o := range s.targets {
		if o != t {
			others += o.health.rate(now)
		}
	}
	return rate > grayFailureRatio*others/float64(len(s.targets)-1)
}

// MinSilence is the shortest time without data from the routers and targets of a data centre
// after which the data centre may be considered cut off: several heartbeats, and longer than a
// busy engine is silent between two events.
const MinSilence = 450 * time.Millisecond

// SetHeartbeats sets when the last heartbeat of a router of each other data centre was received.
// It returns the data centres that seem to be cut off from here because nothing was received from
// them for longer than silence. Their targets are used only if there are no others.
func (p *Placer) SetHeartbeats(heartbeats map[string]time.Time, silence time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	clear(p.cutOff)
	var cut []string
	for dc, heartbeat := range heartbeats {
		if now.Sub(heartbeat) > silence && now.Sub(p.lastReceived[dc]) > silence {
			p.cutOff[dc] = true
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
	return p.cutOff[r.Target.DataCentre]
}

// RecordContact records that data other than a heartbeat was received from a router of a data
// centre.
func (p *Placer) RecordContact(dataCentre string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReceived[dataCentre] = p.clock.Now()
}

// RecordReceived records that data was received from the target.
func (r *Run) RecordReceived() {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReceived[r.Target.DataCentre] = p.clock.Now()
}
