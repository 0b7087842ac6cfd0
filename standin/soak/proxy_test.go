package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// TestProxyPassesNoBytesAfterLostOnes has a target write before, during and after a deaf time.
func TestProxyPassesNoBytesAfterLostOnes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	p, err := newProxy()
	assert.NilError(t, err)
	defer p.close()
	p.connect(l.Addr().(*net.TCPAddr).AddrPort())
	var g errgroup.Group
	g.Go(func() error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		defer c.Close()
		for i, w := range []way{pass, deaf, pass} {
			p.set(w)
			if _, err := c.Write([]byte{'a' + byte(i)}); err != nil {
				return err
			}
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	})
	c, err := net.Dial("tcp", p.address().String())
	assert.NilError(t, err)
	defer c.Close()
	got, err := io.ReadAll(c)
	assert.Equal(t, string(got), "a")
	assert.ErrorContains(t, err, "reset")
	assert.NilError(t, g.Wait())
}
