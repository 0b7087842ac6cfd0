package relay

import (
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/target"
)

// writeResponse hands a complete response to fasthttp, which sends it to the caller.
func (f *flight) writeResponse(ctx *fasthttp.RequestCtx, resp *response) {
	f.copyHead(ctx, resp)
	ctx.Response.SetBodyRaw(resp.body)
	f.setWriteDeadline(ctx)
	f.lifecycle.Answer()
	f.server.options.Metrics.Inc(metric.RequestsAnswered)
	f.server.logAnswered(f, resp.header.StatusCode())
	f.server.unregister(f)
}

// writeStream passes the events of a stream on as they arrive. Fasthttp reads the stream after
// the handler returned, and closes it. It sends the head with the first event, so that a stream that
// breaks before that can still be refused.
func (f *flight) writeStream(ctx *fasthttp.RequestCtx, resp *response) {
	f.beginStream()
	resp.stream.caller = ctx
	resp.stream.await()
	if fail, ok := resp.stream.err.(*target.Failure); ok && resp.stream.ready == 0 {
		f.giveUp(ctx, fail)
		return
	}
	f.copyHead(ctx, resp)
	ctx.Response.SetBodyStream(resp.stream, resp.stream.size)
}

// copyHead copies the status and headers of a response.
func (f *flight) copyHead(ctx *fasthttp.RequestCtx, resp *response) {
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.SetStatusCode(resp.header.StatusCode())
	f.server.options.Codec.CopyResponse(&ctx.Response.Header, &resp.header)
}
