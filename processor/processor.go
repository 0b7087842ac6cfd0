// Package processor measures how much processor time this process uses of its share.
//
// A small host gets a share of a core. Once a process has used it up, everything it does is late,
// so a router that knows its load can act before that: it passes events on in larger batches,
// and other routers learn how much it has left.
//
// # Usage
//
//	m := processor.New(processor.Options{Clock: clock, Share: 0.2})
//	m.Sample() // every 100 ms or so, by one goroutine
//	if m.Load() > 0.5 { ... }
package processor

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"zinccove.example/zinccove/errs"
)

// Options configure a meter. Clock is required.
type Options struct {
	Clock clockwork.Clock
	// Share is the share of a core that the process may use; 0 means that it is not known.
	Share float64
	// Used returns the processor time used since the start; nil selects that of this process.
	Used func() (time.Duration, error)
}

// Meter measures the processor time of a process. Sample is called by one goroutine, the other
// methods by any.
type Meter struct {
	options Options
	at      time.Time
	used    time.Duration
	// rate holds the bits of the weighted mean of the cores in use.
	rate atomic.Uint64
}

// sampleWeight is the weight of one sample in the mean: a host fills up within a few tenths of a
// second.
const sampleWeight = 0.4

// New returns a meter without samples.
func New(o Options) *Meter {
	if o.Used == nil {
		o.Used = OfProcess
	}
	return &Meter{options: o}
}

// OfProcess returns the processor time that this process has used since its start.
func OfProcess() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, errs.Wrap(err, "read processor time", "")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// Sample adds the time since the last call. A failed reading changes nothing.
func (m *Meter) Sample() error {
	used, err := m.options.Used()
	if err != nil {
		return err
	}
	now := m.options.Clock.Now()
	period := now.Sub(m.at)
	first := m.at.IsZero()
	if !first && period > 0 {
		rate := (used - m.used).Seconds() / period.Seconds()
		m.rate.Store(math.Float64bits(m.Cores() + sampleWeight*(rate-m.Cores())))
	}
	m.at, m.used = now, used
	return nil
}

// Cores returns the number of cores in use lately.
func (m *Meter) Cores() float64 { return math.Float64frombits(m.rate.Load()) }

// Load returns the part of the share that is in use, 1 for all of it; 0 if the share is not known.
func (m *Meter) Load() float64 {
	if m.options.Share <= 0 {
		return 0
	}
	return m.Cores() / m.options.Share
}

// Spare returns the cores that the process may use beyond what it uses; ok is false if the share
// is not known.
func (m *Meter) Spare() (cores float64, ok bool) {
	return max(m.options.Share-m.Cores(), 0), m.options.Share > 0
}
