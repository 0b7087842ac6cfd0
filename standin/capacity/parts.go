package capacity

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/dispatch"
	"zinccove.example/zinccove/exchange"
	"zinccove.example/zinccove/fair"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/member"
	"zinccove.example/zinccove/peer"
)

// Sizes of the parts.
var (
	routerSizes   = []int{9, 82, 300}
	customerSizes = []int{16, 58, 580}
	targetSizes   = []int{12, 550, 5500}
	entrySizes    = []int{0, 16, 58, 90}
)

// measureParts measures each part over its sizes.
func measureParts() []slope {
	return []slope{
		over("balance a pool", "us", "router, each with 10 customers of 58", routerSizes, func(n int) float64 { return balanceTime(n, 58, 550) }),
		over("balance a pool", "us", "backlogged customer, 82 routers with 10 each", customerSizes, func(n int) float64 { return balanceTime(82, n, 550) }),
		over("balance a pool", "us", "target of the pool, 82 routers", targetSizes, func(n int) float64 { return balanceTime(82, 58, n) }),
		over("heartbeat", "bytes", "counter reported", entrySizes, heartbeatSize),
		over("receive a heartbeat", "us", "counter reported", entrySizes, receiveTime),
		over("memory of the control state", "KB", "router, each with 10 customers", routerSizes, func(n int) float64 { return controlMemory(n, 10) }),
		over("configuration", "KB", "target", targetSizes, func(n int) float64 { return configSize(n) }),
		over("adopt a configuration", "ms", "target", targetSizes, func(n int) float64 { return adoptTime(n) }),
		over("memory of a dispatcher", "KB", "target", targetSizes, dispatcherMemory),
	}
}

func over(name, unit, per string, sizes []int, measure func(int) float64) slope {
	s := slope{Name: name, Unit: unit, Per: per}
	for _, n := range sizes {
		s.Data = append(s.Data, point{n, measure(n)})
	}
	return s
}

// microseconds runs op as a benchmark.
func microseconds(op func()) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			op()
		}
	})
	return float64(r.T) / float64(r.N) / float64(time.Microsecond)
}

// poolConfig is a configuration with one model.
func poolConfig(customers, targets int) *config.Config {
	changes := []config.Change{config.Put(config.Model{Name: "m", ModelVersion: "v1"})}
	for i := range customers {
		changes = append(changes, config.Put(config.Customer{Name: fmt.Sprintf("c%d", i), Weight: uint32(i%5 + 1),
			KeyDigests: []string{config.Digest([]byte(fmt.Sprint("key", i)))}}))
	}
	for i := range targets {
		changes = append(changes, config.Put(config.Target{Name: fmt.Sprintf("t%d", i), Serves: "m", ModelVersion: "v1", Slots: 8,
			DataCentre: fmt.Sprintf("dc%d", i%10), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 80)}))
	}
	cfg, err := new(config.Config).Apply(changes)
	if err != nil {
		panic(err) // the made-up configuration is valid
	}
	return cfg
}

func newDispatcher(cfg *config.Config) *dispatch.Dispatcher {
	d := dispatch.New(dispatch.Options{Clock: clockwork.NewRealClock(), Host: "r0", DataCentre: "dc0",
		Queue: fair.Limits{PerCustomer: 1000}, DebtRequests: 4, CatchUpLag: 2000, Overcommit: 2})
	d.Configure(cfg)
	return d
}

// perRouter is the number of customers that have work at one router.
const perRouter = 10

// balanceTime is the time to compute the windows of one pool anew.
func balanceTime(routers, customers, targets int) float64 {
	cfg := poolConfig(customers, targets)
	d := newDispatcher(cfg)
	v := dispatch.View{Demands: make(map[uint32][]exchange.Demand), Routers: routers, DataCentres: make(map[string]string)}
	pool := cfg.Models[0].Number
	for r := range routers {
		host := fmt.Sprintf("r%d", r)
		v.DataCentres[host] = fmt.Sprintf("dc%d", r%10)
		for k := range perRouter {
			c := cfg.Customers[(r*perRouter+k)%customers]
			v.Demands[pool] = append(v.Demands[pool], exchange.Demand{Host: host, Customer: fair.Customer(c.Number), Queued: 5, Running: 4})
		}
	}
	return microseconds(func() { d.Balance(v) })
}

// heartbeat is one that reports so many counters.
func heartbeat(entries int, sequence uint64) *zinccovev1.Heartbeat {
	hb := &zinccovev1.Heartbeat{Incarnation: 1 << 60, Sequence: sequence, ConfigVersion: 1000,
		Host: &zinccovev1.HostInfo{Name: "r1", DataCentre: "dc1", Control: "127.0.0.1:1", Peer: "127.0.0.1:2", StartedUnixMs: 1}}
	r := &zinccovev1.PoolReport{Pool: 600}
	for i := range entries {
		r.Customers = append(r.Customers, uint32(100+i))
		r.Served = append(r.Served, sequence*1000+uint64(i)*1e6)
		r.Queued = append(r.Queued, uint32(i%100))
		r.Running = append(r.Running, uint32(i%10))
	}
	if entries > 0 {
		hb.Pools = append(hb.Pools, r)
	}
	return hb
}

var key = []byte("a-key-of-the-fleet")

func heartbeatSize(entries int) float64 {
	b, err := peer.Seal(key, heartbeat(entries, 1))
	if err != nil {
		panic(err) // the sizes fit a datagram
	}
	return float64(len(b) + peer.HeaderSize)
}

// receiveTime is the time from a datagram to the charged service.
func receiveTime(entries int) float64 {
	cfg := poolConfig(100, 12)
	d := newDispatcher(cfg)
	members := member.New(member.Options{Self: "r0", Clock: clockwork.NewRealClock(), Timeout: time.Minute})
	book := exchange.New(exchange.Options{Repeats: 2, Rotate: 4, MaxEntries: 90})
	book.ResetHost("r1", false)
	sequence := uint64(0)
	return microseconds(func() {
		sequence++
		b, err := peer.Seal(key, heartbeat(entries, sequence))
		if err != nil {
			panic(err)
		}
		hb, err := peer.Open(key, b)
		if err != nil {
			panic(err)
		}
		members.RecordHeartbeat(hb)
		d.Observe(book.ApplyReports("r1", hb.Pools))
	})
}

// heapKB is the growth of the heap by what build returns.
func heapKB(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / 1024
}

// controlMemory is that of membership and counters.
func controlMemory(routers, customers int) float64 {
	return heapKB(func() any {
		members := member.New(member.Options{Self: "self", Clock: clockwork.NewRealClock(), Timeout: time.Minute})
		book := exchange.New(exchange.Options{Repeats: 2, Rotate: 4, MaxEntries: 90})
		for r := range routers {
			hb := heartbeat(customers, 1)
			hb.Incarnation, hb.Host.Name = uint64(r+1), fmt.Sprintf("r%d", r)
			members.RecordHeartbeat(hb)
			book.ResetHost(hb.Host.Name, false)
			book.ApplyReports(hb.Host.Name, hb.Pools)
		}
		return []any{members, book}
	})
}

func configSize(targets int) float64 {
	body, _ := poolConfig(580, targets).Encode()
	return float64(len(body)) / 1024
}

func adoptTime(targets int) float64 {
	cfg := poolConfig(580, targets)
	body, digest := cfg.Encode()
	d := newDispatcher(cfg)
	return microseconds(func() {
		next, err := config.Decode(body, digest)
		if err != nil {
			panic(err)
		}
		d.Configure(next)
	}) / 1000
}

func dispatcherMemory(targets int) float64 {
	cfg := poolConfig(580, targets)
	return heapKB(func() any { return newDispatcher(cfg) })
}
