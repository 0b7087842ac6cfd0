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
	// maxRequestLines is the maximum number of lines about requests in a second: ten times what a
	// router writes at full load. minRequestLines is that of the smallest hosts.
	maxRequestLines = 600
	minRequestLines = 100
	// requestLinesPerCore is the number of lines in a second that a core may write: they then take
	// some hundredths of its time.
	requestLinesPerCore = 1000
)

// requestLines returns the maximum number of lines about requests in a second for a process that
// may use a share of a core, 0 if that is not known.
func requestLines(processor float64) uint32 {
	if processor <= 0 {
		return maxRequestLines
	}
	return uint32(min(max(processor*requestLinesPerCore, minRequestLines), maxRequestLines))
}

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

// requestLogger returns the logger for lines about requests, of which it writes a number in a
// second.
func (l *logWriter) requestLogger(log zerolog.Logger, lines uint32) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: lines, Period: time.Second, NextSampler: l})
}

// Sample drops a line beyond the limit and counts it.
func (l *logWriter) Sample(zerolog.Level) bool {
	l.metrics.Inc(metric.LogLinesDropped)
	return false
}
