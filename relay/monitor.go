package relay

import (
	"syscall"
	"time"

	"zinccove.example/zinccove/hangup"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/offload"
)

const (
	// checkInterval is the time between checks of the running requests. Work for callers that
	// closed their connections has to end within half a second.
	checkInterval = 100 * time.Millisecond
)

// monitor ends requests whose caller closed the connection or whose time is up, until the
// server stops. The delay of its ticks is the lag of this process.
func (s *Server) monitor() error {
	clock := s.options.Clock
	for {
		s.lag.expectTick(clock.Now().Add(checkInterval))
		select {
		case <-s.stop:
			return nil
		case <-clock.After(checkInterval):
		}
		s.options.Metrics.Observe(metric.ProcessLag, s.lag.recordTick())
		s.sampleProcessor()
		now := clock.Now()
		s.probeOffload(now)
		admitted, refused := s.throttle.adjust(s.excess(), now)
		s.logLimits(admitted, refused, now)
		if s.overload.update(shareOf(refused, admitted+refused)) {
			s.options.Log.Warn().Bool("strained", s.Overloaded()).Dur("lag_ms", s.lag.current()).Dur("connects_ms", s.connectHistory.median()).
				Msg("overload state changed; the readiness check reports it")
		}
		if err := s.applyLimits(s.configuredLimits()); err != nil {
			s.options.Log.Error().Err(err).Msg("limits of the configuration not applied")
		}
		s.checkRequests()
	}
}

// sampleProcessor measures the processor time in use.
func (s *Server) sampleProcessor() {
	m := s.options.Processor
	if m == nil {
		return
	}
	if err := m.Sample(); err != nil {
		s.options.Log.Error().Err(err).Msg("processor time not known")
		return
	}
	s.options.Metrics.Set(metric.ProcessorLoad, m.Load())
}

// shareOf returns the share of part in all, 0 if all is 0.
func shareOf(part, all int) float64 { return float64(part) / float64(max(all, 1)) }

func (s *Server) checkRequests() {
	now := s.options.Clock.Now()
	table := s.options.View().Table
	for _, f := range s.inFlight() {
		limit := f.deadline
		// The newest time limit of a route also applies to requests that run already.
		if table != nil {
			if r := table.Route(f.route.Name); r != nil {
				limit = earlier(limit, f.received.Add(r.Timeout))
			}
		}
		switch {
		case f.stall.exceeds(s.options.Limits.WriteTimeout, now):
			f.closeStalled() // also after its time was up, which ends only the exchange with the target
		case f.timeUp(limit, now):
			f.interrupt(causeTimeUp)
		case f.callerLeft(now):
			f.interrupt(causeCallerClosed)
		case f.route.Retryable():
			f.abandonLostTarget(now)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *Server) inFlight() []*flight {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*flight, 0, len(s.flights))
	for f := range s.flights {
		list = append(list, f)
	}
	return list
}

// writeTTL is the time for which a write to a caller shows that it is there: the first write after it
// has closed its connection makes the next one fail, and work for it has to end within half a second.
const writeTTL = 200 * time.Millisecond

// wrote reports whether bytes were passed on to the caller lately. The look at its connection, a
// system call for each request ten times a second, is not needed then.
func (f *flight) wrote(now time.Time) bool { return now.UnixNano()-f.passedAt.Load() < int64(writeTTL) }

// callerLeft reports whether the caller has left. Of a request that another router handed over that
// is known at once.
func (f *flight) callerLeft(now time.Time) bool {
	return (f.takenOver || !f.wrote(now)) && callerClosed(f)
}

// callerClosed reports whether the caller closed its connection.
func callerClosed(f *flight) bool {
	if c, ok := f.conn.(*offload.Conn); ok {
		return c.Gone()
	}
	sc, ok := f.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	return err != nil || hangup.Peek(raw) == hangup.Closed
}
