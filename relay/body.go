package relay

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// inMemory is the size in bytes from which on answers are passed on as they come. Smaller
// ones are kept until they are whole, so that another target may be asked for one that
// breaks.
const inMemory = 32 << 10

var errTruncated = eris.Wrap(io.ErrUnexpectedEOF, "answer ended early")

// body reads the body of an answer in the framing that its head declares.
type body struct {
	raw     *bufio.Reader
	reader  io.Reader
	chunked bool
	// left is the number of bytes that are still missing, for answers with a
	// length.
	left *io.LimitedReader
	// untilClose bodies end with their connection.
	untilClose bool
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

// ended reports whether the whole body was read, as far as its length tells.
func (b *body) ended() bool { return b.left != nil && b.left.N == 0 }

// framed reports whether the connection can be used after the body.
func (b *body) framed() bool { return !b.untilClose }

// Read returns io.EOF only after a body that is whole by its framing.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
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

// trailer reads the lines between the last chunk and the end of the answer.
func (b *body) trailer() error {
	for {
		line, err := b.raw.ReadSlice('\n')
		if err != nil {
			return errTruncated
		}
		if len(line) <= len("\r\n") {
			return io.EOF
		}
	}
}

// first returns the first bytes of the body, so many at most, or all of a shorter one that
// is whole.
func (b *body) first(most int64) ([]byte, error) { return io.ReadAll(io.LimitReader(b, most)) }

// skip reads over the body.
func (b *body) skip() error {
	if b.untilClose {
		return errTruncated
	}
	_, err := io.Copy(io.Discard, b)
	return err
}
