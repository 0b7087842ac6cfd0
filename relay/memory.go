package relay

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
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

// readBody reads the body of a request. Larger ones are read in pieces, as long as there
// is room.
func (f *flight) readBody(ctx *fasthttp.RequestCtx) error {
	if !ctx.Request.IsBodyStream() {
		f.body = ctx.PostBody()
		return nil
	}
	limits := &f.server.options.Limits
	n := ctx.Request.Header.ContentLength()
	if n > limits.BodyBytes {
		return errBodyTooLarge
	}
	body := make([]byte, 0, max(min(n, limits.BodyBytes), 0))
	if n > usualBody && !f.reserve(int64(n)) {
		return errNoRoom
	}
	stream := ctx.RequestBodyStream()
	for {
		if len(body) == cap(body) {
			if n < 0 && !f.reserve(usualBody) {
				return errNoRoom
			}
			body = append(body, make([]byte, usualBody)...)[:len(body)]
		}
		m, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+m]
		switch {
		case len(body) > limits.BodyBytes:
			return errBodyTooLarge
		case err == io.EOF:
			f.body = body
			return nil
		case err != nil:
			return err
		}
	}
}

// reserve reserves room for a body until the request ends.
func (f *flight) reserve(n int64) bool {
	if !f.server.large.take(n) {
		return false
	}
	f.reserved += n
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
	if err := conn.SetReadDeadline(f.server.options.Clock.Now().Add(unreadTime)); err != nil {
		conn.Close() //nolint:errcheck // the connection is of no use
	}
}

// unreadTime is how long the rest of a body that is refused may take to arrive.
const unreadTime = 200 * time.Millisecond
