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

const (
	// keepalive is the time between messages to a router that follows a table through this
	// one. It is told of a change at once.
	keepalive = 200 * time.Millisecond
	// rareKeepalive is that in large fleets for tables in which little changes: one that ends
	// is noticed by the others.
	rareKeepalive = time.Second
)

// keepaliveOf is the time between messages on a table.
func (g *Gateway) keepaliveOf(table string) time.Duration {
	if g.large.Load() && table != wire.TableTargets {
		return rareKeepalive
	}
	return keepalive
}

var (
	errNotLeading = eris.New("this router does not follow the store for others")
	errNoTable    = eris.New("table is not followed")
)

// tableLogs are what this router reads of the tables that it follows.
type tableLogs map[string]*feed.Log[platform.Change]

const (
	// logShare is the share of the memory that the rows of one table may take, usualLog
	// the bytes where the memory is not known.
	logShare = 0.125
	usualLog = 32 << 20
)

func (g *Gateway) newLogs() tableLogs {
	most := usualLog
	if memory := g.settings.Memory(); memory > 0 {
		most = int(logShare * float64(memory))
	}
	logs := make(tableLogs)
	for _, table := range []string{wire.TableOperator, wire.TableTargets, wire.TableRouters} {
		logs[table] = feed.NewLog(feed.Options[platform.Change]{Clock: g.clock, Encode: packRows, MaxBytes: most})
	}
	return logs
}

// setKeeping says whether the tables are kept for others.
func (t tableLogs) setKeeping(keep bool) {
	for _, l := range t {
		l.SetRetainRows(keep)
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
		case !g.serves.Load():
			return connect.NewError(connect.CodeFailedPrecondition, errNotLeading)
		}
		pause := g.keepaliveOf(req.Table)
		for _, msg := range encodeTableNews(news, g.clock.Now()) {
			msg.KeepaliveMs = uint32(pause.Milliseconds())
			if err := send(msg); err != nil {
				return err
			}
		}
		since = news.Revision
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-g.clock.After(pause):
		}
	}
}

// encodeTableNews returns the messages that tell news: one, or one for each page of a whole table.
func encodeTableNews(n feed.Changes[platform.Change], now time.Time) []*zinccovev1.FollowTableResponse {
	begin := func() *zinccovev1.FollowTableResponse {
		return &zinccovev1.FollowTableResponse{Version: n.Revision.Count, Era: n.Revision.Era, Lost: n.StoreLost, Whole: n.Complete, AgeMs: sinceMs(n.LastResponse, now)}
	}
	if len(n.Pages) == 0 {
		msg := begin()
		for _, r := range n.Rows {
			row := encodeRow(r.Row)
			row.AgeMs = sinceMs(r.ReadAt, now)
			msg.Rows = append(msg.Rows, row)
		}
		return []*zinccovev1.FollowTableResponse{msg}
	}
	var list []*zinccovev1.FollowTableResponse
	for i, page := range n.Pages {
		msg := begin()
		msg.Page, msg.More = page, i+1 < len(n.Pages)
		list = append(list, msg)
	}
	return list
}

func encodeRow(r feed.Row[platform.Change]) *zinccovev1.TableRow {
	return &zinccovev1.TableRow{Key: r.Key, Value: r.Value.Value, Version: r.Revision.Count, Era: r.Revision.Era, Removed: r.Removed}
}

func sinceMs(t, now time.Time) uint64 { return uint64(max(now.Sub(t), 0).Milliseconds()) }

// decodeTableNews returns the changes of a message.
func decodeTableNews(resp *zinccovev1.FollowTableResponse) (platform.Batch, error) {
	b := platform.Batch{Revision: revision.Revision{Era: resp.Era, Count: resp.Version}, Changes: decodeChanges(resp.Rows)}
	if len(resp.Page) == 0 {
		return b, nil
	}
	rows, err := unpackRows(resp.Page)
	b.Changes = append(b.Changes, rows...)
	return b, err
}

func decodeChanges(rows []*zinccovev1.TableRow) []platform.Change {
	list := make([]platform.Change, len(rows))
	for i, r := range rows {
		list[i] = platform.Change{
			Key: r.Key, Value: r.Value, Revision: revision.Revision{Era: r.Era, Count: r.Version}, Removed: r.Removed, Age: time.Duration(r.AgeMs) * time.Millisecond,
		}
	}
	return list
}

// rowsOf returns the changes of a batch as rows of a log.
func rowsOf(b platform.Batch) []feed.Row[platform.Change] {
	rows := make([]feed.Row[platform.Change], len(b.Changes))
	for i, c := range b.Changes {
		rows[i] = feed.Row[platform.Change]{Key: c.Key, Revision: c.Revision, Removed: c.Removed, Age: c.Age, Size: len(c.Key) + len(c.Value), Value: c}
	}
	return rows
}
