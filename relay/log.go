package relay

import (
	"io"

	"github.com/rs/zerolog"

	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/target"
)

// event adds to a line what every line about a request tells.
func (s *Server) event(e *zerolog.Event, f *flight) *zerolog.Event {
	e = e.Str("request", f.call.ID).Uint64("config", f.version)
	if f.route != nil {
		e = e.Str("route", f.route.Name).Str("service", f.service)
	}
	if f.customer != "" {
		e = e.Str("customer", f.customer)
	}
	return e
}

// decided adds the inputs of the last decision of the placer.
func (f *flight) decided(e *zerolog.Event) *zerolog.Event {
	d := &f.decision
	if d.CopiedTokens > 0 {
		e = e.Int("copied", d.CopiedTokens).Stringer("copied_from", d.CopyFrom)
	}
	return e.Int("rank", d.Rank).Float64("share", d.Share).Bool("above_share", d.AboveShare).
		Int("backlog", d.Backlog).Int("unread", d.PrefillTokens).Int("shared_unread", d.SharedTokens).Int("outstanding", d.Outstanding).
		Dur("wait_ms", d.Wait).Dur("predicted_ms", d.Predicted).Float64("slowness", d.Slowness).Int("told", d.Replies).Dur("asked_ms", f.asked).Dur("reports_age_ms", d.ReportAge)
}

// noticed adds what the target said of itself in its answer, if it did.
func (f *flight) noticed(e *zerolog.Event) *zerolog.Event {
	if f.said.Draining {
		e = e.Bool("target_leaves", true)
	}
	if f.said.Backoff > 0 {
		e = e.Dur("target_backoff_ms", f.said.Backoff)
	}
	return e
}

// logPlaced tells which target was chosen and what decided it.
func (s *Server) logPlaced(f *flight) {
	e := s.event(s.options.Log.Info(), f).
		Str("target", f.run.Target.ID).Uint64("target_version", f.run.Target.Revision.Count).Int("attempt", len(f.tried)).
		Dur("targets_age_ms", s.options.View().TargetsAge)
	f.decided(e).Msg("request placed")
}

// logAttempt tells why an attempt failed.
func (s *Server) logAttempt(f *flight, kind string, status int, fail *target.Failure) {
	e := s.event(s.options.Log.Info(), f).Str("target", f.run.Target.ID).Int("attempt", len(f.tried)).
		Str("failure", kind).Int("status", status)
	if fail != nil && !fail.Kind.NotRun() {
		e = e.Stringer("fingerprint", f.asks().Fingerprint())
	}
	if fail != nil {
		e = e.Err(fail)
	}
	f.noticed(e).Msg("attempt failed")
}

// logNotice begins a line on what the target of the current attempt said of itself.
func (s *Server) logNotice(f *flight, ans *answer) *zerolog.Event {
	t := f.run.Target
	return s.options.Log.Info().Str("request", f.call.ID).Str("service", f.service).Str("target", t.ID).Time("started", t.Started).
		Int("status", ans.header.StatusCode()).Dur("targets_age_ms", s.options.View().TargetsAge)
}

// logRefused tells how a request ended that no target answered.
func (s *Server) logRefused(f *flight, r *refusal) {
	s.options.Metrics.Inc(r.counter())
	e := s.event(s.options.Log.Info(), f).Int("status", r.status).Str("reason", r.reason).
		Dur("retry_after_ms", r.retryAfter).Dur("took_ms", s.options.Clock.Since(f.received))
	switch r.reason {
	case string(place.Overloaded):
		e = f.decided(e)
	case string(place.BackingOff):
		e = e.Str("first", f.decision.FirstAvailable)
	case reasonEndsTargets:
		e = e.Stringer("fingerprint", f.asks().Fingerprint())
	case reasonRouterBusy:
		e = e.Dur("lag_ms", s.lag.current()).Dur("connects_ms", s.connects.typical()).Float64("rate", s.throttle.current())
	}
	e.Msg("request refused")
}

// logAnswered tells that a whole answer was handed over.
func (s *Server) logAnswered(f *flight, status int) {
	e := s.event(s.options.Log.Info(), f).Str("target", f.run.Target.ID).Int("status", status).
		Dur("took_ms", s.options.Clock.Since(f.received))
	f.noticed(e).Msg("request answered")
}

// logStream tells how a stream ended.
func (s *Server) logStream(f *flight, err error) {
	e := s.event(s.options.Log.Info(), f).Str("target", f.run.Target.ID).
		Dur("first_event_ms", f.firstEvent).Dur("took_ms", s.options.Clock.Since(f.received))
	e = f.noticed(e)
	if err == io.EOF {
		e.Msg("stream answered")
		return
	}
	e.Err(err).Msg("stream cut")
}
