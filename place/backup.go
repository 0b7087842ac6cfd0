package place

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/route"
)

// Backup is the target that receives the state of a run while it grows, so that the run can go on
// there. The zero value means none.
type Backup struct {
	// Address is the address of the target, ID its ID, incarnation its incarnation.
	Address     netip.AddrPort
	ID          string
	incarnation string
}

// Valid reports whether there is a backup.
func (b Backup) Valid() bool { return b.incarnation != "" }

// BackupReason is why a run has a backup or none.
type BackupReason string

// The reasons.
const (
	// BackupsOff: this router or the engines of the service make none, or the request has no attempt
	// left to go on. It is not logged.
	BackupsOff BackupReason = ""
	// RunsEndWell: hardly any runs of the service broke lately.
	RunsEndWell BackupReason = "runs_end_well"
	// CopyTooDear: the expected loss is less than the cost of the copy.
	CopyTooDear BackupReason = "copy_costs_more"
	// NoBackupTarget: no other target may and can take the copy.
	NoBackupTarget BackupReason = "no_target"
	// RunsBreak: the expected loss is more than the cost of the copy.
	RunsBreak BackupReason = "runs_break"
)

// BackupDecision is whether a run gets a backup, with the terms that decided it.
type BackupDecision struct {
	Backup Backup
	Reason BackupReason
	// Share is the recent share of runs that broke, Loss the expected loss without a backup and
	// Cost the cost of the copy, both in tokens to prefill.
	Share, Loss, Cost float64
}

const (
	// lossHalfLife is the half-life of the counts of runs: targets lose answers for some seconds.
	lossHalfLife = time.Second
	// lossPriorRuns is the number of runs that are assumed to have ended well, and lossAccidents
	// the number of broken ones that are taken as accidents, so that a few runs show nothing.
	lossPriorRuns = 10
	lossAccidents = 1
	// minLossShare is the share of broken runs up to which runs end well: callers repeat one
	// request in fifty for other reasons as well.
	minLossShare = 0.02
	// copyEnds is the number of engines whose link a copy occupies.
	copyEnds = 2
	// lostRunWeight is the weight of a run that may not be repeated: its tokens were made in vain,
	// and its caller lacks them.
	lostRunWeight = 2
)

// runLosses counts the runs of a service at this router that ended lately. Begun is the part of the broken
// ones that broke after their first event.
type runLosses struct {
	ended, broken, begun float64
	at                   time.Time
}

// record counts a run; begun reports that its first event was received.
func (l *runLosses) record(r Result, begun bool, now time.Time) {
	if r != Answered && r != Failed {
		return
	}
	l.decay(now)
	l.ended++
	if r == Failed {
		l.broken++
		if begun {
			l.begun++
		}
	}
}

// decay halves the counts for each half-life since the last call.
func (l *runLosses) decay(now time.Time) {
	if !l.at.IsZero() {
		factor := math.Exp2(-now.Sub(l.at).Seconds() / lossHalfLife.Seconds())
		l.ended, l.broken, l.begun = l.ended*factor, l.broken*factor, l.begun*factor
	}
	l.at = now
}

// share returns the expected share of runs that break and whose backup would be used: a request that may be
// repeated is, as long as no event of it has been received.
func (l *runLosses) share(repeatable bool, now time.Time) float64 {
	l.decay(now)
	used := l.broken
	if repeatable {
		used = l.begun
	}
	return max(used-lossAccidents, 0) / (l.ended + lossPriorRuns)
}

// copyCost returns what copying tokens costs, in tokens that an engine prefills in the time for which
// the copy occupies links. PrefillRate is in tokens per millisecond.
func copyCost(tokens int, prefillRate, backupRate float64) float64 {
	seconds := copyEnds * float64(tokens) / backupRate
	return seconds * prefillRate * 1000
}

// expectedLoss returns what a run without a backup is expected to lose, in tokens to prefill.
func expectedLoss(share float64, c *message.RequestInfo, repeatable bool) float64 {
	lost := float64(costOf(c))
	if !repeatable {
		lost *= lostRunWeight
	}
	return share * lost
}

// stateTokens returns the expected size of the state of a run at its end.
func stateTokens(c *message.RequestInfo) int {
	return c.PromptTokens + (costOf(c)-c.PromptTokens)/route.OutputTokenCost
}

// decideBackup decides whether a run is worth a backup.
func decideBackup(share, prefillRate, backupRate float64, c *message.RequestInfo, repeatable bool) BackupDecision {
	d := BackupDecision{Share: share, Reason: RunsEndWell}
	if share < minLossShare || prefillRate <= 0 {
		return d
	}
	d.Cost = copyCost(stateTokens(c), prefillRate, backupRate)
	d.Loss = expectedLoss(share, c, repeatable)
	d.Reason = RunsBreak
	if d.Loss <= d.Cost {
		d.Reason = CopyTooDear
	}
	return d
}

// backup decides whether a run at a target gets a backup, and at which target.
func (p *Placer) backup(s *service, r Request, at *target, homes []*target, now time.Time) BackupDecision {
	if !p.backups || s.engine.BackupRate <= 0 || len(s.targets) < 2 || r.LastAttempt {
		return BackupDecision{}
	}
	d := decideBackup(s.losses.share(r.Repeatable, now), s.latency.rate(), s.engine.BackupRate, r.Call, r.Repeatable)
	if d.Reason != RunsBreak {
		return d
	}
	t := p.backupTarget(s, r, at, homes, now)
	if t == nil {
		d.Reason = NoBackupTarget
		return d
	}
	d.Backup = Backup{Address: t.Address, ID: t.ID, incarnation: t.incarnation}
	return d
}

// maxBackupLooks bounds the targets that are looked at for one backup. With three data centres it
// misses the own one in less than one of 500 cases.
const maxBackupLooks = 16

// backupTarget returns the target for the copy of a run, nil if there is none: in the data centre of the
// run if possible, another home of the prompt before others.
func (p *Placer) backupTarget(s *service, r Request, at *target, homes []*target, now time.Time) *target {
	var best *target
	consider := func(t *target) {
		if t != at && t.Version == at.Version && t.Version != "" && t.outstanding() < t.Slots && p.grade(s, t, r, now) == good &&
			(best == nil || t.DataCentre == at.DataCentre && best.DataCentre != at.DataCentre) {
			best = t
		}
	}
	for _, t := range homes {
		consider(t)
	}
	first := rand.IntN(len(s.targets))
	for i := range min(len(s.targets), maxBackupLooks) {
		if best != nil && best.DataCentre == at.DataCentre {
			break
		}
		consider(s.targets[(first+i)%len(s.targets)])
	}
	return best
}

// Continue counts a run that goes on at its backup; nil if the request may not run there now. It is the
// same run, so that the customer's usage does not count it again.
func (p *Placer) Continue(r Request, b Backup) *Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[b.incarnation]
	if t == nil || t.Service != r.Service {
		return nil
	}
	now := p.clock.Now()
	s := p.service(t.Service)
	p.liftVersions(s, &r)
	if p.cutOff[t.DataCentre] || p.grade(s, t, r, now) == unusable {
		return nil
	}
	return p.begin(t, r, Decision{}, Usage{}, Usage{}, now).Run
}
