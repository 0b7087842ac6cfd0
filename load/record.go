package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// result is the outcome of a request.
type result int

const (
	resultAnswered result = iota
	resultRefused
	resultBroken
	resultCancelled
	results
)

// requestProgress records the progress of a request in flight.
type requestProgress struct {
	spec  requestSpec
	sent  time.Time
	last  time.Time
	first bool
}

// Histograms record microseconds; times above ten minutes count as ten minutes.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(d.Microseconds(), histogramMax)) //nolint:errcheck // min keeps the value within the range of the histogram
}

// customerRecord holds the measurements of one customer.
type customerRecord struct {
	service     float64
	waiting     map[*requestProgress]struct{}
	results     [results]int
	wait        *hdrhistogram.Histogram
	between     *hdrhistogram.Histogram
	lastService time.Time
	// longestPause is the longest time without service while backlogged.
	longestPause time.Duration
	largestCost  int
}

// recorder collects the measurements of all customers. It is safe for concurrent use.
type recorder struct {
	experiment *Experiment
	started    time.Time

	mu        sync.Mutex
	customers []customerRecord
	series    []point
	busy      busyRecord
	control   []controlRecord
}

// point is a sample of the service and backlog of all customers.
type point struct {
	at         time.Duration
	service    []float64
	backlogged []bool
}

func newRecorder(e *Experiment, started time.Time) *recorder {
	r := &recorder{experiment: e, started: started, customers: make([]customerRecord, len(e.Customers))}
	for i := range r.customers {
		r.customers[i] = customerRecord{waiting: make(map[*requestProgress]struct{}), wait: newHistogram(), between: newHistogram()}
	}
	return r
}

func (r *recorder) warmedUp(now time.Time) bool { return now.Sub(r.started) >= r.experiment.WarmUp }

func (r *recorder) begin(spec requestSpec, now time.Time) *requestProgress {
	c := &requestProgress{spec: spec, sent: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.customers[spec.customer].waiting[c] = struct{}{}
	return c
}

// token records an output token; the first one also counts the input tokens as service.
func (r *recorder) token(c *requestProgress, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cu := &r.customers[c.spec.customer]
	weight := r.experiment.Customers[c.spec.customer].Weight
	cu.service += 1 / weight
	cu.lastService = now
	if c.first {
		if r.warmedUp(now) {
			record(cu.between, now.Sub(c.last))
		}
		c.last = now
		return
	}
	c.first, c.last = true, now
	cu.service += float64(c.spec.input) / weight
	delete(cu.waiting, c)
	if r.warmedUp(now) {
		record(cu.wait, now.Sub(c.sent))
	}
}

func (r *recorder) end(c *requestProgress, outcome result, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cu := &r.customers[c.spec.customer]
	delete(cu.waiting, c)
	if !r.warmedUp(now) {
		return
	}
	cu.results[outcome]++
	if outcome == resultAnswered {
		cu.largestCost = max(cu.largestCost, c.spec.input+c.spec.output)
	}
}

// backlogAge is the time that a request must have waited for its first token to count as backlog.
const backlogAge = 50 * time.Millisecond

// samplePoint samples all customers and reports whether any of them is backlogged. Samples during the
// warm-up are not kept.
func (r *recorder) samplePoint(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := point{at: now.Sub(r.started), service: make([]float64, len(r.customers)), backlogged: make([]bool, len(r.customers))}
	waits := false
	for i := range r.customers {
		cu := &r.customers[i]
		p.service[i] = cu.service
		p.backlogged[i] = cu.backlogged(now)
		waits = waits || p.backlogged[i]
		cu.updateLongestPause(p.backlogged[i], r.warmedUp(now), now)
	}
	if r.warmedUp(now) {
		r.series = append(r.series, p)
	}
	return waits
}

func (cu *customerRecord) backlogged(now time.Time) bool {
	for c := range cu.waiting {
		if now.Sub(c.sent) > backlogAge {
			return true
		}
	}
	return false
}

// updateLongestPause updates the longest time without service while backlogged.
func (cu *customerRecord) updateLongestPause(backlogged, warm bool, now time.Time) {
	if !backlogged || !warm || cu.lastService.IsZero() {
		cu.lastService = now
		return
	}
	cu.longestPause = max(cu.longestPause, now.Sub(cu.lastService))
}
