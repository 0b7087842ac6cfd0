package place

import (
	"time"

	"zinccove.example/zinccove/notice"
)

// noticed is what a run of a target said of itself. It is kept apart from the list of
// targets, because the store may say otherwise for long, lose the target's entry and have it
// again: what the target says of itself outranks all that, as long as it runs.
type noticed struct {
	notice.State
	// listed is when the run last stood in the list of targets, or was heard of.
	listed time.Time
}

const (
	// noticesFor is how long notices are kept of runs that are not in the list: longer than
	// the store is away and targets serve on.
	noticesFor = 10 * time.Minute
	// mostNotices bounds the runs of which notices are kept, ten times the targets of a
	// large fleet.
	mostNotices = 4096
)

// Notice takes what the target said of itself in an answer, and reports whether that is news.
func (r *Run) Notice(n notice.Notice) (news bool) {
	if n == (notice.Notice{}) {
		return false
	}
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notice(r.state.hash, n)
}

// HearLeaving takes another router's word that a run of a target said that it leaves, and
// reports whether that is news. The run need not be known yet.
func (p *Placer) HearLeaving(target Hash) (news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notice(target, notice.Notice{Leaving: true})
}

func (p *Placer) notice(target Hash, n notice.Notice) (news bool) {
	s := p.notices[target]
	if s == nil {
		if len(p.notices) >= mostNotices {
			return false
		}
		s = new(noticed)
		p.notices[target] = s
	}
	s.listed = p.clock.Now()
	if t := p.byHash[target]; t != nil {
		t.noticed = s
	}
	return s.Take(n)
}

// SaidLeaving returns the listed targets that said that they leave while their entries do
// not say so.
func (p *Placer) SaidLeaving() []Hash {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Hash
	for h, s := range p.notices {
		if t := p.byHash[h]; t != nil && s.Leaving() && !t.Draining {
			list = append(list, h)
		}
	}
	return list
}

// listNotices joins the notices with the targets of a new list, and forgets those of runs
// that have not been in it for long.
func (p *Placer) listNotices(now time.Time) {
	for h, s := range p.notices {
		switch t := p.byHash[h]; {
		case t != nil:
			t.noticed = s
			s.listed = now
		case now.Sub(s.listed) >= noticesFor:
			delete(p.notices, h)
		}
	}
}
