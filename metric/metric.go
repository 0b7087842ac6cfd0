// Package metric holds the counters, gauges and histograms of a router.
//
// The tables in names.go define and document all metrics; Reference generates the
// page for operators from them. Package tally aggregates the metrics, which are
// served in Prometheus format.
//
// # Usage
//
//	m, err := metric.New()
//	defer m.Close()
//	m.Inc(metric.RequestsAnswered)
//	m.Set(metric.ConfigVersion, 7)
//	m.Observe(metric.QueueWait, wait)
//	http.Handle("/metrics", m.Handler())
package metric

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"zinccove.example/zinccove/errs"
)

// prefix is the first part of the name of every metric.
const prefix = "zinccove"

// Name returns the name under which the counter is served.
func (c Counter) Name() string { return prefix + prometheus.DefaultSeparator + counterTable[c].name }

// Name returns the name under which the gauge is served.
func (g Gauge) Name() string { return prefix + prometheus.DefaultSeparator + gaugeTable[g].name }

// reportInterval is the interval at which tally reports its values to the served page.
const reportInterval = time.Second

// Metrics records the metrics of one router until Close. It is safe for concurrent use.
type Metrics struct {
	reporter   prometheus.Reporter
	closer     io.Closer
	counters   [numCounters]tally.Counter
	gauges     [numGauges]tally.Gauge
	histograms [numHistograms]tally.Histogram
}

// New returns metrics that all start at zero.
func New() (*Metrics, error) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         prefix,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	m := &Metrics{reporter: reporter, closer: closer}
	for i := range counterTable {
		m.counters[i] = scope.Counter(counterTable[i].name)
		m.counters[i].Inc(0)
	}
	for i := range gaugeTable {
		m.gauges[i] = scope.Gauge(gaugeTable[i].name)
	}
	for i := range histogramTable {
		m.histograms[i] = scope.Histogram(histogramTable[i].name, buckets)
	}
	return m, nil
}

// buckets are the bucket bounds of all histograms, from 0.5 ms to about 4 minutes.
var buckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 20)

// Close reports the remaining values and stops the periodic reports.
func (m *Metrics) Close() error { return errs.Wrap(m.closer.Close(), "close metrics", "") }

// Handler returns the handler that serves the metrics in Prometheus format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Inc increments a counter by one.
func (m *Metrics) Inc(c Counter) { m.counters[c].Inc(1) }

// Add adds n to a counter.
func (m *Metrics) Add(c Counter, n int) { m.counters[c].Inc(int64(n)) }

// Set sets a gauge to v.
func (m *Metrics) Set(g Gauge, v float64) { m.gauges[g].Update(v) }

// Observe records a duration in a histogram.
func (m *Metrics) Observe(h Histogram, d time.Duration) { m.histograms[h].RecordDuration(d) }

// Read parses metrics in Prometheus text format and returns the values of counters and
// gauges by name. Histograms are left out.
func Read(page io.Reader) (map[string]float64, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(page)
	if err != nil {
		return nil, errs.Wrap(err, "read metrics", "")
	}
	values := make(map[string]float64)
	for name, f := range families {
		for _, m := range f.GetMetric() {
			switch {
			case m.Counter != nil:
				values[name] = m.Counter.GetValue()
			case m.Gauge != nil:
				values[name] = m.Gauge.GetValue()
			}
		}
	}
	return values, nil
}

// Reference returns the text of docs/metrics.md, which documents all metrics.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nServed in Prometheus format at `/metrics` of the control address. ")
	b.WriteString("A counter marked *alarm* should not grow; the handbook says what to do.\n\n")
	b.WriteString("| name | kind | meaning |\n| --- | --- | --- |\n")
	for _, t := range []struct {
		kind string
		rows []info
	}{{"counter", counterTable[:]}, {"gauge", gaugeTable[:]}, {"histogram (seconds)", histogramTable[:]}} {
		for _, r := range t.rows {
			fmt.Fprintf(&b, "| `zinccove_%s` | %s | %s |\n", r.name, t.kind, r.doc)
		}
	}
	return b.String()
}
