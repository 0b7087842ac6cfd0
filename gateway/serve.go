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
	// keepaliveInterval is the interval between messages to a router that follows a table through
	// this one. Changes are sent at once.
	keepaliveInterval = 200 * time.Millisecond
	// rareKeepaliveInterval is that interval in large fleets for tables that change rarely: there,
	// the other routers notice when a router fails.
	rareKeepaliveInterval = time.Second
)

// keepaliveOf returns the interval between messages on a table.
func (g *Gateway) keepaliveOf(table string) time.Duration {
	if g.reporting.Load() && table != wire.TableTargets {
		return rareKeepaliveInterval
	}
	return keepaliveInterval
}

var (
	errNotLeading   = eris.New("this router does not follow the store for others")
	errUnknownTable = eris.New("table is not followed")
)

// tableLogs hold what this router reads of the tables that it follows, by table.
type tableLogs map[string]*feed.Log[platform.Change]

const (
	// logMemoryShare is the share of the memory that the rows of one table may use.
	// defaultLogLimit is the limit in bytes if the memory is not known.
	logMemoryShare  = 0.125
	defaultLogLimit = 32 << 20
)

func (g *Gateway) newLogs() tableLogs {
	limit := defaultLogLimit
	if memory := g.settings.Memory(); memory > 0 {
		limit = int(logMemoryShare * float64(memory))
	}
	logs := make(tableLogs)
	for _, table := range []string{wire.TableOperator, wire.TableTargets, wire.TableRouters} {
		logs[table] = feed.NewLog(feed.Options[platform.Change]{Clock: g.clock, Encode: packRows, MaxBytes: limit})
	}
	return logs
}

// setKeeping sets whether the rows of the tables are kept for other routers.
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

// serveTable sends another router what this one reads of a table, until the call ends or this
// router stops serving others.
func (g *Gateway) serveTable(ctx context.Context, req *zinccovev1.FollowTableRequest, send func(*zinccovev1.FollowTableResponse) error) error {
	log := g.logs[req.Table]
	if log == nil {
		return connect.NewError(connect.CodeInvalidArgument, errUnknownTable)
	}
	g.metrics.Inc(metric.FollowersServed)
	for since := (revision.Revision{Era: req.SinceEra, Count: req.Since}); ; {
		update, changed, err := log.Since(since)
		switch {
		case eris.Is(err, feed.ErrHistoryLost):
			return connect.NewError(connect.CodeOutOfRange, err)
		case err != nil:
			return connect.NewError(connect.CodeUnavailable, err)
		case !g.serves.Load():
			return connect.NewError(connect.CodeFailedPrecondition, errNotLeading)
		}
		pause := g.keepaliveOf(req.Table)
		for _, msg := range encodeTableUpdate(update, g.clock.Now()) {
			msg.KeepaliveMs = uint32(pause.Milliseconds())
			if err := send(msg); err != nil {
				return err
			}
		}
		since = update.Revision
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-g.clock.After(pause):
		}
	}
}

// encodeTableUpdate returns the messages for an update: one, or one for each page of a complete
// table.
func encodeTableUpdate(n feed.Changes[platform.Change], now time.Time) []*zinccovev1.FollowTableResponse {
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

// decodeTableUpdate returns the changes of a message.
func decodeTableUpdate(resp *zinccovev1.FollowTableResponse) (platform.Batch, error) {
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
