package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newVersionsFixture returns a placer for engines that copy, a third of them of a new version.
func newVersionsFixture(t *testing.T) *copyFixture {
	t.Helper()
	s := newCopyFixture(t, testCopyRate)
	for i, x := range s.list {
		next := *x
		next.Version = []string{"v1", "v1", "v2"}[i%3]
		next.Revision.Count = 1
		s.list[i] = &next
	}
	s.update()
	return s
}

func withVersions(r Request, v Versions) Request {
	r.Versions = v
	return r
}

// TestRequestsKeepToTheirVersion places prompts of all homes, each with a second attempt.
func TestRequestsKeepToTheirVersion(t *testing.T) {
	s := newVersionsFixture(t)
	for i := range 60 {
		for _, v := range []Versions{{Only: "v2"}, {Not: "v2"}, {Not: "v2", Strict: true}} {
			r := withVersions(promptRequest(call(fmt.Sprint(i), 1000, 10), "c"), v)
			for range 2 {
				for _, q := range s.Queries(r) {
					assert.Assert(t, v.allow(s.byHash[q.Target].Version), "only targets of the version are queried")
				}
				d := s.Place(r)
				assert.Assert(t, d.Run != nil)
				assert.Assert(t, v.allow(d.Run.Target.Version), "%v got %s", v, d.Run.Target.Version)
				if d.CopyFrom.IsValid() {
					for _, x := range s.list {
						assert.Assert(t, x.Address != d.CopyFrom || v.allow(x.Version), "copied from another version")
					}
				}
				r.Tried = append(r.Tried, d.Run.Incarnation())
				d.Run.End(Cancelled)
			}
		}
	}
}

// TestRestrictionToVersionWithoutTargetsIsLifted drains all targets of one version.
func TestRestrictionToVersionWithoutTargetsIsLifted(t *testing.T) {
	s := newVersionsFixture(t)
	for i, x := range s.list {
		if x.Version == "v1" {
			next := *x
			next.Draining, next.Revision.Count = true, 2
			s.list[i] = &next
		}
	}
	s.update()
	d := s.Place(withVersions(s.request, Versions{Not: "v2"}))
	assert.Assert(t, d.Run != nil && d.Run.Target.Version == "v2")
	d = s.Place(withVersions(s.request, Versions{Not: "v2", Strict: true}))
	assert.Assert(t, d.Run == nil, "a version that was rolled back gets no requests")
	d = s.Place(withVersions(s.request, Versions{Only: "v3"}))
	assert.Assert(t, d.Run != nil)
}

// TestResumedStreamIsNotPlacedAtAnotherVersion places what is left of streams, whatever a rollout
// selects for new requests.
func TestResumedStreamIsNotPlacedAtAnotherVersion(t *testing.T) {
	s := newVersionsFixture(t)
	resume := func(i int, version string, v Versions) Decision {
		r := withVersions(promptRequest(call(fmt.Sprint(i), 1000, 10), "c"), v)
		r.Resumed, r.Version = true, version
		for _, q := range s.Queries(r) {
			assert.Equal(t, s.byHash[q.Target].Version, version, "only targets of the version are queried")
		}
		return s.Place(r)
	}
	for i := range 30 {
		for _, v := range []Versions{{}, {Only: "v2"}, {Not: "v2"}, {Not: "v2", Strict: true}} {
			d := resume(i, "v1", v)
			assert.Assert(t, d.Run != nil && d.Run.Target.Version == "v1", "%v", v)
			d.Run.End(Cancelled)
		}
	}
	for _, c := range []struct {
		version  string
		versions Versions
	}{{"v2", Versions{Not: "v2", Strict: true}}, {"v3", Versions{}}, {"", Versions{}}} {
		d := resume(1, c.version, c.versions)
		assert.Assert(t, d.Run == nil && d.Reason == NoVersion, "%+v: %s", c, d.Reason)
	}
}

// TestOnlyVersionIsThatOfTheWholeTime covers a version that departed and one that came later.
func TestOnlyVersionIsThatOfTheWholeTime(t *testing.T) {
	const within = 8 * time.Second
	s := newCopyFixture(t, testCopyRate)
	only := func(want string) {
		t.Helper()
		got, ok := s.OnlyVersion("model", within, 0)
		assert.Equal(t, got, want)
		assert.Equal(t, ok, want != "")
	}
	setVersions := func(version func(i int) string) {
		for i, x := range s.list {
			next := *x
			next.Version = version(i)
			next.Revision.Count++
			s.list[i] = &next
		}
		s.update()
	}
	setVersions(func(int) string { return "v1" })
	s.targetsSince = s.clock.Now()
	only("")
	s.clock.Advance(within)
	only("v1")
	setVersions(func(i int) string { return []string{"v1", "v2"}[i%2] })
	only("")
	setVersions(func(int) string { return "v2" })
	only("")
	s.clock.Advance(within - 1)
	only("")
	s.clock.Advance(1)
	only("v2")
	const linger = time.Minute
	_, ok := s.OnlyVersion("model", within, linger)
	assert.Assert(t, !ok, "another router may use targets that departed")
	s.clock.Advance(linger)
	got, ok := s.OnlyVersion("model", within, linger)
	assert.Assert(t, ok && got == "v2")
	setVersions(func(int) string { return "" })
	s.clock.Advance(within)
	only("")
}

// TestCachesAreNotCopiedBetweenVersions has the first home of prompts drain and requests go to the
// next one, without a rollout.
func TestCachesAreNotCopiedBetweenVersions(t *testing.T) {
	copied := 0
	for i := range 40 {
		s := newVersionsFixture(t)
		r := promptRequest(call(fmt.Sprint("prompt", i), copiedTokens, ownTokens), "c")
		first := s.Place(r)
		assert.Assert(t, first.Run != nil)
		first.Run.FirstEvent(true)
		first.Run.End(Answered)
		for j, x := range s.list {
			if x.ID == first.Run.Target.ID {
				next := *x
				next.Draining, next.Revision.Count = true, 2
				s.list[j] = &next
			}
		}
		s.update()
		d := s.Place(r)
		assert.Assert(t, d.Run != nil)
		if d.CopiedTokens > 0 {
			copied++
			assert.Equal(t, d.Run.Target.Version, first.Run.Target.Version)
		}
	}
	assert.Assert(t, copied > 0, "nothing was copied within a version")
}
