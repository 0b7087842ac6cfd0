package relay

import (
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/target"
)

// continuation is a run that goes on at its backup.
type continuation struct {
	run    *place.Run
	backup place.Backup
}

// Reasons in logs why a run that broke does not go on at its backup.
const (
	notContinuedStopUnknown = "run_may_go_on"
	notContinuedNoAttempt   = "no_attempt_left"
	notContinuedNoTarget    = "backup_takes_nothing"
	notContinuedBudget      = noRetryBudget
)

// countBackup counts the backup that the target is asked for.
func (f *flight) countBackup() {
	if f.decision.Backup.Backup.Valid() {
		f.server.options.Metrics.Inc(metric.BackupsAsked)
	}
}

// continueAtBackup prepares the next attempt to go on with the run that failed, if it has a backup. It
// reports false if the failure is handled as without one.
func (f *flight) continueAtBackup(fail *target.Failure) bool {
	b := f.decision.Backup.Backup
	if !b.Valid() || fail.Kind.NotRun() {
		return false
	}
	if f.route.Retryable() && f.responseBegan.IsZero() {
		return false // a repeated run costs no more, and needs no copy
	}
	run, reason := f.prepareContinuation(b, fail)
	if run == nil {
		f.server.logNotContinued(f, b, reason)
		return false
	}
	f.lifecycle.Continue()
	f.next = &continuation{run: run, backup: b}
	return true
}

// prepareContinuation returns the run at the backup, or why there is none. The run must have stopped at
// its target: the target closed the connection, and not this router.
func (f *flight) prepareContinuation(b place.Backup, fail *target.Failure) (run *place.Run, reason string) {
	o := &f.server.options
	if !fail.ConnectionLost() {
		return nil, notContinuedStopUnknown
	}
	if !f.lifecycle.MayContinue(o.Clock.Now()) {
		return nil, notContinuedNoAttempt
	}
	run = o.Placer.Continue(f.placement(), b)
	if run == nil {
		return nil, notContinuedNoTarget
	}
	if !f.withdrawRetry() {
		run.End(place.NotSent)
		return nil, notContinuedBudget
	}
	return run, ""
}

// takeContinuation makes the prepared continuation the current attempt.
func (f *flight) takeContinuation() place.Decision {
	d := place.Decision{Run: f.next.run}
	f.continues, f.next = f.next, nil
	return d
}

// dropContinuation ends a prepared continuation that is not sent.
func (f *flight) dropContinuation() {
	if f.next != nil {
		f.next.run.End(place.NotSent)
		f.next = nil
	}
}

// recordContinued logs and counts what came of a continuation.
func (f *flight) recordContinued(fail *target.Failure) {
	if f.continues == nil {
		return
	}
	switch {
	case fail == nil:
		f.server.options.Metrics.Inc(metric.StreamsContinued)
	case fail.Kind == target.Refused:
		f.server.options.Metrics.Inc(metric.BackupsMissing)
	}
	f.server.logContinued(f, fail)
}
