package gateway

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/feed"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/platform/wire"
	"zinccove.example/zinccove/revision"
)

// keepalive is the time between messages to a router that follows a table through
// this one. It is told of a change at once.
const keepalive = 200 * time.Millisecond

var (
	errNotLeading = eris.New("this router does not follow the store for others")
	errNoTable    = eris.New("table is not followed")
)

// tableLogs are what this router reads of the tables that it follows.
type tableLogs map[string]*feed.Log[platform.Change]

func (g *Gateway) newLogs() tableLogs {
	return tableLogs{
		wire.TableOperator: feed.NewLog[platform.Change](g.clock),
		wire.TableTargets:  feed.NewLog[platform.Change](g.clock),
	}
}

func (t tableLogs) close() {
	for _, l := range t {
		l.Close()
	}
}

// handOn tells another router what this one reads of a table, until the call ends or
// this router does not follow the store any more.
func (g *Gateway) handOn(ctx context.Context, req *zinccovev1.FollowTableRequest, send func(*zinccovev1.FollowTableResponse) error) error {
	log := g.logs[req.Table]
	if log == nil {
		return connect.NewError(connect.CodeInvalidArgument, errNoTable)
	}
	g.metrics.Inc(metric.FollowersServed)
	for since := (revision.Revision{Era: req.SinceEra, Count: req.Since}); ; {
		news, changed, err := log.Since(since)
		switch {
		case eris.Is(err, feed.ErrHistoryLost):
			return connect.NewError(connect.CodeOutOfRange, err)
		case err != nil:
			return connect.NewError(connect.CodeUnavailable, err)
		case !g.leads.Load():
			return connect.NewError(connect.CodeFailedPrecondition, errNotLeading)
		}
		if err := send(encodeRows(news, g.clock.Now())); err != nil {
			return err
		}
		since = news.Revision
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-g.clock.After(keepalive):
		}
	}
}

func encodeRows(n feed.News[platform.Change], now time.Time) *zinccovev1.FollowTableResponse {
	resp := &zinccovev1.FollowTableResponse{Version: n.Revision.Count, Era: n.Revision.Era, Lost: n.Lost, Whole: n.Whole, AgeMs: sinceMs(n.Answered, now)}
	for _, r := range n.Rows {
		resp.Rows = append(resp.Rows, &zinccovev1.TableRow{
			Key: r.Key, Value: r.Value.Value, Version: r.Revision.Count, Era: r.Revision.Era, Removed: r.Value.Removed, AgeMs: sinceMs(r.At, now),
		})
	}
	return resp
}

func sinceMs(t, now time.Time) uint64 { return uint64(max(now.Sub(t), 0).Milliseconds()) }

// decodeRows returns the changes of a message.
func decodeRows(resp *zinccovev1.FollowTableResponse) platform.Batch {
	b := platform.Batch{Revision: revision.Revision{Era: resp.Era, Count: resp.Version}}
	for _, r := range resp.Rows {
		b.Changes = append(b.Changes, platform.Change{
			Key: r.Key, Value: r.Value, Revision: revision.Revision{Era: r.Era, Count: r.Version}, Removed: r.Removed, Age: time.Duration(r.AgeMs) * time.Millisecond,
		})
	}
	return b
}

// rowsOf returns the changes of a batch as rows of a log.
func rowsOf(b platform.Batch) []feed.Row[platform.Change] {
	rows := make([]feed.Row[platform.Change], len(b.Changes))
	for i, c := range b.Changes {
		rows[i] = feed.Row[platform.Change]{Key: c.Key, Revision: c.Revision, Size: len(c.Key) + len(c.Value), Value: c}
	}
	return rows
}
