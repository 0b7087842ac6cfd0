package ingress

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/claim"
	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/confsync"
	"zinccove.example/zinccove/dispatch"
	"zinccove.example/zinccove/fair"
	"zinccove.example/zinccove/intent"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/platform/platformtest"
	"zinccove.example/zinccove/quarantine"
	"zinccove.example/zinccove/target"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// listenHTTP serves handler on a free loopback port until the test ends.
func listenHTTP(t testing.TB, handler fasthttp.RequestHandler) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", loopback.String())
	assert.NilError(t, err)
	var g errgroup.Group
	g.Go(func() error { return (&fasthttp.Server{Handler: handler}).Serve(ln) })
	t.Cleanup(func() {
		ln.Close()
		g.Wait() //nolint:errcheck // the listener was closed
	})
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// newServer returns the ingress of a router with one service target at address to.
func newServer(t testing.TB, to netip.AddrPort) *Server {
	t.Helper()
	clock := clockwork.NewRealClock()
	table := platformtest.New().Table()
	store := intent.New(intent.Options{Table: table, Clock: clock})
	ctx := context.Background()
	plan, err := store.Plan(ctx, "anna", []config.Change{
		config.Put(config.Customer{Name: "c", Weight: 1, KeyDigests: []string{config.Digest([]byte("key"))}}),
		config.Put(config.Service{Name: "s"}),
		config.Put(config.Target{Name: "t", Serves: "s", Address: to, DataCentre: "dc1", Slots: 256}),
	})
	assert.NilError(t, err)
	_, err = store.Confirm(ctx, "anna", plan.ID)
	assert.NilError(t, err)

	d := dispatch.New(dispatch.Options{Clock: clock, Host: "r", DataCentre: "dc1", Queue: fair.Limits{PerCustomer: 1000}, Overcommit: 2})
	syncer := confsync.New(confsync.Options{Store: store, Adopt: d.Configure})
	assert.NilError(t, syncer.Poll(ctx))
	d.Balance(dispatch.View{Routers: 1})
	metrics, err := metric.New()
	assert.NilError(t, err)
	clients := target.NewClients(nil)
	claims := claim.New(claim.Options{Table: table, Clock: clock})
	s, err := Listen(Options{
		Address: loopback, Clock: clock, Syncer: syncer, Dispatcher: d, Claims: claims, Clients: clients, Quarantine: quarantine.New(clock), Metrics: metrics, NewID: uuid.NewString,
		Limits: Limits{BodyBytes: 1 << 20, HeaderBytes: 16 << 10, Connections: 1000, RequestTimeout: time.Minute, WriteTimeout: time.Minute, StopTimeout: time.Second},
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		claims.Close()
		clients.Close()
		assert.NilError(t, metrics.Close())
	})
	return s
}

// echo responds immediately, as a target does.
func echo(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(target.HeaderAttempt, string(ctx.Request.Header.Peek(target.HeaderAttempt)))
	fmt.Fprint(ctx, "ok")
}

// benchmarkCalls calls an address over many connections in parallel.
func benchmarkCalls(b *testing.B, to netip.AddrPort, path string) {
	client := &fasthttp.HostClient{Addr: to.String(), MaxConns: 1000}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + to.String() + path)
		req.Header.Set("Authorization", "Bearer key")
		for pb.Next() {
			if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
				b.Error(err, resp.StatusCode(), string(resp.Body()))
				return
			}
		}
	})
}

// BenchmarkCall runs clients, router and target in one process; compare it
// with BenchmarkPassthrough.
func BenchmarkCall(b *testing.B) {
	s := newServer(b, listenHTTP(b, echo))
	benchmarkCalls(b, s.Address(), "/services/s/x")
}

func BenchmarkPassthrough(b *testing.B) {
	to := listenHTTP(b, echo)
	client := &fasthttp.HostClient{Addr: to.String(), MaxConns: 1000}
	proxy := listenHTTP(b, func(ctx *fasthttp.RequestCtx) {
		if err := client.Do(&ctx.Request, &ctx.Response); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadGateway)
		}
	})
	benchmarkCalls(b, proxy, "/x")
}
