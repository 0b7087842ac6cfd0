package place

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/roster"
)

// newRegionsFixture returns a placer for engines that copy and plain targets, a third of them in
// each of three data centres; x and y are in the west, z is in the east.
func newRegionsFixture(t *testing.T) *copyFixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	p := New(Options{Clock: clock, Regions: map[string]string{"x": "west", "y": "west", "z": "east"}})
	s := &copyFixture{Placer: p, clock: clock, list: append(targets("model", 9), targets("plain", 3)...), table: table(t)}
	for i, x := range s.list {
		x.DataCentre = []string{"x", "y", "z"}[i%3]
	}
	s.table.Services[0].Engine.CopyRate = testCopyRate
	s.update()
	return s
}

// inRegions restricts a request to regions.
func inRegions(r Request, regions ...string) Request {
	r.Regions = append([]string{}, regions...)
	return r
}

func plainRequest(customer string) Request {
	r := promptRequest(call("part", 0, 1), customer)
	r.Service = "plain"
	return r
}

// TestRequestsStayInTheirRegions places prompts of all homes and plain calls, each with a second
// attempt, also while only targets of the only allowed data centre are left.
func TestRequestsStayInTheirRegions(t *testing.T) {
	s := newRegionsFixture(t)
	for i := range 60 {
		for _, r := range []Request{inRegions(promptRequest(call(fmt.Sprint(i), 1000, 10), "c"), "east"), inRegions(plainRequest("c"), "east")} {
			for range 2 {
				for _, q := range s.Queries(r) {
					assert.Equal(t, s.byHash[q.Target].DataCentre, "z", "only targets of the region are queried")
				}
				d := s.Place(r)
				if d.Run == nil {
					break // the only plain target was tried
				}
				assert.Equal(t, d.Run.Target.DataCentre, "z")
				r.Tried = append(r.Tried, d.Run.Incarnation())
				d.Run.End(Failed)
			}
		}
	}
}

// TestNothingIsCopiedFromAnotherRegion drains the home of a prompt whose parts are cached in a
// region in which the request may not run.
func TestNothingIsCopiedFromAnotherRegion(t *testing.T) {
	s := newRegionsFixture(t)
	anywhere := promptRequest(call("part", copiedTokens, ownTokens), "c")
	run := s.Place(anywhere).Run
	run.FirstEvent(false)
	run.End(Answered)
	region := map[string]string{"x": "west", "y": "west", "z": "east"}[run.Target.DataCentre]
	other := map[string]string{"west": "east", "east": "west"}[region]
	for i, x := range s.list {
		if x.ID == run.Target.ID {
			leaving := *x
			leaving.Draining, leaving.Revision.Count = true, 1
			s.list[i] = &leaving
		}
	}
	s.update()
	assert.Equal(t, s.Place(anywhere).CopyFrom, run.Target.Address)
	d := s.Place(inRegions(anywhere, other))
	assert.Assert(t, d.Run != nil)
	assert.Assert(t, !d.CopyFrom.IsValid(), "copied from %s", d.CopyFrom)
}

// TestRequestsWithoutAnAllowedTargetAreRefused uses regions without targets of the service,
// a region without data centres, and an empty list.
func TestRequestsWithoutAnAllowedTargetAreRefused(t *testing.T) {
	s := newRegionsFixture(t)
	for _, regions := range [][]string{{"nowhere"}, {}, {"east"}} {
		list := s.list
		if len(regions) == 1 && regions[0] == "east" {
			s.list = nil
			for _, x := range list {
				if x.DataCentre != "z" {
					s.list = append(s.list, x)
				}
			}
			s.update()
		}
		for _, r := range []Request{inRegions(promptRequest(call("part", 100, 10), "c"), regions...), inRegions(plainRequest("c"), regions...)} {
			d := s.Place(r)
			assert.Assert(t, d.Run == nil)
			assert.Equal(t, d.Reason, NotAllowed, "%v", regions)
			assert.Assert(t, d.RetryAfter > 0)
		}
	}
}

// TestTargetsOfUnknownDataCentresServeOnlyUnrestrictedRequests uses a data centre that has no region
// in the settings.
func TestTargetsOfUnknownDataCentresServeOnlyUnrestrictedRequests(t *testing.T) {
	s := newRegionsFixture(t)
	s.list = []*roster.Target{{ID: "new", Service: "plain", Slots: 4, DataCentre: "unknown", Address: s.list[0].Address}}
	s.update()
	assert.Assert(t, s.Place(plainRequest("c")).Run != nil)
	assert.Equal(t, s.Place(inRegions(plainRequest("c"), "west")).Reason, NotAllowed)
	assert.Equal(t, s.Place(inRegions(plainRequest("c"), "")).Reason, NotAllowed)
}
