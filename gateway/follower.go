package gateway

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/feed"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/revision"
)

// leader is a router that follows the store for others.
type leader struct {
	name    string
	control netip.AddrPort
}

const (
	// leaderTimeout is how long a router that follows the store may send no message: several
	// keepalives, and longer than a busy host stalls. Together with the time to connect to the
	// next leader it is the delay of changes when a host fails.
	leaderTimeout = 700 * time.Millisecond
	// minStoreCallInterval is the minimum interval between calls to the store of a router that
	// reaches no leader. rareStoreCallInterval is that interval for all but the next routers by
	// name. If all routers of a large fleet called during an outage, the store would receive as
	// many calls a second.
	minStoreCallInterval  = 3 * time.Second
	rareStoreCallInterval = 12 * time.Second
	// searchInterval is the minimum interval between searches for another leader that reaches the
	// store.
	searchInterval = time.Second
)

var (
	errNoLeader         = eris.New("no leader responds")
	errLeadersLostStore = eris.New("leaders do not reach the store")
	errTryOther         = eris.New("another leader may reach the store")
	errCallStore        = eris.New("leaders have not reached the store for too long")
)

// tableFollower follows a table through other routers. It is used by one goroutine.
type tableFollower struct {
	gateway *Gateway
	table   string
	// current is the router that is followed. stream receives its messages; it is nil if no router
	// is followed.
	current leader
	stream  *connect.ServerStreamForClient[zinccovev1.FollowTableResponse]
	cancel  context.CancelFunc
	// keepalive is the interval between messages that the followed router announced.
	keepalive time.Duration
	// buffered is the first message of the stream until it is processed.
	buffered *zinccovev1.FollowTableResponse
	// complete is the complete table that the router sent, until it is taken. partial holds the
	// pages of it that were received so far.
	complete, partial *platform.Batch
	// lastReread is when the complete table was last requested to serve it to others.
	lastReread time.Time
	// lastLeft is the router that was left last. All others are tried before it.
	lastLeft leader
	// confirmedBefore is when the store had last confirmed the table when it was lost.
	confirmedBefore time.Time
	// lossReported is set once the loss of the store was returned as an error.
	lossReported bool
	// lastSearch is when another leader that reaches the store was last searched for.
	lastSearch time.Time
	// lastStoreCall is when the store was last called because no leader was usable.
	lastStoreCall time.Time
}

// active reports whether the table is followed through another router.
func (t *tableFollower) active() bool { return t.stream != nil }

// outage returns the time since the store confirmed the table before the last loss. A followed router
// that waits for the store in vain says so late.
func (t *tableFollower) outage() time.Duration { return t.gateway.clock.Since(t.confirmedBefore) }

// next returns the changes of the table since a revision that another router sent. It waits for
// changes for the given time. callStore reports that the store is to be called instead.
func (t *tableFollower) next(ctx context.Context, since revision.Revision, wait time.Duration) (b platform.Batch, callStore bool, err error) {
	t.gateway.awaitHosts(ctx)
	leaders := *t.gateway.leaders.Load()
	if len(leaders) == 0 {
		t.close("this router follows the store itself")
		return b, true, nil
	}
	until := t.gateway.clock.Now().Add(wait)
	err = errNoLeader
	for failures := 0; failures < len(leaders) && t.ensureStream(ctx, since, leaders); {
		b, err = t.receive(since, until)
		switch {
		case err == nil, eris.Is(err, errLeadersLostStore):
			return b, false, err
		case eris.Is(err, errCallStore):
			return b, t.mayCallStore(), err
		case eris.Is(err, errTryOther):
			t.close("router does not reach the store")
			continue
		case eris.Is(err, platform.ErrHistoryLost):
			if t.complete == nil {
				t.close(err.Error())
			}
			return b, false, err
		}
		failures++
		t.close(err.Error())
	}
	return b, t.mayCallStore(), err
}

const (
	// hostsTimeout is how long a router that starts waits for the list of the other routers before
	// it follows a table. A router without that list would call the store itself.
	hostsTimeout = 2 * time.Second
	// hostsPollInterval is the interval between checks whether other routers sent that information
	// in the meantime, for instance while the store rejects this router.
	hostsPollInterval = 50 * time.Millisecond
)

// awaitHosts waits until the other routers are known, at most for hostsTimeout.
func (g *Gateway) awaitHosts(ctx context.Context) {
	for g.clock.Since(g.started) < hostsTimeout && len(*g.leaders.Load()) == 0 {
		select {
		case <-ctx.Done():
			return
		case <-g.routersKnown:
			return
		case <-g.clock.After(hostsPollInterval):
		}
	}
}

// takeSnapshot returns the complete table that the router sent, if there is one, and clears it.
func (t *tableFollower) takeSnapshot() (platform.Batch, bool) {
	b := t.complete
	t.complete = nil
	if b == nil {
		return platform.Batch{}, false
	}
	return *b, true
}

const (
	// minSnapshotTime is the minimum time for which a router that starts tries to get a complete
	// table from a leader, as some leaders may have just started too. If all routers of a large
	// data centre started at once, they would otherwise read tables of thousands of rows from the
	// store, while leaders and relays have these some seconds later. snapshotTimePerRouter extends
	// the time for each further router.
	minSnapshotTime       = 300 * time.Millisecond
	snapshotTimePerRouter = 15 * time.Millisecond
	// snapshotDelay is the first delay between attempts; it doubles up to maxSnapshotDelay.
	snapshotDelay    = 30 * time.Millisecond
	maxSnapshotDelay = 300 * time.Millisecond
)

// snapshotTime returns how long a router tries in a data centre with the given number of known
// routers.
func snapshotTime(known int) time.Duration {
	return minSnapshotTime + time.Duration(max(known-feed.CellSize, 0))*snapshotTimePerRouter
}

// snapshot returns the complete table that a leader sends. ok is false if none does in time.
func (t *tableFollower) snapshot(ctx context.Context) (b platform.Batch, ok bool) {
	g := t.gateway
	g.awaitHosts(ctx)
	began := g.clock.Now()
	for pause := snapshotDelay; ctx.Err() == nil && len(*g.leaders.Load()) > 0; pause = min(2*pause, maxSnapshotDelay) {
		if b, ok := t.takeSnapshot(); ok {
			return b, true
		}
		_, _, err := t.next(ctx, revision.Revision{}, 0)
		if err == nil || g.clock.Since(began) >= snapshotTime(int(g.dataCentreSize.Load())) {
			break
		}
		if t.complete == nil {
			g.clock.Sleep(pause)
		}
	}
	return t.takeSnapshot()
}

// mayCallStore reports whether the store may be called because no leader is usable.
func (t *tableFollower) mayCallStore() bool {
	now := t.gateway.clock.Now()
	if now.Sub(t.lastStoreCall) < t.storeCallInterval() {
		return false
	}
	t.lastStoreCall = now
	return true
}

// storeCallInterval returns the minimum interval between calls of this router to the store.
func (t *tableFollower) storeCallInterval() time.Duration {
	if t.gateway.dataCentreRank.Load() < 2*feed.LeaderCount {
		return minStoreCallInterval
	}
	return rareStoreCallInterval
}

// ensureStream begins to follow a router if none is followed: the first that responds and reaches
// the store, or else the first that responds.
func (t *tableFollower) ensureStream(ctx context.Context, since revision.Revision, leaders []leader) bool {
	if t.stream != nil {
		return true
	}
	order := slices.Clone(leaders)
	slices.SortStableFunc(order, func(a, b leader) int { return cmp.Compare(t.priority(a), t.priority(b)) })
	var fallback *leader
	for i := range order {
		if !t.open(ctx, since, order[i]) {
			continue
		}
		if t.buffered == nil || !t.buffered.Lost {
			t.logOpened(since)
			return true
		}
		if fallback == nil {
			fallback = &order[i]
		}
		t.drop()
	}
	if fallback == nil || !t.open(ctx, since, *fallback) {
		return false
	}
	t.logOpened(since)
	return true
}

// priority returns the sort key of a router: the one that was left last comes last.
func (t *tableFollower) priority(l leader) int {
	if l == t.lastLeft {
		return 1
	}
	return 0
}

// receive waits for changes until a time. While the followed router does not reach the store, it
// waits longer, as long as the store need not be called.
func (t *tableFollower) receive(since revision.Revision, until time.Time) (platform.Batch, error) {
	g := t.gateway
	for {
		msg, err := t.message()
		if err != nil {
			return platform.Batch{}, err
		}
		now := g.clock.Now()
		b, err := decodeTableUpdate(msg)
		if err != nil {
			return platform.Batch{}, err
		}
		if msg.Whole {
			if t.addPage(b, msg.More) {
				return platform.Batch{}, platform.ErrHistoryLost
			}
			continue
		}
		if len(b.Changes) > 0 {
			return b, nil
		}
		if msg.Lost {
			if err := t.handleLostStore(now); err != nil {
				return platform.Batch{}, err
			}
			continue
		}
		g.confirmation(t.table).set(now.Add(-time.Duration(msg.AgeMs) * time.Millisecond))
		if t.lossReported || !now.Before(until) {
			t.lossReported = false
			return platform.Batch{Revision: revision.Later(since, b.Revision)}, nil
		}
	}
}

// addPage adds a page of the complete table and reports whether it was the last one.
func (t *tableFollower) addPage(page platform.Batch, more bool) (last bool) {
	if t.partial == nil {
		t.partial = new(platform.Batch)
	}
	t.partial.Revision = page.Revision
	t.partial.Changes = append(t.partial.Changes, page.Changes...)
	if more {
		return false
	}
	t.complete, t.partial = t.partial, nil
	return true
}

// rereadInterval is the minimum interval between reads of a complete table to serve it to others.
const rereadInterval = 5 * time.Second

// needsSnapshot reports whether the complete table is to be read again because this router serves
// it to others and lacks rows. Following continues from there.
func (t *tableFollower) needsSnapshot(wanting bool) bool {
	now := t.gateway.clock.Now()
	if !wanting || now.Sub(t.lastReread) < rereadInterval {
		return false
	}
	t.lastReread = now
	t.close("complete table needed")
	return true
}

// handleLostStore decides what to do when the followed router does not reach the store. It returns
// an error to search for other leaders that do, to report the loss once, and to call the store
// periodically in case only the leaders cannot reach it.
func (t *tableFollower) handleLostStore(now time.Time) error {
	switch {
	case now.Sub(t.lastSearch) >= searchInterval:
		t.lastSearch = now
		return errTryOther
	case !t.lossReported:
		t.lossReported = true
		t.lastStoreCall = now
		return errLeadersLostStore
	case now.Sub(t.lastStoreCall) >= t.storeCallInterval():
		return errCallStore
	}
	return nil
}
