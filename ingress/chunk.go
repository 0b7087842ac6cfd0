package ingress

import (
	"bufio"
	"bytes"
	"encoding/json"

	"github.com/valyala/fastjson"

	"zinccove.example/zinccove/target"
)

// chunk is one event of a streamed response, or a complete response.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *target.Usage `json:"usage,omitempty"`
}

type choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// chunk returns a chunk of text; end is the final event if text is the last
// part, otherwise nil.
func (c *completion) chunk(text string, end *target.Event) *chunk {
	ch := &chunk{ID: c.request.ID(), Object: "text_completion", Model: c.model.Name, Choices: []choice{{Text: text}}}
	if end != nil {
		ch.Choices[0].FinishReason = end.FinishReason
		ch.Usage = &end.Usage
	}
	return ch
}

func encodeChunk(ch *chunk) []byte {
	b, err := json.Marshal(ch)
	if err != nil {
		panic("ingress: encode chunk: " + err.Error())
	}
	return b
}

func (c *completion) writeEvent(w *bufio.Writer, ev *target.Event) {
	if ev.Kind == target.Token {
		writeData(w, c.encodeToken(ev.Text))
		return
	}
	writeData(w, encodeChunk(c.chunk("", ev)))
	writeData(w, []byte("[DONE]"))
}

// encodeToken encodes the chunk of one token. The parts around the text are
// the same for all tokens of a request and are encoded once.
func (c *completion) encodeToken(text string) []byte {
	if c.prefix == nil {
		encoded := encodeChunk(c.chunk("\x00", nil))
		c.prefix, c.suffix, _ = bytes.Cut(encoded, []byte(`"\u0000"`))
	}
	c.scratch = append(c.scratch[:0], c.prefix...)
	c.scratch = jsonString(c.scratch, text)
	c.scratch = append(c.scratch, c.suffix...)
	return c.scratch
}

// writeData writes a server-sent event. Errors are returned by the next flush.
func writeData(w *bufio.Writer, data []byte) {
	w.WriteString("data: ") //nolint:errcheck // sticky
	w.Write(data)           //nolint:errcheck // sticky
	w.WriteString("\n\n")   //nolint:errcheck // sticky
}

// jsonString appends text as a JSON string.
func jsonString(b []byte, text string) []byte {
	var arena fastjson.Arena
	return arena.NewString(text).MarshalTo(b)
}
