package target

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"
)

var (
	errOtherAttempt = eris.New("answer of another attempt")
	errTruncated    = eris.Wrap(io.ErrUnexpectedEOF, "stream ended without its end mark")
	errOutOfOrder   = eris.New("token out of order")
)

// EventKind is the kind of a stream's event.
type EventKind int

// The kinds of events.
const (
	// Token carries the next token.
	Token EventKind = iota
	// Done is the end mark; it carries the usage.
	Done
)

// Usage is what an engine computed for a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Event is one part of a stream.
type Event struct {
	Kind EventKind
	// Index is the token's place in the whole answer, from 0.
	Index        int
	Text         string
	FinishReason string
	Usage        Usage
}

// Stream is the answer of an engine. Next is called by one goroutine; Close
// may be called by any and ends a Next that waits.
type Stream struct {
	client  *Client
	attempt Attempt
	resp    *fasthttp.Response
	lines   *bufio.Reader
	parser  fastjson.Parser
	// next is the index of the token expected next.
	next int
	end  Event
	// done is set once the end mark was read.
	done atomic.Bool

	closing sync.Mutex
	closed  bool
}

// lineSize is the longest event that is read in bytes.
const lineSize = 64 << 10

// Stream sends an attempt to an engine. Body is the JSON of the request, in
// which from tokens are marked as delivered.
func (c *Client) Stream(a Attempt, body []byte, from int) (*Stream, *Failure) {
	const step = "start stream"
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	c.prepare(req, a)
	req.URI().SetPath("/v1/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(HeaderPriority, strconv.FormatInt(a.Priority, 10))
	req.SetBodyRaw(body)
	f := c.send(c.stream, req, resp, a, step)
	if f == nil && resp.StatusCode() != fasthttp.StatusOK {
		f = c.fail(Rejected, resp.StatusCode(), eris.Errorf("status %d", resp.StatusCode()), step)
	}
	if f != nil {
		resp.CloseBodyStream() //nolint:errcheck // the failure is known already
		fasthttp.ReleaseResponse(resp)
		return nil, f
	}
	return &Stream{client: c, attempt: a, resp: resp, next: from, lines: bufio.NewReaderSize(resp.BodyStream(), 1024)}, nil
}

// Next returns the next event. Tokens that were seen before are skipped; a
// missing one is a failure.
func (s *Stream) Next() (Event, *Failure) {
	for {
		data, err := s.data()
		if err != nil {
			return Event{}, s.broken(err)
		}
		if bytes.Equal(data, endMark) {
			s.done.Store(true)
			return s.end, nil
		}
		ev, fresh, f := s.decode(data)
		if f != nil || fresh {
			return ev, f
		}
	}
}

var (
	dataPrefix = []byte("data: ")
	endMark    = []byte("[DONE]")
)

// data returns the payload of the next event.
func (s *Stream) data() ([]byte, error) {
	for {
		line, err := s.line()
		if err != nil {
			return nil, errTruncated
		}
		if payload, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(payload), nil
		}
	}
}

// line returns the next line, which is valid until the next call. Lines that
// fit the reader's buffer are not copied.
func (s *Stream) line() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if err != bufio.ErrBufferFull {
		return line, err
	}
	long := bytes.Clone(line)
	for err == bufio.ErrBufferFull && len(long) < lineSize {
		line, err = s.lines.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

// decode reads an event; fresh tells that it is to be handed over.
func (s *Stream) decode(data []byte) (ev Event, fresh bool, f *Failure) {
	e, err := s.parser.ParseBytes(data)
	if err != nil {
		return Event{}, false, s.broken(err)
	}
	if string(e.GetStringBytes("id")) != s.attempt.ID {
		return Event{}, false, s.client.fail(Crossed, 0, errOtherAttempt, "read stream")
	}
	if usage := e.Get("usage"); usage != nil {
		s.end = Event{Kind: Done, FinishReason: string(e.GetStringBytes("finish_reason")), Usage: Usage{
			PromptTokens: usage.GetInt("prompt_tokens"), CompletionTokens: usage.GetInt("completion_tokens"),
		}}
		return Event{}, false, nil
	}
	index := e.GetInt("index")
	if index < s.next {
		return Event{}, false, nil
	}
	if index > s.next {
		return Event{}, false, s.broken(errOutOfOrder)
	}
	s.next++
	return Event{Kind: Token, Index: index, Text: string(e.GetStringBytes("text"))}, true, nil
}

func (s *Stream) broken(err error) *Failure {
	return s.client.fail(Broken, 0, err, "read stream")
}

// Close ends the stream. A stream that was not read to its end mark is
// cancelled at the engine by closing its connection.
func (s *Stream) Close() {
	s.closing.Lock()
	defer s.closing.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	if !s.done.Load() {
		s.resp.SetConnectionClose()
	}
	s.resp.CloseBodyStream() //nolint:errcheck // the connection is not used again
}
