package gateway

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/contact"
	"zinccove.example/zinccove/member"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/revision"
)

// entryOf is the entry of a target as targets write it.
func entryOf(i int, count uint64) platform.Change {
	value := fmt.Appendf(nil, `{"service":"model","address":"10.%d.%d.%d:8080","zone":"dc-%d","version":"v1","slots":16,"state":"ready",`+
		`"coldLeftMs":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"seq":4,"born":1764748800%03d}`, 128+i>>16, i>>8&255, i&255, i%5, i%1000)
	return platform.Change{Key: fmt.Sprintf("i-%08x", i*2654435761&0xffffffff), Value: value, Revision: revision.Revision{Count: count}}
}

// tableOf is a whole table of targets.
func tableOf(n int) platform.Batch {
	b := platform.Batch{Revision: revision.Revision{Count: uint64(n)}}
	for i := range n {
		b.Changes = append(b.Changes, entryOf(i, uint64(i+1)))
	}
	return b
}

// heapBytes is what lives in the heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// newLargeControl returns the control loop of a router of a large fleet that knows so many
// targets.
func newLargeControl(t testing.TB, targets int) *loop {
	t.Helper()
	l := newControl(t)
	b := tableOf(targets)
	l.gateway.logs["servers"].Reset(b.Revision, rowsOf(b)...)
	l.takeTargets(b, true)
	return l
}

// BenchmarkMemoryOfTargets tells the bytes that a router keeps for each target.
func BenchmarkMemoryOfTargets(b *testing.B) {
	for _, n := range []int{1000, 10000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			l := newLargeControl(b, n)
			for b.Loop() {
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/target")
			runtime.KeepAlive(l)
		})
	}
}

// TestOneChangeCostsTheSameAtAnySize has one target of many change its entry, leave and
// come: what is allocated for it does not grow with the targets.
func TestOneChangeCostsTheSameAtAnySize(t *testing.T) {
	var least float64
	for i, n := range []int{1000, 10_000, 20_000} {
		l := newLargeControl(t, n)
		l.findOwners()
		version := uint64(n)
		allocs := testing.AllocsPerRun(20, func() {
			version++
			l.takeTargets(platform.Batch{Revision: revision.Revision{Count: version}, Changes: []platform.Change{entryOf(int(version)%n, version)}}, false)
		})
		if i == 0 {
			least = allocs
		}
		assert.Assert(t, allocs <= least+8, "%v allocations at %d targets, %v at the fewest", allocs, n, least)
	}
}

// BenchmarkChangeOfTarget takes one changed entry.
func BenchmarkChangeOfTarget(b *testing.B) {
	for _, n := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLargeControl(b, n)
			hearAll(l, 1)
			l.findOwners()
			version := uint64(n)
			for b.Loop() {
				version++
				l.takeTargets(platform.Batch{Revision: revision.Revision{Count: version}, Changes: []platform.Change{entryOf(int(version)%n, version)}}, false)
			}
		})
	}
}

// BenchmarkMemoryOfRouters tells the bytes that a router keeps for each other one.
func BenchmarkMemoryOfRouters(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			l := newControl(b)
			for i := range n {
				l.contact.Members.Upsert(member.Address{
					Name: fmt.Sprintf("front-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%5), Peer: netip.MustParseAddrPort("127.0.0.1:9"),
				})
			}
			l.findLeaders(l.gateway.clock.Now())
			l.findOwners()
			l.publish(l.gateway.clock.Now())
			for b.Loop() {
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/router")
			runtime.KeepAlive(l)
		})
	}
}

// BenchmarkRoutersChange finds out anew what this router does and who answers for targets, as
// after one router of its data centre came or went.
func BenchmarkRoutersChange(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLargeControl(b, 10*n)
			for i := range n - 1 {
				l.hear(contact.Received{Heartbeat: heartbeatOf(i, 1), Size: 900})
			}
			gone := l.host("front-1")
			for b.Loop() {
				gone.Reachable = !gone.Reachable
				l.findLeaders(l.gateway.clock.Now())
				l.findOwners()
			}
		})
	}
}
