package place

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/roster"
	"zinccove.example/zinccove/route"
)

const (
	skewCentres, skewTargets = 4, 20
	skewSlots                = 12
	// skewMemory lets the targets of one data centre keep the shared parts of all prompts.
	skewMemory = 800_000
	// skewRate is the number of tokens that an engine prefills in a millisecond.
	skewRate = 48
)

func skewTable(t testing.TB, copyRate float64) *route.Table {
	t.Helper()
	table, err := route.New(route.Spec{
		Version: 1, Limits: route.Limits{TokensPerSecond: skewCentres * skewTargets * skewRate * 1000},
		Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: skewSlots, CacheTokens: skewMemory, CopyRate: copyRate}}},
	})
	assert.NilError(t, err)
	return table
}

func skewList() []*roster.Target {
	list := targets("model", skewCentres*skewTargets)
	for i, x := range list {
		x.DataCentre, x.Slots, x.Version = centre(i%skewCentres), skewSlots, "1"
	}
	return list
}

func centre(i int) string { return string(rune('a' + i)) }

// skewFleet is one router in each data centre, and an owner of all targets that hears of each
// placement at once.
type skewFleet struct {
	clock   *clockwork.FakeClock
	routers []*Placer
	owner   *Placer
	engines map[string]*skewEngine
	byAddr  map[netip.AddrPort]string
	due     []skewEvent
	// forget is the time after which directories are lost; 0 if they are kept.
	forget   time.Duration
	forgotAt time.Time

	placed, crossed, refused, late, readAgain int
}

// skewEngine prefills prompts one after the other and keeps the parts that it has.
type skewEngine struct {
	free  time.Time
	cache prefixCache
}

type skewEvent struct {
	at  time.Time
	run *Run
	end bool
}

func newSkewFleet(t testing.TB, near bool) *skewFleet {
	t.Helper()
	f := &skewFleet{clock: clockwork.NewFakeClock(), engines: make(map[string]*skewEngine), byAddr: make(map[netip.AddrPort]string)}
	list, table := skewList(), skewTable(t, 400_000)
	for i := range skewCentres {
		f.routers = append(f.routers, New(Options{Clock: f.clock, DataCentre: centre(i), NearHomes: near}))
	}
	f.owner = New(Options{Clock: f.clock})
	for _, p := range append(f.routers, f.owner) {
		p.SetTargets(list, table)
	}
	for _, x := range list {
		f.engines[x.ID] = &skewEngine{}
		f.byAddr[x.Address] = x.ID
	}
	return f
}

func (f *skewFleet) replies(queries []Query) []Reply {
	var list []Reply
	for _, q := range queries {
		if a, ok := f.owner.Reply(q); ok {
			list = append(list, a)
		}
	}
	return list
}

// request places a prompt of a data centre and runs it.
func (f *skewFleet) request(dc int, r Request) {
	p := f.routers[dc]
	replies := f.replies(p.Queries(r))
	replies = append(replies, f.replies(p.FurtherQueries(r, replies))...)
	d := p.Place(r, replies...)
	if d.Run == nil {
		f.refused++
		return
	}
	f.owner.ApplyReport(centre(dc), Report{Update: p.TakeUpdate()})
	f.placed++
	if d.Run.Target.DataCentre != centre(dc) {
		f.crossed++
	}
	first := f.prefill(r, &d)
	if first.Sub(f.clock.Now()) > r.Objective {
		f.late++
	}
	f.due = append(f.due, skewEvent{at: first, run: d.Run}, skewEvent{at: first.Add(400 * time.Millisecond), run: d.Run, end: true})
}

// prefill returns the time of the first event. Shared parts that neither the engine nor the source
// of its copy has cached are prefilled.
func (f *skewFleet) prefill(r Request, d *Decision) time.Time {
	e := f.engines[d.Run.Target.ID]
	pr := newPrompt(r.Call)
	tokens := pr.prefillTokens(&e.cache, skewMemory, false)
	took := 30 * time.Millisecond
	if d.CopyFrom.IsValid() {
		left := pr.prefillTokens(&f.engines[f.byAddr[d.CopyFrom]].cache, skewMemory, false)
		took += copySetup
		tokens = min(tokens, left)
	}
	f.readAgain += tokens - pr.uniqueTokens
	e.cache.touch(pr.prefixParts, tokens+d.CopiedTokens)
	if now := f.clock.Now(); e.free.Before(now) {
		e.free = now
	}
	e.free = e.free.Add(time.Duration(tokens) * time.Millisecond / skewRate)
	return e.free.Add(took)
}

// advance runs the events of a step of time.
func (f *skewFleet) advance(step time.Duration) {
	f.clock.Advance(step)
	now := f.clock.Now()
	f.due = slices.DeleteFunc(f.due, func(e skewEvent) bool {
		if e.at.After(now) {
			return false
		}
		if e.end {
			e.run.End(Answered)
		} else {
			e.run.FirstEvent(true)
		}
		return true
	})
	if f.forget > 0 && now.Sub(f.forgotAt) >= f.forget {
		f.owner.holdings, f.forgotAt = holdings{}, now
	}
	for i, p := range f.routers {
		f.owner.ApplyReport(centre(i), Report{Update: p.TakeUpdate()})
	}
}

// play sends 30 s of prompts, 0.7 of them in the first data centre, at a load that the targets of
// all data centres together can serve and those of the first one cannot.
func (f *skewFleet) play(perStep float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		f.advance(10 * time.Millisecond)
		for n := perStep; n > 0; n-- {
			if n < 1 && rng.Float64() > n {
				break
			}
			dc := 0
			if rng.Float64() > 0.7 {
				dc = 1 + rng.IntN(skewCentres-1)
			}
			part := int(60 * rng.Float64() * rng.Float64())
			f.request(dc, promptRequest(call(fmt.Sprint("part-", part), 5400, 900), "c"))
		}
	}
}

// TestNearHomesUnderSkewedDemand replays demand of which 0.7 is in one of four data centres.
func TestNearHomesUnderSkewedDemand(t *testing.T) {
	for _, perStep := range []float64{4, 12} {
		all, near := newSkewFleet(t, false), newSkewFleet(t, true)
		all.play(perStep)
		near.play(perStep)
		for _, f := range []*skewFleet{all, near} {
			t.Logf("%v a second: placed %d, crossed %.3f, refused %d, late %d, read again %d", 100*perStep, f.placed, float64(f.crossed)/float64(f.placed), f.refused, f.late, f.readAgain)
		}
		assert.Assert(t, near.crossed < all.crossed)
		assert.Assert(t, near.refused <= all.refused)
		assert.Assert(t, near.late <= all.late)
		assert.Assert(t, near.readAgain <= all.readAgain)
	}
}

// TestLostDirectoryCostsAccuracyOnly has the owner of all directories forget them every second.
func TestLostDirectoryCostsAccuracyOnly(t *testing.T) {
	kept, lost := newSkewFleet(t, true), newSkewFleet(t, true)
	lost.forget = time.Second
	kept.play(4)
	lost.play(4)
	t.Logf("kept: read again %d, lost: read again %d", kept.readAgain, lost.readAgain)
	assert.Equal(t, lost.refused, 0)
	assert.Equal(t, lost.late, 0)
	assert.Assert(t, lost.readAgain <= kept.readAgain*5/4)
}

func newNearPlacer(t testing.TB, list []*roster.Target) (*Placer, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	p := New(Options{Clock: clock, DataCentre: "a", NearHomes: true})
	p.SetTargets(list, skewTable(t, 400_000))
	return p, clock
}

// TestHomesAreNearWithEnoughTargets checks the conditions for near homes.
func TestHomesAreNearWithEnoughTargets(t *testing.T) {
	r := promptRequest(call("part-3", 5400, 900), "c")
	restricted := r
	restricted.Versions = Versions{Only: "1"}
	elsewhere := func(n int) []*roster.Target {
		list := skewList()
		for i, x := range list {
			if x.DataCentre == "a" && i >= n*skewCentres {
				x.DataCentre = "b"
			}
		}
		return list
	}
	one := skewList()
	for _, x := range one {
		x.DataCentre = "a"
	}
	cases := map[string]struct {
		list []*roster.Target
		r    Request
		want HomeKind
	}{
		"enough targets":                   {skewList(), r, NearHome},
		"just enough targets":              {elsewhere(minNearTargets), r, NearHome},
		"too few targets":                  {elsewhere(minNearTargets - 1), r, FirstHome},
		"one data centre":                  {one, r, FirstHome},
		"a rollout restricts the versions": {skewList(), restricted, FirstHome},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, _ := newNearPlacer(t, c.list)
			assert.Equal(t, len(p.Queries(c.r)), maxHomes)
			assert.Equal(t, len(p.FurtherQueries(c.r, nil)) > 0, c.want == NearHome, "only near homes need further replies")
			assert.Equal(t, p.Place(c.r).Home, FirstHome, "the first use of a prompt")
			assert.Equal(t, p.Place(c.r).Home, c.want)
		})
	}
}

// TestFullNearHomesSpill fills the near homes of a prompt and then empties them.
func TestFullNearHomesSpill(t *testing.T) {
	p, clock := newNearPlacer(t, skewList())
	r := promptRequest(call("part-3", 5400, 900), "c")
	h := p.homes(p.service("model"), r, clock.Now())
	for i := 0; h.first.near; i++ {
		r = promptRequest(call(fmt.Sprint(i), 5400, 900), "c")
		h = p.homes(p.service("model"), r, clock.Now())
	}
	full := func(pending int) []Reply {
		var list []Reply
		for _, q := range p.Queries(r) {
			list = append(list, Reply{Target: q.Target, PendingTokens: pending, PrefillTokens: 900, Slowness: 1})
		}
		return list
	}
	assert.Equal(t, len(p.FurtherQueries(r, full(0))), 0, "near homes that have the shared parts and no queue are enough")
	assert.Assert(t, len(p.FurtherQueries(r, full(60_000))) > 0)
	spilled := p.Place(r, full(60_000)...)
	assert.Equal(t, spilled.Home, SpilledHome)
	assert.Equal(t, spilled.Run.state, h.first)
	assert.Equal(t, spilled.CopiedTokens, 5400, "a near home has the shared parts")
	spilled.Run.End(Answered)
	back := p.Place(r, full(0)...)
	assert.Equal(t, back.Home, NearHome)
}

// TestNearHomesRefuseNothingThatOthersAdmit has the near homes be cheaper and too late: the home
// over all data centres meets the objective, but has to prefill the shared parts.
func TestNearHomesRefuseNothingThatOthersAdmit(t *testing.T) {
	p, _ := newNearPlacer(t, skewList())
	p.services["model"].engine.CopyRate = 0
	r := promptRequest(call("part-3", 30_000, 900), "c")
	r.Objective = 600 * time.Millisecond
	var replies []Reply
	for _, q := range p.Queries(r) {
		replies = append(replies, Reply{Target: q.Target, PendingTokens: 60_000, PrefillTokens: 900, Slowness: 1})
	}
	d := p.Place(r, replies...)
	assert.Assert(t, d.Run != nil, "%+v", d)
	assert.Equal(t, d.Home, SpilledHome)
}

func BenchmarkPlaceNearAmong140(b *testing.B) {
	list := targets("model", 140)
	for i, x := range list {
		x.DataCentre = centre(i % skewCentres)
	}
	p, _ := newNearPlacer(b, list)
	r := promptRequest(call("part", 2000, 100), "c")
	for b.Loop() {
		if d := p.Place(r); d.Run != nil {
			d.Run.End(Answered)
		}
	}
}

// TestColdNearHomesAreLeft has a prompt come to a data centre more and less often than its targets
// keep shared parts. The homes over all data centres have them.
func TestColdNearHomesAreLeft(t *testing.T) {
	for name, c := range map[string]struct {
		between int // tokens that the near homes prefill between two uses
		want    HomeKind
	}{
		"often":  {10_000, NearHome},
		"seldom": {skewMemory / 2, FirstHome},
	} {
		t.Run(name, func(t *testing.T) {
			f := newSkewFleet(t, true)
			r := promptRequest(call("part-1", 5400, 900), "c")
			p := f.routers[0]
			for f.home(p, r).first.near {
				r = promptRequest(call(r.Call.PrefixParts[0].ID+"x", 5400, 900), "c")
			}
			var d Decision
			for range 4 {
				replies := f.replies(p.Queries(r))
				replies = append(replies, f.replies(p.FurtherQueries(r, replies))...)
				d = p.Place(r, replies...)
				f.owner.ApplyReport("a", Report{Update: p.TakeUpdate()})
				d.Run.End(Answered)
				for _, x := range f.home(f.owner, r).homes {
					x.queue, x.queue.at = prefillQueue{}, f.clock.Now()
				}
				for _, x := range f.home(p, r).homes[:maxHomes] {
					f.owner.byHash[x.hash].cache.touch(nil, c.between)
				}
				f.clock.Advance(10 * time.Second)
			}
			assert.Equal(t, d.Home, c.want)
			assert.Equal(t, d.SharedTokens, 0)
		})
	}
}

// home returns the homes of a request as a placer sees them.
func (f *skewFleet) home(p *Placer, r Request) homeSet {
	return p.homes(p.service("model"), r, f.clock.Now())
}
