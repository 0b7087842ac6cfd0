package ingress

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/confsync"
	"zinccove.example/zinccove/dispatch"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/target"
)

// call serves a call of a plain service; rest is NAME/PATH.
func (s *Server) call(ctx *fasthttp.RequestCtx, body []byte, snap *confsync.Snapshot, customer *config.Customer, rest string) {
	name, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	service := snap.Config.Service(name)
	if service == nil {
		r := refuse(CodeUnknownService, "there is no such service")
		r.Field = "path"
		s.writeRefusal(ctx, r)
		return
	}
	once := service.AtMostOnce(string(ctx.Method()), path)
	f, r := s.newFlow(ctx, body, customer, service.Number, !once)
	if r != nil {
		s.writeRefusal(ctx, r)
		return
	}
	s.accepted.Add(1) // for the flow
	defer f.close()
	key := string(ctx.Request.Header.Peek(headerKey))
	prepareCall(ctx, body, path)
	if once && key != "" {
		r = f.callOnce(ctx, key)
	} else {
		r = f.call(ctx)
	}
	if r != nil {
		s.writeRefusal(ctx, r)
		return
	}
	s.options.Metrics.Inc(metric.RequestsAnswered)
}

// call makes attempts until one succeeds or the request is refused.
func (f *flow) call(ctx *fasthttp.RequestCtx) *Refusal {
	for {
		if r := f.acquire(); r != nil {
			return r
		}
		fail := f.attemptCall(ctx)
		if fail == nil {
			return nil
		}
		if r := f.handleFailure(fail); r != nil {
			return r
		}
	}
}

// hopByHopHeaders are the headers of one connection, and Authorization, which
// contains the customer's key. They are not forwarded.
var hopByHopHeaders = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderTransferEncoding, fasthttp.HeaderTE,
	fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade, fasthttp.HeaderAuthorization,
}

// prepareCall rewrites the caller's request into the one for the target. The
// original is not used afterwards.
func prepareCall(ctx *fasthttp.RequestCtx, body []byte, path string) {
	req := &ctx.Request
	for _, h := range hopByHopHeaders {
		req.Header.Del(h)
	}
	req.Header.ResetConnectionClose()
	req.URI().SetPath(path)
	req.SetBodyRaw(body)
}

// attemptCall makes one attempt. If it succeeds, its response becomes the
// response to the caller.
func (f *flow) attemptCall(ctx *fasthttp.RequestCtx) *target.Failure {
	started := f.server.options.Clock.Now()
	a := f.attempt()
	resp := &ctx.Response
	fail := f.server.options.Clients.Get(f.slot.Target().Address).Call(&ctx.Request, resp, a)
	f.slot.Charge(max(uint64(f.server.options.Clock.Since(started)/time.Millisecond), 1))
	if fail != nil {
		return fail
	}
	f.request.Stream()
	f.release(dispatch.Completed)
	f.recordResponse()
	resp.Header.ResetConnectionClose()
	for _, h := range hopByHopHeaders {
		resp.Header.Del(h)
	}
	resp.Header.Del(target.HeaderAttempt)
	resp.Header.Set(headerRequestID, f.request.ID())
	return nil
}
