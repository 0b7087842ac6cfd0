// Package place chooses the target of each request and says when a request is
// better refused.
//
// Engines keep what they read of prompts. A prompt that shares its first parts
// with others is therefore sent to its home, the target that rendezvous hashing
// gives for the last shared part, so that all routers agree without a message.
// Load comes second: the tokens that wait to be read at a target predict the
// time to the first event. A router counts what it and the others sent there,
// less what the target must have read since (queue.go), and learns how long that
// takes (speed.go, slowness.go). When the home cannot make the objective, the next
// homes are asked, where the shared parts may have to be read again; when none can,
// the request is refused with the time after which the home is expected to have
// room (admit.go). Customers above their share have less of the objective (use.go).
// A home with free slots at which no tokens wait takes a request whatever is
// expected, so that a router that expects too long times learns better.
//
// A router that starts into a fleet that runs does not know what the targets
// keep. For a short time it takes it that homes keep what it has never seen.
//
// Engines that can take parts of a prompt from another engine do so where that is faster
// than reading them: the target is told which one keeps them (copy.go).
//
// Plain services take the target with the fewest outstanding requests, or refuse where
// an answer is not expected within the objective (plain.go).
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
	// AssumeCached tells that the fleet ran before this router started, so that the
	// targets that it finds keep parts of prompts of which it knows nothing.
	AssumeCached bool
	// Regions are those of the data centres by name; data centres that are missing are in
	// none.
	Regions map[string]string
}

// Request is what the choice depends on.
type Request struct {
	Service   string
	Customer  string
	Objective time.Duration
	// Call is what the caller said.
	Call *message.RequestInfo
	// Tried are the incarnations of targets that the request was sent to before.
	Tried []string
	// Regions are those in which the request may run; nil allows all.
	Regions []string
	// Versions are those of targets at which it may run.
	Versions Versions
}

// Versions bound the versions of targets while a service moves from one to another.
type Versions struct {
	// Only is the version that a request is to go to, Not the one that it must not. "" bounds
	// nothing.
	Only, Not string
	// Strict tells that nothing else will do. Else a bound that no target fulfils is lifted.
	Strict bool
}

func (v *Versions) allow(version string) bool {
	return (v.Only == "" || version == v.Only) && (v.Not == "" || version != v.Not)
}

// allows reports whether a request may run in a region.
func (r *Request) allows(region string) bool {
	return r.Regions == nil || region != "" && slices.Contains(r.Regions, region)
}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// NoTarget: no target of the service takes requests.
	NoTarget Reason = "no_target"
	// BackingOff: all targets that do not leave asked this router for a backoff.
	BackingOff Reason = "targets_back_off"
	// NotAllowed: no target of the service is in a region in which the request may run.
	NotAllowed Reason = "no_target_in_allowed_regions"
	// Overloaded: no target can make the objective.
	Overloaded Reason = "overloaded"
)

// Decision is the choice for one request, with the inputs that decided it.
type Decision struct {
	// Run is nil if the request is refused.
	Run        *Run
	Reason     Reason
	RetryAfter time.Duration

	// FirstAvailable is the id of the target that takes requests first when all want a backoff.
	FirstAvailable string
	// Rank is the place of the target in the order of homes, 0 for the first.
	Rank int
	// Share is the part of the usual limit that the customer was given, Above tells
	// that it has more than it is owed.
	Share      float64
	AboveShare bool
	// Backlog is the number of tokens that wait to be read at the target, PrefillTokens
	// what the request adds to it.
	Backlog       int
	PrefillTokens int
	// SharedTokens is the part of PrefillTokens that other prompts share.
	SharedTokens int
	// CopiedTokens is the number of tokens that the target copies from the one at CopyFrom in
	// place of reading them.
	CopiedTokens int
	CopyFrom     netip.AddrPort
	// Outstanding is the number of requests at the target, HasFreeSlot tells that it has a free
	// slot.
	Outstanding int
	HasFreeSlot bool
	// Wait is the expected time until the target begins to read the prompt,
	// Predicted that to the first event. Slowness is the part in both of what this
	// target takes longer than others.
	Wait      time.Duration
	Predicted time.Duration
	Slowness  float64
	// Replies is the number of targets of which the router that answers for them told
	// how things are.
	Replies int
	// ReportAge is the age of the oldest report of another router that was counted.
	ReportAge time.Duration
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	clock   clockwork.Clock
	regions map[string]string

	mu       sync.Mutex
	services map[string]*service
	targets  map[string]*target
	byHash   map[Hash]*target
	peers    map[string]*report
	uses     map[Hash]*ring
	// othersUses are the sums over the reports of all peers, kept so that a comparison of
	// customers need not sum them up.
	othersUses useSums
	// totals are the uses of the whole fleet; nil if nobody sums them up.
	totals *Totals
	oldest oldest
	shares shares
	// news is what others are to be told, changed are the targets at which the requests
	// of this router changed.
	news    Update
	changed map[Hash]*target
	// busy are the targets with requests of this router.
	busy map[Hash]*target
	// numbered is the number of readings so far.
	numbered uint32
	// owned are the targets for which this router answers.
	owned map[Hash]bool
	// fresh tells that the fleet started for the first time, when this router did.
	fresh   bool
	started time.Time
	// placed is signalled when there are new readings.
	placed chan struct{}
	// stated is what the engines are stated to carry in the window of uses, in
	// tokens; 0 if nobody says.
	stated int
	// heard is when bytes last arrived from the targets of each data centre.
	heard map[string]time.Time
	// cut holds the data centres that seem to be cut off.
	cut map[string]bool
	// evacuated holds the data centres whose targets are to get nothing new.
	evacuated map[string]bool
	// notices is what runs of targets said of themselves.
	notices map[Hash]*noticed
	// warm is set until the first targets are known, if the fleet ran before.
	warm bool
}

// warmFor is how long parts of which nothing is known count as kept by the
// targets that a router finds at its start: parts that are in use are asked for
// every few seconds, others are forgotten.
const warmFor = 10 * time.Second

// New returns a placer without targets.
func New(o Options) *Placer {
	return &Placer{
		clock: o.Clock, regions: o.Regions, services: make(map[string]*service), targets: make(map[string]*target),
		byHash: make(map[Hash]*target), peers: make(map[string]*report), uses: make(map[Hash]*ring), othersUses: make(useSums),
		notices: make(map[Hash]*noticed), heard: make(map[string]time.Time), cut: make(map[string]bool), warm: o.AssumeCached, fresh: !o.AssumeCached, started: o.Clock.Now(), changed: make(map[Hash]*target), busy: make(map[Hash]*target), placed: make(chan struct{}, 1),
	}
}

// Place chooses a target and counts the request there, or refuses it. Answers are
// those to Questions, as far as there are any.
func (p *Placer) Place(r Request, answers ...Reply) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	known := p.take(answers, now)
	s := p.services[r.Service]
	if s == nil {
		return Decision{Reason: NoTarget, RetryAfter: noTargetRetry}
	}
	p.liftVersions(s, &r)
	if !s.hasTargetFor(&r) {
		return Decision{Reason: NotAllowed, RetryAfter: noTargetRetry}
	}
	if s.engine == nil {
		return p.plain(s, r, known, now)
	}
	return p.home(s, r, known, now)
}

// noTargetRetry is when a caller may come back if there is no target: lists
// lag by about a second.
const noTargetRetry = 500 * time.Millisecond
