package gateway

import (
	"io"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"zinccove.example/zinccove/metric"
)

// lines is a log that never blocks: lines are written by a goroutine of their
// own from a ring, several in one call, and lines about requests are limited to
// a number a second.
// What is dropped is counted.
type lines struct {
	diode.Writer

	batch   *batch
	metrics *metric.Metrics
}

const (
	// ringLines is the number of lines that wait to be written.
	ringLines = 4096
	// requestLines is the most lines about requests in a second: ten times what
	// a router writes at its full load today.
	requestLines = 600
)

func newLines(out io.Writer, clock clockwork.Clock, m *metric.Metrics) *lines {
	l := &lines{batch: &batch{out: out, clock: clock}, metrics: m}
	l.Writer = diode.NewWriter(l.batch, ringLines, 0, func(missed int) { m.Add(metric.LogLinesDropped, missed) })
	return l
}

// Close writes what waits: the lines in the ring, then those collected.
func (l *lines) Close() error {
	err := l.Writer.Close()
	l.batch.Flush()
	return err
}

// requests returns the log for lines about requests.
func (l *lines) requests(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: requestLines, Period: time.Second, NextSampler: l})
}

// Sample drops a line beyond the limit.
func (l *lines) Sample(zerolog.Level) bool {
	l.metrics.Inc(metric.LogLinesDropped)
	return false
}
