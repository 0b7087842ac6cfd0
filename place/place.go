// Package place chooses the target of each request and says when a request is
// better refused.
//
// Engines keep what they read of prompts. A prompt that shares its first parts
// with others is therefore sent to its home, the target that rendezvous hashing
// gives for the last shared part, so that all routers agree without a message.
// Load comes second: the tokens that wait to be read at a target, of all
// routers, predict the time to the first event. When the home cannot make the
// objective, the next homes are asked, where the shared parts may have to be
// read again; when none can, the request is refused with the time after which
// the home is expected to have room.
//
// Plain services take the target with the fewest outstanding requests.
//
// The package has no I/O.
//
// # Usage
//
//	p := place.New(place.Options{Clock: clock})
//	p.SetTargets(targets, table)
//	d := p.Place(request)
//	if d.Run == nil {
//		// refused: d.Reason, d.RetryAfter
//	}
//	d.Run.FirstEvent()
//	d.Run.End(place.Answered)
package place

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"zinccove.example/zinccove/message"
	"zinccove.example/zinccove/roster"
	"zinccove.example/zinccove/route"
)

// Options configure a placer.
type Options struct {
	Clock clockwork.Clock
}

// Request is what the choice depends on.
type Request struct {
	Service   string
	Customer  string
	Objective time.Duration
	// Call is what the caller said.
	Call *message.Call
	// Tried are the ids of targets that the request was sent to before.
	Tried []string
	// Waited is how long the request was held back before.
	Waited time.Duration
}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// NoTarget: no target of the service takes requests.
	NoTarget Reason = "no_target"
	// Overloaded: no target can make the objective.
	Overloaded Reason = "overloaded"
)

// Decision is the choice for one request, with the inputs that decided it.
type Decision struct {
	// Run is nil if the request is refused or held back.
	Run        *Run
	Reason     Reason
	RetryAfter time.Duration
	// Hold is how long the request may be held back and asked for again, because
	// room is expected soon; 0 if it is refused.
	Hold time.Duration

	// Rank is the place of the target in the order of homes, 0 for the first.
	Rank int
	// Share is the part of the usual limit that the customer was given.
	Share float64
	// Backlog is the number of tokens that wait to be read at the target, Unread
	// what the request adds to it.
	Backlog int
	Unread  int
	// Shared is the part of Unread that other prompts share.
	Shared int
	// Outstanding is the number of requests at the target.
	Outstanding int
	// Predicted is the expected time to the first event.
	Predicted time.Duration
	// Age is the age of the oldest report of another router that was counted.
	Age time.Duration
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	clock clockwork.Clock

	mu       sync.Mutex
	services map[string]*service
	targets  map[string]*target
	byHash   map[Hash]*target
	peers    map[string]*report
	uses     map[Hash]*ring
	shares   shares
	readings []Reading
	// cut holds the data centres that seem to be cut off.
	cut map[string]bool
}

// New returns a placer without targets.
func New(o Options) *Placer {
	return &Placer{
		clock: o.Clock, services: make(map[string]*service), targets: make(map[string]*target),
		byHash: make(map[Hash]*target), peers: make(map[string]*report), uses: make(map[Hash]*ring),
		cut: make(map[string]bool),
	}
}

// service is the state of all targets of a service.
type service struct {
	targets []*target
	engine  *route.Engine
	speed   *speed
}

// target is the state of one target.
type target struct {
	roster.Target

	hash Hash
	// seed makes the target's weights in rendezvous hashing.
	seed uint64
	own  Load
	// others is the sum of what other routers announced.
	others  Load
	circuit circuit
	health  health
	kept    kept
}

func (t *target) outstanding() int { return t.own.Requests + t.others.Requests }
func (t *target) unread() int      { return t.own.Unread + t.others.Unread }

// Load is the work of one router at one target.
type Load struct {
	// Requests is the number of requests.
	Requests int
	// Unread is the number of prompt tokens of requests without a first event.
	Unread int
}

// SetTargets takes the list of targets and the services they belong to.
func (p *Placer) SetTargets(list []*roster.Target, table *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.targets
	p.targets = make(map[string]*target, len(list))
	p.byHash = make(map[Hash]*target, len(list))
	for _, s := range p.services {
		s.targets = nil
	}
	for _, entry := range list {
		t := known[entry.ID]
		if t == nil {
			t = &target{hash: HashOf(entry.ID)}
		}
		t.Target = *entry
		t.seed = xxhash.Sum64String(entry.Address.String())
		p.targets[entry.ID] = t
		p.byHash[t.hash] = t
		s := p.service(entry.Service)
		s.targets = append(s.targets, t)
	}
	if table != nil {
		p.setEngines(table)
	}
	p.sumPeers()
}

func (p *Placer) setEngines(table *route.Table) {
	for i := range table.Services {
		s := p.service(table.Services[i].Name)
		s.engine = table.Services[i].Engine
		if s.engine != nil && len(s.targets) > 0 {
			s.speed.guess(table.Limits.TokensPerSecond / float64(len(s.targets)))
		}
	}
}

func (p *Placer) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{speed: newSpeed()}
		p.services[name] = s
	}
	return s
}

// Place chooses a target and counts the request there, or refuses it.
func (p *Placer) Place(r Request) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	s := p.services[r.Service]
	if s == nil {
		return Decision{Reason: NoTarget, RetryAfter: noTargetRetry}
	}
	if s.engine == nil {
		return p.leastOutstanding(s, r, now)
	}
	return p.home(s, r, now)
}

// noTargetRetry is when a caller may come back if there is no target: lists
// lag by about a second.
const noTargetRetry = 500 * time.Millisecond

// grade says how well a target may be used.
type grade int

const (
	// unusable targets leave, or were tried before.
	unusable grade = iota
	// doubtful targets seem cut off or fail much; they are used only if there are
	// no others.
	doubtful
	good
)

func (p *Placer) grade(s *service, t *target, r Request, now time.Time) grade {
	switch {
	case t.Draining || slices.Contains(r.Tried, t.ID):
		return unusable
	case !t.circuit.allows(now) || p.cut[t.DataCentre] || s.grey(t, now):
		return doubtful
	}
	return good
}

// leastOutstanding takes the target with the least work for its slots, by
// chance among equals.
func (p *Placer) leastOutstanding(s *service, r Request, now time.Time) Decision {
	var (
		best   *target
		graded grade
	)
	start := rand.IntN(len(s.targets) + 1)
	for i := range s.targets {
		t := s.targets[(start+i)%len(s.targets)]
		g := p.grade(s, t, r, now)
		if g > graded || g == graded && g > unusable && t.busyness() < best.busyness() {
			best, graded = t, g
		}
	}
	if best == nil {
		return Decision{Reason: NoTarget, RetryAfter: noTargetRetry}
	}
	return p.begin(best, Decision{Outstanding: best.outstanding(), Share: 1}, 0, now)
}

// busyness is the work of a target for each of its slots.
func (t *target) busyness() float64 { return float64(t.outstanding()) / float64(max(t.Slots, 1)) }

// home chooses among the first homes of a prompt the target with the least
// cost, if it is expected to make the objective.
func (p *Placer) home(s *service, r Request, now time.Time) Decision {
	homes := p.homes(s, r, now)
	if len(homes) == 0 {
		return Decision{Reason: NoTarget, RetryAfter: noTargetRetry}
	}
	pr := newPrompt(r.Call)
	cost := costOf(r.Call)
	share := p.currentShares(now).factor(r.Customer)
	limit := time.Duration(float64(r.Objective)*admitShare*share) - r.Waited
	best := s.cheapest(homes, &pr)
	d := Decision{
		Rank: best.rank, Share: share, Backlog: best.target.unread(), Unread: best.unread, Shared: best.unread - pr.own(),
		Outstanding: best.target.outstanding(), Predicted: best.predicted,
	}
	use := Use{Asked: cost}
	if r.Waited > 0 {
		use.Asked = 0
	}
	if best.target.outstanding() >= best.target.Slots || !s.admits(d, limit) {
		p.note(r.Customer, use, now)
		d.Reason = Overloaded
		d.RetryAfter = min(max(d.Predicted-limit, leastRetry), mostRetry)
		d.Hold = s.hold(r, d, limit)
		d.Age = p.oldestReport(now)
		return d
	}
	use.Served = cost
	p.note(r.Customer, use, now)
	best.target.kept.touch(pr.shared, best.unread)
	best.target.kept.trim(s.engine.MemoryTokens)
	if len(p.readings) < maxReadings {
		p.readings = append(p.readings, Reading{Target: best.target.hash, Parts: pr.shared, Unread: best.unread})
	}
	return p.begin(best.target, d, best.unread, now)
}

// hold returns how long a request may be held back: until its part of the
// objective is over, if what waits is expected to shrink enough by then.
// Customers above their share are not held.
func (s *service) hold(r Request, d Decision, limit time.Duration) time.Duration {
	left := time.Duration(float64(r.Objective)*holdShare) - r.Waited
	if left <= 0 || d.Share < heavyFactor {
		return 0
	}
	excess := s.speed.predict(d.Backlog) - time.Duration(float64(limit)*waitShare)
	if excess > left {
		return 0
	}
	return min(left, holdStep)
}

// candidate is a home and what is expected of it for one request.
type candidate struct {
	target    *target
	rank      int
	unread    int
	predicted time.Duration
	cost      time.Duration
}

// cheapest returns the home with the least cost: the expected time to the
// first event, the time that reading shared parts again takes from others, and
// a margin for homes after the first, so that requests do not move for small
// differences between reports.
func (s *service) cheapest(homes []*target, pr *prompt) candidate {
	var best candidate
	for rank, t := range homes {
		c := candidate{target: t, rank: rank, unread: pr.unread(&t.kept, s.engine.MemoryTokens)}
		c.predicted = s.speed.predict(t.unread() + c.unread)
		again := s.speed.reading(c.unread - pr.own())
		c.cost = c.predicted + time.Duration(againWeight*float64(again)) + time.Duration(rank)*moveMargin
		if best.target == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// admits reports whether a target is expected to make a limit. What waits is
// bounded apart, so that short prompts leave room for long ones. Prompts too
// long for any target to make the limit are admitted where little waits.
func (s *service) admits(d Decision, limit time.Duration) bool {
	waits := s.speed.predict(d.Backlog)
	if d.Predicted <= limit {
		return waits <= time.Duration(float64(limit)*waitShare)
	}
	return waits <= time.Duration(float64(limit)*longShare)
}

// costOf is the size of a request in tokens, for comparing customers.
func costOf(c *message.Call) int {
	made := c.HintTokens
	if made == 0 {
		made = c.MaxTokens
	}
	return c.PromptTokens + route.MadeTokenCost*made
}

const (
	// admitShare is the part of the objective that a prediction may take; the
	// rest is for what is not seen, as reports of other routers lag.
	admitShare = 0.8
	// waitShare is the part of the limit that may wait before any prompt.
	waitShare = 0.8
	// holdShare is the part of the objective that a request may be held back: what
	// is refused after a quarter of it counts as held for nothing.
	holdShare = 0.22
	// holdStep is the time between two looks for a request that is held back;
	// targets read about a thousand tokens in it.
	holdStep = 20 * time.Millisecond
	// longShare is the part of the limit that may wait before a prompt that is
	// too long to make it.
	longShare = 0.3
	// maxHomes is the number of homes that a prompt may be read at. Shared parts
	// of all prompts fit about two homes in the memory of the engines.
	maxHomes = 2
	// againWeight is the weight of the time that reading shared parts again takes
	// from other requests.
	againWeight = 3.0
	// moveMargin is what another home must be better by, for each rank: about
	// what a backlog changes between two reports of a busy router.
	moveMargin = 150 * time.Millisecond
	// leastRetry and mostRetry bound the time after which a caller is asked back.
	leastRetry = 100 * time.Millisecond
	mostRetry  = 2 * time.Second
)

// homeKey is the last shared part of a prompt, or the only one.
func homeKey(c *message.Call) string {
	switch n := len(c.Parts); n {
	case 0:
		return c.ID
	case 1:
		return c.Parts[0].ID
	default:
		return c.Parts[n-2].ID
	}
}

// homes returns the first homes of a prompt by rendezvous hashing, at best
// among the good targets. Targets go by their addresses, which outlast a
// restart.
func (p *Placer) homes(s *service, r Request, now time.Time) []*target {
	key := xxhash.Sum64String(homeKey(r.Call))
	var first [good + 1]ranking
	for _, t := range s.targets {
		weight := mix(key ^ t.seed)
		if !first[good].takes(weight) {
			continue
		}
		g := p.grade(s, t, r, now)
		first[g].add(t, weight)
	}
	if first[good].n == 0 {
		return first[doubtful].list()
	}
	return first[good].list()
}

// ranking holds the targets with the greatest weights.
type ranking struct {
	targets [maxHomes]*target
	weights [maxHomes]uint64
	n       int
}

// takes reports whether a weight is among the greatest.
func (r *ranking) takes(weight uint64) bool { return r.n < maxHomes || weight > r.weights[maxHomes-1] }

func (r *ranking) add(t *target, weight uint64) {
	if !r.takes(weight) {
		return
	}
	at := min(r.n, maxHomes-1)
	for at > 0 && r.weights[at-1] < weight {
		r.targets[at], r.weights[at] = r.targets[at-1], r.weights[at-1]
		at--
	}
	r.targets[at], r.weights[at] = t, weight
	r.n = min(r.n+1, maxHomes)
}

func (r *ranking) list() []*target { return r.targets[:r.n] }

// mix spreads the bits of a hash: the finaliser of MurmurHash3 by Austin
// Appleby.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func (p *Placer) begin(t *target, d Decision, unread int, now time.Time) Decision {
	t.own.Requests++
	t.own.Unread += unread
	d.Age = p.oldestReport(now)
	d.Run = &Run{Target: t.Target, placer: p, state: t, unread: unread, backlog: d.Backlog + unread, began: now}
	return d
}

// Run is one request at one target. It is used by one goroutine at a time.
type Run struct {
	Target roster.Target

	placer  *Placer
	state   *target
	unread  int
	backlog int
	began   time.Time
	ended   bool
}

// FirstEvent notes that the target has read the prompt.
func (r *Run) FirstEvent() {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.unread == 0 {
		return
	}
	p.service(r.Target.Service).speed.learn(r.backlog, p.clock.Since(r.began))
	r.read()
}

func (r *Run) read() {
	r.state.own.Unread -= r.unread
	r.unread = 0
}

// Result is how a run ended, as far as it tells about the target.
type Result int

// The results.
const (
	// Answered: the target answered.
	Answered Result = iota
	// Faulty: the target answered with a failure of its own.
	Faulty
	// Refused: the target said that it does not run the request.
	Refused
	// Failed: the target could not be reached or broke off.
	Failed
	// Cancelled: the run was ended for reasons that say nothing of the target.
	Cancelled
)

// End ends the run. Only the first call counts.
func (r *Run) End(result Result) {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.read()
	r.state.own.Requests--
	now := p.clock.Now()
	r.state.circuit.note(result, now)
	r.state.health.note(result, now)
}
