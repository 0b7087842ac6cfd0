package gateway

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/control"
	"zinccove.example/zinccove/feed"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/platform/wire"
	"zinccove.example/zinccove/revision"
	"zinccove.example/zinccove/settings"
)

const testFleetKey = "0123456789abcdef"

// newReader returns a gateway without addresses, which follows and hands on tables.
// at is a revision of the first era of the store.
func at(count uint64) revision.Revision { return revision.Revision{Count: count} }

func newReader(t *testing.T, name string) *Gateway {
	t.Helper()
	m, err := metric.New()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, m.Close()) })
	g := &Gateway{
		settings: &settings.Settings{Host: name, DataCentre: "dc", FleetKey: testFleetKey, TargetDrain: 4 * time.Second, TargetHeartbeat: time.Second},
		rollouts: newRollouts(clockwork.NewRealClock()),
		clock:    clockwork.NewRealClock(), metrics: m, log: zerolog.New(io.Discard), streams: &http.Client{}, placer: newPlacer(t),
	}
	g.logs = g.newLogs()
	g.logs.setKeeping(true)
	g.leaders.Store(new([]leader))
	return g
}

// serveTables makes a gateway hand on its tables at an address.
func serveTables(t *testing.T, g *Gateway) leader {
	t.Helper()
	g.leads.Store(true)
	g.serves.Store(true)
	s, err := control.Listen(control.Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), FleetKey: testFleetKey, Follow: g.handOn, WrongKey: func() {},
		Ready: func() bool { return true }, Metrics: http.NotFoundHandler(),
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		g.logs.close()
		assert.NilError(t, s.Close())
	})
	return leader{name: g.settings.Host, control: s.Address()}
}

func change(key string, version uint64) feed.Row[platform.Change] {
	return rowsOf(platform.Batch{Changes: []platform.Change{{Key: key, Revision: revision.Revision{Count: version}, Value: []byte("v")}}})[0]
}

// followTwo returns a router that follows the targets through two others, the first
// with a clock of its own.
func followTwo(t *testing.T, clock clockwork.Clock) (r *through, first, second *Gateway) {
	t.Helper()
	first, second = newReader(t, "a"), newReader(t, "b")
	first.clock = clock
	g := newReader(t, "z")
	g.leaders.Store(&[]leader{serveTables(t, first), serveTables(t, second)})
	for _, l := range []*Gateway{first, second} {
		l.logs[wire.TableTargets].Reset(at(5))
	}
	r = &through{gateway: g, table: wire.TableTargets}
	t.Cleanup(func() { r.close("test ends") })
	return r, first, second
}

func TestChangesArriveThroughAnotherRouterAtOnce(t *testing.T) {
	r, first, _ := followTwo(t, clockwork.NewRealClock())
	ctx := context.Background()
	b, ask, err := r.next(ctx, at(5), 0)
	assert.NilError(t, err)
	assert.Assert(t, !ask && len(b.Changes) == 0)
	began := time.Now()
	first.logs[wire.TableTargets].Append(at(8), change("t", 8))
	b, _, err = r.next(ctx, at(5), time.Minute)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) < keepalive, "not with the next keepalive only")
	assert.Equal(t, b.Revision, revision.Revision{Count: 8})
	assert.Equal(t, b.Changes[0].Key, "t")
}

// TestSilentLeaderIsLeftInTime has the router that is followed stand still while a
// target leaves. The news must arrive through the other one long before the shortest
// drain, 2 s, is over.
func TestSilentLeaderIsLeftInTime(t *testing.T) {
	// The clock of the first stands still: it says how things are and then nothing.
	r, _, second := followTwo(t, clockwork.NewFakeClock())
	ctx := context.Background()
	_, _, err := r.next(ctx, at(5), 0)
	assert.NilError(t, err)
	second.logs[wire.TableTargets].Append(at(8), change("t", 8))
	began := time.Now()
	b, ask, err := r.next(ctx, at(5), time.Minute)
	assert.NilError(t, err)
	assert.Assert(t, !ask)
	assert.Equal(t, b.Changes[0].Key, "t")
	assert.Assert(t, b.Changes[0].Age >= leaderSilence-keepalive, "it says how old the news is: %v", b.Changes[0].Age)
	assert.Assert(t, time.Since(began) < leaderSilence+500*time.Millisecond, time.Since(began))
}

// TestLeaderThatLosesTheStoreIsLeft has the store turn one router away and serve the
// other one.
func TestLeaderThatLosesTheStoreIsLeft(t *testing.T) {
	r, first, second := followTwo(t, clockwork.NewRealClock())
	ctx := context.Background()
	_, _, err := r.next(ctx, at(5), 0)
	assert.NilError(t, err)
	first.logs[wire.TableTargets].SetLost()
	second.logs[wire.TableTargets].Append(at(8), change("t", 8))
	b, ask, err := r.next(ctx, at(5), time.Minute)
	assert.NilError(t, err)
	assert.Assert(t, !ask)
	assert.Equal(t, b.Changes[0].Key, "t")
}

// TestLostStoreIsToldOnceAndNotAskedByAll has both routers that follow the store lose
// it, and one of them reach it again.
func TestLostStoreIsToldOnceAndNotAskedByAll(t *testing.T) {
	r, first, second := followTwo(t, clockwork.NewRealClock())
	ctx := context.Background()
	_, _, err := r.next(ctx, at(5), 0)
	assert.NilError(t, err)
	first.logs[wire.TableTargets].SetLost()
	second.logs[wire.TableTargets].SetLost()
	_, ask, err := r.next(ctx, at(5), time.Minute)
	assert.Assert(t, eris.Is(err, errLeaderLost))
	assert.Assert(t, !ask)
	// The store itself is asked after a while, in case only the others do not reach it.
	r.asked = r.asked.Add(-askStoreEvery)
	_, ask, err = r.next(ctx, at(5), time.Minute)
	assert.Assert(t, eris.Is(err, errAskStore))
	assert.Assert(t, ask)
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(2 * keepalive)
		first.logs[wire.TableTargets].Confirm(time.Now())
		return nil
	})
	_, ask, err = r.next(ctx, at(5), time.Minute)
	assert.NilError(t, err)
	assert.Assert(t, !ask, "it hears of the return of the store")
	assert.NilError(t, group.Wait())
}

// TestStoreIsAskedForWantOfRouters has no router that follows the store answer.
func TestStoreIsAskedForWantOfRouters(t *testing.T) {
	g := newReader(t, "z")
	g.leaders.Store(&[]leader{{name: "a", control: netip.MustParseAddrPort("127.0.0.1:1")}})
	r := &through{gateway: g, table: wire.TableTargets}
	_, ask, err := r.next(context.Background(), at(5), time.Second)
	assert.Assert(t, ask && err != nil)
	_, ask, err = r.next(context.Background(), at(5), time.Second)
	assert.Assert(t, eris.Is(err, errNoLeader) && !ask, "not again at once")
}

// TestReaderBehindTheLogIsGivenTheWholeTable has the store lose its history: no reader
// has to read it for that.
func TestReaderBehindTheLogIsGivenTheWholeTable(t *testing.T) {
	r, first, _ := followTwo(t, clockwork.NewRealClock())
	first.logs[wire.TableTargets].Reset(at(30), change("t", 29))
	_, ask, err := r.next(context.Background(), at(5), time.Second)
	assert.Assert(t, eris.Is(err, platform.ErrHistoryLost) && !ask)
	b, ok := r.takeWhole()
	assert.Assert(t, ok)
	assert.Equal(t, b.Revision, revision.Revision{Count: 30})
	assert.Equal(t, b.Changes[0].Key, "t")
	_, ok = r.takeWhole()
	assert.Assert(t, !ok, "taken once")
	_, ask, err = r.next(context.Background(), at(30), 0)
	assert.NilError(t, err)
	assert.Assert(t, !ask && r.active(), "it goes on there")
}

// TestReaderBehindALargeTableReadsTheStore has a table that is too large to be kept.
func TestReaderBehindALargeTableReadsTheStore(t *testing.T) {
	r, first, _ := followTwo(t, clockwork.NewRealClock())
	large := change("t", 8)
	large.Size = usualLog + 1
	first.logs[wire.TableTargets].Append(at(8), large)
	_, ask, err := r.next(context.Background(), at(5), time.Second)
	assert.Assert(t, eris.Is(err, platform.ErrHistoryLost) && !ask)
	_, ok := r.takeWhole()
	assert.Assert(t, !ok)
}

func TestRouterThatDoesNotFollowTheStoreHandsNothingOn(t *testing.T) {
	g := newReader(t, "a")
	g.logs[wire.TableTargets].Reset(at(5))
	sent := 0
	err := g.handOn(context.Background(), &zinccovev1.FollowTableRequest{Table: wire.TableTargets, Since: 5}, func(*zinccovev1.FollowTableResponse) error {
		sent++
		return nil
	})
	assert.Assert(t, eris.Is(err, errNotLeading))
	assert.Equal(t, sent, 0)
}

// TestStartingRouterReadsTheTableFromALeader has the leaders read the table a moment
// after the router asks for it.
func TestStartingRouterReadsTheTableFromALeader(t *testing.T) {
	r, _, _ := followTwo(t, clockwork.NewRealClock())
	g := r.gateway
	late := newReader(t, "c")
	g.leaders.Store(&[]leader{serveTables(t, late)})
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(2 * snapshotPause)
		late.logs[wire.TableTargets].Reset(at(30), change("t", 29))
		return nil
	})
	b, ok := r.snapshot(context.Background())
	assert.NilError(t, group.Wait())
	assert.Assert(t, ok)
	assert.Equal(t, b.Revision, revision.Revision{Count: 30})
}

func TestStartingRouterReadsTheStoreForWantOfALeader(t *testing.T) {
	g := newReader(t, "z")
	r := &through{gateway: g, table: wire.TableTargets}
	_, ok := r.snapshot(context.Background())
	assert.Assert(t, !ok, "it leads itself")
	g.leaders.Store(&[]leader{{name: "a", control: netip.MustParseAddrPort("127.0.0.1:1")}})
	began := time.Now()
	_, ok = r.snapshot(context.Background())
	assert.Assert(t, !ok)
	assert.Assert(t, time.Since(began) < leastSnapshotTime+500*time.Millisecond)
}

// TestStartOfManyLeavesTheStoreToLeaders has the leaders of data centres of all sizes read a
// table at a start of all: one of thousands of rows takes them some seconds on a small host.
func TestStartOfManyLeavesTheStoreToLeaders(t *testing.T) {
	for known, least := range map[int]time.Duration{3: 0, 59: 0, 217: 2 * time.Second, 435: 4 * time.Second} {
		assert.Assert(t, snapshotTime(known) >= max(least, leastSnapshotTime), "%d routers", known)
		assert.Assert(t, snapshotTime(known) <= max(2*least, leastSnapshotTime)+2*time.Second, "%d routers", known)
	}
}
