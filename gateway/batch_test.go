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
	b := &batch{out: &out, clock: clock}
	for range 3 {
		b.Write([]byte("line\n")) //nolint:errcheck // cannot fail
	}
	assert.Equal(t, out.calls, 0)
	clock.Advance(batchTime)
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

func TestManyLinesAreWrittenAtOnce(t *testing.T) {
	var out countingWriter
	b := &batch{out: &out, clock: clockwork.NewFakeClock()}
	b.Write(make([]byte, batchBytes)) //nolint:errcheck // cannot fail
	assert.Equal(t, out.calls, 1)
}

func TestClosedLogHasWrittenAll(t *testing.T) {
	m, err := metric.New()
	assert.NilError(t, err)
	defer m.Close()
	var out countingWriter
	l := newLines(&out, clockwork.NewFakeClock(), m)
	l.Write([]byte("line\n")) //nolint:errcheck // cannot fail
	assert.NilError(t, l.Close())
	assert.Equal(t, out.String(), "line\n")
}
