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

// refusal is a final answer that does not come from a target.
type refusal struct {
	status int
	reason string
	// retryAfter is when the caller may come back; 0 leaves it open.
	retryAfter time.Duration
}

// counter is what counts the refusal: a gateway's own failures leave open
// whether the request ran.
func (r *refusal) counter() metric.Counter {
	switch r.status {
	case fasthttp.StatusBadGateway, fasthttp.StatusGatewayTimeout:
		return metric.RequestsUnknown
	}
	return metric.RequestsNotRun
}

// write answers with the refusal.
func (r *refusal) write(ctx *fasthttp.RequestCtx) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(r.status)
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(r.reason + "\n")
	if r.retryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(roundUp(r.retryAfter), 'f', -1, 64))
		// Callers come back on a new connection; those that are refused at once and
		// often would otherwise leave thousands of idle ones behind.
		ctx.SetConnectionClose()
	}
}

// roundUp returns a duration in seconds, rounded up to a hundredth.
func roundUp(d time.Duration) float64 { return math.Ceil(d.Seconds()*100) / 100 }

// Reasons of refusals before a target was chosen.
const (
	reasonNoTable    = "no_configuration"
	reasonBadRequest = "bad_request"
	reasonNoRoute    = "no_route"
	reasonStaleTable = "configuration_may_be_old"
	reasonWrongKey   = "wrong_key"
	reasonStopping   = "stopping"
	reasonRouterBusy = "router_busy"
)

// Reasons after an attempt; others are failureNames and the placer's reasons.
const (
	reasonCallerGone = "caller_gone"
	reasonTimeLimit  = "time_limit"
	// reasonEndsTargets also stands before an attempt.
	reasonEndsTargets = "ends_targets"
)

// unknownRetry is when a caller may come back that this router cannot judge
// because its table is missing or old: another router may know more.
const unknownRetry = 200 * time.Millisecond

// stoppingRetry is when a caller may come back that reached a router about to
// stop; the balancer sends it to another one at once.
const stoppingRetry = 20 * time.Millisecond

// routerBusyRetry is when a caller may come back whose stream was refused because
// this router is behind. Its next try reaches this router too, as long as the balancer
// takes it for ready; by then the rate allows some more.
const routerBusyRetry = 50 * time.Millisecond

// firstEventMargin is the time that a planned stop allows for the first event
// of a stream.
const firstEventMargin = time.Second

// endsInTime reports whether a request that begins now is expected to end
// before a planned stop has to cut it. Callers still come while the balancer
// has not noticed, and when most routers of a data centre stop at once.
func (s *Server) endsInTime(f *flight) bool {
	stopped := s.stopped.Load()
	if stopped == nil || f.received.Sub(*stopped) < s.options.Limits.StopDelay {
		return true
	}
	left := s.options.Limits.StopTimeout - f.received.Sub(*stopped)
	if f.route.Kind != route.Stream {
		return f.limit() < left
	}
	bound, known := s.pace.bound(&f.call)
	return known && bound+firstEventMargin < left || f.limit() < left
}

// limit is the longest time that the request may take.
func (f *flight) limit() time.Duration {
	if f.call.Deadline > 0 {
		return min(f.call.Deadline, f.route.Timeout)
	}
	return f.route.Timeout
}

// admit finds out what a request is. The refusal is nil if it may be served.
func (s *Server) admit(ctx *fasthttp.RequestCtx) (*flight, *refusal) {
	f := &flight{server: s, received: s.options.Clock.Now(), conn: ctx.Conn(), header: &ctx.Request.Header}
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
	f.route = view.Table.Match(string(ctx.Host()), string(ctx.Request.Header.RequestURI()))
	if f.route == nil {
		return f, unknown(view, fasthttp.StatusNotFound, reasonNoRoute)
	}
	f.regions = f.route.Regions
	if !s.endsInTime(f) {
		return f, &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonStopping, retryAfter: stoppingRetry}
	}
	if len(view.Table.Customers) > 0 {
		f.hideKey = true
		if r := f.identify(view); r != nil {
			return f, r
		}
	}
	f.plan(view.Table)
	if f.engine && !s.throttle.takes(f.customer, f.received) {
		s.options.Metrics.Inc(metric.RequestsShed)
		return f, &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonRouterBusy, retryAfter: routerBusyRetry}
	}
	f.starting = f.engine
	return f, nil
}

// unknown refuses a route or key that the table lacks. An old table does not prove
// that something does not exist.
func unknown(view View, status int, reason string) *refusal {
	if !view.Fresh {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonStaleTable, retryAfter: unknownRetry}
	}
	return &refusal{status: status, reason: reason}
}

// identify finds the customer. A public route needs none and names none to the
// target, also if the key is known.
func (f *flight) identify(view View) *refusal {
	customer := view.Table.Customer(f.call.Key)
	if customer == nil {
		if f.route.Public {
			return nil
		}
		return unknown(view, fasthttp.StatusUnauthorized, reasonWrongKey)
	}
	if !f.route.Public {
		f.customer = customer.Name
		f.regions = route.AllowedRegions(f.route, customer)
	}
	return nil
}

// freeUnsent is the number of targets that a request may fail to reach beyond
// the attempts of its route: no work was given to them.
const freeUnsent = 2

// plan sets the limits of the request.
func (f *flight) plan(table *route.Table) {
	f.deadline = f.received.Add(f.limit())
	f.service = f.route.Pick(rand.IntN)
	f.engine = table.Service(f.service).Engine != nil
	f.chooseVersions(rand.Float64())
	f.life = request.New(request.Options{
		ID: f.call.ID, Repeatable: f.route.Retryable(), Deadline: f.deadline, MaxAttempts: f.route.MaxAttempts,
		FreeUnsent: freeUnsent,
	})
	f.server.options.Retries.Deposit()
}
