package main

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// proxy passes connections on, until they are cut or go silent: then it takes all that is sent and passes
// nothing on.
type proxy struct {
	addr string
	// cut has all connections silent, muted those that were opened before it grew.
	cut   atomic.Bool
	muted atomic.Int64
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c, to)
		}
	}()
	return p, nil
}

func (p *proxy) pass(c net.Conn, to string) {
	defer c.Close() //nolint:errcheck // it may be closed
	t, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return
	}
	defer t.Close() //nolint:errcheck // it may be closed
	opened := p.muted.Load()
	go p.copy(t, c, opened)
	p.copy(c, t, opened)
}

// copy passes bytes on. Bytes that were sent while the connection was silent are lost.
func (p *proxy) copy(to, from net.Conn, opened int64) {
	buf := make([]byte, 64<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		lost = lost || p.cut.Load() || p.muted.Load() > opened
		if lost && err == io.EOF {
			return
		}
		if !lost {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	to.Close()   //nolint:errcheck // it may be closed
	from.Close() //nolint:errcheck // it may be closed
}
