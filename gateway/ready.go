package gateway

import (
	"net"
	"net/netip"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"zinccove.example/zinccove/accept"
	"zinccove.example/zinccove/errs"
)

// readiness serves the balancer's checks until Close.
type readiness struct {
	listener net.Listener
	group    errgroup.Group
}

func listenReady(addr netip.AddrPort, clock clockwork.Clock, ready func() bool) (*readiness, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errs.Wrap(err, "listen for readiness checks", addr.String())
	}
	r := &readiness{listener: l}
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(ctx *fasthttp.RequestCtx) {
		if !ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}}
	r.group.Go(func() error { return server.Serve(&accept.Listener{Listener: l, Clock: clock}) })
	return r, nil
}

// Close stops serving checks.
func (r *readiness) Close() error {
	err := r.listener.Close()
	if serr := r.group.Wait(); serr != nil && !errs.Is(serr, net.ErrClosed) && err == nil {
		err = serr
	}
	return errs.Wrap(err, "stop readiness checks", "")
}
