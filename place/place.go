// Package place chooses the target of each request and decides when a request is
// better refused.
//
// Engines cache the tokens of prompts that they prefilled. A prompt that shares its
// first parts with others is therefore sent to its home, the target that rendezvous
// hashing selects for the last prefix part, so that all routers agree without a message.
// Load comes second: the tokens pending at a target predict the time to the first event.
// A router counts what it and the other routers sent there, less what the target must
// have prefilled since (queue.go), and learns how long that takes (latency.go,
// slowness.go). If the home cannot meet the objective, the next homes are considered,
// where the prefix may have to be prefilled again; if none can, the request is refused
// with the time after which the home is expected to have capacity (admit.go). Customers
// above their share get a part of the objective only (shares.go). A home with free slots
// and no pending tokens accepts a request whatever the prediction, so that a router whose
// predictions are too high can correct them.
//
// A router that joins a running fleet does not know what the targets have cached. For a
// short time it assumes that homes have cached the parts that it has never seen.
//
// Engines that can copy parts of a prompt from another engine do so where that is faster
// than prefilling them: the request names the target that has them cached (copy.go).
//
// A request to a plain service goes to the target with the fewest outstanding requests, or
// is refused if a response is not expected within the objective (plain.go).
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
//	d.Run.FirstEvent(true)
//	d.Run.End(place.Answered)
package place

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"zinccove.example/zinccove/message"
)

// Options configure a placer.
type Options struct {
	Clock clockwork.Clock
	// AssumeCached is set if the fleet ran before this router started, so that the targets that
	// it finds have cached prefix parts that it knows nothing about.
	AssumeCached bool
	// Regions maps data centres to their regions; data centres that are missing have no region.
	Regions map[string]string
	// DataCentre is that of this router. NearHomes selects homes there first.
	DataCentre string
	NearHomes  bool
	// Backups lets runs have backups while many runs break.
	Backups bool
}

// Request holds the inputs of a placement.
type Request struct {
	Service   string
	Customer  string
	Objective time.Duration
	// Call is the caller's request.
	Call *message.RequestInfo
	// Tried are the incarnations of targets to which the request was sent before.
	Tried []string
	// Regions are those in which the request may run; nil allows all.
	Regions []string
	// Versions restricts the versions of the targets at which the request may run.
	Versions Versions
	// Resumed is set if the request continues a stream that has begun, Version is the version of
	// the software that began it. The request may run at no other version, and at none if it is "".
	Resumed bool
	Version string
	// Repeatable reports that the request may run again after a run that broke.
	Repeatable bool
	// LastAttempt reports that no attempt is left after this one, so that a run cannot go on elsewhere.
	LastAttempt bool
	// Elapsed is the time since the request arrived, Left the time until it has to be complete. MayWait
	// reports whether it may wait for a place; CustomerPriority and RoutePriority then order it, 0
	// is the highest. AnswerTime is the time that its response takes after the first event; 0 if it
	// is not known.
	Elapsed, Left, AnswerTime       time.Duration
	MayWait                         bool
	CustomerPriority, RoutePriority int
	// Grant is the place for which the request waited, nil if it did not wait.
	Grant *Grant
}

// Versions restricts the versions of targets during the rollout of a service.
type Versions struct {
	// Only is the required version, Not the excluded one; "" restricts nothing.
	Only, Not string
	// Strict makes the restriction absolute. Otherwise a restriction that no target meets is
	// lifted.
	Strict bool
}

func (v *Versions) allow(version string) bool {
	return (v.Only == "" || version == v.Only) && (v.Not == "" || version != v.Not)
}

// allowsVersion reports whether a request may run at a version.
func (r *Request) allowsVersion(version string) bool {
	if r.Resumed && (version == "" || version != r.Version) {
		return false
	}
	return r.Versions.allow(version)
}

// allows reports whether a request may run in a region.
func (r *Request) allows(region string) bool {
	return r.Regions == nil || region != "" && slices.Contains(r.Regions, region)
}

// Reason is the reason why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// NoTarget: no target of the service accepts requests.
	NoTarget Reason = "no_target"
	// BackingOff: all targets that are not draining asked this router for a backoff.
	BackingOff Reason = "targets_back_off"
	// WarmingUp: only targets that are warming up are left, and they have all the requests that they
	// can serve.
	WarmingUp Reason = "targets_warm_up"
	// NotAllowed: no target of the service is in a region in which the request may run.
	NotAllowed Reason = "no_target_in_allowed_regions"
	// NoVersion: no target of the version that began a stream accepts requests.
	NoVersion Reason = "no_target_of_version"
	// Overloaded: no target is predicted to meet the objective.
	Overloaded Reason = "overloaded"
)

// Decision is the choice for one request, with the inputs that decided it.
type Decision struct {
	// Run is nil if the request is refused.
	Run        *Run
	Reason     Reason
	RetryAfter time.Duration

	// FirstAvailable is the id of the target that accepts requests first when all are in backoff.
	FirstAvailable string
	// Rank is the position of the target in the order of homes, 0 for the first.
	Rank int
	// Share is the share of the usual limit that the customer got. AboveShare is set if the
	// customer has more than it is owed, Ahead if it also has more than an even part of what is
	// served, Held if it was refused because it has used up its credit.
	Share      float64
	AboveShare bool
	Ahead      bool
	Held       bool
	// Comparison is what the customer's share was derived from.
	Comparison Comparison
	// Backlog is the number of tokens pending at the target, PrefillTokens the number of tokens
	// that the request adds to it.
	Backlog       int
	PrefillTokens int
	// SharedTokens is the part of PrefillTokens that belongs to the shared prefix.
	SharedTokens int
	// CopiedTokens is the number of tokens that the target copies from the one at CopyFrom
	// instead of prefilling them.
	CopiedTokens int
	CopyFrom     netip.AddrPort
	// Home is the kind of home that was chosen. Holding reports whether CopyFrom is known from a
	// holding and is no home.
	Home    HomeKind
	Holding bool
	// Backup is whether the target copies the state of the run to another one.
	Backup BackupDecision
	// Outstanding is the number of requests at the target, HasFreeSlot reports whether it has a
	// free slot.
	Outstanding int
	HasFreeSlot bool
	// WarmingUp reports whether the target is warming up.
	WarmingUp bool
	// Wait is the predicted time until the target begins to prefill the prompt, Predicted the
	// predicted time to the first event. Slowness is the factor in both by which this target
	// takes longer than others.
	Wait      time.Duration
	Predicted time.Duration
	Slowness  float64
	// Replies is the number of targets whose owners replied to queries for the request.
	Replies int
	// Waiting is the wait for a place that a refused request may begin; nil if it must not.
	Waiting *Wait
	// ReportAge is the age of the oldest report of another router that was used.
	ReportAge time.Duration
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	clock   clockwork.Clock
	regions map[string]string
	// dataCentre is that of this router, nearHomes whether homes there come first.
	dataCentre string
	nearHomes  bool
	backups    bool

	mu       sync.Mutex
	services map[string]*service
	targets  map[string]*target
	byHash   map[Hash]*target
	peers    map[string]*peerReport
	usage    map[Hash]*usageRing
	// othersUsage sums up the reports of all peers. It is kept up to date so that a comparison of
	// customers need not sum them up.
	othersUsage usageSums
	// totals is the usage of the whole fleet; nil if no router sums it up.
	totals *Totals
	oldest oldestReport
	shares shares
	// contestedAt is when a customer last got so much that another one lacked a lot next to it,
	// heldAt when each customer was last above the ahead level.
	contestedAt time.Time
	heldAt      map[Hash]time.Time
	// update holds the entries for the next update, changed the targets at which the requests of
	// this router changed.
	update  Update
	changed map[Hash]*target
	// busy holds the targets with requests of this router.
	busy map[Hash]*target
	// lastPrefillNumber is the number of the last prefill.
	lastPrefillNumber uint32
	// owned holds the targets that this router owns.
	owned map[Hash]bool
	// firstStart is set if the fleet started for the first time together with this router.
	firstStart bool
	started    time.Time
	// targetsSince is when the first targets were known; zero before.
	targetsSince time.Time
	// updateReady is signalled when there are new entries for an update.
	updateReady chan struct{}
	// statedCapacity is the stated capacity of the engines in the window of usage, in tokens; 0
	// if none is stated.
	statedCapacity int
	// lastReceived is when data was last received from the targets or routers of each data
	// centre.
	lastReceived map[string]time.Time
	// cutOff holds the data centres that seem to be cut off.
	cutOff map[string]bool
	// evacuated holds the data centres whose targets must get no new requests.
	evacuated map[string]bool
	// announcements holds what incarnations of targets announced about themselves.
	announcements map[Hash]*announcement
	holdings      holdings
	// waitsChanged is signalled when targets with waiting requests changed. endedWaits are the waits that
	// ended here.
	waitsChanged chan struct{}
	endedWaits   []EndedWait
	// waiting holds the targets with waiting requests or granted places.
	waiting map[Hash]*target
	// routers is the number of routers that share the rate of targets that are warming up, 0 if it is
	// not known; position is that of this router among them.
	position, routers int
	// assumeCached is set until the first targets are known, if the fleet ran before.
	assumeCached bool
}

// assumeCachedTTL is the time for which unknown parts count as cached by the targets that a
// router finds at its start: parts in use are requested every few seconds, others are evicted.
const assumeCachedTTL = 10 * time.Second

// New returns a placer without targets.
func New(o Options) *Placer {
	return &Placer{
		clock: o.Clock, regions: o.Regions, dataCentre: o.DataCentre, nearHomes: o.NearHomes, backups: o.Backups, services: make(map[string]*service), targets: make(map[string]*target),
		byHash: make(map[Hash]*target), peers: make(map[string]*peerReport), usage: make(map[Hash]*usageRing), othersUsage: make(usageSums), heldAt: make(map[Hash]time.Time),
		announcements: make(map[Hash]*announcement), lastReceived: make(map[string]time.Time), cutOff: make(map[string]bool), assumeCached: o.AssumeCached, firstStart: !o.AssumeCached, started: o.Clock.Now(), changed: make(map[Hash]*target), busy: make(map[Hash]*target), updateReady: make(chan struct{}, 1), waitsChanged: make(chan struct{}, 1), waiting: make(map[Hash]*target),
	}
}

// Place chooses a target and counts the request there, or refuses it. The replies are those to
// Queries; they may be incomplete.
func (p *Placer) Place(r Request, replies ...Reply) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if r.Grant != nil {
		replies = p.useGrant(r.Grant)
	}
	byTarget := p.applyReplies(replies, now)
	s := p.services[r.Service]
	if s == nil {
		return Decision{Reason: NoTarget, RetryAfter: noTargetRetry}
	}
	p.liftVersions(s, &r)
	if !s.hasTargetFor(&r) {
		return Decision{Reason: NotAllowed, RetryAfter: noTargetRetry}
	}
	if s.engine == nil {
		return p.placePlain(s, r, byTarget, now)
	}
	return p.placeEngine(s, r, byTarget, now)
}

// noTargetRetry is the delay after which a caller may retry if there is no target: lists of
// targets lag by about a second.
const noTargetRetry = 500 * time.Millisecond
