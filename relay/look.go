package relay

import (
	"syscall"
	"time"

	"zinccove.example/zinccove/hangup"
	"zinccove.example/zinccove/metric"
)

const (
	// lookPeriod is the time between looks at what runs. Work for callers that
	// left has to end within half a second.
	lookPeriod = 100 * time.Millisecond
)

// look ends requests whose caller is gone or whose time is up, until the
// server stops. How late its looks are is the lag of this process.
func (s *Server) look() error {
	clock := s.options.Clock
	for {
		s.lag.expect(clock.Now().Add(lookPeriod))
		select {
		case <-s.stop:
			return nil
		case <-clock.After(lookPeriod):
		}
		s.options.Metrics.Observe(metric.ProcessLag, s.lag.looked())
		refused := s.throttle.look(s.excess(), s.options.Clock.Now())
		if s.strain.note(refused) {
			s.options.Log.Warn().Bool("strained", s.Overloaded()).Dur("lag_ms", s.lag.current()).Dur("connects_ms", s.connects.typical()).
				Msg("new callers wanted elsewhere")
		}
		s.lookOnce()
	}
}

func (s *Server) lookOnce() {
	now := s.options.Clock.Now()
	table := s.options.View().Table
	for _, f := range s.running() {
		limit := f.deadline
		// The newest time limit of a route binds requests that run already.
		if table != nil {
			if r := table.Route(f.route.Name); r != nil {
				limit = earlier(limit, f.received.Add(r.Timeout))
			}
		}
		switch {
		case f.untaken.lasts(s.options.Limits.WriteTimeout, now):
			f.cutStalled() // also after its time was up, which ends only the target's part
		case !now.Before(limit):
			f.interrupt(timeUp)
		case gone(f):
			f.interrupt(callerGone)
		case f.route.Retryable():
			f.leaveLostTarget(now)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *Server) running() []*flight {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*flight, 0, len(s.flights))
	for f := range s.flights {
		list = append(list, f)
	}
	return list
}

// gone reports whether the caller closed its connection.
func gone(f *flight) bool {
	sc, ok := f.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	return err != nil || hangup.Peek(raw) == hangup.Closed
}
