package relay

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/target"
)

// requestEvent adds the fields that every line about a request has.
func (s *Server) requestEvent(e *zerolog.Event, f *flight) *zerolog.Event {
	e = e.Str("request", f.call.ID).Uint64("config", f.version)
	if f.route != nil {
		e = e.Str("route", f.route.Name).Str("service", f.service)
	}
	if f.customer != "" {
		e = e.Str("customer", f.customer)
	}
	if f.takenOver {
		e = e.Bool("taken_over", true)
	}
	return e
}

// logHandover logs a step of a request that is handed over to another router.
func (s *Server) logHandover(h *handover, err error, step string) {
	e := s.requestEvent(s.options.RequestLog.Info(), h.flight).Str("peer", h.to.Name).Float64("load", s.load()).
		Int("passed_bytes", h.passed).Dur("took_ms", s.options.Clock.Since(h.flight.received))
	if err != nil && err != io.EOF {
		e = e.Err(err)
	}
	e.Msg(step)
}

// logNotAccepted logs that callers are not accepted for a moment.
func (s *Server) logNotAccepted(err error) {
	s.options.Log.Warn().Err(err).Msg("callers not accepted for now")
}

// withDecision adds the inputs of the last decision of the placer.
func (f *flight) withDecision(e *zerolog.Event) *zerolog.Event {
	d := &f.decision
	if d.CopiedTokens > 0 {
		e = e.Int("copied", d.CopiedTokens).Stringer("copied_from", d.CopyFrom).Bool("by_holding", d.Holding)
	}
	if d.Home != "" {
		e = e.Str("home", string(d.Home))
	}
	if d.WarmingUp {
		e = e.Bool("warming_up", true)
	}
	c := &d.Comparison
	e = e.Int("customer_requested", c.Requested).Int("customer_served", c.Served).Int("owed_level", c.OwedLevel).Int("even_level", c.EvenLevel).Int("ahead_level", c.AheadLevel).
		Int("customers", c.Customers).Dur("totals_age_ms", c.TotalsAge)
	return e.Int("rank", d.Rank).Float64("share", d.Share).Bool("above_share", d.AboveShare).Bool("ahead", d.Ahead).Bool("held", d.Held).
		Int("backlog", d.Backlog).Int("unread", d.PrefillTokens).Int("shared_unread", d.SharedTokens).Int("outstanding", d.Outstanding).
		Dur("wait_ms", d.Wait).Dur("predicted_ms", d.Predicted).Float64("slowness", d.Slowness).Int("told", d.Replies).Dur("asked_ms", f.queryTime).Dur("reports_age_ms", d.ReportAge)
}

// withWait adds how long the request waited for a place, if it did.
func (f *flight) withWait(e *zerolog.Event) *zerolog.Event {
	if f.waited > 0 {
		e = e.Dur("waited_ms", f.waited).Bool("waited_late", f.waitedLate)
	}
	return e
}

// logWaits logs that a request waits for a place.
func (s *Server) logWaits(f *flight, w *place.Wait) {
	e := s.requestEvent(s.options.RequestLog.Info(), f).Bool("late", w.Late).Dur("in_time_ms", w.InTime).Dur("left_ms", w.Left).Dur("limit_ms", w.Limit).
		Int("customer_priority", w.CustomerPriority).Int("route_priority", w.RoutePriority).Float64("served_share", w.Share)
	f.withDecision(e).Msg("request waits")
}

// withNotice adds what the target reported about itself in its response, if it did.
func (f *flight) withNotice(e *zerolog.Event) *zerolog.Event {
	if f.notice.Draining {
		e = e.Bool("target_leaves", true)
	}
	if f.notice.Backoff > 0 {
		e = e.Dur("target_backoff_ms", f.notice.Backoff)
	}
	return e
}

// logPlaced logs which target was chosen and the inputs of that decision. LastEvent is the last
// event of a stream that is resumed.
func (s *Server) logPlaced(f *flight, lastEvent string) {
	e := s.requestEvent(s.options.RequestLog.Info(), f).
		Str("target", f.run.Target.ID).Uint64("target_version", f.run.Target.Revision.Count).Str("software", f.run.Target.Version).Int("attempt", len(f.tried)).
		Dur("targets_age_ms", s.options.View().TargetsAge)
	if lastEvent != "" {
		e = e.Str("last_event", lastEvent)
	}
	if f.originSource != "" {
		e = e.Str("resumes", f.call.ResumedID).Str("origin_from", f.originSource)
	}
	f.withWait(f.withBackup(f.withDecision(e))).Msg("request placed")
}

// logAttempt logs why an attempt failed.
func (s *Server) logAttempt(f *flight, kind string, status int, fail *target.Failure) {
	e := s.requestEvent(s.options.RequestLog.Info(), f).Str("target", f.run.Target.ID).Int("attempt", len(f.tried)).
		Str("failure", kind).Int("status", status)
	if fail != nil && !fail.Kind.NotRun() {
		e = f.withContent(e).Dur("responding_ms", f.responding()).Bool("target_runs", f.targetRuns)
	}
	if fail != nil {
		e = e.Err(fail)
	}
	f.withNotice(e).Msg("attempt failed")
}

// logContinued logs what came of a run that goes on at its backup; fail is nil if it goes on.
func (s *Server) logContinued(f *flight, fail *target.Failure) {
	e := s.requestEvent(s.options.RequestLog.Info(), f).Str("target", f.run.Target.ID).Int("attempt", len(f.tried)).Bool("repeatable", f.route.Retryable())
	if fail != nil {
		e.Str("failure", failureNames[fail.Kind]).Err(fail).Msg("stream not continued from its backup")
		return
	}
	e.Msg("stream continued from its backup")
}

// logNotContinued logs why a run that broke is not sent to its backup.
func (s *Server) logNotContinued(f *flight, b place.Backup, reason string) {
	s.requestEvent(s.options.RequestLog.Info(), f).Str("target", f.run.Target.ID).Str("backup", b.ID).Str("not_continued", reason).
		Msg("stream not sent to its backup")
}

// withBackup adds why the run has a backup or none, unless no backups are made.
func (f *flight) withBackup(e *zerolog.Event) *zerolog.Event {
	b := &f.decision.Backup
	if b.Reason == place.BackupsOff || b.Reason == place.RunsEndWell {
		return e
	}
	return e.Str("backup", b.Backup.ID).Str("backup_reason", string(b.Reason)).Float64("broken_share", b.Share).
		Float64("expected_loss", b.Loss).Float64("copy_cost", b.Cost)
}

// maxLoggedParts bounds the parts of a prompt in one line.
const maxLoggedParts = 8

// withContent adds what the request asks for: its fingerprint, and the parts of its prompt that
// other requests may share.
func (f *flight) withContent(e *zerolog.Event) *zerolog.Event {
	e = e.Stringer("fingerprint", f.requestContent().Fingerprint())
	if parts := f.call.SharedParts(); len(parts) > 0 {
		e = e.Strs("parts", partIDs(parts[:min(len(parts), maxLoggedParts)]))
	}
	return e
}

// withAttribute adds the attribute because of which requests are barred.
func withAttribute(e *zerolog.Event, a *quarantine.Attribute) *zerolog.Event {
	e = e.Stringer("fingerprint", a.Fingerprint)
	if a.Part != "" {
		e = e.Str("part", a.Part)
	}
	return e
}

// logNotice begins a line about a notice of the target of the current attempt.
func (s *Server) logNotice(f *flight, resp *response) *zerolog.Event {
	t := f.run.Target
	return s.options.RequestLog.Info().Str("request", f.call.ID).Str("service", f.service).Str("target", t.ID).Time("started", t.Started).
		Int("status", resp.header.StatusCode()).Dur("targets_age_ms", s.options.View().TargetsAge)
}

// logUnframedEnd logs how a response ended whose body ends with its connection, and what is known about
// that end: err is why it is not known to be the end of the body, nil if it is.
func (s *Server) logUnframedEnd(f *flight, err error) {
	e := s.requestEvent(s.options.RequestLog.Info(), f).Str("target", f.run.Target.ID).Int("attempt", len(f.tried)).
		Bool("target_leaves", f.notice.Draining).Bool("target_unavailable", f.run.Unavailable())
	if err != nil {
		s.options.Metrics.Inc(metric.EndsUnconfirmed)
		e.Err(err).Msg("end of response not confirmed")
		return
	}
	s.options.Metrics.Inc(metric.EndsConfirmed)
	e.Msg("end of response confirmed")
}

// logResumed logs with which event a resumed stream continues, and why that is not passed on if err is
// not nil.
func (s *Server) logResumed(f *flight, r *resumption, err error) {
	e := s.requestEvent(s.options.RequestLog.Info(), f).Str("target", f.run.Target.ID).Int("attempt", len(f.tried)).
		Str("last_event", r.last).Str("first_event", r.first)
	if err != nil {
		e = e.Err(err)
	}
	e.Msg("stream resumed")
}

// logRefused logs how a request ended that got no response of a target.
func (s *Server) logRefused(f *flight, r *refusal) {
	s.options.Metrics.Inc(r.counter())
	e := s.requestEvent(s.options.RequestLog.Info(), f).Int("status", r.status).Str("reason", r.reason).
		Dur("retry_after_ms", r.retryAfter).Dur("took_ms", s.options.Clock.Since(f.received))
	if f.call.LastEventID != "" || f.call.ResumedID != "" {
		e = e.Str("last_event", f.call.LastEventID).Str("resumes", f.call.ResumedID).Str("software", f.software)
	}
	switch r.reason {
	case string(place.Overloaded):
		e = f.withWait(f.withDecision(e))
	case string(place.BackingOff):
		e = e.Str("first", f.decision.FirstAvailable)
	case reasonEndsTargets:
		e = withAttribute(e, f.barred)
	case reasonRouterBusy:
		e = e.Dur("lag_ms", s.lag.current()).Dur("connects_ms", s.connectHistory.median()).Float64("rate", s.throttle.current()).Int("dispatching", s.throttle.waiting())
	}
	e.Msg("request refused")
}

// logAnswered logs that a complete response was passed on.
func (s *Server) logAnswered(f *flight, status int) {
	e := s.requestEvent(s.options.RequestLog.Info(), f).Str("target", f.run.Target.ID).Int("status", status).
		Dur("took_ms", s.options.Clock.Since(f.received))
	f.withNotice(e).Msg("request answered")
}

// logStream logs how a stream ended.
func (s *Server) logStream(f *flight, err error) {
	e := s.requestEvent(s.options.RequestLog.Info(), f).Str("target", f.run.Target.ID).
		Dur("first_event_ms", f.firstEvent).Dur("took_ms", s.options.Clock.Since(f.received))
	e = f.withNotice(e)
	if err == io.EOF {
		e.Msg("stream answered")
		return
	}
	e.Str("not_resumed", f.noRetry).Err(err).Msg("stream cut")
}

// limitSummaryInterval is the time between two lines about the limits of this router.
const limitSummaryInterval = time.Second

// limitSummary counts the streams that this router admitted and refused by its own limits. Lines
// about single requests are sampled, and of a flood mostly those about refusals are left.
type limitSummary struct {
	admitted, refused int
	since             time.Time
}

// logLimits logs how many streams the limits of this router admitted and refused, once a second
// while they refuse any.
func (s *Server) logLimits(admitted, refused int, now time.Time) {
	sum := &s.limitSummary
	sum.admitted += admitted
	sum.refused += refused
	if now.Sub(sum.since) < limitSummaryInterval {
		return
	}
	if sum.refused > 0 {
		s.options.Log.Info().Int("admitted", sum.admitted).Int("refused", sum.refused).Float64("rate", s.throttle.current()).
			Dur("lag_ms", s.lag.current()).Dur("connects_ms", s.connectHistory.median()).Dur("replies_ms", s.offloadDelay()).Float64("load", s.load()).Bool("overloaded", s.Overloaded()).
			Msg("streams refused by the limits of this router")
	}
	*sum = limitSummary{since: now}
}
