package relay

import (
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/link"
	"zinccove.example/zinccove/metric"
)

// takeNotice takes what a target says of itself in the head of an answer, whatever becomes
// of that answer: only so a target that the store does not know to leave gets nothing more,
// and one that wants a backoff gets it.
//
// A late answer to another request on a used connection is the target's too. Status 421
// comes from another run at its address, and an answer to another request on a new
// connection from nobody knows whom.
func (f *flight) takeNotice(c *link.Conn, ans *answer) {
	foreign := ans.facts.ID != "" && ans.facts.ID != f.call.ID && !c.Reused
	if foreign || ans.header.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return
	}
	f.said = ans.facts.Notice
	news := f.run.ApplyNotice(f.said)
	if news.Draining {
		f.server.options.Metrics.Inc(metric.NoticesLeaving)
		f.server.logNotice(f, ans).Msg("target says that it leaves")
	}
	if news.Backoff > 0 {
		f.server.options.Metrics.Inc(metric.NoticesBackoff)
		f.server.logNotice(f, ans).Dur("backoff_ms", news.Backoff).Msg("target wants a backoff")
	}
}
