package relay

import (
	"sync/atomic"
	"time"

	"zinccove.example/zinccove/bootclock"
	"zinccove.example/zinccove/metric"
)

// A caller that takes no bytes holds a connection, a target's slot and what was read for it.
// Nothing more is read for it meanwhile, and after Limits.WriteTimeout it is cut off, so that callers
// that do not read cannot take all connections of a host for good.

// untaken is since when something that was handed over waits to be taken.
type untaken struct{ since atomic.Int64 }

func (u *untaken) begin(now time.Time) { u.since.Store(now.UnixNano()) }

func (u *untaken) clear() { u.since.Store(0) }

// lasts reports whether something has waited for at least d.
func (u *untaken) lasts(d time.Duration, now time.Time) bool {
	since := u.since.Load()
	return since != 0 && d > 0 && now.UnixNano()-since >= int64(d)
}

// cutStalled ends a request whose caller takes nothing of its stream. Closing the
// connection wakes the write that waits for the caller.
func (f *flight) cutStalled() {
	f.interrupt(callerStalled)
	f.conn.Close() //nolint:errcheck // the caller takes nothing
	f.server.options.Metrics.Inc(metric.CallersStalled)
}

// boundWrite bounds the time for which a caller may take an answer that is kept whole.
func (f *flight) boundWrite() {
	limit := f.server.options.Limits.WriteTimeout
	if limit <= 0 {
		return
	}
	clock := f.server.options.Clock
	if err := f.conn.SetWriteDeadline(bootclock.Steady(clock, clock.Now().Add(limit))); err != nil {
		f.conn.Close() //nolint:errcheck // it is closed already
	}
}

// unboundWrite lifts the bound that an earlier answer on the connection left.
func (f *flight) unboundWrite() {
	if f.server.options.Limits.WriteTimeout <= 0 {
		return
	}
	if err := f.conn.SetWriteDeadline(time.Time{}); err != nil {
		f.conn.Close() //nolint:errcheck // it is closed already
	}
}
