// Package order brings the targets that take orders into the state that the configuration
// declares: the version of the model to be loaded.
//
// One router of a data centre at a time sends orders, the holder of a lease. Orders set a state,
// so sending one twice is harmless. Each carries the lease's fencing number; targets that check it
// refuse orders of earlier holders. For targets that do not check, the holder reads their state
// periodically and repeats the order until the state is as declared. A late order of an earlier
// holder can then revert such a target for at most one period plus the time to load.
//
// # Usage
//
//	r := order.New(order.Options{Lease: lease, Clock: clock, Dial: nil})
//	result := r.Reconcile(targets)   // periodically
//
// # Protocol of targets
//
// GET /v1/state returns {"model_version": V, "loading": V}. POST /v1/orders with
// {"fence": N, "model_version": V} orders a version; 409 means that the number is old.
package order

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/bootclock"
	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/httpc"
	"zinccove.example/zinccove/lease"
)

// State is the state that a target reports.
type State struct {
	ModelVersion string `json:"model_version"`
	// Loading is the version being loaded, empty if none is.
	Loading string `json:"loading,omitempty"`
}

// Order asks a target to load a version.
type Order struct {
	// Fence is the lease's fencing number.
	Fence        uint64 `json:"fence"`
	ModelVersion string `json:"model_version"`
}

// ErrFenced means that a target refused an order because it has received orders of a later holder.
var ErrFenced = eris.New("order has an old fencing number")

// Timeout is the longest time that an order is in flight.
const Timeout = time.Second

// Options configure a reconciler.
type Options struct {
	Lease *lease.Lease
	Clock clockwork.Clock
	// Dial is passed to package httpc; nil is plain TCP.
	Dial httpc.Dial
}

// Reconciler gives orders. It is not safe for concurrent use.
type Reconciler struct {
	lease *lease.Lease
	clock clockwork.Clock
	// state and send are replaced by tests.
	state func(addr netip.AddrPort) (State, error)
	send  func(addr netip.AddrPort, o Order) error
}

// New returns a reconciler.
func New(o Options) *Reconciler {
	c := &client{clock: o.Clock, dial: o.Dial}
	return &Reconciler{lease: o.Lease, clock: o.Clock, state: c.state, send: c.send}
}

// Result counts the effects of one call of Reconcile.
type Result struct {
	// Sent is the number of orders sent, Fenced of those refused for an old number, Failed of
	// targets that could not be read or ordered.
	Sent, Fenced, Failed int
}

// Reconcile reads the state of each target that takes orders and orders those whose state is not
// as declared. The lease is checked immediately before each order; without it nothing is done.
func (r *Reconciler) Reconcile(targets []config.Target) Result {
	var res Result
	for i := range targets {
		t := &targets[i]
		if !t.TakesOrders {
			continue
		}
		if _, held := r.lease.Held(); !held {
			return res
		}
		r.reconcileTarget(t, &res)
	}
	return res
}

func (r *Reconciler) reconcileTarget(t *config.Target, res *Result) {
	s, err := r.state(t.Address)
	if err != nil {
		res.Failed++
		return
	}
	if s.ModelVersion == t.ModelVersion && s.Loading == "" || s.Loading == t.ModelVersion {
		return
	}
	fence, held := r.lease.Held()
	if !held {
		return
	}
	err = r.send(t.Address, Order{Fence: fence, ModelVersion: t.ModelVersion})
	switch {
	case eris.Is(err, ErrFenced):
		res.Fenced++
	case err != nil:
		res.Failed++
	default:
		res.Sent++
	}
}

// client sends requests to targets.
type client struct {
	clock clockwork.Clock
	dial  httpc.Dial
}

// maxState limits the size of a target's response in bytes.
const maxState = 64 << 10

func (c *client) do(addr netip.AddrPort, method, path string, body []byte) (int, []byte, error) {
	hc := httpc.New(addr, httpc.Limits{Conns: 1, Body: maxState, Idle: Timeout, Dial: c.dial})
	defer hc.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr.String() + path)
	req.Header.SetMethod(method)
	req.SetBodyRaw(body)
	err := hc.DoDeadline(req, resp, bootclock.ToMonotonic(c.clock, c.clock.Now().Add(Timeout)))
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), err
}

func (c *client) state(addr netip.AddrPort) (State, error) {
	var s State
	status, body, err := c.do(addr, fasthttp.MethodGet, "/v1/state", nil)
	if err == nil && status != fasthttp.StatusOK {
		err = eris.Errorf("status %d", status)
	}
	if err == nil {
		err = json.Unmarshal(body, &s)
	}
	return s, errs.Wrap(err, "read target state", addr.String())
}

func (c *client) send(addr netip.AddrPort, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errs.Wrap(err, "encode order", "")
	}
	status, _, err := c.do(addr, fasthttp.MethodPost, "/v1/orders", body)
	switch {
	case err != nil:
	case status == fasthttp.StatusConflict:
		err = ErrFenced
	case status != fasthttp.StatusOK:
		err = eris.Errorf("status %d", status)
	}
	return errs.Wrap(err, "send order", addr.String())
}
