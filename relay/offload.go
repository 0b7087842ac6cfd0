package relay

import (
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/bootclock"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/offload"
)

// Offload hands requests over to other routers. Nil functions hand none over.
type Offload struct {
	// Choose returns the routers to which a request can be handed over now, in the order in which
	// they are to be tried.
	Choose func() []offload.Router
	// Open hands a request over, age after it arrived. An error means that it was not sent.
	Open func(to offload.Router, age time.Duration, request []byte) (net.Conn, error)
	// Probe measures how long another router takes to reply, Delay returns the latest result.
	Probe func()
	Delay func() time.Duration
}

const (
	// offloadLoad is the share of the processor time in use from which on streams are handed over: a
	// flood fills the rest within a sample, and a router that waits until it refuses some has no
	// time left to hand them over.
	offloadLoad = 0.5
	// offloadDispatching is the number of streams on their way to a target from which on further
	// ones are handed over, whatever the load was at the last sample.
	offloadDispatching = maxDispatching / 3
	// handedOverGrace is how much longer than the serving router this one waits for a response, so
	// that the caller gets the answer of the router that knows how the request ended.
	handedOverGrace = 150 * time.Millisecond
	// normalReply is the longest reply of another router at which this one is not overloaded: events
	// are collected for a large part of the time within which they have to be passed on, and have to
	// reach the caller in the rest.
	normalReply = 40 * time.Millisecond
	// saturatedReply is the time from which on hardly any stream is admitted, because events would
	// be passed on too late.
	saturatedReply = 90 * time.Millisecond
	// probesAfter is the time since the last request that was handed over for which other routers
	// are probed.
	probesAfter = time.Second
)

// offloadTargets returns the routers to which a request is handed over, none if this router serves
// it. A request is handed over once.
func (s *Server) offloadTargets(f *flight) []offload.Router {
	if s.options.Offload.Choose == nil || f.takenOver || s.stopped.Load() != nil {
		return nil
	}
	if s.load() < offloadLoad && !s.throttle.strained() {
		return nil
	}
	if s.handedOver.Load() >= int64(maxHandedOver(s.options.Limits.Connections, s.options.Limits.Memory)) {
		return nil
	}
	return s.options.Offload.Choose()
}

// load returns the part of the processor time in use, 0 if it is not known.
func (s *Server) load() float64 {
	if s.options.Processor == nil {
		return 0
	}
	return s.options.Processor.Load()
}

// offloadDelay returns how long other routers appear to take to reply, 0 if nothing was handed over
// lately.
func (s *Server) offloadDelay() time.Duration {
	if s.options.Offload.Delay == nil || !s.handsOver(s.options.Clock.Now()) {
		return 0
	}
	return s.options.Offload.Delay()
}

// handsOver reports whether requests were handed over lately.
func (s *Server) handsOver(now time.Time) bool {
	at := s.handedOverAt.Load()
	return at != 0 && now.UnixNano()-at < int64(probesAfter)
}

// probeOffload measures how late replies of other routers arrive, while requests are handed over.
func (s *Server) probeOffload(now time.Time) {
	if s.options.Offload.Probe == nil || !s.handsOver(now) {
		return
	}
	s.group.Go(func() error {
		s.options.Offload.Probe()
		return nil
	})
}

// handover is a request that another router serves.
type handover struct {
	flight *flight
	to     offload.Router
	stream net.Conn
	// request is the request as it is sent, nil once a part of the response was passed on. others
	// are the routers that were not tried yet.
	request []byte
	others  []offload.Router
	passed  int
}

// handOver hands the request over to one of the chosen routers. It reports false if none of them
// could be reached, so that the request was not sent.
func (f *flight) handOver(ctx *fasthttp.RequestCtx) bool {
	h := &handover{flight: f, request: f.encodeOriginal(), others: f.offloadTo}
	if !h.open() {
		return false
	}
	// The rest of the exchange needs neither the parsed request nor its buffers.
	f.body, f.header = nil, nil
	f.server.handedOver.Add(1)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) { h.run() })
	return true
}

// mayBeHandedOver reports whether the request can be passed on in one piece, and its response as it
// is: a caller with HTTP 1.0 takes the end of a connection for the end of a response, and only the
// router that reads a large body accounts for its memory.
func (f *flight) mayBeHandedOver() bool {
	return f.header.IsHTTP11() && len(f.body) <= maxBufferedBody
}

// open sends the request to the next router that can be reached.
func (h *handover) open() bool {
	f := h.flight
	s := f.server
	if s.offloadDelay() > normalReply && callerClosed(f) {
		f.interrupt(causeCallerClosed) // requests lie unread on a busy host, and this one did for too long
		return true
	}
	for len(h.others) > 0 {
		h.to, h.others = h.others[0], h.others[1:]
		stream, err := s.options.Offload.Open(h.to, s.options.Clock.Since(f.received), h.request)
		if err != nil {
			s.options.Metrics.Inc(metric.OffloadsFailed)
			s.logHandover(h, err, "request not handed over")
			continue
		}
		if !f.attachRemote(stream) {
			stream.Close() //nolint:errcheck // the caller has left
			return true
		}
		h.stream = stream
		s.handedOverAt.Store(s.options.Clock.Now().UnixNano())
		s.options.Metrics.Inc(metric.RequestsOffloaded)
		return true
	}
	return false
}

// encodeOriginal returns the request as the caller sent it, with a length.
func (f *flight) encodeOriginal() []byte {
	h := f.header
	b := make([]byte, 0, 1024+len(f.body))
	b = append(b, h.Method()...)
	b = append(b, ' ')
	b = append(b, h.RequestURI()...)
	b = append(b, " HTTP/1.1\r\n"...)
	for key, value := range h.All() {
		switch string(key) {
		case fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding, fasthttp.HeaderConnection, fasthttp.HeaderExpect:
			continue
		}
		b = append(b, key...)
		b = append(b, ": "...)
		b = append(b, value...)
		b = append(b, "\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(f.body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, f.body...)
}

// copyBuffers holds buffers for the bytes of responses.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// copyBufferSize fits the events of a stream that arrive together.
const copyBufferSize = 4096

// run passes the response on. The caller's connection is closed after it.
func (h *handover) run() {
	f := h.flight
	defer f.server.handedOver.Add(-1)
	defer f.server.unregister(f)
	for h.stream != nil {
		err := h.copy()
		h.stream.Close() //nolint:errcheck // the exchange is over
		if h.passed > 0 || f.interrupted() != causeNone || !h.again() {
			h.end(err)
			return
		}
	}
	h.end(errClosed)
}

// copy passes bytes on until the stream ends or the caller has left. What a caller does not read
// fills the window of the stream, so that the serving router reads no more from the target.
func (h *handover) copy() error {
	f := h.flight
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := h.stream.Read(buffer[:])
		if f.interrupted() != causeNone {
			return errClosed
		}
		if n > 0 {
			h.request = nil
			h.passed += n
			if werr := h.write(buffer[:n]); werr != nil {
				f.interrupt(causeCallerClosed)
				return werr
			}
		}
		if err != nil {
			return err
		}
	}
}

func (h *handover) write(b []byte) error {
	f := h.flight
	f.stall.begin(f.server.options.Clock.Now())
	_, err := f.conn.Write(b)
	f.stall.clear()
	f.passedAt.Store(f.server.options.Clock.Now().UnixNano())
	return err
}

// again hands the request over once more after the stream broke without a response. The request may
// have run, so it has to be repeatable.
func (h *handover) again() bool {
	f := h.flight
	if !f.route.Retryable() || len(h.others) == 0 || !f.server.options.Retries.TryWithdraw() {
		return false
	}
	f.server.options.Metrics.Inc(metric.Retries)
	f.detachRemote()
	return h.open()
}

// end logs how the exchange ended, and responds to the caller if the serving router did not.
func (h *handover) end(err error) {
	f := h.flight
	f.server.logHandover(h, err, "handed-over request ended")
	if h.passed > 0 || f.interrupted() == causeCallerClosed || f.interrupted() == causeCallerStalled {
		return
	}
	r := &refusal{status: fasthttp.StatusBadGateway, reason: reasonServingRouterLost}
	if f.interrupted() == causeTimeUp {
		r.status, r.reason = fasthttp.StatusGatewayTimeout, reasonTimeLimit
	}
	f.server.logRefused(f, r)
	var resp fasthttp.Response
	r.writeTo(&resp)
	resp.SetConnectionClose()
	clock := f.server.options.Clock
	if err := f.conn.SetWriteDeadline(bootclock.ToMonotonic(clock, clock.Now().Add(refusalTimeout))); err != nil {
		return // the caller has left
	}
	resp.WriteTo(f.conn) //nolint:errcheck // the caller may have left
}

// refusalTimeout bounds writing a short response.
const refusalTimeout = time.Second

// attachRemote makes interrupt end the stream to the serving router. It reports false if the request
// was cancelled.
func (f *flight) attachRemote(stream net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cause != causeNone {
		return false
	}
	f.remote, f.grace = stream, handedOverGrace
	return true
}

func (f *flight) detachRemote() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remote = nil
}

// closeRemote ends the exchange with the serving router. It ends the read that waits, and the
// goroutine of the request closes the stream: that may block while the connection is stuck, and many
// requests are ended by one goroutine. The caller holds f.mu.
func (f *flight) closeRemote() {
	if f.remote != nil {
		f.remote.SetReadDeadline(time.Unix(0, 1).UTC()) //nolint:errcheck // a stream accepts each
	}
}

// timeUp reports whether the time limit of the request and what it may take longer have passed.
func (f *flight) timeUp(limit, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !now.Before(limit.Add(f.grace))
}

// ServeOffloaded serves a request that another router handed over, and returns when its response
// was written.
func (s *Server) ServeOffloaded(c *offload.Conn) {
	s.options.Metrics.Inc(metric.RequestsTakenOver)
	if err := s.callers.Load().ServeConn(c); err != nil {
		s.options.Log.Debug().Err(err).Msg("request of another router ended")
	}
}

// takeOver notes that a request was handed over by another router, if it was. Its time counts from
// its arrival there.
func (f *flight) takeOver(ctx *fasthttp.RequestCtx) {
	c, ok := f.conn.(*offload.Conn)
	if !ok {
		return
	}
	f.takenOver = true
	f.received = f.received.Add(-c.Age())
	ctx.SetConnectionClose()
}
