package origin

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

var began = Origin{Service: "model", Version: "v1"}

func TestOriginIsKnownUntilItExpires(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	k := KeyOf("c", "route", "r")
	_, ok := table.Get(k)
	assert.Assert(t, !ok)
	table.Put(k, began, 2*time.Second)
	clock.Advance(time.Second)
	table.Put(k, began, 2*time.Second)
	clock.Advance(2*time.Second - 1)
	o, ok := table.Get(k)
	assert.Assert(t, ok && o == began, "a repeated record extends the time")
	clock.Advance(1)
	_, ok = table.Get(k)
	assert.Assert(t, !ok)
	table.Put(k, Origin{Service: "model", Version: "v2"}, time.Second)
	o, ok = table.Get(k)
	assert.Assert(t, ok && o.Version == "v2", "an expired record contradicts nothing")
}

func TestStreamOfContradictoryOriginsIsUnknown(t *testing.T) {
	table := NewTable(clockwork.NewFakeClock())
	k := KeyOf("c", "route", "r")
	table.Put(k, began, time.Second)
	table.Put(k, Origin{Service: "model", Version: "v2"}, time.Second)
	table.Put(k, began, time.Second)
	_, ok := table.Get(k)
	assert.Assert(t, !ok)
}

func TestKeyIsThatOfOneCustomerAndRoute(t *testing.T) {
	keys := make(map[Key]bool)
	for _, of := range [][3]string{{"c", "route", "r"}, {"d", "route", "r"}, {"c", "other", "r"}, {"c", "route", "s"}, {"", "croute", "r"}, {"cr", "oute", "r"}} {
		keys[KeyOf(of[0], of[1], of[2])] = true
	}
	assert.Equal(t, len(keys), 6)
}

func TestTableIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	key := func(i int) Key { return KeyOf("c", "route", fmt.Sprint(i)) }
	for i := range maxRecords + 10 {
		table.Put(key(i), began, time.Minute)
	}
	assert.Equal(t, table.Len(), maxRecords)
	_, ok := table.Get(key(5))
	assert.Assert(t, !ok, "the oldest ones are evicted")
	_, ok = table.Get(key(maxRecords + 5))
	assert.Assert(t, ok)
	clock.Advance(time.Minute)
	table.Put(key(-1), began, time.Minute)
	assert.Equal(t, table.Len(), 1, "expired ones are removed")
}

// BenchmarkPut records and finds an origin in a full table.
func BenchmarkPut(b *testing.B) {
	table := NewTable(clockwork.NewRealClock())
	for i := 0; b.Loop(); i++ {
		k := KeyOf("customer", "route", fmt.Sprint(i))
		table.Put(k, began, time.Minute)
		table.Get(k)
	}
}

// BenchmarkMemoryOfRecords reports the bytes that a record of a full table takes.
func BenchmarkMemoryOfRecords(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := NewTable(clockwork.NewRealClock())
		for i := range maxRecords {
			table.Put(KeyOf("customer", "route", fmt.Sprint(i)), began, time.Minute)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxRecords, "B/record")
		runtime.KeepAlive(table)
	}
}
