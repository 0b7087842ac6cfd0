package relay

import (
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/metric"
)

// writeResponse hands a complete response to fasthttp, which sends it to the caller.
func (f *flight) writeResponse(ctx *fasthttp.RequestCtx, ans *response) {
	f.copyHead(ctx, ans)
	ctx.Response.SetBodyRaw(ans.body)
	f.setWriteDeadline()
	f.lifecycle.Answer()
	f.server.options.Metrics.Inc(metric.RequestsAnswered)
	f.server.logAnswered(f, ans.header.StatusCode())
	f.server.unregister(f)
}

// writeStream passes the events of a stream on as they arrive. Fasthttp reads the stream after
// the handler returned, and closes it.
func (f *flight) writeStream(ctx *fasthttp.RequestCtx, ans *response) {
	f.copyHead(ctx, ans)
	f.clearWriteDeadline()
	ans.stream.caller = ctx
	ctx.Response.SetBodyStream(ans.stream, ans.stream.size)
}

// copyHead copies the status and headers of a response.
func (f *flight) copyHead(ctx *fasthttp.RequestCtx, ans *response) {
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.SetStatusCode(ans.header.StatusCode())
	f.server.options.Codec.CopyResponse(&ctx.Response.Header, &ans.header)
}
