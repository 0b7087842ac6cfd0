package worker

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/valyala/fasthttp"
)

// EndingPart begins the IDs of parts of prompts that end the worker which begins to write a response
// on them. The Stage follows it, and then what tells such parts apart; see PartOf.
const EndingPart = "dead"

// Stage is how far the worker is with its response when it ends.
type Stage string

// The stages.
const (
	// BeforeHead ends it before the head of the response.
	BeforeHead Stage = "0"
	// AfterHead ends it after the head of a response in chunks, AfterEvent after its first event.
	AfterHead  Stage = "1"
	AfterEvent Stage = "2"
	// WithLength ends it after the first event of a response with a length.
	WithLength Stage = "3"
	// UnframedHead ends it after the head of a response with neither length nor chunks, InsideEvent
	// inside its first event, AtBorder between two events.
	UnframedHead Stage = "4"
	InsideEvent  Stage = "5"
	AtBorder     Stage = "6"
)

// PartOf returns the ID of a part that ends workers at a stage.
func PartOf(s Stage, name string) string { return EndingPart + string(s) + name }

// endingPart returns the part of the prompt, not the last one, by which a request ends the worker.
func endingPart(ctx *fasthttp.RequestCtx) (id string, ends bool) {
	parts := strings.Split(string(ctx.Request.Header.Peek("Prompt-Prefix")), ",")
	for _, part := range parts[:len(parts)-1] {
		if strings.HasPrefix(part, EndingPart) {
			id, _, _ = strings.Cut(part, ":")
			return id, true
		}
	}
	return "", false
}

// stageOf returns the stage of a part that PartOf returned.
func stageOf(part string) Stage { return Stage(part[len(EndingPart) : len(EndingPart)+1]) }

// endAt ends the worker at the stage of a part.
func (w *Worker) endAt(ctx *fasthttp.RequestCtx, id, part string) {
	s := stageOf(part)
	first := Event(id, w.options.Version, 1)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(first), first)
	texts := map[Stage]string{
		AfterHead:    w.head(id, "Transfer-Encoding: chunked\r\n"),
		AfterEvent:   w.head(id, "Transfer-Encoding: chunked\r\n") + chunk,
		WithLength:   w.head(id, fmt.Sprintf("Content-Length: %d\r\n", w.options.Events*len(first))) + first,
		UnframedHead: w.head(id, ""),
		InsideEvent:  w.head(id, "") + first[:len(first)/2],
		AtBorder:     w.head(id, "") + first,
	}
	if s == BeforeHead {
		w.options.End(part)
	}
	respondRaw(ctx, func(c net.Conn) {
		c.Write([]byte(texts[s])) //nolint:errcheck // the worker ends
		w.options.End(part)
	})
}

// head returns the head of a response with further header lines.
func (w *Worker) head(id, lines string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n%s\r\n",
		headerID, id, headerSeal, Seal(id, w.options.ID), lines)
}

// respondRaw has write respond on the connection, which is closed then.
func respondRaw(ctx *fasthttp.RequestCtx, write func(net.Conn)) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { write(c) })
}

// respondUntilClose responds with further header lines and closes the connection, which ends the body if
// these give no length.
func (w *Worker) respondUntilClose(ctx *fasthttp.RequestCtx, id, lines string, s *stream) {
	plain := fmt.Appendf(nil, "%s %s %s", ctx.Method(), ctx.RequestURI(), id)
	if len(ctx.Response.Header.Peek(headerLeaving)) > 0 {
		lines += headerLeaving + ": 1\r\n"
	}
	respondRaw(ctx, func(c net.Conn) {
		var b bytes.Buffer
		b.WriteString(w.head(id, lines))
		if s == nil {
			b.Write(plain)
			_, err := b.WriteTo(c)
			w.end(id, err == nil)
			return
		}
		_, err := b.WriteTo(c)
		if err == nil {
			_, err = io.Copy(c, s)
		}
		s.done = err == nil
		s.Close() //nolint:errcheck // returns none
	})
}
