// Package control serves a router's control address: the intent API for
// operators, calls between routers, metrics and health.
//
// # Usage
//
//	s, err := control.Listen(control.Options{Address: addr, Store: store, ...})
//	defer s.Close()
//
// # Paths
//
// /zinccove.v1.IntentService/ and /zinccove.v1.PeerService/ are connect
// services; see the proto files. /metrics is in Prometheus format. /healthz
// returns 200 while the process runs. /readyz returns 200 while the load balancer may send
// callers to this router: a configuration is in force and the router is not stopping.
package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"zinccove.example/zinccove/confsync"
	"zinccove.example/zinccove/dispatch"
	"zinccove.example/zinccove/errs"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/gen/zinccove/v1/zinccovev1connect"
	"zinccove.example/zinccove/intent"
	"zinccove.example/zinccove/settings"
)

// Options configure a server. All but Store, Syncer and Levels are required.
type Options struct {
	Address   netip.AddrPort
	FleetKey  string
	Operators []settings.Operator
	// Store stores plans; nil if the configuration has another source. Without it the intent
	// API is not served.
	Store  *intent.Store
	Syncer *confsync.Syncer
	// Config returns the configuration that peers fetch from this router, or nil if none is in
	// force.
	Config func() *zinccovev1.FetchConfigResponse
	// Follow forwards a table of the store to another router until the call ends; nil if
	// this router follows no tables.
	Follow func(context.Context, *zinccovev1.FollowTableRequest, func(*zinccovev1.FollowTableResponse) error) error
	// Levels returns the service levels of all pools; nil if there are none.
	Levels func() []dispatch.PoolLevels
	// Status returns the status of all known routers.
	Status func() []*zinccovev1.RouterStatus
	// Confirmed is called after a plan was confirmed through this router.
	Confirmed func()
	// Ready reports whether the load balancer may send callers to this router.
	Ready func() bool
	// WrongKey counts a call with a wrong key.
	WrongKey func()
	Metrics  http.Handler
}

// Server serves the control address until Close.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	group    errgroup.Group
}

// Limits of the control address. maxMessage is in bytes.
const (
	maxMessage    = 4 << 20
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	stopTimeout   = 5 * time.Second
)

// Listen starts serving. Port 0 selects a free port.
func Listen(o Options) (*Server, error) {
	l, err := net.Listen("tcp", o.Address.String())
	if err != nil {
		return nil, errs.Wrap(err, "listen for control", o.Address.String())
	}
	s := &Server{options: o, listener: l}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	s.group.Go(func() error { return s.http.Serve(l) })
	return s, nil
}

// Address returns the address the server listens on.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the server. It waits up to stopTimeout for running calls.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if serr := s.group.Wait(); !errors.Is(serr, http.ErrServerClosed) {
		err = errors.Join(err, serr)
	}
	return errs.Wrap(err, "stop control server", "")
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	limit := connect.WithReadMaxBytes(maxMessage)
	operators := connect.WithInterceptors(connect.UnaryInterceptorFunc(s.authenticateOperator))
	routers := connect.WithInterceptors(fleetKeyInterceptor{want: []byte(credential("", s.options.FleetKey)), wrongKey: s.options.WrongKey})
	if s.options.Store != nil {
		mux.Handle(zinccovev1connect.NewIntentServiceHandler(&intentHandler{s}, limit, operators))
	}
	mux.Handle(zinccovev1connect.NewPeerServiceHandler(&peerHandler{s}, limit, routers))
	mux.Handle("/metrics", s.options.Metrics)
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", s.ready)
	return mux
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.options.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// peerHandler serves the PeerService to other routers.
type peerHandler struct{ server *Server }

// FetchConfig implements the PeerService.
func (h *peerHandler) FetchConfig(context.Context, *zinccovev1.FetchConfigRequest) (*zinccovev1.FetchConfigResponse, error) {
	config := h.server.options.Config()
	if config == nil {
		return nil, connect.NewError(connect.CodeNotFound, errNoConfig)
	}
	return config, nil
}

// FollowTable implements the PeerService.
func (h *peerHandler) FollowTable(ctx context.Context, req *zinccovev1.FollowTableRequest, out *connect.ServerStream[zinccovev1.FollowTableResponse]) error {
	if h.server.options.Follow == nil {
		return connect.NewError(connect.CodeUnimplemented, errNoTables)
	}
	return h.server.options.Follow(ctx, req, out.Send)
}

// FetchService implements the PeerService.
func (h *peerHandler) FetchService(context.Context, *zinccovev1.FetchServiceRequest) (*zinccovev1.FetchServiceResponse, error) {
	resp := new(zinccovev1.FetchServiceResponse)
	if h.server.options.Levels == nil {
		return resp, nil
	}
	for _, p := range h.server.options.Levels() {
		pool := &zinccovev1.PoolService{Pool: p.Pool}
		for _, l := range p.Levels {
			pool.Customers = append(pool.Customers, uint32(l.Customer))
			pool.Levels = append(pool.Levels, l.Level)
		}
		resp.Pools = append(resp.Pools, pool)
	}
	return resp, nil
}
