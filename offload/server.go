package offload

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protodelim"

	"zinccove.example/zinccove/accept"
	"zinccove.example/zinccove/errs"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

// ServerOptions configure a server. All are required.
type ServerOptions struct {
	Address netip.AddrPort
	// Key is that of the fleet.
	Key   []byte
	Clock clockwork.Clock
	Log   zerolog.Logger
	// MaxRequest is the size in bytes of the largest request.
	MaxRequest int
	// Serve serves the request of a connection and returns when its response was written.
	Serve func(*Conn)
}

// Server takes requests over until Close.
type Server struct {
	options  ServerOptions
	listener net.Listener
	group    errgroup.Group

	mu       sync.Mutex
	sessions map[*batchConn]bool
	closed   bool
}

// Listen opens the listener and starts to serve.
func Listen(o ServerOptions) (*Server, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: int(sessionTimeout / probeInterval)}}
	l, err := config.Listen(context.Background(), "tcp", o.Address.String())
	if err != nil {
		return nil, errs.Wrap(err, "listen for routers", o.Address.String())
	}
	s := &Server{options: o, sessions: make(map[*batchConn]bool)}
	s.listener = &accept.Listener{Listener: l, Clock: o.Clock, OnError: func(err error) {
		o.Log.Warn().Err(err).Msg("connections of other routers not accepted for now")
	}}
	s.group.Go(s.accept)
	return s, nil
}

// Address returns the address the server listens on.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

func (s *Server) accept() error {
	for {
		c, err := s.listener.Accept()
		if errs.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errs.Wrap(err, "accept routers", s.options.Address.String())
		}
		s.group.Go(func() error {
			if err := s.serveConn(c); err != nil {
				s.options.Log.Warn().Err(err).Msg("connection of another router refused")
			}
			return nil
		})
	}
}

// serveConn serves the streams of one connection.
func (s *Server) serveConn(c net.Conn) error {
	if err := verify(c, s.options.Key, deadline(s.options.Clock, handshakeTimeout)); err != nil {
		c.Close() //nolint:errcheck // the connection is of no use
		return err
	}
	conn := newBatchConn(c, s.options.Clock)
	mux, err := yamux.Server(conn, servingConfig())
	if err != nil {
		conn.Close() //nolint:errcheck // the connection is of no use
		return errs.Wrap(err, "open session", c.RemoteAddr().String())
	}
	s.group.Go(func() error { return keepAlive(conn, mux) })
	// A session that accepts no more streams would still reply to probes, and the other router would
	// wait for it for ever.
	defer conn.abort()
	if !s.add(conn) {
		return nil
	}
	defer s.remove(conn)
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return nil // the connection has ended, or it is stuck
		}
		s.group.Go(func() error {
			conn.add(stream)
			defer conn.remove(stream)
			s.serveStream(stream)
			return nil
		})
	}
}

func (s *Server) add(conn *batchConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.sessions[conn] = true
	}
	return !s.closed
}

func (s *Server) remove(conn *batchConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, conn)
}

// serveStream reads a request and serves it. Meanwhile a second goroutine reads the stream's end,
// as the other router sends nothing after the request until its caller has left.
func (s *Server) serveStream(stream *yamux.Stream) {
	defer stream.Close() //nolint:errcheck // the response was written
	c, err := s.readRequest(stream)
	if err != nil {
		s.options.Log.Warn().Err(err).Msg("request of another router not read")
		return
	}
	s.group.Go(func() error {
		c.watch()
		return nil
	})
	s.options.Serve(c)
}

// readTimeout bounds receiving a request, which is sent without pauses.
const readTimeout = 2 * time.Second

var errTooLarge = eris.New("request exceeds the limit")

func (s *Server) readRequest(stream *yamux.Stream) (*Conn, error) {
	peer := stream.RemoteAddr().String()
	if err := stream.SetReadDeadline(deadline(s.options.Clock, readTimeout)); err != nil {
		return nil, errs.Wrap(err, "read request", peer)
	}
	r := bufio.NewReaderSize(stream, 64)
	head := new(zinccovev1.OffloadHead)
	if err := protodelim.UnmarshalFrom(r, head); err != nil {
		return nil, errs.Wrap(err, "read head", peer)
	}
	if int64(head.Size) > int64(s.options.MaxRequest) {
		return nil, errs.Wrap(errTooLarge, "read head", peer)
	}
	request := make([]byte, head.Size)
	if _, err := io.ReadFull(r, request); err != nil {
		return nil, errs.Wrap(err, "read request", peer)
	}
	if err := stream.SetReadDeadline(time.Time{}); err != nil {
		return nil, errs.Wrap(err, "read request", peer)
	}
	return &Conn{Conn: stream, age: time.Duration(head.AgeUs) * time.Microsecond, request: request}, nil
}

// Close closes all connections and waits until no request is served any more. Requests that are
// still served are cut.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	s.closed = true
	sessions := s.sessions
	s.sessions = nil
	s.mu.Unlock()
	for conn := range sessions {
		conn.abort() // nothing is served any more
	}
	if gerr := s.group.Wait(); err == nil {
		err = gerr
	}
	return errs.Wrap(err, "stop serving routers", "")
}
