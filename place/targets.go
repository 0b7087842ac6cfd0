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
	speed   *speed
	// coldRate is the number of requests a second that a cold target bears; 0 if it
	// bears as many as others.
	coldRate float64
	holds    holds
}

// target is the state of one target.
type target struct {
	// Target is the entry, which is shared with the roster and never changes.
	*roster.Target

	hash Hash
	// seed makes the target's weights in rendezvous hashing.
	seed uint64
	// region is that of the data centre, "" if it is not known.
	region string
	own    Load
	// others is the sum of what other routers announced.
	others  Load
	circuit circuit
	health  health
	kept    kept
	queue   queue
	slow    slowness
	// incarnation names the run of the target that this state is of.
	incarnation string
	// place is that in the list of its service.
	place int
	// late tells that the target started after this router had learned of others, so
	// that it keeps nothing which this router does not know of.
	late bool
	// replaced is set once another run of the target answered: this one has ended,
	// also if its entry says nothing of it yet.
	replaced bool
	// noticed is what the target said of itself, nil if nothing.
	noticed *noticed
	// coldUntil is until when the target is cold.
	coldUntil time.Time
	// warmUntil is until when parts of which nothing is known count as kept.
	warmUntil time.Time
	// told is when others were told of own, answered when another router last said how
	// things are here.
	told     time.Time
	answered time.Time
	// awaited are the places in the queue of other routers' readings without a first
	// event.
	awaited map[readingID]float64
}

func (t *target) warm(now time.Time) bool { return now.Before(t.warmUntil) }

func (t *target) outstanding() int { return t.own.Requests + t.others.Requests }

// backlog is the number of tokens that wait to be read at a target, which takes so
// much longer than others.
func (s *service) backlog(t *target, slow float64, now time.Time) int {
	t.queue.drain(now, s.speed.rate()/slow)
	return int(t.queue.waiting)
}

// Load is the work of one router at one target.
type Load struct {
	// Requests is the number of requests.
	Requests int
}

// SetTargets takes the list of targets and the services they belong to. What is known
// of a target belongs to one incarnation of it.
func (p *Placer) SetTargets(list []*roster.Target, table *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, entry := range list {
		listed[entry.Incarnation()] = true
	}
	var gone []string
	for incarnation := range p.targets {
		if !listed[incarnation] {
			gone = append(gone, incarnation)
		}
	}
	p.change(list, gone, table)
}

// ChangeTargets takes entries that are new or changed, and the incarnations that went. It
// costs as much as there are of these, however many targets there are.
func (p *Placer) ChangeTargets(entries []*roster.Target, gone []string, table *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.change(entries, gone, table)
}

func (p *Placer) change(entries []*roster.Target, gone []string, table *route.Table) {
	first := len(p.targets) == 0
	now := p.clock.Now()
	for _, incarnation := range gone {
		if t := p.targets[incarnation]; t != nil {
			p.remove(t)
		}
	}
	for _, entry := range entries {
		p.put(entry, first, now)
	}
	p.forgetNotices(now)
	p.warm = p.warm && len(p.targets) == 0
	if table != nil {
		p.setEngines(table)
	}
}

// put takes an entry. First tells that no target was known before.
func (p *Placer) put(entry *roster.Target, first bool, now time.Time) {
	incarnation := entry.Incarnation()
	t := p.targets[incarnation]
	if t == nil {
		t = &target{incarnation: incarnation, hash: HashOf(incarnation), late: !first}
		if p.warm {
			t.warmUntil = now.Add(warmFor)
		}
		p.targets[incarnation] = t
		p.byHash[t.hash] = t
		t.others = p.loadOfOthers(t.hash)
		t.noticed = p.notices[t.hash]
	} else if t.Service != entry.Service {
		p.unlist(t)
	}
	if t.Target == nil || t.Revision != entry.Revision {
		t.coldUntil = now.Add(entry.WarmUpRemaining)
	}
	listed := t.Target != nil && t.Service == entry.Service
	t.Target = entry
	t.seed = xxhash.Sum64String(entry.Address.String())
	t.region = p.regions[entry.DataCentre]
	if !listed {
		s := p.service(entry.Service)
		t.place = len(s.targets)
		s.targets = append(s.targets, t)
	}
}

// remove forgets a target. What it said of itself is kept for a while, as its entry may
// come back.
func (p *Placer) remove(t *target) {
	delete(p.targets, t.incarnation)
	if p.byHash[t.hash] == t {
		delete(p.byHash, t.hash)
		delete(p.owned, t.hash)
	}
	if t.noticed != nil {
		t.noticed.listed = p.clock.Now()
	}
	p.unlist(t)
}

// unlist takes a target out of the list of its service.
func (p *Placer) unlist(t *target) {
	s := p.service(t.Service)
	last := len(s.targets) - 1
	s.targets[t.place] = s.targets[last]
	s.targets[t.place].place = t.place
	s.targets[last] = nil
	s.targets = s.targets[:last]
}

// Listed reports whether a run of a target is listed.
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

// DataCentre returns that of a listed target, "" if it is not known.
func (p *Placer) DataCentre(target Hash) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byHash[target]; t != nil {
		return t.DataCentre
	}
	return ""
}

// SetEvacuated takes the data centres whose targets are to get nothing new.
func (p *Placer) SetEvacuated(dataCentres map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = dataCentres
}

func (p *Placer) setEngines(table *route.Table) {
	p.stated = int(table.Limits.TokensPerSecond * useWindow.Seconds())
	for i := range table.Services {
		s := p.service(table.Services[i].Name)
		s.engine = table.Services[i].Engine
		s.coldRate = table.Services[i].WarmUpRate
		if s.engine != nil && len(s.targets) > 0 {
			s.speed.guess(table.Limits.TokensPerSecond / float64(len(s.targets)))
		}
	}
}

func (p *Placer) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{speed: newSpeed(), holds: newHolds()}
		p.services[name] = s
	}
	return s
}
