package relay

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/head"
)

// maxBufferedResponse is the size in bytes from which on responses are passed on as they
// arrive. Smaller ones are buffered until they are complete, so that the request may be sent to
// another target if the response breaks.
const maxBufferedResponse = 32 << 10

// maxResponse is the size in bytes of the largest body of a response.
const maxResponse = 64 << 20

// maxDiscarded is the size in bytes up to which the body of a response to another request is read, so
// that the connection can be used on.
const maxDiscarded = 256 << 10

// maxTrailer is the size of the largest trailer of a response in bytes.
const maxTrailer = 16 << 10

var (
	errLargeResponse  = eris.New("response exceeds the limit")
	errLargeTrailer   = eris.New("trailer exceeds the limit")
	errTruncated      = eris.Wrap(io.ErrUnexpectedEOF, "response is truncated")
	errLargeDiscarded = eris.New("response to another request is too large to be discarded")
)

// body reads the body of a response in the framing that its head declares.
type body struct {
	raw     *bufio.Reader
	reader  io.Reader
	chunked bool
	// left counts the bytes that are still missing, for responses with a length.
	left *io.LimitedReader
	// untilClose reports that the body ends with its connection.
	untilClose bool
	// onTrailer is called before the trailer is read; nil ignores it.
	onTrailer func()
	// read is the number of bytes that were read.
	read int64
}

func newBody(raw *bufio.Reader, h *fasthttp.ResponseHeader, head bool) *body {
	b := &body{raw: raw}
	status, length := h.StatusCode(), h.ContentLength()
	switch {
	case head || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		b.left = &io.LimitedReader{R: raw}
		b.reader = b.left
	case length >= 0:
		b.left = &io.LimitedReader{R: raw, N: int64(length)}
		b.reader = b.left
	case length == -1:
		b.chunked = true
		b.reader = httputil.NewChunkedReader(raw)
	default:
		b.untilClose = true
		b.reader = raw
	}
	return b
}

// ended reports whether the body has a length and all of it was read.
func (b *body) ended() bool { return b.left != nil && b.left.N == 0 }

// framed reports whether the connection can be used after the body.
func (b *body) framed() bool { return !b.untilClose }

// tooLarge reports whether the length of the body exceeds the limit.
func (b *body) tooLarge() bool { return b.left != nil && b.left.N > maxResponse }

// Read returns io.EOF only if the body is complete by its framing.
func (b *body) Read(p []byte) (int, error) {
	if b.read > maxResponse {
		return 0, errLargeResponse
	}
	n, err := b.reader.Read(p)
	b.read += int64(n)
	if err != io.EOF {
		return n, err
	}
	switch {
	case b.left != nil && b.left.N > 0:
		return n, errTruncated
	case b.chunked:
		return n, b.trailer()
	}
	return n, io.EOF
}

// trailer reads the lines between the last chunk and the end of the response.
func (b *body) trailer() error {
	if b.onTrailer != nil {
		b.onTrailer()
	}
	for size := 0; size <= maxTrailer; {
		line, err := b.raw.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			return errLargeTrailer
		}
		if err != nil {
			return errTruncated
		}
		if string(line) == "\r\n" {
			return io.EOF
		}
		if err := head.CheckField(line); err != nil {
			return err
		}
		size += len(line)
	}
	return errLargeTrailer
}

// readUpTo returns at most limit bytes of the body. Fewer bytes are the complete body.
func (b *body) readUpTo(limit int64) ([]byte, error) { return io.ReadAll(io.LimitReader(b, limit)) }

// discard reads the rest of the body and drops it.
func (b *body) discard() error {
	if b.untilClose {
		return errTruncated
	}
	if b.left != nil && b.left.N > maxDiscarded {
		return errLargeDiscarded
	}
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxDiscarded+1))
	if n > maxDiscarded {
		return errLargeDiscarded
	}
	return err
}
