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
func (t *tableFollower) open(ctx context.Context, since revision.Revision, l leader) bool {
	g := t.gateway
	client := zinccovev1connect.NewPeerServiceClient(g.streamClient, "http://"+l.control.String(), control.Authorize("", g.settings.FleetKey),
		connect.WithReadMaxBytes(maxTableMessage),
		// Keepalives are a few bytes, and pages of tables are compressed already.
		connect.WithAcceptCompression("gzip", nil, nil))
	ctx, cancel := context.WithCancel(ctx)
	watch := g.clock.AfterFunc(t.readTimeout(), cancel)
	stream, err := client.FollowTable(ctx, &zinccovev1.FollowTableRequest{Table: t.table, Since: since.Count, SinceEra: since.Era})
	if err != nil || !watch.Stop() {
		cancel()
		g.metrics.Inc(metric.PeerErrors)
		return false
	}
	t.current, t.stream, t.cancel = l, stream, cancel
	if t.buffered, err = t.message(); err != nil && !eris.Is(err, platform.ErrHistoryLost) {
		t.drop()
		return false
	}
	return true
}

func (t *tableFollower) logOpened(since revision.Revision) {
	t.gateway.log.Info().Str("table", t.table).Str("peer", t.current.name).Stringer("since", since).Msg("follows a table through a router")
}

// readTimeout is how long the followed router may send no message.
func (t *tableFollower) readTimeout() time.Duration {
	return leaderTimeout + max(t.keepalive-keepaliveInterval, 0)
}

// maxTableMessage bounds one message of another router in bytes.
const maxTableMessage = 8 << 20

// message returns the next message, or the error that ended the stream.
func (t *tableFollower) message() (*zinccovev1.FollowTableResponse, error) {
	if msg := t.buffered; msg != nil {
		t.buffered = nil
		return msg, nil
	}
	watch := t.gateway.clock.AfterFunc(t.readTimeout(), t.cancel)
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

// close stops following the current router, if there is one.
func (t *tableFollower) close(reason string) {
	if t.stream == nil {
		return
	}
	t.drop()
	t.gateway.log.Info().Str("table", t.table).Str("peer", t.current.name).Str("reason", reason).Msg("stopped following a table through a router")
}

// drop closes the stream and resets its state.
func (t *tableFollower) drop() {
	t.cancel()
	t.stream.Close() //nolint:errcheck // nothing more is read
	t.stream, t.buffered, t.partial, t.lastLeft, t.keepalive = nil, nil, nil, t.current, 0
}
