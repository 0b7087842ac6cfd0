package place

import (
	"math"
	"math/rand/v2"
	"time"
)

// Question asks the router that answers for a target how things are there. All
// routers tell that one what they place at the target, so that it alone knows what
// waits: each router of a large fleet sees a small part of the requests, and a queue at an
// engine lives for some 100 ms.
type Question struct {
	Target Hash
	// Parts are the shared parts of the prompt, Sizes their tokens, Total those of the
	// whole prompt; none for plain services.
	Parts []Hash
	Sizes []int
	Total int
	// First tells that the target is the prompt's first home.
	First bool
}

// Answer is how things are at a target.
type Answer struct {
	Target Hash
	// Waiting is the number of tokens that wait to be read, Requests that of requests.
	Waiting  int
	Requests int
	// Unread is the number of tokens that the prompt adds.
	Unread int
	// Slowness is the part by which the target takes longer than others.
	Slowness float64
	// Line is what the router that answers has learned of first events at the targets of the
	// service; zero for plain services.
	Line Line
}

// plainChoices is the number of targets of a plain service that a request is placed
// among: two by chance are nearly as good as all, and cost their routers less.
const plainChoices = 2

// Questions returns what should be known before a request is placed.
func (p *Placer) Questions(r Request) []Question {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[r.Service]
	if s == nil {
		return nil
	}
	p.liftVersions(s, &r)
	now := p.clock.Now()
	if s.engine == nil {
		return p.plainQuestions(s, r, now)
	}
	pr := newPrompt(r.Call)
	var list []Question
	ask := func(t *target, first bool) {
		list = append(list, Question{Target: t.hash, Parts: pr.shared, Sizes: pr.sizes, Total: pr.total, First: first})
	}
	homes, left := p.homes(s, r, now)
	for rank, t := range homes {
		ask(t, rank == 0)
	}
	if s.engine.CopyRate > 0 && len(pr.shared) > 0 {
		for _, t := range left {
			ask(t, true)
		}
	}
	return list
}

// plainQuestions draws some targets of the best grade.
func (p *Placer) plainQuestions(s *service, r Request, now time.Time) []Question {
	var best []*target
	graded := doubtful
	for _, t := range s.targets {
		g := p.grade(s, t, r, now)
		if g > graded {
			best, graded = nil, g
		}
		if g == graded {
			best = append(best, t)
		}
	}
	rand.Shuffle(len(best), func(i, j int) { best[i], best[j] = best[j], best[i] })
	var list []Question
	for _, t := range best[:min(plainChoices, len(best))] {
		list = append(list, Question{Target: t.hash})
	}
	return list
}

// Answer answers a question of another router; ok is false if the target is not known.
func (p *Placer) Answer(q Question) (a Answer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byHash[q.Target]
	if t == nil {
		return Answer{}, false
	}
	now := p.clock.Now()
	s := p.service(t.Service)
	slow := t.slow.factor(now)
	a = Answer{Target: q.Target, Waiting: s.backlog(t, slow, now), Requests: t.outstanding(), Slowness: slow}
	if s.engine != nil {
		a.Line = s.speed.Line
		pr := prompt{shared: q.Parts, sizes: q.Sizes, total: max(q.Total, 1)}
		a.Unread = pr.unread(&t.kept, s.engine.CacheTokens, q.First && t.warm(now))
	}
	return a, true
}

// told are answers by target.
type told map[Hash]Answer

// take makes answers what is known of their targets.
func (p *Placer) take(answers []Answer, now time.Time) told {
	known := make(told, len(answers))
	for _, a := range answers {
		t := p.byHash[a.Target]
		if t == nil {
			continue
		}
		known[a.Target] = a
		p.service(t.Service).speed.adopt(a.Line)
		t.slow = slowness{log: math.Log(min(max(a.Slowness, 1/mostSlowness), mostSlowness)), at: now}
		t.queue.set(a.Waiting, now)
		t.others.Requests = max(a.Requests-t.own.Requests, 0)
		t.answered = now
	}
	return known
}

// answerFor is how long an answer tells of the present: some times as long as a request
// holds a slot of an engine.
const answerFor = 2 * time.Second

// forgetAnswer goes back to what this router knows itself once the last answer about a
// target is old. Without it a target that was full then would count as full for as long
// as nobody answers for it.
func (p *Placer) forgetAnswer(t *target, now time.Time) {
	if t.answered.IsZero() || now.Sub(t.answered) < answerFor {
		return
	}
	t.answered = time.Time{}
	t.others = p.loadOfOthers(t.hash)
}

// SetOwned takes the targets for which this router answers. What one that it did not
// answer for before keeps is not known yet, unless it started meanwhile.
func (p *Placer) SetOwned(targets map[Hash]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h := range targets {
		p.own(h)
	}
	p.owned = targets
}

// Own has this router answer for one more target.
func (p *Placer) Own(target Hash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.own(target)
	if p.owned == nil {
		p.owned = make(map[Hash]bool)
	}
	p.owned[target] = true
}

func (p *Placer) own(target Hash) {
	now := p.clock.Now()
	// At the first start of a fleet its targets keep nothing.
	began := p.fresh && now.Sub(p.started) < warmFor
	if t := p.byHash[target]; t != nil && !p.owned[target] && !began && !t.late {
		t.warmUntil = now.Add(warmFor)
	}
}
