// Package peer carries heartbeats between routers as authenticated datagrams.
//
// A datagram is a 16-byte HMAC-SHA256 tag, keyed with the fleet key, followed by an
// encoded Heartbeat. Datagrams with a wrong tag are counted and dropped.
// Loss, reordering and duplication are handled by the receiver, by means of the
// sequence numbers. Datagrams are not encrypted: they have numbers of customers and
// counters, but no keys and no content of requests.
//
// # Usage
//
//	t, err := peer.Listen(peer.Options{
//		Address: addr,
//		Key:     key,
//		Receive: func(hb *zinccovev1.Heartbeat, from netip.AddrPort, size int) { loop.Post(hb) },
//	})
//	defer t.Close()
//	size, sent, err := t.Send(hb, to...)
package peer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/panjf2000/gnet/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"zinccove.example/zinccove/errs"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

const (
	tagSize = 16
	// HeaderSize is the IPv4 and UDP header of a datagram in bytes; it counts
	// against the control budget.
	HeaderSize = 28
	// MaxSize is the largest datagram sent, in bytes; common networks carry it
	// without fragmentation.
	MaxSize = 1400
	// MaxBody is the largest encoded heartbeat, in bytes.
	MaxBody = MaxSize - tagSize
)

// ErrTooLarge means that a heartbeat does not fit a datagram.
var ErrTooLarge = eris.New("heartbeat exceeds a datagram")

// Options configure a transport. All fields but Reachable are required.
type Options struct {
	Address netip.AddrPort
	Clock   clockwork.Clock
	// Key authenticates messages in both directions.
	Key []byte
	// Receive is called on the event loop with each authentic heartbeat, the address of its
	// sender and its size on the wire in bytes. It must not block.
	Receive func(hb *zinccovev1.Heartbeat, from netip.AddrPort, size int)
	// Reachable reports whether heartbeats reach an address; nil means that all
	// addresses are reachable. Tests use it to simulate partitions.
	Reachable func(netip.AddrPort) bool
}

// Transport sends and receives heartbeats until Close.
type Transport struct {
	gnet.BuiltinEventEngine

	options        Options
	engine         gnet.Engine
	booted         chan struct{}
	socket         *net.UDPConn
	group          errgroup.Group
	forged         atomic.Uint64
	processingTime atomic.Int64
}

// stopTimeout bounds the wait for the event loop to stop; it has nothing to flush.
const stopTimeout = 5 * time.Second

// Listen opens the datagram socket. Port 0 selects a free port.
func Listen(o Options) (*Transport, error) {
	t := &Transport{options: o, booted: make(chan struct{})}
	address, err := withPort(o.Address)
	if err != nil {
		return nil, errs.Wrap(err, "select a port for peers", o.Address.String())
	}
	failed := make(chan error, 1)
	t.group.Go(func() error {
		err := gnet.Run(t, "udp://"+address.String(), gnet.WithNumEventLoop(1), gnet.WithLogger(discardLogger{}))
		failed <- err
		return err
	})
	select {
	case err := <-failed:
		return nil, errs.Wrap(err, "listen for peers", o.Address.String())
	case <-t.booted:
	}
	if err := t.openSocket(); err != nil {
		return nil, errs.Wrap(err, "open socket for peers", o.Address.String())
	}
	return t, nil
}

// withPort returns an address with a free port in place of port 0. The system would select one that
// another process listens at: gnet lets sockets share a port, and each then receives only some of the
// datagrams. The port is free for connections too, which routers accept at the port of their
// datagrams.
func withPort(address netip.AddrPort) (netip.AddrPort, error) {
	if address.Port() != 0 {
		return address, nil
	}
	var err error
	for range maxPortTries {
		var free netip.AddrPort
		if free, err = freePort(address); err == nil {
			return free, nil
		}
	}
	return netip.AddrPort{}, err
}

// maxPortTries bounds the ports that are tried: most are free for connections.
const maxPortTries = 20

// freePort returns an address with a port that is free for datagrams and connections.
func freePort(address netip.AddrPort) (netip.AddrPort, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer c.Close() //nolint:errcheck // nothing was sent
	free := c.LocalAddr().(*net.UDPAddr).AddrPort()
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(free))
	if err != nil {
		return netip.AddrPort{}, err
	}
	return free, l.Close()
}

// OnBoot is called by gnet when the socket is open.
func (t *Transport) OnBoot(e gnet.Engine) gnet.Action {
	t.engine = e
	close(t.booted)
	return gnet.None
}

// openSocket duplicates the listening socket, so that heartbeats are sent from the address
// that peers know for this router.
func (t *Transport) openSocket() error {
	fd, err := t.engine.Dup()
	if err != nil {
		return err
	}
	f := os.NewFile(uintptr(fd), "peer")
	conn, err := net.FilePacketConn(f)
	if err := f.Close(); err != nil {
		return err
	}
	if err != nil {
		return err
	}
	t.socket = conn.(*net.UDPConn)
	return nil
}

// OnTraffic is called by gnet with each datagram.
func (t *Transport) OnTraffic(c gnet.Conn) gnet.Action {
	started := t.options.Clock.Now()
	defer func() { t.processingTime.Add(int64(t.options.Clock.Since(started))) }()
	datagram, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	hb, err := Open(t.options.Key, datagram)
	if err != nil {
		t.forged.Add(1)
		return gnet.None
	}
	var from netip.AddrPort
	if a, ok := c.RemoteAddr().(*net.UDPAddr); ok {
		from = a.AddrPort()
	}
	t.options.Receive(hb, from, len(datagram)+HeaderSize)
	return gnet.None
}

// Address returns the address the transport listens on.
func (t *Transport) Address() netip.AddrPort {
	return t.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// ProcessingTime returns the total time spent processing received datagrams.
func (t *Transport) ProcessingTime() time.Duration { return time.Duration(t.processingTime.Load()) }

// Forged returns the number of datagrams that were not authentic.
func (t *Transport) Forged() uint64 { return t.forged.Load() }

// Send sends a heartbeat to some routers. It returns its size on the wire in bytes,
// headers included, the number of routers it was sent to, and the last error. It does
// not wait for the receivers. The datagram is encoded once for all of them.
func (t *Transport) Send(hb *zinccovev1.Heartbeat, to ...netip.AddrPort) (size, sent int, err error) {
	datagram, err := Seal(t.options.Key, hb)
	if err != nil {
		return 0, 0, errs.Wrap(err, "encode heartbeat", "")
	}
	for _, addr := range to {
		if t.options.Reachable != nil && !t.options.Reachable(addr) {
			sent++ // simulated loss in the network
			continue
		}
		if _, werr := t.socket.WriteToUDPAddrPort(datagram, addr); werr != nil {
			err = errs.Wrap(werr, "send heartbeat", addr.String())
			continue
		}
		sent++
	}
	return len(datagram) + HeaderSize, sent, err
}

// Close stops receiving and waits for the event loop.
func (t *Transport) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var stop errgroup.Group
	stop.Go(func() error { return t.engine.Stop(ctx) })
	err := t.group.Wait()
	cancel() // Stop polls for the end that has come
	if serr := stop.Wait(); err == nil && !errs.Is(serr, context.Canceled) {
		err = serr
	}
	if cerr := t.socket.Close(); err == nil {
		err = cerr
	}
	return errs.Wrap(err, "stop listening for peers", "")
}

// Seal encodes a heartbeat as an authenticated datagram.
func Seal(key []byte, hb *zinccovev1.Heartbeat) ([]byte, error) {
	datagram := make([]byte, tagSize, MaxSize)
	datagram, err := proto.MarshalOptions{}.MarshalAppend(datagram, hb)
	if err != nil {
		return nil, err
	}
	if len(datagram) > MaxSize {
		return nil, ErrTooLarge
	}
	copy(datagram, tag(key, datagram[tagSize:]))
	return datagram, nil
}

// errForged means that a datagram was not made with the fleet key.
var errForged = eris.New("datagram is not authentic")

// Open verifies and decodes a datagram.
func Open(key, datagram []byte) (*zinccovev1.Heartbeat, error) {
	if len(datagram) < tagSize || len(datagram) > MaxSize {
		return nil, errForged
	}
	if !hmac.Equal(datagram[:tagSize], tag(key, datagram[tagSize:])) {
		return nil, errForged
	}
	hb := new(zinccovev1.Heartbeat)
	if err := proto.Unmarshal(datagram[tagSize:], hb); err != nil {
		return nil, err
	}
	return hb, nil
}

func tag(key, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return mac.Sum(nil)[:tagSize]
}

// discardLogger discards gnet's log messages; its errors are returned.
type discardLogger struct{}

// The methods implement gnet's logging.Logger.

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
