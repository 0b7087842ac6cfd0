package gateway

import (
	"io"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"zinccove.example/zinccove/metric"
)

// logWriter is a log output that never blocks. A separate goroutine writes the lines from a ring
// buffer, several in one call, and the rate of lines about requests is limited. Dropped lines are
// counted.
type logWriter struct {
	diode.Writer

	batch   *batchWriter
	metrics *metric.Metrics
}

const (
	// logRingSize is the number of lines that may wait to be written.
	logRingSize = 4096
	// requestLinesPerSecond is the maximum rate of lines about requests: ten times what a router
	// writes at full load.
	requestLinesPerSecond = 600
)

func newLogWriter(out io.Writer, clock clockwork.Clock, m *metric.Metrics) *logWriter {
	l := &logWriter{batch: &batchWriter{out: out, clock: clock}, metrics: m}
	l.Writer = diode.NewWriter(l.batch, logRingSize, 0, func(missed int) { m.Add(metric.LogLinesDropped, missed) })
	return l
}

// Close writes the pending lines: those in the ring, then those collected.
func (l *logWriter) Close() error {
	err := l.Writer.Close()
	l.batch.Flush()
	return err
}

// requestLogger returns the logger for lines about requests.
func (l *logWriter) requestLogger(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: requestLinesPerSecond, Period: time.Second, NextSampler: l})
}

// Sample drops a line beyond the limit and counts it.
func (l *logWriter) Sample(zerolog.Level) bool {
	l.metrics.Inc(metric.LogLinesDropped)
	return false
}
