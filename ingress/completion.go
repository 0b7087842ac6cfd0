package ingress

import (
	"bufio"
	"net"
	"strings"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"zinccove.example/zinccove/bootclock"
	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/confsync"
	"zinccove.example/zinccove/dispatch"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/request"
	"zinccove.example/zinccove/target"
)

// completion is a request for a model.
type completion struct {
	*flow
	model  *config.Model
	body   *fastjson.Value
	stream bool
	// chargedInput is the number of input tokens charged so far.
	chargedInput  int
	delivered     int
	attemptStream *target.Stream
	// prefix and suffix surround the text in the chunk of a token; scratch
	// holds the last chunk.
	prefix, suffix, scratch []byte
}

// complete serves a request for a model. It closes the flow, or leaves that to
// the writer of the streamed response.
func (s *Server) complete(ctx *fasthttp.RequestCtx, body []byte, snap *confsync.Snapshot, customer *config.Customer) {
	c, r := s.newCompletion(ctx, body, snap, customer)
	if r != nil {
		s.writeRefusal(ctx, r)
		s.accepted.Add(-1)
		return
	}
	first, r := c.next()
	if r != nil {
		c.close()
		s.writeRefusal(ctx, r)
		return
	}
	s.options.Metrics.Observe(metric.FirstToken, s.options.Clock.Since(c.accepted))
	ctx.Response.Header.Set(headerRequestID, c.request.ID())
	if !c.stream {
		c.writeResponse(ctx, first)
		c.close()
		return
	}
	ctx.SetContentType("text/event-stream")
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer c.close()
		c.writeStream(w, conn, first)
	})
}

// newCompletion validates the body and returns a completion with its flow.
func (s *Server) newCompletion(ctx *fasthttp.RequestCtx, raw []byte, snap *confsync.Snapshot, customer *config.Customer) (*completion, *Refusal) {
	body, err := fastjson.ParseBytes(raw)
	if err != nil || body.Type() != fastjson.TypeObject {
		return nil, badField("body", "must be a JSON object")
	}
	name := string(body.GetStringBytes("model"))
	model := snap.Config.Model(name)
	if model == nil {
		r := refuse(CodeUnknownModel, "there is no such model")
		r.Field = "model"
		return nil, r
	}
	prompt := body.Get("prompt")
	if prompt == nil || prompt.Type() != fastjson.TypeString {
		return nil, badField("prompt", "must be a string")
	}
	if v := body.Get("max_tokens"); v != nil && v.GetInt() < 1 {
		return nil, badField("max_tokens", "must be a whole number, at least 1")
	}
	f, r := s.newFlow(ctx, raw, customer, model.Number, true)
	if r != nil {
		return nil, r
	}
	f.watch()
	f.submission.Hint = uint64(body.GetInt("max_tokens"))
	return &completion{flow: f, model: model, body: body, stream: body.GetBool("stream")}, nil
}

func badField(field, message string) *Refusal {
	r := refuse(CodeBadRequest, message)
	r.Field = field
	return r
}

// next returns the next event of the response. It queues, sends and resumes
// the request as needed; a refusal is final.
func (c *completion) next() (target.Event, *Refusal) {
	for {
		if c.attemptStream == nil {
			if r := c.start(); r != nil {
				return target.Event{}, r
			}
			continue
		}
		ev, fail := c.attemptStream.Next()
		if fail != nil {
			c.endAttempt()
			if r := c.handleFailure(fail); r != nil {
				return target.Event{}, r
			}
			continue
		}
		c.recordEvent(ev)
		return ev, nil
	}
}

// start acquires a slot and sends an attempt. If it returns no refusal, the
// attempt is the current one, or it failed and may be repeated.
func (c *completion) start() *Refusal {
	if r := c.acquire(); r != nil {
		return r
	}
	if c.delivered > 0 {
		c.server.options.Metrics.Inc(metric.StreamsResumed)
	}
	a := c.attempt()
	client := c.server.options.Clients.Get(c.slot.Target().Address)
	s, fail := client.Stream(a, c.encode(), c.delivered)
	if fail != nil {
		return c.handleFailure(fail)
	}
	c.attemptStream = s
	c.chargeInput(c.server.input.tokens(c.model.Number, c.promptBytes()))
	if !c.setStream(s, func() { client.Cancel(a.ID) }) {
		s.Close()
	}
	return nil
}

// encode returns the request body for the engine.
func (c *completion) encode() []byte {
	var arena fastjson.Arena
	c.body.Set("stream", arena.NewTrue())
	if c.delivered > 0 {
		c.body.Set("resume_from", arena.NewNumberInt(c.delivered))
	}
	return c.body.MarshalTo(nil)
}

// endAttempt closes the stream of the current attempt.
func (c *completion) endAttempt() {
	c.setStream(nil, nil)
	c.attemptStream.Close()
	c.attemptStream = nil
}

func (c *completion) promptBytes() int { return len(c.body.GetStringBytes("prompt")) }

// chargeInput charges input tokens up to a total of n.
func (c *completion) chargeInput(n int) {
	if n > c.chargedInput {
		c.slot.Charge(uint64(n - c.chargedInput))
		c.chargedInput = n
	}
}

// recordEvent charges the tokens that an event delivered. The last event completes
// the request.
func (c *completion) recordEvent(ev target.Event) {
	c.request.Stream()
	c.partial = true
	if ev.Kind == target.Token {
		c.delivered++
		c.slot.Charge(1)
		c.server.options.Metrics.Inc(metric.TokensDelivered)
		return
	}
	c.chargeInput(ev.Usage.PromptTokens)
	c.server.input.observe(c.model.Number, c.promptBytes(), ev.Usage.PromptTokens)
	c.endAttempt()
	c.release(dispatch.Completed)
	c.recordResponse()
}

// writeResponse collects the response into one JSON object.
func (c *completion) writeResponse(ctx *fasthttp.RequestCtx, ev target.Event) {
	var text strings.Builder
	for ev.Kind == target.Token {
		text.WriteString(ev.Text)
		var r *Refusal
		if ev, r = c.next(); r != nil {
			c.server.writeRefusal(ctx, r)
			return
		}
	}
	c.server.options.Metrics.Inc(metric.RequestsAnswered)
	ctx.SetContentType("application/json")
	ctx.SetBody(encodeChunk(c.chunk(text.String(), &ev)))
}

// writeStream writes each event as it arrives. After a failure the stream ends
// with an error event and without [DONE].
func (c *completion) writeStream(w *bufio.Writer, conn net.Conn, ev target.Event) {
	clock := c.server.options.Clock
	for {
		c.writeEvent(w, &ev)
		until := clock.Now().Add(c.server.options.Limits.WriteTimeout)
		conn.SetWriteDeadline(bootclock.ToMonotonic(clock, until)) //nolint:errcheck // the write fails then
		if err := w.Flush(); err != nil {
			c.abort()
			return
		}
		if ev.Kind == target.Done {
			c.server.options.Metrics.Inc(metric.RequestsAnswered)
			return
		}
		var r *Refusal
		if ev, r = c.next(); r != nil {
			c.server.countRefusal(r)
			writeData(w, r.body())
			return
		}
	}
}

// abort ends a request whose caller does not accept the response.
func (c *completion) abort() {
	c.interrupt()
	if c.attemptStream == nil {
		return
	}
	c.endAttempt()
	c.release(dispatch.Cancelled)
	if c.request.State() != request.Ended {
		c.request.GiveUp(true)
	}
}
