package peer

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

var (
	testKey  = []byte("a-key-of-the-fleet")
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
)

func listen(t *testing.T, key []byte) (*Transport, chan *zinccovev1.Heartbeat) {
	t.Helper()
	got := make(chan *zinccovev1.Heartbeat, 16)
	tr, err := Listen(Options{Address: loopback, Clock: clockwork.NewRealClock(), Key: key, Receive: func(hb *zinccovev1.Heartbeat, _ netip.AddrPort, _ int) { got <- hb }})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, tr.Close()) })
	return tr, got
}

func TestHeartbeatArrives(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(), goleak.IgnoreAnyFunction("testing.(*T).Run"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/gnet/v2.(*engine).start.func1"))
	t.Run("pair", func(t *testing.T) {
		a, _ := listen(t, testKey)
		b, got := listen(t, testKey)
		size, sent, err := a.Send(&zinccovev1.Heartbeat{Incarnation: 3, Sequence: 7}, b.Address())
		assert.NilError(t, err)
		assert.Equal(t, sent, 1)
		hb := <-got
		assert.Equal(t, hb.Incarnation, uint64(3))
		assert.Equal(t, hb.Sequence, uint64(7))
		assert.Equal(t, size, HeaderSize+tagSize+proto.Size(hb))
	})
}

func TestForgedDatagramIsDropped(t *testing.T) {
	a, _ := listen(t, []byte("another-key-entirely"))
	b, got := listen(t, testKey)
	_, _, err := a.Send(&zinccovev1.Heartbeat{Incarnation: 3}, b.Address())
	assert.NilError(t, err)
	raw, err := net.Dial("udp", b.Address().String())
	assert.NilError(t, err)
	defer raw.Close()
	_, err = raw.Write([]byte("short"))
	assert.NilError(t, err)
	deadline := time.Now().Add(5 * time.Second)
	for b.Forged() < 2 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, b.Forged(), uint64(2))
	assert.Equal(t, len(got), 0)
}

func TestTooLargeIsAnError(t *testing.T) {
	hb := &zinccovev1.Heartbeat{Targets: make([]uint32, MaxSize)}
	_, err := Seal(testKey, hb)
	assert.ErrorIs(t, err, ErrTooLarge)
}

func FuzzOpen(f *testing.F) {
	good, err := Seal(testKey, &zinccovev1.Heartbeat{Incarnation: 3, Pools: []*zinccovev1.PoolReport{{Pool: 1, Customers: []uint32{2}, Served: []uint64{3}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		hb, err := Open(testKey, datagram)
		if (hb == nil) == (err == nil) {
			t.Fatalf("heartbeat %v and error %v", hb, err)
		}
	})
}

// TestPortOfAnotherTransportIsNotFree covers free ports, which the system would let two of them share.
func TestPortOfAnotherTransportIsNotFree(t *testing.T) {
	a, _ := listen(t, testKey)
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a.Address()))
	assert.Assert(t, err != nil, "%v", c)
	free, err := withPort(loopback)
	assert.NilError(t, err)
	assert.Assert(t, free.Port() != 0 && free.Port() != a.Address().Port())
}
