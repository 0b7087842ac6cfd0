package gateway

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/control"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/gen/zinccove/v1/zinccovev1connect"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/revision"
)

// open begins to follow a router and waits for its first message.
func (t *through) open(ctx context.Context, since revision.Revision, l leader) bool {
	g := t.gateway
	client := zinccovev1connect.NewPeerServiceClient(g.streams, "http://"+l.control.String(), control.Authorize("", g.settings.FleetKey),
		connect.WithReadMaxBytes(maxNews),
		// Keepalives are some bytes, and pages of tables are compressed.
		connect.WithAcceptCompression("gzip", nil, nil))
	ctx, cancel := context.WithCancel(ctx)
	watch := g.clock.AfterFunc(t.patience(), cancel)
	stream, err := client.FollowTable(ctx, &zinccovev1.FollowTableRequest{Table: t.table, Since: since.Count, SinceEra: since.Era})
	if err != nil || !watch.Stop() {
		cancel()
		g.metrics.Inc(metric.PeerErrors)
		return false
	}
	t.from, t.stream, t.end = l, stream, cancel
	if t.first, err = t.message(); err != nil && !eris.Is(err, platform.ErrHistoryLost) {
		t.drop()
		return false
	}
	return true
}

func (t *through) logOpened(since revision.Revision) {
	t.gateway.log.Info().Str("table", t.table).Str("peer", t.from.name).Stringer("since", since).Msg("follows a table through a router")
}

// patience is how long the router that is followed may say nothing.
func (t *through) patience() time.Duration {
	return leaderSilence + max(t.keepalive-keepalive, 0)
}

// maxNews bounds one message of another router in bytes.
const maxNews = 8 << 20

// message returns the next message, or why there is none.
func (t *through) message() (*zinccovev1.FollowTableResponse, error) {
	if msg := t.first; msg != nil {
		t.first = nil
		return msg, nil
	}
	watch := t.gateway.clock.AfterFunc(t.patience(), t.end)
	received := t.stream.Receive()
	watch.Stop()
	if received {
		t.keepalive = time.Duration(t.stream.Msg().KeepaliveMs) * time.Millisecond
		return t.stream.Msg(), nil
	}
	err := t.stream.Err()
	switch {
	case err == nil:
		return nil, errNoLeader
	case connect.CodeOf(err) == connect.CodeOutOfRange:
		return nil, platform.ErrHistoryLost
	}
	return nil, err
}

// close ends following a router, if one is followed.
func (t *through) close(why string) {
	if t.stream == nil {
		return
	}
	t.drop()
	t.gateway.log.Info().Str("table", t.table).Str("peer", t.from.name).Str("reason", why).Msg("does not follow a table through a router any more")
}

// drop ends the stream.
func (t *through) drop() {
	t.end()
	t.stream.Close() //nolint:errcheck // nothing more is read
	t.stream, t.first, t.begun, t.left, t.keepalive = nil, nil, nil, t.from, 0
}
