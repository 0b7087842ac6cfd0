package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/control"
	"zinccove.example/zinccove/errs"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/gen/zinccove/v1/zinccovev1connect"
	"zinccove.example/zinccove/metric"
)

const (
	// fetchStagger is how long a router may take to send its configuration before the next one is
	// asked too. One that just ended or was suspended still counts as reachable.
	fetchStagger = 150 * time.Millisecond
	// maxFetches is the maximum number of routers that are asked in turn. All are asked well within
	// the time in which a configuration must be in force.
	maxFetches = 4
	// freshHeartbeats is the number of heartbeat intervals for which a router counts as recently
	// seen.
	freshHeartbeats = 2
)

// fetchNewerConfig fetches a newer configuration from another router, if any has it.
func (l *loop) fetchNewerConfig(ctx context.Context, now time.Time) {
	ahead := l.newerRouters(now)
	if len(ahead) == 0 {
		l.behindSince = time.Time{}
		return
	}
	if l.behindSince.IsZero() {
		l.behindSince = now
	}
	if l.fetching || l.version() > 0 && now.Sub(l.behindSince) < fetchDelay {
		return
	}
	l.fetching = true
	g := l.gateway
	g.group.Go(func() error {
		f := g.fetchFromAny(ctx, ahead)
		l.post(ctx, func(l *loop) {
			l.fetching = false
			if f.err != nil {
				g.metrics.Inc(metric.PeerErrors)
				g.log.Warn().Err(f.err).Int("routers", len(ahead)).Msg("could not fetch configuration from other routers")
				return
			}
			l.adopt(f.body, f.from.String())
		})
		return nil
	})
}

// newerRouters returns the control addresses of reachable routers with a newer configuration, at
// most maxFetches: those that were seen recently first, in random order, so that the routers of a
// large fleet do not all ask the same one.
func (l *loop) newerRouters(now time.Time) []netip.AddrPort {
	var fresh, stale []netip.AddrPort
	limit := freshHeartbeats * l.heartbeatInterval()
	for _, h := range l.contact.Members.Hosts() {
		switch {
		case !h.Reachable || !h.Control.IsValid() || h.ConfigVersion <= l.version():
		case now.Sub(h.LastSeen) <= limit:
			fresh = append(fresh, h.Control)
		default:
			stale = append(stale, h.Control)
		}
	}
	for _, list := range [][]netip.AddrPort{fresh, stale} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	all := append(fresh, stale...)
	return all[:min(len(all), maxFetches)]
}

// fetchedConfig is the configuration that a router sent, or the error of the call.
type fetchedConfig struct {
	from netip.AddrPort
	body []byte
	err  error
}

// fetchFromAny returns the first configuration that any of the given routers sends. The next one is
// asked when one fails or takes longer than fetchStagger. If all fail, the result has all errors.
func (g *Gateway) fetchFromAny(ctx context.Context, routers []netip.AddrPort) fetchedConfig {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fetched := make(chan fetchedConfig, len(routers))
	var failed []error
	for pending := 0; len(routers) > 0 || pending > 0; {
		var next <-chan time.Time
		if len(routers) > 0 {
			addr := routers[0]
			routers = routers[1:]
			pending++
			g.group.Go(func() error {
				body, err := g.fetchConfig(ctx, addr)
				fetched <- fetchedConfig{from: addr, body: body, err: err}
				return nil
			})
			next = g.clock.After(fetchStagger)
		}
		select {
		case <-next:
		case f := <-fetched:
			pending--
			if f.err == nil {
				return f
			}
			failed = append(failed, errs.Wrap(f.err, "fetch configuration", f.from.String()))
		}
	}
	return fetchedConfig{err: errors.Join(failed...)}
}

var errDigest = eris.New("configuration does not match its digest")

// fetchConfig fetches the configuration of the router at a control address.
func (g *Gateway) fetchConfig(ctx context.Context, addr netip.AddrPort) ([]byte, error) {
	client := zinccovev1connect.NewPeerServiceClient(g.peerClient, "http://"+addr.String(), control.Authorize("", g.settings.FleetKey),
		connect.WithReadMaxBytes(maxTableMessage))
	resp, err := client.FetchConfig(ctx, new(zinccovev1.FetchConfigRequest))
	if err != nil {
		return nil, err
	}
	if digest := sha256.Sum256(resp.Body); hex.EncodeToString(digest[:]) != resp.Digest {
		return nil, errDigest
	}
	return resp.Body, nil
}
