package routesite

import (
	"bufio"
	"net"
	"net/netip"
	"time"
)

// Kept are connections that a caller keeps for its next requests, one for each router. One goroutine
// uses it; nil keeps none.
type Kept struct{ conns map[netip.AddrPort]*keptConn }

// keptConn is a connection with the bytes that were read from it.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

// Close closes the connection, if there is one.
func (c *keptConn) Close() error {
	if c.Conn == nil {
		return nil
	}
	return c.Conn.Close()
}

// take returns the connection that is kept to a router, or a new one.
func (k *Kept) take(to netip.AddrPort) (*keptConn, error) {
	if k != nil && k.conns[to] != nil {
		c := k.conns[to]
		delete(k.conns, to)
		return c, nil
	}
	c, err := net.DialTimeout("tcp", to.String(), time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// keep keeps a connection on which no response is awaited.
func (k *Kept) keep(to netip.AddrPort, c *keptConn) {
	if k.conns == nil {
		k.conns = make(map[netip.AddrPort]*keptConn)
	}
	k.conns[to] = c
}

// Close closes the connections.
func (k *Kept) Close() {
	for _, c := range k.conns {
		c.Close() //nolint:errcheck // no response is awaited
	}
}
