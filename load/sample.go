package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"zinccove.example/zinccove/metric"
)

// samplePeriod is the interval between points of the series.
const samplePeriod = 50 * time.Millisecond

// engineCounts holds the step and slot totals and the number of waiting requests that an engine
// stand-in reports.
type engineCounts struct {
	Steps     uint64 `json:"steps"`
	BusySlots uint64 `json:"busy_slots"`
	Waiting   int    `json:"waiting"`
}

// busyRecord sums the use of slots over the intervals between samples; an interval counts only if
// a customer was backlogged at both of its ends.
type busyRecord struct {
	busy, offered float64
	maxWaiting    int
	waits         bool
	last          []engineCounts
}

// sample records points until the experiment ends, and the control metrics of the routers at its
// start and end.
func (r *runner) sample(ctx context.Context) error {
	r.recorder.controlStart(r.readControls())
	tick := r.clock.NewTicker(samplePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			r.recorder.controlEnd(r.readControls())
			return nil
		case <-tick.Chan():
			waits := r.recorder.samplePoint(r.clock.Now())
			r.recorder.recordBusy(r.readEngines(), waits, r.clock.Now())
		}
	}
}

func (r *runner) readEngines() []engineCounts {
	counts := make([]engineCounts, len(r.experiment.Engines))
	var g errgroup.Group
	for i, addr := range r.experiment.Engines {
		g.Go(func() error { return r.getJSON(addr, "/counts", &counts[i]) })
	}
	if g.Wait() != nil {
		return nil
	}
	return counts
}

func (r *runner) getJSON(addr netip.AddrPort, path string, into any) error {
	resp, err := r.http.Get("http://" + addr.String() + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

func (r *recorder) recordBusy(now []engineCounts, waits bool, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := &r.busy
	if b.waits && waits && r.warmedUp(at) && len(b.last) == len(now) {
		for i := range now {
			b.busy += float64(now[i].BusySlots - b.last[i].BusySlots)
			b.offered += float64(now[i].Steps-b.last[i].Steps) * float64(r.experiment.Slots)
			b.maxWaiting = max(b.maxWaiting, now[i].Waiting)
		}
	}
	b.waits, b.last = waits, now
}

// controlRecord holds the bytes and CPU seconds that a router used for control, read from its
// metrics.
type controlRecord struct {
	sent, received, cpu float64
	at                  time.Time
}

func (r *runner) readControls() []controlRecord {
	records := make([]controlRecord, len(r.experiment.Controls))
	for i, addr := range r.experiment.Controls {
		values, err := r.metrics(addr)
		if err != nil {
			continue
		}
		records[i] = controlRecord{
			sent:     values[metric.ControlBytesSent.Name()],
			received: values[metric.ControlBytesReceived.Name()],
			cpu:      values[metric.ControlCPUSeconds.Name()],
			at:       r.clock.Now(),
		}
	}
	return records
}

// metrics reads the counters and gauges of a router, by name.
func (r *runner) metrics(addr netip.AddrPort) (map[string]float64, error) {
	resp, err := r.http.Get("http://" + addr.String() + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("metrics of %s: status %d", addr, resp.StatusCode)
	}
	return metric.Read(resp.Body)
}

func (r *recorder) controlStart(records []controlRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.control = records
}

// controlEnd replaces the records of the start by rates per second. It leaves out routers whose
// metrics could not be read at both times, and routers whose sent bytes decreased, as they do after
// a restart.
func (r *recorder) controlEnd(records []controlRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rates []controlRecord
	for i := range records {
		from, to := r.control[i], records[i]
		seconds := to.at.Sub(from.at).Seconds()
		if from.at.IsZero() || to.at.IsZero() || to.sent < from.sent {
			continue
		}
		rates = append(rates, controlRecord{
			sent: (to.sent - from.sent) / seconds, received: (to.received - from.received) / seconds, cpu: (to.cpu - from.cpu) / seconds,
		})
	}
	r.control = rates
}
