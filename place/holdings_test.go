package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/roster"
)

// holdingFixture has a prompt whose shared part is cached by a target that is no home of it. The
// fixture's placer is both the router that places and the directory.
type holdingFixture struct {
	*copyFixture
	holder *target
}

func newHoldingFixture(t *testing.T) *holdingFixture {
	t.Helper()
	f := &holdingFixture{copyFixture: newCopyFixture(t, testCopyRate)}
	f.nearHomes = true
	for _, x := range f.targets {
		x.cache = prefixCache{}
		if x.Service == "model" && x != f.first && x != f.second {
			f.holder = x
		}
	}
	f.tell(Holding{Key: HashOf("part"), Target: f.holder.hash, Tokens: copiedTokens})
	return f
}

// tell has another router report a holding.
func (f *holdingFixture) tell(h Holding) {
	f.ApplyReport("other", Report{Update: Update{Holdings: []Holding{h}}})
}

// change changes the entry of the holder.
func (f *holdingFixture) change(edit func(*roster.Target)) {
	f.first = f.holder
	f.entry(edit)
}

func TestFirstHomeCopiesFromHolder(t *testing.T) {
	f := newHoldingFixture(t)
	d := f.Place(f.request)
	assert.Equal(t, d.Rank, 0)
	assert.Equal(t, d.CopyFrom, f.holder.Address)
	assert.Equal(t, d.CopiedTokens, copiedTokens)
	assert.Assert(t, d.Holding)
}

// TestDirectoryNamesHolder has a router without any holdings ask the directory.
func TestDirectoryNamesHolder(t *testing.T) {
	f := newHoldingFixture(t)
	router, _ := newTestPlacer(t)
	router.nearHomes = true
	router.SetTargets(f.list, f.table)
	q := router.Queries(f.request)[0]
	a, ok := f.Reply(q)
	assert.Assert(t, ok)
	assert.Equal(t, a.Holder, f.holder.hash)
	assert.Equal(t, a.HolderTokens, copiedTokens)
	d := router.Place(f.request, a)
	assert.Equal(t, d.CopyFrom, f.holder.Address)
	a.Holder = 0 // the directory changed, and its new owner knows nothing yet
	fresh, _ := newTestPlacer(t)
	fresh.nearHomes = true
	fresh.SetTargets(f.list, f.table)
	d = fresh.Place(f.request, a)
	assert.Assert(t, d.Run != nil)
	assert.Equal(t, d.CopiedTokens, 0)
	assert.Equal(t, d.PrefillTokens, copiedTokens+ownTokens)
}

// TestUnsuitableHoldersAreNotCopiedFrom makes the holder unusable in every way.
func TestUnsuitableHoldersAreNotCopiedFrom(t *testing.T) {
	bad := map[string]func(f *holdingFixture){
		"ended": func(f *holdingFixture) { f.list = without(f.list, f.holder.ID); f.update() },
		"restarted": func(f *holdingFixture) {
			f.change(func(x *roster.Target) { x.Started = time.Unix(1, 0) })
		},
		"other version": func(f *holdingFixture) { f.change(func(x *roster.Target) { x.Version = "2" }) },
		"unreadable":    func(f *holdingFixture) { f.change(func(x *roster.Target) { x.Unreadable = true }) },
		"replaced":      func(f *holdingFixture) { f.holder.replaced = true },
		"cut off":       func(f *holdingFixture) { f.cutOff[f.holder.DataCentre] = true },
		"evicted": func(f *holdingFixture) {
			f.tell(Holding{Key: HashOf("part"), Target: f.holder.hash, Evicted: true})
		},
		"fails": func(f *holdingFixture) {
			for range openAfter {
				f.holder.circuit.record(Failed, f.clock.Now())
			}
		},
	}
	for name, change := range bad {
		t.Run(name, func(t *testing.T) {
			f := newHoldingFixture(t)
			q := f.Queries(f.request)[0]
			change(f)
			a, _ := f.Reply(q)
			assert.Equal(t, a.Holder, Hash(0))
			d := f.Place(f.request)
			assert.Assert(t, d.Run != nil)
			assert.Equal(t, d.CopiedTokens, 0)
			assert.Equal(t, d.PrefillTokens, copiedTokens+ownTokens)
		})
	}
}

// TestHoldingsAreTold has the first home full, so that another one gets the shared parts.
func TestHoldingsAreTold(t *testing.T) {
	f := newCopyFixture(t, testCopyRate)
	f.nearHomes = true
	assert.Equal(t, len(f.TakeUpdate().Holdings), 0, "the owner of the first home knows what that prefills")
	f.overloadFirst()
	run := f.Place(f.request).Run
	assert.Equal(t, run.Target.ID, f.second.ID)
	want := []Holding{{Key: HashOf("part"), Target: f.second.hash, Tokens: copiedTokens, Directory: f.first.hash}}
	assert.DeepEqual(t, f.TakeUpdate().Holdings, want)
	f.Place(f.request)
	assert.Equal(t, len(f.TakeUpdate().Holdings), 0, "it has them already")
	f = newCopyFixture(t, 0)
	f.nearHomes = true
	f.overloadFirst()
	f.Place(f.request)
	assert.Equal(t, len(f.TakeUpdate().Holdings), 0, "engines that do not copy")
}

func TestHoldingsAreBounded(t *testing.T) {
	var x holdings
	for i := range 2 * maxHoldings {
		x.record(Holding{Key: 1, Target: Hash(i)})
	}
	assert.Equal(t, len(x.byKey[1]), maxHoldings)
	assert.Equal(t, x.byKey[1][maxHoldings-1].Target, Hash(2*maxHoldings-1))
	for i := range 2 * maxHoldingKeys {
		x.record(Holding{Key: Hash(i)})
	}
	assert.Equal(t, len(x.byKey), maxHoldingKeys)
	x.record(Holding{Key: 2*maxHoldingKeys - 1, Evicted: true})
	assert.Equal(t, len(x.byKey), maxHoldingKeys-1)
}
