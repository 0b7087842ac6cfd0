package relay

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/request"
	"zinccove.example/zinccove/route"
)

// refusal is a final response that does not come from a target.
type refusal struct {
	status int
	reason string
	// retryAfter is when the caller may retry; 0 means that no time is sent.
	retryAfter time.Duration
}

// counter returns the metric that counts the refusal. Statuses 502 and 504 leave open whether
// the request ran.
func (r *refusal) counter() metric.Counter {
	switch r.status {
	case fasthttp.StatusBadGateway, fasthttp.StatusGatewayTimeout:
		return metric.RequestsUnknown
	}
	return metric.RequestsNotRun
}

// writeRefusal writes a refusal as the response.
func (f *flight) writeRefusal(ctx *fasthttp.RequestCtx, r *refusal) {
	f.setWriteDeadline(ctx)
	r.writeTo(&ctx.Response)
}

func (r *refusal) writeTo(resp *fasthttp.Response) {
	resp.ResetBody()
	resp.SetStatusCode(r.status)
	resp.Header.SetContentType("text/plain")
	resp.SetBodyString(r.reason + "\n")
	if r.retryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(roundUp(r.retryAfter), 'f', -1, 64))
		// Callers retry on a new connection. Callers that are refused at once and often would
		// otherwise leave thousands of idle connections open.
		resp.SetConnectionClose()
	}
}

// roundUp returns a duration in seconds, rounded up to a hundredth.
func roundUp(d time.Duration) float64 { return math.Ceil(d.Seconds()*100) / 100 }

// Reasons of refusals before a target is chosen.
const (
	reasonNoTable    = "no_configuration"
	reasonBadRequest = "bad_request"
	reasonLargeHead  = "head_too_large"
	reasonLargeBody  = "body_too_large"
	reasonNoRoute    = "no_route"
	reasonStaleTable = "configuration_may_be_old"
	reasonWrongKey   = "wrong_key"
	reasonStopping   = "stopping"
	reasonRouterBusy = "router_busy"
	// reasonServingRouterLost: the router that served the request was lost before it responded.
	reasonServingRouterLost = "serving_router_lost"
	// reasonUnknownOrigin: the version that began a stream which a caller resumes is not known.
	reasonUnknownOrigin = "stream_origin_unknown"
)

// Reasons of refusals after an attempt. Further ones are failureNames and the placer's reasons.
const (
	reasonCallerGone = "caller_gone"
	reasonTimeLimit  = "time_limit"
	// reasonEndsTargets is also used before an attempt.
	reasonEndsTargets = "ends_targets"
)

// unknownRetry is the Retry-After of a refusal by a router whose table is missing or old, so
// that it cannot decide about the request; another router may have a newer table.
const unknownRetry = 200 * time.Millisecond

// stoppingRetry is the Retry-After of a refusal by a router that is about to stop; the balancer
// routes the retry to another router at once.
const stoppingRetry = 20 * time.Millisecond

// routerBusyRetry is the Retry-After of a stream that is refused because this router is busy for a
// moment. The retry reaches this router again as long as the balancer considers it ready; by then
// the rate limit admits some more streams.
const routerBusyRetry = 50 * time.Millisecond

// busyRetry returns the Retry-After of a request for which this router has no capacity. Callers of
// an overloaded router return when the balancer has noticed that it is not ready: earlier retries
// arrive here again, and refusing them takes most of the processor of a small host. Later ones
// reach another router at once, because a refusal closes the connection. Callers are spread over the
// time that this router needs for those that it refuses, as they would otherwise come back together.
func (s *Server) busyRetry() time.Duration {
	spread := time.Duration(rand.Float64() * float64(min(s.throttle.backlog(), maxRetrySpread)))
	return max(routerBusyRetry, s.overload.unnoticed(s.options.Limits.StopDelay)) + spread
}

// maxRetrySpread bounds the time over which refused callers are spread: they can still be served
// within their objective after it.
const maxRetrySpread = 150 * time.Millisecond

// refuseBusy returns the refusal of a request for which this router has no capacity, and counts the
// request as requested by its customer.
func (f *flight) refuseBusy() *refusal {
	s := f.server
	f.deposit()
	s.options.Placer.RecordRefusal(f.placement())
	return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonRouterBusy, retryAfter: s.busyRetry()}
}

// firstEventMargin is the time that a graceful shutdown allows for the first event of a stream.
const firstEventMargin = time.Second

// deadlineMargin is how long before the end of a graceful shutdown the deadline of a request has to
// be: requests are ended by the monitor, which notices a deadline after an interval and its lag.
const deadlineMargin = 2 * checkInterval

// endsInTime reports whether a request that is passed on at a given time ends before a graceful
// shutdown has to cut it. Only its deadline makes that certain. The expected end is enough for
// streams that their callers can resume elsewhere. Callers still arrive while the balancer has not
// noticed the shutdown, and when most routers of a data centre stop at once.
func (s *Server) endsInTime(f *flight, at time.Time) bool {
	stopped := s.stopped.Load()
	if stopped == nil || at.Sub(*stopped) < s.options.Limits.StopDelay {
		return true
	}
	end := stopped.Add(s.options.Limits.StopTimeout)
	if f.received.Add(f.limit() + deadlineMargin).Before(end) {
		return true
	}
	if f.route.Kind != route.Stream || !f.route.Resumable {
		return false
	}
	bound, known := s.pace.bound(&f.call)
	return known && at.Add(firstEventMargin+bound).Before(end)
}

// refuseStopping refuses a request that was passed on nowhere and may be cut by the end of a graceful
// shutdown, because its body, its place or its target took long since it was admitted.
func (f *flight) refuseStopping() *refusal {
	if f.lifecycle.Outcome() != request.NotRun || f.server.endsInTime(f, f.server.options.Clock.Now()) {
		return nil
	}
	return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonStopping, retryAfter: stoppingRetry}
}

// limit returns the longest time that the request may take.
func (f *flight) limit() time.Duration {
	if f.call.Deadline > 0 {
		return min(f.call.Deadline, f.route.Timeout)
	}
	return f.route.Timeout
}

// admit decodes a request and decides whether it may be served. The refusal is nil if it may.
func (s *Server) admit(ctx *fasthttp.RequestCtx) (*flight, *refusal) {
	f := &flight{server: s, received: s.options.Clock.Now(), conn: ctx.Conn(), header: &ctx.Request.Header}
	f.takeOver(ctx)
	call, err := s.options.Codec.DecodeRequest(&ctx.Request.Header)
	f.call = call
	if err != nil {
		return f, &refusal{status: fasthttp.StatusBadRequest, reason: reasonBadRequest}
	}
	view := s.options.View()
	if view.Table == nil {
		return f, &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonNoTable, retryAfter: unknownRetry}
	}
	f.version = view.Table.Version
	if s.headTooLarge(view.Table, f.header) {
		return f, &refusal{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: reasonLargeHead}
	}
	f.route = view.Table.Match(string(ctx.Host()), string(ctx.Request.Header.RequestURI()))
	if f.route == nil {
		return f, unknown(view, fasthttp.StatusNotFound, reasonNoRoute)
	}
	f.regions = f.route.Regions
	if !s.endsInTime(f, f.received) {
		return f, &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonStopping, retryAfter: stoppingRetry}
	}
	if len(view.Table.Customers) > 0 {
		f.hideKey = true
		if r := f.identify(view); r != nil {
			return f, r
		}
	}
	f.setLimits(view.Table)
	if !f.engine {
		return f, nil
	}
	f.offloadTo = s.offloadTargets(f)
	f.dispatching = len(f.offloadTo) == 0
	if !s.throttle.allow(f.customer, f.received, f.dispatching) {
		f.dispatching = false
		s.options.Metrics.Inc(metric.RequestsShed)
		return f, f.refuseBusy()
	}
	return f, nil
}

// keep decides whether this router serves a stream that it could not hand over.
func (f *flight) keep() *refusal {
	if !f.server.throttle.dispatch() {
		f.server.options.Metrics.Inc(metric.RequestsShed)
		return f.refuseBusy()
	}
	f.dispatching = true
	return nil
}

// deposit adds the request to the budget of retries, once.
func (f *flight) deposit() {
	if !f.deposited {
		f.deposited = true
		f.server.options.Retries.Deposit()
	}
}

// unknown returns the refusal of a request whose route or key the table lacks. An old table
// does not prove that a route or key does not exist.
func unknown(view View, status int, reason string) *refusal {
	if !view.Fresh {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonStaleTable, retryAfter: unknownRetry}
	}
	return &refusal{status: status, reason: reason}
}

// identify finds the customer of the request. A public route needs no customer, and the target
// gets no customer name for it, even if the key is known.
func (f *flight) identify(view View) *refusal {
	customer := view.Table.Customer(f.call.Key)
	if customer == nil {
		if f.route.Public {
			return nil
		}
		return unknown(view, fasthttp.StatusUnauthorized, reasonWrongKey)
	}
	if !f.route.Public {
		f.customer, f.priority = customer.Name, customer.Priority
		f.regions = route.AllowedRegions(f.route, customer)
	}
	return nil
}

// setService sets the service of the request.
func (f *flight) setService(service string) {
	f.service = service
	f.engine = f.table.Service(service).Engine != nil
	f.chooseVersions(rand.Float64())
}

// freeUnsent is the number of targets that a request may fail to reach in addition to the
// attempts of its route: these targets were given no work.
const freeUnsent = 2

// setLimits chooses the service and sets the deadline and the attempts of the request.
func (f *flight) setLimits(table *route.Table) {
	f.deadline = f.received.Add(f.limit())
	f.table = table
	f.setService(f.route.Pick(rand.IntN))
	f.lifecycle = request.New(request.Options{
		ID: f.call.ID, Repeatable: f.route.Retryable(), Deadline: f.deadline, MaxAttempts: f.route.MaxAttempts,
		FreeUnsent: freeUnsent,
	})
}
