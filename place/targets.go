package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"zinccove.example/zinccove/roster"
	"zinccove.example/zinccove/route"
)

// service is the state of all targets of a service.
type service struct {
	targets []*target
	engine  *route.Engine
	latency *latencyEstimator
	// warmUpRate is the number of requests a second that a target can serve while it is warming
	// up; 0 if it can serve as many as others.
	warmUpRate float64
	slotTime   slotTime
	losses     runLosses
	// departedVersions holds when the last target of each version was removed or changed its
	// version.
	departedVersions map[string]time.Time
	spread           spread
}

// target is the state of one target.
type target struct {
	// Target is the entry, which is shared with the roster and never changes.
	*roster.Target

	hash Hash
	// seed determines the target's weights in rendezvous hashing.
	seed uint64
	// region is that of the data centre, "" if it is not known.
	region string
	// near reports whether the target is in the data centre of this router.
	near bool
	own  Load
	// others is the sum of the loads that other routers reported.
	others  Load
	circuit circuit
	health  health
	cache   prefixCache
	queue   prefillQueue
	slow    slowness
	// incarnation is the incarnation of the target to which this state belongs.
	incarnation string
	// index is the position in the list of the service.
	index int
	// startedLater is set if the target started after this router had received a list of targets,
	// so that it can only have cached what this router knows about.
	startedLater bool
	// replaced is set once another incarnation of the target responded: this one has ended, even
	// if its entry does not say so yet.
	replaced bool
	// announced is what the target announced about itself, nil if nothing.
	announced *announcement
	// warmUpUntil is the end of the target's warm-up.
	warmUpUntil time.Time
	// warmUpAdmitted is when this router last sent the target a request while it was warming up,
	// warmUpNamed the latest time that was named to the caller of a refused one.
	warmUpAdmitted, warmUpNamed time.Time
	// assumeCachedUntil is the time until which unknown parts count as cached.
	assumeCachedUntil time.Time
	// loadReportedAt is when own was last sent to other routers, repliedAt when the owner last
	// replied to a query about this target.
	loadReportedAt time.Time
	repliedAt      time.Time
	// awaitedPrefills are the queue positions of other routers' prefills without a first event.
	awaitedPrefills map[prefillID]float64
	// waits are the requests that wait for the target, nil if none ever did.
	waits *targetWaits
}

func (t *target) assumesCached(now time.Time) bool { return now.Before(t.assumeCachedUntil) }

func (t *target) outstanding() int { return t.own.Requests + t.others.Requests + t.waits.reserved() }

// backlog returns the number of tokens that wait for prefill at a target, which takes longer than
// others by the factor slow.
func (s *service) backlog(t *target, slow float64, now time.Time) int {
	t.queue.advance(now, s.latency.rate()/slow)
	return int(t.queue.pending) + t.waits.reservedTokens()
}

// Load is the work of one router at one target.
type Load struct {
	// Requests is the number of requests.
	Requests int
}

// SetTargets sets the list of targets and the services they belong to. The state of a target
// belongs to one incarnation of it.
func (p *Placer) SetTargets(list []*roster.Target, table *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, entry := range list {
		listed[entry.Incarnation()] = true
	}
	var removed []string
	for incarnation := range p.targets {
		if !listed[incarnation] {
			removed = append(removed, incarnation)
		}
	}
	p.applyTargets(list, removed, table)
}

// ChangeTargets applies new and changed entries and the incarnations that were removed. Its cost
// depends on the number of changes only, not on the number of targets.
func (p *Placer) ChangeTargets(entries []*roster.Target, removed []string, table *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyTargets(entries, removed, table)
}

func (p *Placer) applyTargets(entries []*roster.Target, removed []string, table *route.Table) {
	first := len(p.targets) == 0
	now := p.clock.Now()
	for _, incarnation := range removed {
		if t := p.targets[incarnation]; t != nil {
			p.remove(t)
		}
	}
	for _, entry := range entries {
		p.put(entry, first, now)
	}
	if p.targetsSince.IsZero() && len(p.targets) > 0 {
		p.targetsSince = now
	}
	p.expireAnnouncements(now)
	p.assumeCached = p.assumeCached && len(p.targets) == 0
	if table != nil {
		p.setEngines(table)
	}
}

// put applies an entry. First reports whether no target was known before.
func (p *Placer) put(entry *roster.Target, first bool, now time.Time) {
	incarnation := entry.Incarnation()
	t := p.targets[incarnation]
	if t == nil {
		t = &target{incarnation: incarnation, hash: HashOf(incarnation), startedLater: !first}
		if p.assumeCached {
			t.assumeCachedUntil = now.Add(assumeCachedTTL)
		}
		p.targets[incarnation] = t
		p.byHash[t.hash] = t
		t.others = p.othersLoad(t.hash)
		t.announced = p.announcements[t.hash]
	} else if t.Service != entry.Service {
		p.unlist(t)
	} else if t.Version != entry.Version {
		p.service(t.Service).recordDeparture(t.Version, now)
	}
	if t.Target == nil || t.Revision != entry.Revision {
		t.warmUpUntil = now.Add(entry.WarmUpRemaining)
	}
	listed := t.Target != nil && t.Service == entry.Service
	t.Target = entry
	t.seed = xxhash.Sum64String(entry.Address.String())
	t.near = entry.DataCentre == p.dataCentre
	t.region = p.regions[entry.DataCentre]
	if !listed {
		s := p.service(entry.Service)
		t.index = len(s.targets)
		s.targets = append(s.targets, t)
	}
}

// remove removes a target. Its announcement is kept for a while, because its entry may return.
func (p *Placer) remove(t *target) {
	delete(p.targets, t.incarnation)
	if p.byHash[t.hash] == t {
		delete(p.byHash, t.hash)
		delete(p.owned, t.hash)
	}
	if t.announced != nil {
		t.announced.listedAt = p.clock.Now()
	}
	p.dropWaits(t)
	p.unlist(t)
}

// unlist removes a target from the list of its service.
func (p *Placer) unlist(t *target) {
	s := p.service(t.Service)
	s.recordDeparture(t.Version, p.clock.Now())
	last := len(s.targets) - 1
	s.targets[t.index] = s.targets[last]
	s.targets[t.index].index = t.index
	s.targets[last] = nil
	s.targets = s.targets[:last]
}

// Listed reports whether an incarnation of a target is listed.
func (p *Placer) Listed(incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targets[incarnation] != nil
}

// TargetID returns the id of a listed target.
func (p *Placer) TargetID(target Hash) (id string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byHash[target]; t != nil {
		return t.ID, true
	}
	return "", false
}

// DataCentre returns the data centre of a listed target, "" if it is not known.
func (p *Placer) DataCentre(target Hash) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byHash[target]; t != nil {
		return t.DataCentre
	}
	return ""
}

// SetEvacuated sets the data centres whose targets must get no new requests.
func (p *Placer) SetEvacuated(dataCentres map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = dataCentres
}

func (p *Placer) setEngines(table *route.Table) {
	p.statedCapacity = int(table.Limits.TokensPerSecond * usageWindow.Seconds())
	for i := range table.Services {
		s := p.service(table.Services[i].Name)
		s.engine = table.Services[i].Engine
		s.warmUpRate = table.Services[i].WarmUpRate
		if s.engine != nil && len(s.targets) > 0 {
			s.latency.setStatedSpeed(table.Limits.TokensPerSecond / float64(len(s.targets)))
		}
	}
}

func (p *Placer) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{latency: newLatencyEstimator(), slotTime: newSlotTime(), departedVersions: make(map[string]time.Time)}
		p.services[name] = s
	}
	return s
}
