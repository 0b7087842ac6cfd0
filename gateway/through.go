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
	// leaderSilence is how long a router that follows the store may say nothing: some
	// keepalives, and longer than a busy host stands still. With the connection to the
	// next one it is the time by which the loss of a host delays news.
	leaderSilence = 700 * time.Millisecond
	// askStoreEvery is the least time between calls to the store of a router that
	// reaches none that follows it, seldomAskEvery that of all but the next ones by name.
	// An outage that all routers of a large fleet tried to end would cost the store as many
	// calls a second.
	askStoreEvery  = 3 * time.Second
	seldomAskEvery = 12 * time.Second
	// lookAroundEvery is the least time between looks for a router that reaches it.
	lookAroundEvery = time.Second
)

var (
	errNoLeader   = eris.New("no router that follows the store answers")
	errLeaderLost = eris.New("routers that follow the store do not reach it")
	errLookAround = eris.New("another router that follows the store may reach it")
	errAskStore   = eris.New("routers that follow the store have not reached it for long")
)

// through follows a table through other routers. One goroutine uses it.
type through struct {
	gateway *Gateway
	table   string
	// from is the router that is followed, stream what it says; nil if there is none.
	from   leader
	stream *connect.ServerStreamForClient[zinccovev1.FollowTableResponse]
	end    context.CancelFunc
	// keepalive is the time between its messages, as it says.
	keepalive time.Duration
	// first is the first message of the stream until it is taken.
	first *zinccovev1.FollowTableResponse
	// whole is the whole table as the router gave it, until it is taken; begun is the part
	// of it that came so far.
	whole, begun *platform.Batch
	// wanted is when the whole table was wanted last to be given to others.
	wanted time.Time
	// left is the router that was left last: the others are tried before it.
	left leader
	// lost is set once it was told that the routers do not reach the store.
	lost bool
	// looked is when another router was last looked for that reaches the store.
	looked time.Time
	// asked is when the store was asked last for want of a router.
	asked time.Time
}

// active reports whether the table is followed through another router.
func (t *through) active() bool { return t.stream != nil }

// next returns what changed in the table since a revision, as another router says. It
// waits for changes as long as wait. Ask tells that the store is to be asked instead.
func (t *through) next(ctx context.Context, since revision.Revision, wait time.Duration) (b platform.Batch, ask bool, err error) {
	t.gateway.awaitHosts(ctx)
	leaders := *t.gateway.leaders.Load()
	if len(leaders) == 0 {
		t.close("this router follows the store")
		return b, true, nil
	}
	until := t.gateway.clock.Now().Add(wait)
	err = errNoLeader
	for failures := 0; failures < len(leaders) && t.find(ctx, since, leaders); {
		b, err = t.receive(since, until)
		switch {
		case err == nil, eris.Is(err, errLeaderLost):
			return b, false, err
		case eris.Is(err, errAskStore):
			return b, t.mayAsk(), err
		case eris.Is(err, errLookAround):
			t.close("it does not reach the store")
			continue
		case eris.Is(err, platform.ErrHistoryLost):
			if t.whole == nil {
				t.close(err.Error())
			}
			return b, false, err
		}
		failures++
		t.close(err.Error())
	}
	return b, t.mayAsk(), err
}

const (
	// hostsTime is how long a router that starts waits until it has read which others there
	// are, before it follows a table: each one that does not know asks the store by itself.
	hostsTime = 2 * time.Second
	// hostsPause is the time between looks whether it heard of them from others meanwhile, as
	// while the store turns it away.
	hostsPause = 50 * time.Millisecond
)

// awaitHosts waits until the other routers are known, for hostsTime at most.
func (g *Gateway) awaitHosts(ctx context.Context) {
	for g.clock.Since(g.started) < hostsTime && len(*g.leaders.Load()) == 0 {
		select {
		case <-ctx.Done():
			return
		case <-g.learned:
			return
		case <-g.clock.After(hostsPause):
		}
	}
}

// takeWhole returns the whole table that the router gave, if it gave one.
func (t *through) takeWhole() (platform.Batch, bool) {
	b := t.whole
	t.whole = nil
	if b == nil {
		return platform.Batch{}, false
	}
	return *b, true
}

const (
	// leastSnapshotTime is how long a router that starts at least tries to get a whole table
	// from one that follows the store: some of them may just start too. All routers of a
	// large data centre that start at once would read tables of thousands of rows in the
	// store, where leaders and relays have them some seconds later; each further router takes
	// its part of that time.
	leastSnapshotTime = 300 * time.Millisecond
	snapshotStep      = 15 * time.Millisecond
	// snapshotPause is the first pause between tries; it doubles up to longestSnapshotPause.
	snapshotPause        = 30 * time.Millisecond
	longestSnapshotPause = 300 * time.Millisecond
)

// snapshotTime is how long a router tries in a data centre of so many known routers.
func snapshotTime(known int) time.Duration {
	return leastSnapshotTime + time.Duration(max(known-feed.CellSize, 0))*snapshotStep
}

// snapshot returns the whole table as a router that follows the store gives it; ok is
// false if none does soon.
func (t *through) snapshot(ctx context.Context) (b platform.Batch, ok bool) {
	g := t.gateway
	g.awaitHosts(ctx)
	began := g.clock.Now()
	for pause := snapshotPause; ctx.Err() == nil && len(*g.leaders.Load()) > 0; pause = min(2*pause, longestSnapshotPause) {
		if b, ok := t.takeWhole(); ok {
			return b, true
		}
		_, _, err := t.next(ctx, revision.Revision{}, 0)
		if err == nil || g.clock.Since(began) >= snapshotTime(int(g.known.Load())) {
			break
		}
		if t.whole == nil {
			g.clock.Sleep(pause)
		}
	}
	return t.takeWhole()
}

// mayAsk reports whether the store may be asked for want of a router.
func (t *through) mayAsk() bool {
	now := t.gateway.clock.Now()
	if now.Sub(t.asked) < t.askEvery() {
		return false
	}
	t.asked = now
	return true
}

// askEvery is the least time between calls of this router to the store.
func (t *through) askEvery() time.Duration {
	if t.gateway.ownRank.Load() < 2*feed.LeaderCount {
		return askStoreEvery
	}
	return seldomAskEvery
}

// find begins to follow a router if none is followed: the first that answers and
// reaches the store, or else the first that answers.
func (t *through) find(ctx context.Context, since revision.Revision, leaders []leader) bool {
	if t.stream != nil {
		return true
	}
	order := slices.Clone(leaders)
	slices.SortStableFunc(order, func(a, b leader) int { return cmp.Compare(t.standing(a), t.standing(b)) })
	var without *leader
	for i := range order {
		if !t.open(ctx, since, order[i]) {
			continue
		}
		if t.first == nil || !t.first.Lost {
			t.logOpened(since)
			return true
		}
		if without == nil {
			without = &order[i]
		}
		t.drop()
	}
	if without == nil || !t.open(ctx, since, *without) {
		return false
	}
	t.logOpened(since)
	return true
}

// standing orders routers: the one that was left last comes last.
func (t *through) standing(l leader) int {
	if l == t.left {
		return 1
	}
	return 0
}

// receive waits for changes until a time. While the router that is followed does not
// reach the store it waits longer, as long as the store need not be asked.
func (t *through) receive(since revision.Revision, until time.Time) (platform.Batch, error) {
	g := t.gateway
	for {
		msg, err := t.message()
		if err != nil {
			return platform.Batch{}, err
		}
		now := g.clock.Now()
		b, err := decodeTableNews(msg)
		if err != nil {
			return platform.Batch{}, err
		}
		if msg.Whole {
			if t.collect(b, msg.More) {
				return platform.Batch{}, platform.ErrHistoryLost
			}
			continue
		}
		if len(b.Changes) > 0 {
			return b, nil
		}
		if msg.Lost {
			if err := t.withoutStore(now); err != nil {
				return platform.Batch{}, err
			}
			continue
		}
		g.heardOf(t.table).set(now.Add(-time.Duration(msg.AgeMs) * time.Millisecond))
		if t.lost || !now.Before(until) {
			t.lost = false
			return platform.Batch{Revision: revision.Later(since, b.Revision)}, nil
		}
	}
}

// collect takes a page of the whole table and reports whether it was the last one.
func (t *through) collect(page platform.Batch, more bool) (last bool) {
	if t.begun == nil {
		t.begun = new(platform.Batch)
	}
	t.begun.Revision = page.Revision
	t.begun.Changes = append(t.begun.Changes, page.Changes...)
	if more {
		return false
	}
	t.whole, t.begun = t.begun, nil
	return true
}

// wantWholeEvery is the least time between readings of a whole table for others.
const wantWholeEvery = 5 * time.Second

// wantsWhole reports whether the whole table is to be read anew, as this router is to give
// it to others and lacks rows. What it follows goes on from there.
func (t *through) wantsWhole(wanting bool) bool {
	now := t.gateway.clock.Now()
	if !wanting || now.Sub(t.wanted) < wantWholeEvery {
		return false
	}
	t.wanted = now
	t.close("the whole table is wanted")
	return true
}

// withoutStore decides what follows when the router that is followed does not reach
// the store: others are looked for that do, the loss is told once, and the store is
// asked from time to time, in case only the others do not reach it.
func (t *through) withoutStore(now time.Time) error {
	switch {
	case now.Sub(t.looked) >= lookAroundEvery:
		t.looked = now
		return errLookAround
	case !t.lost:
		t.lost = true
		t.asked = now
		return errLeaderLost
	case now.Sub(t.asked) >= t.askEvery():
		return errAskStore
	}
	return nil
}
