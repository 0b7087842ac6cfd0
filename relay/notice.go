package relay

import (
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/link"
	"zinccove.example/zinccove/metric"
)

// recordNotice records what a target reports about itself in the head of a response, whether or
// not that response can be used. The notice is the only way to learn of a target that is
// draining but not yet marked so in the store, or of the backoff that a target requests.
//
// A late response to another request on a reused connection also comes from the target. Status
// 421 comes from another incarnation at its address, and a response to another request on a new
// connection comes from an unknown sender.
func (f *flight) recordNotice(c *link.Conn, resp *response) {
	foreign := resp.info.ID != "" && resp.info.ID != f.call.ID && !c.Reused
	if foreign || resp.header.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return
	}
	f.notice = resp.info.Notice
	changes := f.run.ApplyNotice(f.notice)
	if changes.Draining {
		f.server.options.Metrics.Inc(metric.NoticesLeaving)
		f.server.logNotice(f, resp).Msg("target says that it leaves")
	}
	if changes.Backoff > 0 {
		f.server.options.Metrics.Inc(metric.NoticesBackoff)
		f.server.logNotice(f, resp).Dur("backoff_ms", changes.Backoff).Msg("target requested a backoff")
	}
}
