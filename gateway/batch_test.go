package gateway

import (
	"bytes"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"zinccove.example/zinccove/metric"
)

// countingWriter counts the calls of Write.
type countingWriter struct {
	bytes.Buffer
	calls int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.calls++
	return w.Buffer.Write(p)
}

func TestLinesAreWrittenTogether(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var out countingWriter
	b := &batchWriter{out: &out, clock: clock}
	for range 3 {
		b.Write([]byte("line\n")) //nolint:errcheck // cannot fail
	}
	assert.Equal(t, out.calls, 0)
	clock.Advance(batchInterval)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		b.mu.Lock()
		defer b.mu.Unlock()
		if out.calls == 1 {
			return poll.Success()
		}
		return poll.Continue("%d calls", out.calls)
	})
	assert.Equal(t, out.String(), "line\nline\nline\n")
}

// TestLinesAreNeverSplit writes more lines than fit in one call. A pipe accepts 4 KB atomically;
// in longer writes, lines of other processes could be interleaved.
func TestLinesAreNeverSplit(t *testing.T) {
	out := new(lineChecker)
	b := &batchWriter{out: out, clock: clockwork.NewFakeClock()}
	line := append(bytes.Repeat([]byte("x"), 600), '\n')
	for range 100 {
		b.Write(line) //nolint:errcheck // cannot fail
	}
	b.Flush()
	assert.Equal(t, out.lines, 100)
	assert.Equal(t, out.broken, 0)
	assert.Assert(t, out.calls < 20, "%d calls", out.calls)
}

// lineChecker counts lines, and calls that are too long or do not end with a line.
type lineChecker struct{ calls, lines, broken int }

func (w *lineChecker) Write(p []byte) (int, error) {
	w.calls++
	w.lines += bytes.Count(p, []byte("\n"))
	if len(p) > 4096 || !bytes.HasSuffix(p, []byte("\n")) {
		w.broken++
	}
	return len(p), nil
}

func TestClosedLogHasWrittenAll(t *testing.T) {
	m, err := metric.New()
	assert.NilError(t, err)
	defer m.Close()
	var out countingWriter
	l := newLogWriter(&out, clockwork.NewFakeClock(), m)
	l.Write([]byte("line\n")) //nolint:errcheck // cannot fail
	assert.NilError(t, l.Close())
	assert.Equal(t, out.String(), "line\n")
}
