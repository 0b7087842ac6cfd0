package place

import "time"

// Prefill is a prompt that was placed at a target.
type Prefill struct {
	Target Hash
	// Number names the reading among those of one router.
	Number      uint32
	PrefixParts []Hash
	Tokens      int
	// CopiedTokens is the number of tokens that the target copied from another one.
	CopiedTokens int
}

// FirstEvent tells that a prompt was read.
type FirstEvent struct {
	Target Hash
	// Number is that of the reading.
	Number uint32
	// Latency is the time since it was placed, PrefillTokens the number of tokens that were to be
	// read by then.
	Latency       time.Duration
	PrefillTokens int
}

// Update is what a router did since it told others last. Each piece concerns the router
// that answers for its target.
type Update struct {
	Prefills    []Prefill
	FirstEvents []FirstEvent
	// Loads are the router's requests at targets where that changed, or was not told
	// for long.
	Loads map[Hash]Load
}

// Empty reports whether there is nothing to tell.
func (n *Update) Empty() bool {
	return len(n.Prefills) == 0 && len(n.FirstEvents) == 0 && len(n.Loads) == 0
}

const (
	// maxNews bounds the readings and first events that wait to be told: what a router
	// does in some heartbeats at its full load.
	maxNews = 200
	// repeatLoads is the time after which a load is told again, as datagrams get lost;
	// forgetLoads that after which the load of another router is forgotten which was not
	// told again.
	repeatLoads = 2 * time.Second
	forgetLoads = 5 * time.Second
)

// announce keeps a reading for the router that answers for its target.
func (p *Placer) announce(r Prefill) {
	if len(p.news.Prefills) < maxNews {
		p.news.Prefills = append(p.news.Prefills, r)
	}
	p.signal()
}

// signal tells that there is something to tell others soon.
func (p *Placer) signal() {
	select {
	case p.placed <- struct{}{}:
	default: // a signal waits already
	}
}

// loadChanged notes that the requests of this router at a target changed.
func (p *Placer) loadChanged(t *target) {
	p.changed[t.hash] = t
	if t.own.Requests > 0 {
		p.busy[t.hash] = t
	} else {
		delete(p.busy, t.hash)
	}
	if p.service(t.Service).engine == nil {
		p.signal()
	}
}

// UpdateReady is signalled after prompts were placed, which TakeUpdate then hands over.
func (p *Placer) UpdateReady() <-chan struct{} { return p.placed }

// TakeUpdate returns what happened since the last call.
func (p *Placer) TakeUpdate() Update {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for h, t := range p.busy {
		if now.Sub(t.told) >= repeatLoads {
			p.changed[h] = t
		}
	}
	n := p.news
	n.Loads = make(map[Hash]Load, len(p.changed))
	for h, t := range p.changed {
		n.Loads[h] = t.own
		t.told = now
	}
	clear(p.changed)
	p.news = Update{}
	return n
}

// ExpireLoads drops the loads that other routers have not told again for long.
func (p *Placer) ExpireLoads() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, r := range p.peers {
		for h, l := range r.loads {
			if now.Sub(l.at) >= forgetLoads {
				p.count(h, -l.Requests)
				delete(r.loads, h)
			}
		}
	}
}

// hear takes another router's news.
func (p *Placer) hear(router Hash, n Update, r *report, now time.Time) {
	for h, load := range n.Loads {
		p.count(h, load.Requests-r.loads[h].Requests)
		if load.Requests == 0 {
			delete(r.loads, h)
		} else {
			r.loads[h] = loadAt{load, now}
		}
	}
	for _, reading := range n.Prefills {
		if t := p.byHash[reading.Target]; t != nil {
			t.kept.touch(reading.PrefixParts, reading.Tokens+reading.CopiedTokens)
			p.service(t.Service).backlog(t, t.slow.factor(now), now)
			t.await(readingID{router, reading.Number}, t.queue.add(reading.Tokens))
		}
	}
	for _, e := range n.FirstEvents {
		if t := p.byHash[e.Target]; t != nil {
			p.begun(t, readingID{router, e.Number}, e, now)
		}
	}
}

// begun learns from the first event of another router's prompt.
func (p *Placer) begun(t *target, id readingID, e FirstEvent, now time.Time) {
	s := p.service(t.Service)
	t.slow.note(e.Latency, s.speed.predict(e.PrefillTokens), now)
	s.speed.learn(e.PrefillTokens, e.Latency)
	if place, ok := t.awaited[id]; ok {
		t.queue.reached(place, s.speed.after(), now)
		delete(t.awaited, id)
	}
}

// readingID names a reading among those of all routers.
type readingID struct {
	router Hash
	number uint32
}

// maxAwaited bounds the readings of other routers that are remembered until their
// first event: more than an engine has requests.
const maxAwaited = 512

// await remembers the place of a reading in the queue until its first event.
func (t *target) await(id readingID, place float64) {
	if t.awaited == nil || len(t.awaited) >= maxAwaited {
		t.awaited = make(map[readingID]float64)
	}
	t.awaited[id] = place
}

// count adds requests of other routers to a target.
func (p *Placer) count(h Hash, requests int) {
	if t := p.byHash[h]; t != nil {
		t.others.Requests = max(t.others.Requests+requests, 0)
	}
}

// loadOfOthers sums up what other routers told of their work at a target.
func (p *Placer) loadOfOthers(h Hash) Load {
	var sum Load
	for _, r := range p.peers {
		sum.Requests += r.loads[h].Requests
	}
	return sum
}
