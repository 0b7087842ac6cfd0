package place

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/roster"
	"zinccove.example/zinccove/route"
)

const (
	// testBackupRate and testPrefillRate are those of engines that copy a token in a fortieth of
	// the time in which they prefill it.
	testBackupRate  = 4_000_000
	testPrefillRate = 100
)

// shortRun and longRun are prompts with their expected responses.
var (
	shortRun = &message.RequestInfo{PromptTokens: 700, HintTokens: 400}
	longRun  = &message.RequestInfo{PromptTokens: 12_000, HintTokens: 500}
)

// lossReplay replays runs that end.
type lossReplay struct {
	clock *clockwork.FakeClock
	l     runLosses
	n     int
	// begun is whether runs break after their first event.
	begun bool
}

// play ends a number of runs a second for a while, of which one in each breaks; 0 has none break.
func (r *lossReplay) play(rate, breaks int, d time.Duration) {
	for range int(d.Seconds() * float64(rate)) {
		r.clock.Advance(time.Second / time.Duration(rate))
		r.n++
		result := Answered
		if breaks > 0 && r.n%breaks == 0 {
			result = Failed
		}
		r.l.record(result, r.begun, r.clock.Now())
	}
}

func (r *lossReplay) reason(c *message.RequestInfo, repeatable bool) BackupReason {
	return decideBackup(r.l.share(repeatable, r.clock.Now()), testPrefillRate, testBackupRate, c, repeatable).Reason
}

func TestBackupsFollowTheLosses(t *testing.T) {
	r := &lossReplay{clock: clockwork.NewFakeClock()}
	r.play(40, 0, 10*time.Second)
	assert.Equal(t, r.reason(shortRun, false), RunsEndWell)
	r.play(40, 10, time.Second)
	assert.Equal(t, r.reason(shortRun, false), RunsBreak, "within a second of a tenth being lost")
	r.play(40, 0, 4*time.Second)
	assert.Equal(t, r.reason(shortRun, false), RunsEndWell, "off after it")
}

func TestFewBrokenRunsShowNothing(t *testing.T) {
	r := &lossReplay{clock: clockwork.NewFakeClock()}
	r.play(3, 3, time.Second)
	assert.Equal(t, r.reason(shortRun, false), RunsEndWell, "one of three runs")
	quiet := &lossReplay{clock: clockwork.NewFakeClock()}
	for range 60 {
		quiet.play(40, 200, time.Second)
		assert.Equal(t, quiet.reason(shortRun, false), RunsEndWell)
	}
}

// TestRequestsThatAreRepeatedNeedNoBackup has runs break before their first event and after it.
func TestRequestsThatAreRepeatedNeedNoBackup(t *testing.T) {
	for _, begun := range []bool{false, true} {
		r := &lossReplay{clock: clockwork.NewFakeClock(), begun: begun}
		r.play(40, 5, 2*time.Second)
		assert.Equal(t, r.reason(shortRun, false), RunsBreak)
		assert.Equal(t, r.reason(shortRun, true) == RunsBreak, begun)
	}
}

func TestRunsOfOtherResultsAreNoLosses(t *testing.T) {
	now := time.Now()
	var l runLosses
	for _, result := range []Result{Refused, Unreachable, Replaced, NotSent, Cancelled, ErrorResponse} {
		l.record(result, true, now)
	}
	assert.Equal(t, l, runLosses{})
}

// TestBackupIsWorthItsCopy compares runs while one in 25 breaks.
func TestBackupIsWorthItsCopy(t *testing.T) {
	reason := func(c *message.RequestInfo, rate float64, repeatable bool) BackupReason {
		return decideBackup(0.04, testPrefillRate, rate, c, repeatable).Reason
	}
	assert.Equal(t, reason(shortRun, testBackupRate, false), RunsBreak)
	assert.Equal(t, reason(longRun, testBackupRate, true), CopyTooDear, "a repeated run costs less than the copies of all")
	assert.Equal(t, reason(longRun, testBackupRate, false), RunsBreak, "the run itself would be lost")
	assert.Equal(t, reason(shortRun, testBackupRate/10, false), CopyTooDear, "slow links")
}

// backupFixture is a placer whose engines lose many runs, with three targets in each of three data
// centres.
type backupFixture struct {
	*Placer
	list  []*roster.Target
	table *route.Table
}

func newBackupFixture(t *testing.T, on bool) *backupFixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	f := &backupFixture{
		Placer: New(Options{Clock: clock, Backups: on, Regions: map[string]string{"x": "north", "y": "north", "z": "south"}}),
		list:   targets("model", 9), table: table(t),
	}
	for i, x := range f.list {
		x.DataCentre, x.Version = []string{"x", "y", "z"}[i%3], "v1"
	}
	f.table.Services[0].Engine.BackupRate = testBackupRate
	f.SetTargets(f.list, f.table)
	for i := range 40 {
		result := Answered
		if i%5 == 0 {
			result = Failed
		}
		f.services["model"].losses.record(result, true, clock.Now())
	}
	return f
}

func (f *backupFixture) place(t *testing.T, change func(*Request)) Decision {
	t.Helper()
	r := promptRequest(call("part", 500, 100), "c")
	change(&r)
	d := f.Place(r)
	assert.Assert(t, d.Run != nil, d.Reason)
	return d
}

// byID returns the target with an ID.
func (f *backupFixture) byID(id string) *roster.Target {
	for _, x := range f.list {
		if x.ID == id {
			return x
		}
	}
	return nil
}

func unchanged(*Request) {}

func TestBackupIsInTheDataCentreOfTheRun(t *testing.T) {
	f := newBackupFixture(t, true)
	for range 20 {
		d := f.place(t, unchanged)
		assert.Equal(t, d.Backup.Reason, RunsBreak)
		assert.Assert(t, d.Backup.Backup.ID != d.Run.Target.ID)
		assert.Equal(t, f.byID(d.Backup.Backup.ID).DataCentre, d.Run.Target.DataCentre)
		d.Run.End(Answered)
	}
}

// TestBackupTargetMayServeTheRequest has targets that may not take the run be no backup of it.
func TestBackupTargetMayServeTheRequest(t *testing.T) {
	f := newBackupFixture(t, true)
	first := f.place(t, unchanged).Run.Target
	for _, x := range f.list {
		if x.ID != first.ID && x.DataCentre == first.DataCentre {
			x.Draining = true
		}
		x.Revision.Count++
	}
	f.SetTargets(f.list, f.table)
	d := f.place(t, unchanged)
	assert.Equal(t, d.Run.Target.ID, first.ID)
	assert.Assert(t, !f.byID(d.Backup.Backup.ID).Draining, "another data centre, where none is left in the own one")
	bound := f.place(t, func(r *Request) { r.Regions = []string{"south"} })
	if b := bound.Backup.Backup; b.Valid() {
		assert.Equal(t, f.byID(b.ID).DataCentre, "z")
	}
	for _, x := range f.list {
		if x.ID != first.ID {
			x.Version = "v2"
		}
		x.Revision.Count++
	}
	f.SetTargets(f.list, f.table)
	d = f.place(t, func(r *Request) { r.Versions = Versions{Only: "v1"} })
	assert.Equal(t, d.Backup.Reason, NoBackupTarget, "another version has another state")
}

func TestNoBackups(t *testing.T) {
	off := newBackupFixture(t, false)
	assert.Equal(t, off.place(t, unchanged).Backup, BackupDecision{}, "turned off")
	none := newBackupFixture(t, true)
	none.table.Services[0].Engine.BackupRate = 0
	assert.Equal(t, none.place(t, unchanged).Backup, BackupDecision{}, "engines make none")
	last := newBackupFixture(t, true)
	d := last.place(t, func(r *Request) { r.LastAttempt = true })
	assert.Equal(t, d.Backup, BackupDecision{}, "no attempt left to go on")
	one := newBackupFixture(t, true)
	one.SetTargets(one.list[:1], one.table)
	assert.Equal(t, one.place(t, unchanged).Backup, BackupDecision{}, "one target only")
}

func TestContinuedRunIsCountedAtItsBackup(t *testing.T) {
	f := newBackupFixture(t, true)
	var r Request
	d := f.place(t, func(x *Request) { r = *x })
	d.Run.End(Failed)
	r.Tried = []string{d.Run.Incarnation()}
	run := f.Continue(r, d.Backup.Backup)
	assert.Equal(t, run.Target.ID, d.Backup.Backup.ID)
	assert.Equal(t, run.state.outstanding(), 1)
	run.End(Answered)
	assert.Equal(t, run.state.outstanding(), 0)
	f.byID(run.Target.ID).Draining = true
	f.byID(run.Target.ID).Revision.Count++
	f.SetTargets(f.list, f.table)
	assert.Assert(t, f.Continue(r, d.Backup.Backup) == nil, "a target that drains takes nothing new")
}
