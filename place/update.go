package place

import "time"

// Prefill is a prompt that was placed at a target.
type Prefill struct {
	Target Hash
	// Number identifies the prefill among those of one router.
	Number      uint32
	PrefixParts []Hash
	Tokens      int
	// CopiedTokens is the number of tokens that the target copies from another one.
	CopiedTokens int
}

// FirstEvent reports that a prompt was prefilled.
type FirstEvent struct {
	Target Hash
	// Number is that of the prefill.
	Number uint32
	// Latency is the time since the prompt was placed, PrefillTokens the number of tokens that
	// had to be prefilled before the first event.
	Latency       time.Duration
	PrefillTokens int
}

// Update holds what a router did since its last update. Each entry is meant for the owner of its
// target.
type Update struct {
	Prefills    []Prefill
	FirstEvents []FirstEvent
	// Loads are the router's requests at targets where they changed or were not reported for
	// loadRepeatInterval.
	Loads map[Hash]Load
	// Holdings are for the owners of their directories.
	Holdings []Holding
}

// Empty reports whether the update has no entries.
func (n *Update) Empty() bool {
	return len(n.Prefills) == 0 && len(n.FirstEvents) == 0 && len(n.Loads) == 0 && len(n.Holdings) == 0
}

const (
	// maxUpdateEntries bounds the prefills, and likewise the first events, that wait to be sent:
	// what a router does in a few heartbeats at full load.
	maxUpdateEntries = 200
	// loadRepeatInterval is the time after which an unchanged load is sent again, because
	// datagrams get lost. loadTTL is the time after which the load of another router expires if
	// it was not sent again.
	loadRepeatInterval = 2 * time.Second
	loadTTL            = 5 * time.Second
)

// addPrefill queues a prefill for the owner of its target.
func (p *Placer) addPrefill(r Prefill) {
	if len(p.update.Prefills) < maxUpdateEntries {
		p.update.Prefills = append(p.update.Prefills, r)
	}
	p.signalUpdate()
}

// signalUpdate signals that an update should be sent soon.
func (p *Placer) signalUpdate() {
	select {
	case p.updateReady <- struct{}{}:
	default: // a signal is already pending
	}
}

// loadChanged records that the requests of this router at a target changed.
func (p *Placer) loadChanged(t *target) {
	p.changed[t.hash] = t
	if t.own.Requests > 0 {
		p.busy[t.hash] = t
	} else {
		delete(p.busy, t.hash)
	}
	if p.service(t.Service).engine == nil {
		p.signalUpdate()
	}
}

// UpdateReady is signalled after prompts were placed or the load at plain targets changed.
// TakeUpdate then returns these changes.
func (p *Placer) UpdateReady() <-chan struct{} { return p.updateReady }

// TakeUpdate returns the changes since the last call.
func (p *Placer) TakeUpdate() Update {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for h, t := range p.busy {
		if now.Sub(t.loadReportedAt) >= loadRepeatInterval {
			p.changed[h] = t
		}
	}
	n := p.update
	n.Loads = make(map[Hash]Load, len(p.changed))
	for h, t := range p.changed {
		n.Loads[h] = t.own
		t.loadReportedAt = now
	}
	clear(p.changed)
	p.update = Update{}
	return n
}

// ExpireLoads removes the loads that other routers have not sent again within loadTTL.
func (p *Placer) ExpireLoads() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, r := range p.peers {
		for h, l := range r.loads {
			if now.Sub(l.at) >= loadTTL {
				p.addOthersLoad(h, -l.Requests)
				delete(r.loads, h)
			}
		}
	}
}

// applyUpdate applies the update of another router.
func (p *Placer) applyUpdate(router Hash, n Update, r *peerReport, now time.Time) {
	for h, load := range n.Loads {
		p.addOthersLoad(h, load.Requests-r.loads[h].Requests)
		if load.Requests == 0 {
			delete(r.loads, h)
		} else {
			r.loads[h] = timedLoad{load, now}
		}
	}
	for _, h := range n.Holdings {
		p.holdings.record(h)
	}
	for _, reading := range n.Prefills {
		if t := p.byHash[reading.Target]; t != nil {
			t.cache.touch(reading.PrefixParts, reading.Tokens+reading.CopiedTokens)
			p.service(t.Service).backlog(t, t.slow.factor(now), now)
			t.releaseReservation(reading.Tokens)
			t.awaitFirstEvent(prefillID{router, reading.Number}, t.queue.add(reading.Tokens))
			p.signalWaits(t)
		}
	}
	for _, e := range n.FirstEvents {
		if t := p.byHash[e.Target]; t != nil {
			p.applyFirstEvent(t, prefillID{router, e.Number}, e, now)
		}
	}
}

// applyFirstEvent learns from the first event of another router's prompt.
func (p *Placer) applyFirstEvent(t *target, id prefillID, e FirstEvent, now time.Time) {
	s := p.service(t.Service)
	t.slow.record(e.Latency, s.latency.predict(e.PrefillTokens), now)
	s.latency.learn(e.PrefillTokens, e.Latency)
	if place, ok := t.awaitedPrefills[id]; ok {
		t.queue.reached(place, s.latency.tokensDuringBase(), now)
		delete(t.awaitedPrefills, id)
	}
	p.signalWaits(t)
}

// prefillID identifies a prefill among those of all routers.
type prefillID struct {
	router Hash
	number uint32
}

// maxAwaitedPrefills bounds the prefills of other routers that are kept until their first event;
// it exceeds the number of requests that an engine can have.
const maxAwaitedPrefills = 512

// awaitFirstEvent keeps the queue position of a prefill until its first event.
func (t *target) awaitFirstEvent(id prefillID, place float64) {
	if t.awaitedPrefills == nil || len(t.awaitedPrefills) >= maxAwaitedPrefills {
		t.awaitedPrefills = make(map[prefillID]float64)
	}
	t.awaitedPrefills[id] = place
}

// addOthersLoad adds requests of other routers to the load of a target.
func (p *Placer) addOthersLoad(h Hash, requests int) {
	if t := p.byHash[h]; t != nil {
		t.others.Requests = max(t.others.Requests+requests, 0)
		p.signalWaits(t)
	}
}

// othersLoad sums up the loads that other routers reported for a target.
func (p *Placer) othersLoad(h Hash) Load {
	var sum Load
	for _, r := range p.peers {
		sum.Requests += r.loads[h].Requests
	}
	return sum
}
