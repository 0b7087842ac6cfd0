package testrouter

import (
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/bootclock"
)

// hostClock is the steady clock of a host that can be suspended: it does not count that
// time. Its timers are those of the process, which fire at once when it goes on; those of a
// host that was suspended would be late.
type hostClock struct {
	clockwork.Clock
	asleep atomic.Int64
}

// newHostClock also returns the clock of a router on that host, which counts suspension.
func newHostClock() (*hostClock, *bootclock.Clock) {
	h := &hostClock{Clock: clockwork.NewRealClock()}
	began := time.Now()
	passed := func() time.Duration { return time.Since(began) }
	return h, bootclock.NewFromSources(bootclock.Sources{
		Monotonic: h,
		Wall:      func(time.Time) time.Duration { return passed() },
		Boot:      func() (time.Duration, error) { return passed(), nil },
		Timers:    func(t time.Time) time.Time { return t.Add(time.Duration(h.asleep.Load())) },
	})
}

// Now returns the time, less that for which the host was suspended.
func (h *hostClock) Now() time.Time { return h.Clock.Now().Add(-time.Duration(h.asleep.Load())) }

// handle serves PUT /suspend: this process stands still until it is told to go on, which has
// to be after the given time in nanoseconds.
func (h *hostClock) handle(ctx *fasthttp.RequestCtx) {
	ns, err := strconv.ParseInt(string(ctx.PostBody()), 10, 64)
	if err != nil || ns <= 0 {
		ctx.Error("not a time in nanoseconds", fasthttp.StatusBadRequest)
		return
	}
	h.asleep.Add(ns)
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGSTOP); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}
