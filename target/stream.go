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
	errMismatched = eris.New("response of another attempt")
	errTruncated  = eris.Wrap(io.ErrUnexpectedEOF, "stream ended without its end mark")
	errOutOfOrder = eris.New("token out of order")
)

// EventKind is the kind of an event in a stream.
type EventKind int

// The kinds of events.
const (
	// Token carries the next token.
	Token EventKind = iota
	// Done is the end of the stream and carries the usage.
	Done
)

// Usage is the number of tokens that an engine processed for a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Event is one event of a stream.
type Event struct {
	Kind EventKind
	// Index is the position of the token in the complete response, from 0.
	Index        int
	Text         string
	FinishReason string
	Usage        Usage
}

// Stream is the streamed response of an engine. Next must be called by only one
// goroutine; Close may be called by any goroutine and ends a blocked Next.
type Stream struct {
	client  *Client
	attempt Attempt
	resp    *fasthttp.Response
	lines   *bufio.Reader
	parser  fastjson.Parser
	// next is the index of the next expected token.
	next int
	end  Event
	// done is set once the end mark was read.
	done atomic.Bool

	closeMu sync.Mutex
	closed  bool
}

// maxEventSize limits the length of an event in bytes.
const maxEventSize = 64 << 10

// Stream sends an attempt to an engine. Body is the JSON of the request, whose
// resume_from must equal from, the number of tokens that were already delivered.
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
	f := c.send(c.streaming, req, resp, a, step)
	if f == nil && resp.StatusCode() != fasthttp.StatusOK {
		f = c.fail(Rejected, resp.StatusCode(), eris.Errorf("status %d", resp.StatusCode()), step)
	}
	if f != nil {
		resp.CloseBodyStream() //nolint:errcheck // the attempt has failed already
		fasthttp.ReleaseResponse(resp)
		return nil, f
	}
	return &Stream{client: c, attempt: a, resp: resp, next: from, lines: bufio.NewReaderSize(resp.BodyStream(), 1024)}, nil
}

// Next returns the next event. Tokens that were already delivered are skipped; a
// missing token is a failure.
func (s *Stream) Next() (Event, *Failure) {
	for {
		data, err := s.data()
		if err != nil {
			return Event{}, s.readFailure(err)
		}
		if bytes.Equal(data, endMark) {
			s.done.Store(true)
			return s.end, nil
		}
		ev, isNew, f := s.decode(data)
		if f != nil || isNew {
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

// line returns the next line, which is valid until the next call. Lines that fit
// into the reader's buffer are not copied.
func (s *Stream) line() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if err != bufio.ErrBufferFull {
		return line, err
	}
	long := bytes.Clone(line)
	for err == bufio.ErrBufferFull && len(long) < maxEventSize {
		line, err = s.lines.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

// decode decodes an event. IsNew reports whether Next must return the event.
func (s *Stream) decode(data []byte) (ev Event, isNew bool, f *Failure) {
	e, err := s.parser.ParseBytes(data)
	if err != nil {
		return Event{}, false, s.readFailure(err)
	}
	if string(e.GetStringBytes("id")) != s.attempt.ID {
		return Event{}, false, s.client.fail(Mismatched, 0, errMismatched, "read stream")
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
		return Event{}, false, s.readFailure(errOutOfOrder)
	}
	s.next++
	return Event{Kind: Token, Index: index, Text: string(e.GetStringBytes("text"))}, true, nil
}

func (s *Stream) readFailure(err error) *Failure {
	return s.client.fail(Broken, 0, err, "read stream")
}

// Close ends the stream. If it was not read to its end mark, its connection is
// closed, which cancels the attempt at the engine.
func (s *Stream) Close() {
	s.closeMu.Lock()
	defer s.closeMu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	if !s.done.Load() {
		s.resp.SetConnectionClose()
	}
	s.resp.CloseBodyStream() //nolint:errcheck // the connection is not used again
}
