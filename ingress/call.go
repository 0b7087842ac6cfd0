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
	once := service.RunsOnce(string(ctx.Method()), path)
	f, r := s.newFlow(ctx, customer, service.Number, !once)
	if r != nil {
		s.end(ctx, r)
		return
	}
	s.accepted.Add(1) // for the flow
	defer f.close()
	if key := ctx.Request.Header.Peek(headerKey); once && len(key) > 0 {
		r = f.callOnce(ctx, body, path, string(key))
	} else {
		r = f.call(ctx, body, path)
	}
	if r != nil {
		s.end(ctx, r)
		return
	}
	s.options.Metrics.Inc(metric.RequestsAnswered)
}

// call sends the call until it is answered or given up.
func (f *flow) call(ctx *fasthttp.RequestCtx, body []byte, path string) *Refusal {
	for {
		if r := f.acquire(); r != nil {
			return r
		}
		fail := f.try(ctx, body, path)
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

// try makes one attempt and, if it is answered, makes that the answer.
func (f *flow) try(ctx *fasthttp.RequestCtx, body []byte, path string) *target.Failure {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	ctx.Request.Header.CopyTo(&req.Header)
	for _, h := range hopHeaders {
		req.Header.Del(h)
	}
	req.URI().SetPath(path)
	req.URI().SetQueryStringBytes(ctx.URI().QueryString())
	req.SetBodyRaw(body)

	started := f.server.options.Clock.Now()
	a := f.attempt()
	answer, fail := f.server.options.Clients.Get(f.slot.Target().Address).Call(req, resp, a)
	f.slot.Charge(max(uint64(f.server.options.Clock.Since(started)/time.Millisecond), 1))
	if fail != nil {
		return fail
	}
	f.request.Stream()
	f.release(dispatch.Completed)
	f.request.Answer()
	f.copyAnswer(ctx, resp, answer)
	return nil
}

func (f *flow) copyAnswer(ctx *fasthttp.RequestCtx, resp *fasthttp.Response, body []byte) {
	resp.Header.CopyTo(&ctx.Response.Header)
	for _, h := range hopHeaders {
		ctx.Response.Header.Del(h)
	}
	ctx.Response.Header.Del(target.HeaderAttempt)
	ctx.Response.Header.Set(headerRequestID, f.request.ID())
	ctx.SetBody(body)
}
