package relay

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/bootclock"
)

// A host has some hundred megabytes of memory, and a process that uses more is killed with all
// its requests. The memory that callers can occupy is therefore bounded by a count and a size:
// a number of connections, each with its buffers and a buffered body, and a number of bytes of
// larger bodies, which are read only while that limit allows it.
const (
	// connectionBytes is the memory of a connection with a request: 47 KB without its body
	// (2,000 of them use 95 MB), a buffered body, and the connection to the target. Usual heads
	// are part of it.
	connectionBytes = 80 << 10
	usualHeadBytes  = 16 << 10
	// connectionsShare is the share of the memory for connections. The process itself uses 25
	// MB, and memory that is freed late and unread bytes count too: with 0.6 a host of 184 MB
	// used 179 under a flood of 1,150 requests per second.
	connectionsShare = 0.35
	// minConnections is the limit for the smallest memory.
	minConnections = 64
	// maxBufferedBody is the size in bytes up to which bodies are read with their request.
	maxBufferedBody = 32 << 10
	// largeBodyShare is the share of the memory for larger bodies.
	largeBodyShare = 0.125
)

const (
	// handedOverBytes is the memory of a request that another router serves: its connection with the
	// buffers of the request, until the response begins, and the buffer of its copy.
	handedOverBytes = 40 << 10
	// handedOverShare is the share of the memory for such requests. Their connections do not count
	// among the others.
	handedOverShare = 0.25
)

// maxHandedOver returns how many requests may be handed over at once with a memory in bytes, at most
// the configured number of connections.
func maxHandedOver(configured int, memory int64) int {
	if memory <= 0 {
		return configured
	}
	return min(configured, max(int(handedOverShare*float64(memory)/handedOverBytes), minConnections))
}

// maxConnections returns the number of connections of callers with buffers for heads of a size that fit
// into a memory in bytes, at most the configured number.
func maxConnections(configured int, memory int64, headerBytes int) int {
	if memory <= 0 {
		return configured
	}
	each := connectionBytes + max(headerBytes-usualHeadBytes, 0)
	return min(configured, max(int(connectionsShare*float64(memory)/float64(each)), minConnections))
}

// largeBodies bounds the bytes of bodies above maxBufferedBody that are held at once.
type largeBodies struct {
	limit, reserved atomic.Int64
}

// allow sets the limit for a memory in bytes. One body of the largest size of the settings always
// fits; where the memory is not known, one of the largest size of the configuration does too.
func (l *largeBodies) allow(memory int64, settings, configured int) {
	if memory <= 0 {
		settings = max(settings, configured)
	}
	l.limit.Store(max(int64(largeBodyShare*float64(memory)), int64(settings)))
}

// reserve reserves n bytes and reports whether the limit allows it.
func (l *largeBodies) reserve(n int64) bool {
	if l.reserved.Add(n) <= l.limit.Load() {
		return true
	}
	l.reserved.Add(-n)
	return false
}

var (
	errBodyTooLarge = eris.New("body exceeds the limit")
	errBodyMemory   = eris.New("memory limit for large bodies reached")
)

// readBody reads the body of a request. Larger ones are read only if their memory can be
// reserved.
func (f *flight) readBody(ctx *fasthttp.RequestCtx) error {
	if !ctx.Request.IsBodyStream() {
		f.body = ctx.PostBody()
		return nil
	}
	if !f.beginReading() {
		return errInterrupted
	}
	defer f.endReading()
	n := ctx.Request.Header.ContentLength()
	if n < 0 {
		return f.readChunks(ctx.RequestBodyStream())
	}
	if n > f.bodyLimit() {
		return errBodyTooLarge
	}
	if n > maxBufferedBody && !f.reserve(n) {
		return errBodyMemory
	}
	f.body = make([]byte, n)
	_, err := io.ReadFull(ctx.RequestBodyStream(), f.body)
	return err
}

// readChunks reads a body without a length. Its buffer doubles, and the memory of the new
// buffer is reserved first.
func (f *flight) readChunks(stream io.Reader) error {
	limit := f.bodyLimit()
	for {
		if len(f.body) == cap(f.body) {
			size := min(max(2*cap(f.body), maxBufferedBody), limit+1) // one more byte detects a body that is too large
			if !f.reserve(min(size, limit) - cap(f.body)) {
				return errBodyMemory
			}
			f.body = append(make([]byte, 0, size), f.body...)
		}
		n, err := stream.Read(f.body[len(f.body):cap(f.body)])
		f.body = f.body[:len(f.body)+n]
		switch {
		case len(f.body) > limit:
			return errBodyTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// reserve reserves memory for a body until the request ends.
func (f *flight) reserve(n int) bool {
	if !f.server.large.reserve(int64(n)) {
		return false
	}
	f.reserved += int64(n)
	return true
}

// refuseBody refuses a request whose body was not read. It has not run. The unread rest of the
// body makes the connection unusable.
func (f *flight) refuseBody(ctx *fasthttp.RequestCtx, err error) {
	r := &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: reasonLargeBody}
	if !eris.Is(err, errBodyTooLarge) {
		r = f.refuseBusy()
	}
	f.lifecycle.GiveUp(false)
	f.end(ctx, r)
	ctx.SetConnectionClose()
	// Fasthttp reads the rest of the body before it responds. A caller whose body is too large
	// gets its response at once; the rest of any other body arrives within some milliseconds.
	conn := ctx.Conn()
	if r.status == fasthttp.StatusRequestEntityTooLarge {
		ctx.Response.WriteTo(conn) //nolint:errcheck // the caller may have closed the connection
		conn.Close()               //nolint:errcheck // the connection is of no use
		return
	}
	clock := f.server.options.Clock
	if err := conn.SetReadDeadline(bootclock.ToMonotonic(clock, clock.Now().Add(discardTimeout))); err != nil {
		conn.Close() //nolint:errcheck // the connection is of no use
	}
}

// discardTimeout is how long the rest of a refused body may take to arrive.
const discardTimeout = 200 * time.Millisecond
