package offload

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// echo responds with the request.
func echo(c *Conn) { io.Copy(c, io.LimitReader(c, 1<<20)) }

func TestManyStreamsAtOnce(t *testing.T) {
	s := newServer(t, echo)
	c := newClient(t, testKey)
	connected(t, c, s.Address())
	var group errgroup.Group
	for i := range 300 {
		group.Go(func() error {
			request := bytes.Repeat([]byte{byte(i)}, 1+i)
			stream, err := c.Open(s.Address(), time.Second, request)
			if err != nil {
				return err
			}
			defer stream.Close()
			response, err := io.ReadAll(stream)
			if err != nil || !bytes.Equal(response, request) {
				return fmt.Errorf("request %d: %d of %d bytes, %w", i, len(response), len(request), err)
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	for _, known := range c.sessions {
		assert.Equal(t, known.waiting.Load(), int64(0))
	}
}

func TestWrongKeyIsRefused(t *testing.T) {
	s := newServer(t, func(*Conn) { t.Error("served") })
	c := newClient(t, []byte("another key"))
	for range 20 {
		stream, err := c.Open(s.Address(), 0, []byte("r"))
		if err == nil { // the router that opened the connection has not noticed yet
			b, _ := io.ReadAll(stream)
			assert.Equal(t, len(b), 0)
			stream.Close()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestAgeArrives(t *testing.T) {
	ages := make(chan time.Duration, 10)
	s := newServer(t, func(c *Conn) { ages <- c.Age() })
	c := newClient(t, testKey)
	connected(t, c, s.Address())
	<-ages
	stream, err := c.Open(s.Address(), 1234*time.Microsecond, []byte("r"))
	assert.NilError(t, err)
	defer stream.Close()
	assert.Equal(t, <-ages, 1234*time.Microsecond)
}

func TestTooLargeRequestIsNotServed(t *testing.T) {
	s := newServer(t, func(c *Conn) {
		if len(c.request) > 0 {
			t.Error("served")
		}
	})
	c := newClient(t, testKey)
	connected(t, c, s.Address())
	s.options.MaxRequest = 10
	stream, err := c.Open(s.Address(), 0, make([]byte, 11))
	assert.NilError(t, err)
	b, _ := io.ReadAll(stream)
	assert.Equal(t, len(b), 0)
	stream.Close()
}

// A router that is gone, or that accepts connections and never replies, holds up nobody.
func TestOpeningNeverBlocks(t *testing.T) {
	for name, to := range map[string]struct{ peer func(net.Conn) }{
		"closes at once":    {func(c net.Conn) { c.Close() }},
		"never reads":       {func(net.Conn) {}},
		"only challenges":   {func(c net.Conn) { c.Write(make([]byte, challengeSize)) }},
		"sends other bytes": {func(c net.Conn) { c.Write(bytes.Repeat([]byte("x"), 1000)) }},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, testKey)
			assertQuick(t, c, silent(t, to.peer), 300)
		})
	}
}

// A router that stops to reply gets no more requests after a moment, and handing over to it
// and ending the requests it has takes no time.
func TestRouterThatStopsToReply(t *testing.T) {
	s := newServer(t, echo)
	stopped := newPassage(t, s.Address())
	c := newClient(t, testKey)
	connected(t, c, stopped.address)
	stopped.pause()
	began := time.Now()
	sent := 0
	for time.Since(began) < 1500*time.Millisecond {
		n := assertQuick(t, c, stopped.address, 1)
		sent += n
		if n > 0 && time.Since(began) > stuckAfter+100*time.Millisecond {
			t.Fatalf("request handed over %v after the router had stopped", time.Since(began))
		}
		time.Sleep(time.Millisecond)
	}
	t.Logf("%d requests were handed over before", sent)
	stopped.resume()
	connected(t, c, stopped.address)
}

// The connection of a router that is gone ends the streams with it.
func TestStreamsEndWithTheirConnection(t *testing.T) {
	var began sync.WaitGroup
	began.Add(1)
	var gone atomic.Bool
	s := newServer(t, func(c *Conn) {
		if len(c.request) == 0 {
			return
		}
		c.Write([]byte("begin"))
		began.Done()
		for !c.Gone() {
			time.Sleep(time.Millisecond)
		}
		gone.Store(true)
	})
	between := newPassage(t, s.Address())
	c := newClient(t, testKey)
	connected(t, c, between.address)
	stream, err := c.Open(between.address, 0, []byte("r"))
	assert.NilError(t, err)
	defer stream.Close()
	began.Wait()
	between.cut()
	b, _ := io.ReadAll(stream)
	assert.Assert(t, len(b) <= len("begin"))
	eventually(t, gone.Load)
}

// What is written to a stream that nobody reads any more fails, so that its run ends.
func TestWritesFailOnceTheCallerHasLeft(t *testing.T) {
	ended := make(chan time.Time, 1)
	s := newServer(t, func(c *Conn) {
		if len(c.request) == 0 {
			return
		}
		for {
			if _, err := c.Write([]byte("event")); err != nil {
				ended <- time.Now()
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	c := newClient(t, testKey)
	connected(t, c, s.Address())
	stream, err := c.Open(s.Address(), 0, []byte("r"))
	assert.NilError(t, err)
	_, err = stream.Read(make([]byte, 5))
	assert.NilError(t, err)
	closed := time.Now()
	assert.NilError(t, stream.Close())
	assert.Assert(t, (<-ended).Sub(closed) < 100*time.Millisecond)
}

// A response stays whole for longer than a session waits for anything, if its caller reads slowly.
func TestSlowReaderGetsAll(t *testing.T) {
	response := bytes.Repeat([]byte("event"), 20_000)
	s := newServer(t, func(c *Conn) { c.Write(response) })
	c := newClient(t, testKey)
	connected(t, c, s.Address())
	stream, err := c.Open(s.Address(), 0, []byte("r"))
	assert.NilError(t, err)
	defer stream.Close()
	_, err = io.ReadFull(stream, make([]byte, 5))
	assert.NilError(t, err)
	time.Sleep(sessionTimeout + 500*time.Millisecond)
	rest, err := io.ReadAll(stream)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), len(response)-5)
}

// The request of a connection has been received: deadlines for reading it do not make the caller
// seem gone.
func TestReadDeadlineDoesNotEndTheWatch(t *testing.T) {
	gone := make(chan bool, 1)
	s := newServer(t, func(c *Conn) {
		if len(c.request) == 0 {
			return
		}
		c.SetReadDeadline(time.Now())
		c.SetDeadline(time.Time{})
		time.Sleep(50 * time.Millisecond)
		gone <- c.Gone()
	})
	c := newClient(t, testKey)
	connected(t, c, s.Address())
	stream, err := c.Open(s.Address(), 0, []byte("r"))
	assert.NilError(t, err)
	defer stream.Close()
	assert.Equal(t, <-gone, false)
}

// Closing the connection of a caller that reads nothing takes no time, as the monitor of the relay
// does it, and ends the write that waits.
func TestCloseOfAnUnreadStreamDoesNotBlock(t *testing.T) {
	ended := make(chan error, 1)
	conns := make(chan *Conn, 1)
	s := newServer(t, func(c *Conn) {
		if len(c.request) == 0 {
			return
		}
		conns <- c
		_, err := c.Write(make([]byte, 4<<20))
		ended <- err
	})
	between := newPassage(t, s.Address())
	c := newClient(t, testKey)
	connected(t, c, between.address)
	stream, err := c.Open(between.address, 0, []byte("r"))
	assert.NilError(t, err)
	defer stream.Close()
	conn := <-conns
	between.pause()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	assert.NilError(t, conn.Close())
	assert.Assert(t, time.Since(began) < 50*time.Millisecond)
	assert.ErrorContains(t, <-ended, "")
	between.resume()
}

// A session whose streams are not accepted any more ends, so that the other router opens another.
func TestStuckServerEndsItsSession(t *testing.T) {
	s := newServer(t, func(c *Conn) { c.Write(make([]byte, 200<<10)) })
	between := newPassage(t, s.Address())
	c := newClient(t, testKey)
	connected(t, c, between.address)
	between.pauseReplies()
	for range 400 { // their responses fill the connection, so that the confirmations wait as well
		assertQuick(t, c, between.address, 1)
		time.Sleep(time.Millisecond)
	}
	time.Sleep(sessionTimeout + probeInterval)
	between.resume()
	eventually(t, func() bool {
		stream, err := c.Open(between.address, 0, []byte("r"))
		if err != nil {
			return false
		}
		defer stream.Close()
		stream.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err = stream.Read(make([]byte, 10))
		return err == nil
	})
}

func TestCloseWhileStreamsRun(t *testing.T) {
	s := newServer(t, func(c *Conn) {
		for !c.Gone() {
			time.Sleep(time.Millisecond)
		}
	})
	c := newClient(t, testKey)
	connected(t, c, s.Address())
	var streams []net.Conn
	for range 50 {
		stream, err := c.Open(s.Address(), 0, []byte("r"))
		assert.NilError(t, err)
		streams = append(streams, stream)
	}
	assert.NilError(t, closesSoon(t, s))
	for _, stream := range streams {
		_, err := stream.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
	}
	assert.NilError(t, closesSoon(t, c))
	_, err := c.Open(s.Address(), 0, nil)
	assert.ErrorIs(t, err, net.ErrClosed)
}

// The delay of one router that does not reply is not taken for that of this process.
func TestProbeCountsTheFirstReply(t *testing.T) {
	s := newServer(t, echo)
	stopped := newPassage(t, s.Address())
	c := newClient(t, testKey)
	connected(t, c, stopped.address)
	connected(t, c, s.Address())
	stopped.pause()
	for range 10 {
		c.Probe()
		time.Sleep(20 * time.Millisecond)
		assert.Assert(t, c.Delay() < 100*time.Millisecond, "%v", c.Delay())
	}
	stopped.resume()
}

func TestSweepClosesIdleConnections(t *testing.T) {
	s := newServer(t, echo)
	c := newClient(t, testKey)
	connected(t, c, s.Address())
	c.Sweep()
	assert.Equal(t, len(c.sessions), 1)
	c.sessions[s.Address()].lastUse.Store(time.Now().Add(-idleTimeout).UnixNano())
	eventually(t, func() bool { c.Sweep(); return len(c.sessions) == 0 })
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for range 500 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not in time")
}

// A connection with many streams ends at once on a host with one processor, and others run meanwhile.
// The streams of a session that closes itself use up the processor until it has ended.
func TestManyStreamsEndAtOnce(t *testing.T) {
	s := newServer(t, func(c *Conn) {
		for !c.Gone() {
			time.Sleep(10 * time.Millisecond)
		}
	})
	between := newPassage(t, s.Address())
	c := newClient(t, testKey)
	connected(t, c, between.address)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var group errgroup.Group
	var latest atomic.Int64
	for range 400 {
		var stream net.Conn
		eventually(t, func() bool {
			var err error
			stream, err = c.Open(between.address, 0, []byte("r"))
			return err == nil
		})
		group.Go(func() error {
			io.ReadAll(stream) // any end
			latest.Store(time.Now().UnixNano())
			return stream.Close()
		})
	}
	between.pause()
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	for _, known := range c.sessions {
		known.conn.abort()
	}
	assert.NilError(t, group.Wait())
	took := time.Unix(0, latest.Load()).Sub(began)
	t.Logf("%v", took)
	assert.Assert(t, took < 300*time.Millisecond, "%v", took)
}
