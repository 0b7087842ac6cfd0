package place

import (
	"math"
	"math/rand/v2"
	"time"
)

// Query asks the router that answers for a target how things are there. All
// routers tell that one what they place at the target, so that it alone knows what
// waits: each router of a large fleet sees a small part of the requests, and a queue at an
// engine lives for some 100 ms.
type Query struct {
	Target Hash
	// PrefixParts are the shared parts of the prompt, PartTokens their tokens, PromptTokens those of the
	// whole prompt; none for plain services.
	PrefixParts  []Hash
	PartTokens   []int
	PromptTokens int
	// FirstHome tells that the target is the prompt's first home.
	FirstHome bool
}

// Reply is how things are at a target.
type Reply struct {
	Target Hash
	// PendingTokens is the number of tokens that wait to be read, Requests that of requests.
	PendingTokens int
	Requests      int
	// PrefillTokens is the number of tokens that the prompt adds.
	PrefillTokens int
	// Slowness is the part by which the target takes longer than others.
	Slowness float64
	// LatencyModel is what the router that answers has learned of first events at the targets of the
	// service; zero for plain services.
	LatencyModel LatencyModel
}

// plainChoices is the number of targets of a plain service that a request is placed
// among: two by chance are nearly as good as all, and cost their routers less.
const plainChoices = 2

// Queries returns what should be known before a request is placed.
func (p *Placer) Queries(r Request) []Query {
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
	var list []Query
	ask := func(t *target, first bool) {
		list = append(list, Query{Target: t.hash, PrefixParts: pr.shared, PartTokens: pr.sizes, PromptTokens: pr.total, FirstHome: first})
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
func (p *Placer) plainQuestions(s *service, r Request, now time.Time) []Query {
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
	var list []Query
	for _, t := range best[:min(plainChoices, len(best))] {
		list = append(list, Query{Target: t.hash})
	}
	return list
}

// Reply answers a question of another router; ok is false if the target is not known.
func (p *Placer) Reply(q Query) (a Reply, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byHash[q.Target]
	if t == nil {
		return Reply{}, false
	}
	now := p.clock.Now()
	s := p.service(t.Service)
	slow := t.slow.factor(now)
	a = Reply{Target: q.Target, PendingTokens: s.backlog(t, slow, now), Requests: t.outstanding(), Slowness: slow}
	if s.engine != nil {
		a.LatencyModel = s.speed.LatencyModel
		pr := prompt{shared: q.PrefixParts, sizes: q.PartTokens, total: max(q.PromptTokens, 1)}
		a.PrefillTokens = pr.unread(&t.kept, s.engine.CacheTokens, q.FirstHome && t.warm(now))
	}
	return a, true
}

// told are answers by target.
type told map[Hash]Reply

// take makes answers what is known of their targets.
func (p *Placer) take(answers []Reply, now time.Time) told {
	known := make(told, len(answers))
	for _, a := range answers {
		t := p.byHash[a.Target]
		if t == nil {
			continue
		}
		known[a.Target] = a
		p.service(t.Service).speed.adopt(a.LatencyModel)
		t.slow = slowness{log: math.Log(min(max(a.Slowness, 1/mostSlowness), mostSlowness)), at: now}
		t.queue.set(a.PendingTokens, now)
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

// AddOwned has this router answer for one more target.
func (p *Placer) AddOwned(target Hash) {
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
