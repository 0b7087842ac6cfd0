package exchange

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"zinccove.example/zinccove/fair"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

var testOptions = Options{Repeats: 3, Rotate: 2, MaxEntries: 20}

func total(obs []Observation) uint64 {
	var sum uint64
	for _, o := range obs {
		sum += o.Cost
	}
	return sum
}

func TestApplyReportsObservesEachServiceOnce(t *testing.T) {
	a, b := New(testOptions), New(testOptions)
	b.ResetHost("a", false)
	k := Key{Pool: 1, Customer: 2}
	a.SetLocal(k, Counters{Served: 10, Queued: 1})
	first := a.Report()
	assert.Equal(t, total(b.ApplyReports("a", first)), uint64(10))
	assert.Equal(t, total(b.ApplyReports("a", first)), uint64(0))
	a.SetLocal(k, Counters{Served: 25, Running: 1})
	assert.Equal(t, total(b.ApplyReports("a", a.Report())), uint64(15))
	assert.DeepEqual(t, b.Demands("self")[1], []Demand{{Host: "a", Customer: 2, Running: 1}})
}

func TestLateRunIsObservedFromItsFirstReportOn(t *testing.T) {
	a, b := New(testOptions), New(testOptions)
	b.ResetHost("a", true)
	k := Key{Pool: 1, Customer: 2}
	a.SetLocal(k, Counters{Served: 1000})
	assert.Equal(t, total(b.ApplyReports("a", a.Report())), uint64(0))
	a.SetLocal(k, Counters{Served: 1007})
	assert.Equal(t, total(b.ApplyReports("a", a.Report())), uint64(7))
}

func TestClearDemandKeepsService(t *testing.T) {
	a, b := New(testOptions), New(testOptions)
	b.ResetHost("a", false)
	a.SetLocal(Key{Pool: 1, Customer: 2}, Counters{Served: 10, Queued: 5})
	report := a.Report()
	b.ApplyReports("a", report)
	b.ClearDemand("a")
	assert.Equal(t, len(b.Demands("self")), 0)
	assert.Equal(t, total(b.ApplyReports("a", report)), uint64(0))
	assert.Equal(t, len(b.Demands("self")), 1)
}

func TestMalformedReportIsIgnored(t *testing.T) {
	b := New(testOptions)
	b.ResetHost("a", false)
	bad := []*zinccovev1.PoolReport{{Pool: 1, Customers: []uint32{1, 2}, Served: []uint64{1}}}
	assert.Equal(t, len(b.ApplyReports("a", bad)), 0)
	assert.Equal(t, len(b.ApplyReports("unknown", bad)), 0)
}

// TestReportsConverge loses, repeats and reorders reports at random and checks
// that the last observed total is the one that was served.
func TestReportsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const customers = 12
		a, b := New(testOptions), New(testOptions)
		b.ResetHost("a", false)
		var served [customers]uint64
		var observed [customers]uint64
		absorb := func(r []*zinccovev1.PoolReport) {
			for _, o := range b.ApplyReports("a", r) {
				observed[o.Key.Customer] += o.Cost
			}
		}
		send := func() {
			for c := range customers {
				a.SetLocal(Key{Pool: 1, Customer: fair.Customer(c)}, Counters{Served: served[c]})
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "beats") {
			c := rapid.IntRange(0, customers-1).Draw(t, "customer")
			served[c] += rapid.Uint64Range(0, 100).Draw(t, "cost")
			send()
			report := a.Report()
			for range rapid.IntRange(0, 2).Draw(t, "copies") {
				absorb(report)
			}
		}
		for range customers {
			send()
			absorb(a.Report())
		}
		if observed != served {
			t.Fatalf("observed %v, served %v", observed, served)
		}
	})
}

func BenchmarkReportAbsorb(b *testing.B) {
	for _, customers := range []int{16, 100, 600} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			from, to := New(Options{Repeats: 3, Rotate: 4, MaxEntries: 100}), New(testOptions)
			to.ResetHost("a", false)
			var n uint64
			b.ReportAllocs()
			for b.Loop() {
				n++
				for c := range customers / 10 {
					from.SetLocal(Key{Pool: 1, Customer: fair.Customer(c)}, Counters{Served: n})
				}
				body, err := proto.Marshal(&zinccovev1.Heartbeat{Pools: from.Report()})
				assert.NilError(b, err)
				var hb zinccovev1.Heartbeat
				assert.NilError(b, proto.Unmarshal(body, &hb))
				to.ApplyReports("a", hb.Pools)
			}
		})
	}
}
