package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/owner"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/platform/wire"
	"zinccove.example/zinccove/revision"
)

// newConfirmGateway returns a router that knows the table of targets up to a revision.
func newConfirmGateway(t *testing.T, changes func(revision.Revision) (platform.Batch, error)) *Gateway {
	t.Helper()
	all, _ := newQueriers(t, 1, new(sync.Map))
	g := all[0]
	g.confirmer = newConfirmer(g)
	g.confirmer.changes = changes
	g.targetsApplied.Store(&revision.Revision{Count: 7})
	return g
}

func targetChange(id, service, version string) platform.Change {
	return platform.Change{Key: id, Value: fmt.Appendf(nil, `{"service":%q,"address":"127.0.0.1:1","zone":"dc","version":%q,"slots":1,"state":"ready","coldLeftMs":0,"seq":1}`, service, version)}
}

// TestOnlyVersionIsConfirmedByTheStoreSinceTheKnownList covers what may have happened unnoticed.
func TestOnlyVersionIsConfirmedByTheStoreSinceTheKnownList(t *testing.T) {
	var next func(revision.Revision) (platform.Batch, error)
	g := newConfirmGateway(t, func(since revision.Revision) (platform.Batch, error) { return next(since) })
	g.placer = newPlacer(t)
	full := make([]platform.Change, wire.MaxRows)
	for i := range full {
		full[i] = targetChange(fmt.Sprint(i), "other", "v1")
	}
	for _, c := range []struct {
		name    string
		changes []platform.Change
		err     error
		want    bool
	}{
		{"no changes", nil, nil, true},
		{"another target of the version", []platform.Change{targetChange("a", "m", "v1")}, nil, true},
		{"another version", []platform.Change{targetChange("a", "m", "v1"), targetChange("b", "m", "v2")}, nil, false},
		{"another service", []platform.Change{targetChange("a", "other", "v2")}, nil, true},
		{"known target removed", []platform.Change{{Key: "t", Removed: true}}, nil, true},
		{"came and went", []platform.Change{{Key: "unknown", Removed: true}}, nil, false},
		{"unreadable", []platform.Change{{Key: "a", Value: []byte(`{}`)}}, nil, false},
		{"more changes than one response holds", full, nil, false},
		{"store unavailable", nil, platform.ErrUnavailable, false},
		{"history lost", nil, platform.ErrHistoryLost, false},
	} {
		next = func(since revision.Revision) (platform.Batch, error) {
			assert.Check(t, since == revision.Revision{Count: 7})
			return platform.Batch{Changes: c.changes}, c.err
		}
		assert.Equal(t, g.confirmer.confirm("m", "v1"), c.want, c.name)
		assert.NilError(t, g.group.Wait())
	}
	g.targetsApplied.Store(nil)
	assert.Assert(t, !g.confirmer.confirm("m", "v1"), "the table was not read yet")
	assert.NilError(t, g.group.Wait())
}

// TestReadThatBeganEarlierDoesNotConfirm has streams arrive while a read is in progress: they share
// the next one.
func TestReadThatBeganEarlierDoesNotConfirm(t *testing.T) {
	began, proceed := make(chan int), make(chan platform.Batch)
	reads := 0
	g := newConfirmGateway(t, func(revision.Revision) (platform.Batch, error) {
		reads++
		began <- reads
		return <-proceed, nil
	})
	first := g.confirmer.join()
	assert.Equal(t, <-began, 1)
	later := g.confirmer.join()
	assert.Assert(t, later != first)
	assert.Assert(t, g.confirmer.join() == later)
	proceed <- platform.Batch{}
	<-first.done
	assert.Assert(t, first.confirms("m", "v1"))
	assert.Equal(t, <-began, 2)
	proceed <- platform.Batch{Changes: []platform.Change{targetChange("a", "m", "v2")}}
	<-later.done
	assert.Assert(t, !later.confirms("m", "v1"))
	assert.NilError(t, g.group.Wait())
}

// TestStoreThatDoesNotRespondDelaysNoStream has a read hang: the stream is told so in time, and later
// ones at once.
func TestStoreThatDoesNotRespondDelaysNoStream(t *testing.T) {
	all, clock := newQueriers(t, 1, new(sync.Map))
	g := all[0]
	g.confirmer = newConfirmer(g)
	g.targetsApplied.Store(new(revision.Revision))
	began, hang := make(chan struct{}), make(chan struct{})
	g.confirmer.changes = func(revision.Revision) (platform.Batch, error) {
		close(began)
		<-hang
		return platform.Batch{}, platform.ErrUnavailable
	}
	var waiter errgroup.Group
	waiter.Go(func() error {
		assert.Check(t, !g.confirmer.confirm("m", "v1"))
		return nil
	})
	<-began
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(confirmTimeout + 1)
	assert.NilError(t, waiter.Wait())
	assert.Assert(t, g.confirmer.join() == nil)
	close(hang)
	assert.NilError(t, g.group.Wait())
}

// TestConfirmationsOfAFleetAreBounded counts the reads that a router may make within a minute.
func TestConfirmationsOfAFleetAreBounded(t *testing.T) {
	for _, routers := range []int{8, 85, 985} {
		all, clock := newQueriers(t, 1, new(sync.Map))
		g := all[0]
		g.confirmer = newConfirmer(g)
		g.confirmer.changes = func(revision.Revision) (platform.Batch, error) { return platform.Batch{}, nil }
		g.origins.routers.Store(owner.New(make([]owner.Router, routers)))
		reads := 0
		for range 60 * 100 {
			if r := g.confirmer.join(); r != nil {
				<-r.done
				reads++
			}
			clock.Advance(10 * time.Millisecond)
		}
		assert.NilError(t, g.group.Wait())
		assert.Assert(t, reads > 0)
		assert.Assert(t, (reads-1)*routers <= 61*confirmsPerSecond, "%d reads of each of %d routers", reads, routers)
	}
}
