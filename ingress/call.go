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
		s.end(ctx, r)
		return
	}
	once := service.AtMostOnce(string(ctx.Method()), path)
	f, r := s.newFlow(ctx, body, customer, service.Number, !once)
	if r != nil {
		s.end(ctx, r)
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
		s.end(ctx, r)
		return
	}
	s.options.Metrics.Inc(metric.RequestsAnswered)
}

// call sends the call until it is answered or given up.
func (f *flow) call(ctx *fasthttp.RequestCtx) *Refusal {
	for {
		if r := f.acquire(); r != nil {
			return r
		}
		fail := f.try(ctx)
		if fail == nil {
			return nil
		}
		if r := f.failed(fail); r != nil {
			return r
		}
	}
}

// hopHeaders are headers of one connection, and the customer's key; they are
// not passed on.
var hopHeaders = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderTransferEncoding, fasthttp.HeaderTE,
	fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade, fasthttp.HeaderAuthorization,
}

// prepareCall makes the caller's request the one for the target. It is not
// used otherwise any more.
func prepareCall(ctx *fasthttp.RequestCtx, body []byte, path string) {
	req := &ctx.Request
	for _, h := range hopHeaders {
		req.Header.Del(h)
	}
	req.Header.ResetConnectionClose()
	req.URI().SetPath(path)
	req.SetBodyRaw(body)
}

// try makes one attempt and, if it is answered, makes that the answer.
func (f *flow) try(ctx *fasthttp.RequestCtx) *target.Failure {
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
	f.answered()
	resp.Header.ResetConnectionClose()
	for _, h := range hopHeaders {
		resp.Header.Del(h)
	}
	resp.Header.Del(target.HeaderAttempt)
	resp.Header.Set(headerRequestID, f.request.ID())
	return nil
}
