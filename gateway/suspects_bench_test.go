//go:build !race

package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"zinccove.example/zinccove/quarantine"
)

// BenchmarkSuspects has three engines end under one part of prompts, each at another router, with twelve
// sound requests of four parts at each end. It reports how long it takes until all routers bar the part,
// in simulated time, and the suspects that the middle and the busiest router sent until 3 s later.
func BenchmarkSuspects(b *testing.B) {
	for _, sizes := range [][]int{{3, 3, 3}, {28, 27, 27}, {68, 68, 50, 50, 59}, {197, 197, 197, 197, 197}} {
		routers := 0
		for _, n := range sizes {
			routers += n
		}
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			for range b.N {
				measureSuspects(b, sizes)
			}
		})
	}
}

func measureSuspects(b *testing.B, sizes []int) {
	f := newRouterFleet(b, 1, sizes...)
	f.run(settleLimit)
	f.suspectBytes = make(map[string]int)
	n := 0
	lose := func(target int, parts ...string) {
		n++
		c := &quarantine.Content{Customer: "c", Service: "s", Body: fmt.Append(nil, n), Parts: parts}
		f.routers[n*31%len(f.routers)].loop.gateway.quarantine.RecordLoss(c, quarantine.IncarnationHash(target), quarantine.NotBegun)
	}
	for target := range 3 {
		f.run(300 * time.Millisecond)
		for i := range 12 {
			lose(target, "first", fmt.Sprint("second", i), fmt.Sprint("third", i+100*target), fmt.Sprint("fourth", i+100*target))
		}
		lose(target, "first", "bad")
	}
	bad := &quarantine.Content{Customer: "c", Service: "s", Parts: []string{"bad"}}
	took := time.Duration(0)
	for f.barring(bad) < len(f.routers) {
		f.run(fleetStep)
		took += fleetStep
	}
	f.run(3 * time.Second)
	var bytes []int
	for _, r := range f.routers {
		bytes = append(bytes, f.suspectBytes[r.loop.gateway.settings.Host])
	}
	slices.Sort(bytes)
	b.ReportMetric(float64(took.Milliseconds()), "ms-until-barred")
	b.ReportMetric(float64(bytes[len(bytes)/2]), "B-middle")
	b.ReportMetric(float64(bytes[len(bytes)-1]), "B-busiest")
}

// barring returns the number of routers that bar a request.
func (f *routerFleet) barring(c *quarantine.Content) (n int) {
	for _, r := range f.routers {
		if r.loop.gateway.quarantine.Barred(c) != nil {
			n++
		}
	}
	return n
}
