// Package head reads the heads of HTTP/1 responses strictly.
//
// A target in trouble sends bytes that resemble a response. A lenient parser takes them for one: it
// reads status 000 as 200, passes lines on that are no fields, or frames a body by "Content-Length :".
// This package checks a head by RFC 9110 and RFC 9112 before it is parsed. What it rejects is no
// response, so that it is not known whether the request ran.
//
// It accepts what recipients may accept of sound senders: a status line without a reason, several spaces
// in it, and fields that continue on a line that begins with white space.
//
// # Usage
//
//	var h fasthttp.ResponseHeader
//	err := head.Read(reader, &h)
//
//	if end := head.End(b); end > 0 { // b holds a complete head
//		err := head.Check(b[:end])
//	}
package head

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Errors of heads. All but ErrTooLarge and ErrTruncated match ErrMalformed.
var (
	// ErrMalformed means that the bytes are no head of an HTTP/1 response.
	ErrMalformed = eris.New("malformed response head")
	// ErrTooLarge means that the head exceeds the buffer of its reader.
	ErrTooLarge = eris.New("response head exceeds the limit")
	// ErrTruncated means that the connection ended inside the head.
	ErrTruncated = eris.Wrap(io.ErrUnexpectedEOF, "connection ended inside a response head")

	errStatusLine = eris.Wrap(ErrMalformed, "invalid status line")
	errStatus     = eris.Wrap(ErrMalformed, "status out of range")
	errSwitch     = eris.Wrap(ErrMalformed, "protocol switch that was not requested")
	errName       = eris.Wrap(ErrMalformed, "invalid field name")
	errValue      = eris.Wrap(ErrMalformed, "invalid field value")
	errLength     = eris.Wrap(ErrMalformed, "invalid or repeated length")
	errEncoding   = eris.Wrap(ErrMalformed, "unknown or repeated transfer encoding")
	errFraming    = eris.Wrap(ErrMalformed, "length beside a transfer encoding")
	errParsers    = eris.Wrap(ErrMalformed, "head is ambiguous")
)

const (
	minStatus = 100
	maxStatus = 599
	// statusDigits is the length of a status, maxLengthDigits that of the largest length of a body that
	// fits an int64 in any case.
	statusDigits    = 3
	maxLengthDigits = 18
)

// Read reads a head into h. Nothing is read beyond it. The error is io.EOF if the connection ends before
// the first byte, and fasthttp.ErrTimeout if a deadline passes.
func Read(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	size, err := await(r)
	if err != nil {
		return err
	}
	b, err := r.Peek(size)
	if err != nil {
		return eris.Wrap(err, "read response head")
	}
	if err := Check(b); err != nil {
		return err
	}
	before := r.Buffered()
	if err := h.Read(r); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	if before-r.Buffered() != size {
		return errParsers
	}
	return nil
}

// await waits until a complete head is buffered and returns its size. The status line is checked as soon
// as it is complete.
func await(r *bufio.Reader) (size int, err error) {
	checked := false
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			return 0, readError(r, err)
		}
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return 0, eris.Wrap(err, "read response head")
		}
		if i := bytes.IndexByte(b, '\n'); i >= 0 && !checked {
			line, ok := bytes.CutSuffix(b[:i+1], lineEnd)
			if !ok {
				return 0, errStatusLine
			}
			if _, err := checkStatusLine(line); err != nil {
				return 0, err
			}
			checked = true
		}
		if end := End(b); end > 0 {
			return end, nil
		}
	}
}

// readError returns the error of a read that did not complete a head.
func readError(r *bufio.Reader, err error) error {
	if t, ok := err.(interface{ Timeout() bool }); ok && t.Timeout() {
		return fasthttp.ErrTimeout
	}
	switch {
	case err == bufio.ErrBufferFull:
		return ErrTooLarge
	case err == io.EOF && r.Buffered() == 0:
		return io.EOF
	case err == io.EOF:
		return ErrTruncated
	}
	return eris.Wrap(err, "read response head")
}

// lineEnd ends each line, and headEnd the last line and the head.
var lineEnd, headEnd = []byte("\r\n"), []byte("\r\n\r\n")

// End returns the size of the head at the start of b with the empty line that ends it, 0 if it is not
// complete.
func End(b []byte) int {
	i := bytes.Index(b, headEnd)
	if i < 0 {
		return 0
	}
	return i + len(headEnd)
}

// Informational reports whether a checked head is that of an informational response, after which
// another head follows.
func Informational(b []byte) bool {
	line, _ := nextLine(b)
	status, err := checkStatusLine(line)
	return err == nil && status < fasthttp.StatusOK
}

// Check returns an error unless b is a complete head.
func Check(b []byte) error {
	line, rest := nextLine(b)
	status, err := checkStatusLine(line)
	if err != nil {
		return err
	}
	if status == fasthttp.StatusSwitchingProtocols {
		return errSwitch
	}
	f := framing{old: bytes.HasPrefix(line, []byte("HTTP/1.0"))}
	var name []byte
	for {
		line, rest = nextLine(rest)
		if len(line) == 0 {
			return f.check()
		}
		if isBlank(line[0]) {
			// The line continues the field before it.
			if name == nil || isFraming(name) {
				return errName
			}
			if err := checkValue(line); err != nil {
				return err
			}
			continue
		}
		var value []byte
		if name, value, err = splitField(line); err != nil {
			return err
		}
		f.add(name, value)
	}
}

// CheckField returns an error unless a line is a field with the end of its line, as in a trailer.
func CheckField(line []byte) error {
	field, ok := bytes.CutSuffix(line, lineEnd)
	if !ok {
		return errValue
	}
	_, _, err := splitField(field)
	return err
}

// framing is what the fields of a head say about its body.
type framing struct {
	// old is set for HTTP/1.0, which has no transfer encodings.
	old                bool
	lengths, encodings int
	err                error
}

// add notes a field.
func (f *framing) add(name, value []byte) {
	switch {
	case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
		f.lengths++
		if f.lengths > 1 || !isLength(value) {
			f.err = errLength
		}
	case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
		f.encodings++
		if f.encodings > 1 || f.old || !bytes.EqualFold(value, []byte("chunked")) {
			f.err = errEncoding
		}
	}
}

// check returns an error unless the fields agree on one framing.
func (f *framing) check() error {
	if f.err == nil && f.lengths > 0 && f.encodings > 0 {
		return errFraming
	}
	return f.err
}

// isFraming reports whether a field frames the body.
func isFraming(name []byte) bool {
	return bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
}

// checkStatusLine returns the status of a status line without its end.
func checkStatusLine(line []byte) (status int, err error) {
	const version = "HTTP/1."
	rest, ok := bytes.CutPrefix(line, []byte(version))
	if !ok || len(rest) < 2 || !isDigit(rest[0]) || rest[1] != ' ' {
		return 0, errStatusLine
	}
	rest = bytes.TrimLeft(rest[1:], " ")
	if len(rest) < statusDigits || len(rest) > statusDigits && rest[statusDigits] != ' ' {
		return 0, errStatusLine
	}
	for _, c := range rest[:statusDigits] {
		if !isDigit(c) {
			return 0, errStatusLine
		}
		status = 10*status + int(c-'0')
	}
	if status < minStatus || status > maxStatus {
		return 0, errStatus
	}
	if checkValue(rest[statusDigits:]) != nil {
		return 0, errStatusLine
	}
	return status, nil
}

// splitField splits a field line without its end.
func splitField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 {
		return nil, nil, errName
	}
	for _, c := range name {
		if !isToken[c] {
			return nil, nil, errName
		}
	}
	return name, bytes.Trim(value, " \t"), checkValue(value)
}

// checkValue returns an error if a value has control characters other than tabs.
func checkValue(value []byte) error {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return errValue
		}
	}
	return nil
}

// isLength reports whether a value is the length of a body.
func isLength(value []byte) bool {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return false
	}
	for _, c := range value {
		if !isDigit(c) {
			return false
		}
	}
	return true
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// isToken holds the characters of names (RFC 9110, section 5.6.2).
var isToken = func() (table [256]bool) {
	for c := range table {
		b := byte(c)
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		table[c] = letter || isDigit(b) || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0
	}
	return table
}()

// nextLine returns the first line of b without its end, and what follows it.
func nextLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, lineEnd)
	return line, rest
}
