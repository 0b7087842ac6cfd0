package relay

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/bootclock"
)

// A host has some hundred megabytes, and a process that takes more is killed with all
// requests on it. So what callers can make it keep is bounded by count and by bytes: so
// many connections, each with its buffers and a body of usual size, and so many bytes of
// larger bodies, which are read only while there is room for them.
const (
	// connectionBytes is what a connection with a request takes: 47 KB without its body
	// (2,000 of them take 95 MB), a body of usual size, and the connection to the target.
	connectionBytes = 80 << 10
	// connectionsPart is the part of the memory for connections. The process itself
	// takes 25 MB, and what is freed late and bytes that were not read yet count too: with
	// 0.6 a host of 184 MB came to 179 under a flood of 1,150 requests a second.
	connectionsPart = 0.35
	// leastConnections is the bound in the smallest memory.
	leastConnections = 64
	// usualBody is the size up to which bodies are read with their request.
	usualBody = 32 << 10
	// largePart is the part of the memory for larger bodies.
	largePart = 0.125
)

// connections is the most connections of callers that fit a memory in bytes.
func connections(most int, memory int64) int {
	if memory <= 0 {
		return most
	}
	return min(most, max(int(connectionsPart*float64(memory)/connectionBytes), leastConnections))
}

// largeBodies bounds the bytes of bodies larger than usual that are kept at once.
type largeBodies struct {
	most int64
	kept atomic.Int64
}

// newLargeBodies returns the bound for a memory in bytes; one body of the largest size
// always fits.
func newLargeBodies(memory int64, largest int) *largeBodies {
	return &largeBodies{most: max(int64(largePart*float64(memory)), int64(largest))}
}

// take reserves bytes and reports whether there was room.
func (l *largeBodies) take(n int64) bool {
	if l.kept.Add(n) <= l.most {
		return true
	}
	l.kept.Add(-n)
	return false
}

var (
	errBodyTooLarge = eris.New("body exceeds the limit")
	errNoRoom       = eris.New("no room for the body")
)

// readBody reads the body of a request. Larger ones are read as long as there is room.
func (f *flight) readBody(ctx *fasthttp.RequestCtx) error {
	if !ctx.Request.IsBodyStream() {
		f.body = ctx.PostBody()
		return nil
	}
	n := ctx.Request.Header.ContentLength()
	if n < 0 {
		return f.readChunks(ctx.RequestBodyStream())
	}
	if n > f.server.options.Limits.BodyBytes {
		return errBodyTooLarge
	}
	if n > usualBody && !f.reserve(n) {
		return errNoRoom
	}
	f.body = make([]byte, n)
	_, err := io.ReadFull(ctx.RequestBodyStream(), f.body)
	return err
}

// readChunks reads a body without a length. Its buffer doubles, and room is reserved for
// all of it before.
func (f *flight) readChunks(stream io.Reader) error {
	most := f.server.options.Limits.BodyBytes
	for {
		if len(f.body) == cap(f.body) {
			size := min(max(2*cap(f.body), usualBody), most+1) // one byte more tells that it is too large
			if !f.reserve(min(size, most) - cap(f.body)) {
				return errNoRoom
			}
			f.body = append(make([]byte, 0, size), f.body...)
		}
		n, err := stream.Read(f.body[len(f.body):cap(f.body)])
		f.body = f.body[:len(f.body)+n]
		switch {
		case len(f.body) > most:
			return errBodyTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// reserve reserves room for a body until the request ends.
func (f *flight) reserve(n int) bool {
	if !f.server.large.take(int64(n)) {
		return false
	}
	f.reserved += int64(n)
	return true
}

// refuseBody answers a request whose body was not read. It has not run; the rest of its
// bytes make its connection useless.
func (f *flight) refuseBody(ctx *fasthttp.RequestCtx, err error) {
	r := &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonRouterBusy, retryAfter: routerBusyRetry}
	if eris.Is(err, errBodyTooLarge) {
		r = &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: reasonBadRequest}
	}
	f.life.GiveUp(false)
	f.end(ctx, r)
	ctx.SetConnectionClose()
	// Fasthttp reads over the rest of the body before it answers. A caller whose body is
	// too large is answered at once; that of another one is there in some milliseconds.
	conn := ctx.Conn()
	if r.status == fasthttp.StatusRequestEntityTooLarge {
		ctx.Response.WriteTo(conn) //nolint:errcheck // the caller may be gone
		conn.Close()               //nolint:errcheck // the connection is of no use
		return
	}
	clock := f.server.options.Clock
	if err := conn.SetReadDeadline(bootclock.Steady(clock, clock.Now().Add(unreadTime))); err != nil {
		conn.Close() //nolint:errcheck // the connection is of no use
	}
}

// unreadTime is how long the rest of a body that is refused may take to arrive.
const unreadTime = 200 * time.Millisecond
