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

// entryOf returns the entry of a target in the format that targets write.
func entryOf(i int, count uint64) platform.Change {
	value := fmt.Appendf(nil, `{"service":"model","address":"10.%d.%d.%d:8080","zone":"dc-%d","version":"v1","slots":16,"state":"ready",`+
		`"coldLeftMs":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"seq":4,"born":1764748800%03d}`, 128+i>>16, i>>8&255, i&255, i%5, i%1000)
	return platform.Change{Key: fmt.Sprintf("i-%08x", i*2654435761&0xffffffff), Value: value, Revision: revision.Revision{Count: count}}
}

// tableOf returns a complete table of targets.
func tableOf(n int) platform.Batch {
	b := platform.Batch{Revision: revision.Revision{Count: uint64(n)}}
	for i := range n {
		b.Changes = append(b.Changes, entryOf(i, uint64(i+1)))
	}
	return b
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// newManyTargetsLoop returns the control loop of a router of a large fleet that knows the given
// number of targets.
func newManyTargetsLoop(t testing.TB, targets int) *loop {
	t.Helper()
	l := newLargeFleetLoop(t)
	b := tableOf(targets)
	l.gateway.logs["servers"].Reset(b.Revision, rowsOf(b)...)
	l.applyTargets(b, true)
	return l
}

// BenchmarkMemoryOfTargets reports the bytes that a router keeps for each target.
func BenchmarkMemoryOfTargets(b *testing.B) {
	for _, n := range []int{1000, 10000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			l := newManyTargetsLoop(b, n)
			for b.Loop() {
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/target")
			runtime.KeepAlive(l)
		})
	}
}

// TestChangeAllocationsDoNotGrowWithTargets changes the entry of one target at a time. The
// allocations for a change must not grow with the number of targets.
func TestChangeAllocationsDoNotGrowWithTargets(t *testing.T) {
	var baseline float64
	for i, n := range []int{1000, 10_000, 20_000} {
		l := newManyTargetsLoop(t, n)
		l.updateOwners()
		version := uint64(n)
		allocs := testing.AllocsPerRun(20, func() {
			version++
			l.applyTargets(platform.Batch{Revision: revision.Revision{Count: version}, Changes: []platform.Change{entryOf(int(version)%n, version)}}, false)
		})
		if i == 0 {
			baseline = allocs
		}
		assert.Assert(t, allocs <= baseline+8, "%v allocations at %d targets, %v at the smallest number", allocs, n, baseline)
	}
}

// BenchmarkChangeOfTarget applies one changed entry.
func BenchmarkChangeOfTarget(b *testing.B) {
	for _, n := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newManyTargetsLoop(b, n)
			receiveAll(l, 1)
			l.updateOwners()
			version := uint64(n)
			for b.Loop() {
				version++
				l.applyTargets(platform.Batch{Revision: revision.Revision{Count: version}, Changes: []platform.Change{entryOf(int(version)%n, version)}}, false)
			}
		})
	}
}

// BenchmarkMemoryOfRouters reports the bytes that a router keeps for each other router.
func BenchmarkMemoryOfRouters(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			l := newLargeFleetLoop(b)
			for i := range n {
				l.contact.Members.Upsert(member.Address{
					Name: fmt.Sprintf("front-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%5), Peer: netip.MustParseAddrPort("127.0.0.1:9"),
				})
			}
			l.updateRole(l.gateway.clock.Now())
			l.updateOwners()
			l.publish(l.gateway.clock.Now())
			for b.Loop() {
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/router")
			runtime.KeepAlive(l)
		})
	}
}

// BenchmarkRoutersChange recomputes the role of this router and the owners of targets, as after
// one router of its data centre started or failed.
func BenchmarkRoutersChange(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newManyTargetsLoop(b, 10*n)
			for i := range n - 1 {
				l.handleHeartbeat(contact.Received{Heartbeat: heartbeatOf(i, 1), Size: 900})
			}
			changing := l.host("front-1")
			for b.Loop() {
				changing.Reachable = !changing.Reachable
				l.updateRole(l.gateway.clock.Now())
				l.updateOwners()
			}
		})
	}
}
