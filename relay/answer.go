package relay

import (
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/metric"
)

// passWhole hands a whole answer over to the caller.
func (f *flight) passWhole(ctx *fasthttp.RequestCtx, ans *answer) {
	f.head(ctx, ans)
	ctx.Response.SetBodyRaw(ans.body)
	f.boundWrite()
	f.life.Answer()
	f.server.options.Metrics.Inc(metric.RequestsAnswered)
	f.server.logAnswered(f, ans.header.StatusCode())
	f.server.leave(f)
}

// passStream hands the events of a stream over as they come. Fasthttp reads
// the stream after the handler returned, and closes it.
func (f *flight) passStream(ctx *fasthttp.RequestCtx, ans *answer) {
	f.head(ctx, ans)
	f.unboundWrite()
	ans.stream.caller = ctx
	ctx.Response.SetBodyStream(ans.stream, ans.stream.size)
}

// head copies status and headers of an answer.
func (f *flight) head(ctx *fasthttp.RequestCtx, ans *answer) {
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.SetStatusCode(ans.header.StatusCode())
	f.server.options.Codec.CopyResponse(&ctx.Response.Header, &ans.header)
}
