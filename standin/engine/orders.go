package engine

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/standin/fault"
	"zinccove.example/zinccove/order"
)

// orders is the state that orders change. It is guarded by the engine's lock.
type orders struct {
	version string
	// loading is the version being loaded until ready.
	loading string
	ready   time.Time
	fence   uint64
	taken   []order.Order
}

// state returns the state at a time, which may end a load.
func (o *orders) state(now time.Time) order.State {
	if o.loading != "" && !now.Before(o.ready) {
		o.version, o.loading = o.loading, ""
	}
	return order.State{ModelVersion: o.version, Loading: o.loading}
}

// serves reports whether the engine has a version loaded.
func (e *Engine) serves(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.orders.state(time.Now())
	return s.ModelVersion == "" || s.ModelVersion == version && s.Loading == ""
}

// order takes an order.
func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	if f, ok := e.Faults.Take("order"); ok && fault.Before(ctx, f) {
		return
	}
	var o order.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.orders.state(now)
	if e.options.CheckFence && o.Fence < e.orders.fence {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	e.orders.fence = max(e.orders.fence, o.Fence)
	e.orders.loading, e.orders.ready = o.ModelVersion, now.Add(e.options.LoadTime)
	e.orders.taken = append(e.orders.taken, o)
}
