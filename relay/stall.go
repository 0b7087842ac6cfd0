package relay

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/bootclock"
	"zinccove.example/zinccove/metric"
)

// A caller that reads no bytes occupies a connection, a slot of a target and buffer memory.
// No more is read for it meanwhile, and its connection is closed after Limits.WriteTimeout, so that
// callers that do not read cannot occupy all connections of a host permanently.

// stallTimer measures how long bytes have waited: those that were passed on for the caller to read them,
// or those of an incomplete event for the rest of it.
type stallTimer struct{ since atomic.Int64 }

func (u *stallTimer) begin(now time.Time) { u.since.Store(now.UnixNano()) }

// beginOnce begins unless that was done already.
func (u *stallTimer) beginOnce(now time.Time) { u.since.CompareAndSwap(0, now.UnixNano()) }

func (u *stallTimer) clear() { u.since.Store(0) }

// exceeds reports whether the bytes have waited for at least d.
func (u *stallTimer) exceeds(d time.Duration, now time.Time) bool {
	since := u.since.Load()
	return since != 0 && d > 0 && now.UnixNano()-since >= int64(d)
}

// closeStalled ends a request whose caller reads nothing of its stream. Closing the connection
// unblocks the write that waits for the caller.
func (f *flight) closeStalled() {
	f.interrupt(causeCallerStalled)
	f.conn.Close() //nolint:errcheck // the caller reads nothing
	f.server.options.Metrics.Inc(metric.CallersStalled)
}

// setWriteDeadline bounds the time in which a caller may read a buffered response. Fasthttp removes the
// deadline after the response.
func (f *flight) setWriteDeadline(ctx *fasthttp.RequestCtx) {
	limit := f.server.options.Limits.WriteTimeout
	if limit <= 0 {
		return
	}
	clock := f.server.options.Clock
	if err := ctx.SetWriteDeadline(bootclock.ToMonotonic(clock, clock.Now().Add(limit))); err != nil {
		f.conn.Close() //nolint:errcheck // it is closed already
	}
}
