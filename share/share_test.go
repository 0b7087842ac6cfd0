package share

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// customerAt returns a waiting customer of weight w, with requests at one router.
func customerAt(router, requests int, w, level float64) Customer {
	return Customer{Weight: w, Level: level, Waiting: true, Demand: []RouterDemand{{Router: router, Requests: requests}}}
}

func TestAllocate(t *testing.T) {
	tests := []struct {
		name  string
		in    Input
		want  []int
		spare int
	}{
		{"no customers", Input{Slots: 8, Routers: 2}, []int{0, 0}, 8},
		{"little demand", Input{Slots: 8, Routers: 2, Customers: []Customer{customerAt(0, 2, 1, 0)}}, []int{2, 0}, 6},
		{"equal parts", Input{Slots: 8, Routers: 2, Customers: []Customer{customerAt(0, 50, 1, 0), customerAt(1, 50, 1, 0)}}, []int{4, 4}, 0},
		{"weights", Input{Slots: 8, Routers: 2, Customers: []Customer{customerAt(0, 50, 3, 0), customerAt(1, 50, 1, 0)}}, []int{6, 2}, 0},
		{"a flood takes no more", Input{Slots: 8, Routers: 2, Customers: []Customer{customerAt(0, 5000, 1, 0), customerAt(1, 50, 1, 0)}}, []int{4, 4}, 0},
		{"unused part goes to others", Input{Slots: 8, Routers: 2, Customers: []Customer{customerAt(0, 50, 1, 0), customerAt(1, 1, 1, 0)}}, []int{7, 1}, 0},
		{"spread customer", Input{Slots: 8, Routers: 2, Customers: []Customer{
			{Weight: 1, Demand: []RouterDemand{{0, 30}, {1, 10}}}}}, []int{6, 2}, 0},
		{"lag", Input{Slots: 9, Routers: 2, CatchUpLag: 100, Customers: []Customer{customerAt(0, 50, 1, 100), customerAt(1, 50, 1, 0)}}, []int{3, 6}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got, spare := Allocate(tc.in)
			assert.DeepEqual(t, got, tc.want)
			assert.Equal(t, spare, tc.spare)
		})
	}
}

// TestAllocateKeepsEverySlot checks with random demand that no slot is lost or given twice and
// that slots are spare only when all demand is met.
func TestAllocateKeepsEverySlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Input{
			Slots:      rapid.IntRange(1, 100).Draw(t, "slots"),
			Routers:    rapid.IntRange(1, 9).Draw(t, "routers"),
			CatchUpLag: rapid.Float64Range(0, 1000).Draw(t, "catchup"),
		}
		demand := 0
		for range rapid.IntRange(0, 20).Draw(t, "customers") {
			c := Customer{
				Weight:  rapid.Float64Range(1, 10).Draw(t, "weight"),
				Level:   rapid.Float64Range(0, 1e6).Draw(t, "level"),
				Waiting: rapid.Bool().Draw(t, "waiting"),
			}
			for r := range in.Routers {
				n := rapid.IntRange(0, 20).Draw(t, "requests")
				if n > 0 {
					c.Demand = append(c.Demand, RouterDemand{Router: r, Requests: n})
					demand += n
				}
			}
			if len(c.Demand) > 0 {
				in.Customers = append(in.Customers, c)
			}
		}
		slots, spare := Allocate(in)
		sum := spare
		for _, n := range slots {
			sum += n
		}
		if sum != in.Slots {
			t.Fatalf("%v and %d spare are not %d slots", slots, spare, in.Slots)
		}
		if want := max(in.Slots-demand, 0); spare != want {
			t.Fatalf("%d spare, want %d", spare, want)
		}
	})
}

func BenchmarkAllocate(b *testing.B) {
	for _, customers := range []int{16, 60, 600} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			in := Input{Slots: 72, Routers: 9, CatchUpLag: 4000}
			for i := range customers {
				in.Customers = append(in.Customers, customerAt(i%in.Routers, i%13+1, float64(i%3+1), float64(i)))
			}
			b.ReportAllocs()
			for b.Loop() {
				Allocate(in)
			}
		})
	}
}

func TestAssign(t *testing.T) {
	targets := []Target{{2, "x"}, {2, "x"}, {2, "y"}}
	centres := []string{"x", "x", "y"}
	tests := []struct {
		name string
		want []int
		out  [][]int
	}{
		{"own data centre first", []int{2, 2, 2}, [][]int{{1, 1, 0}, {1, 1, 0}, {0, 0, 2}}},
		{"rest elsewhere", []int{0, 0, 5}, [][]int{{0, 0, 0}, {0, 0, 0}, {2, 1, 2}}},
		{"nothing", []int{0, 0, 0}, [][]int{{0, 0, 0}, {0, 0, 0}, {0, 0, 0}}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			for self, want := range tc.out {
				assert.DeepEqual(t, Assign(targets, centres, tc.want, self), want)
			}
		})
	}
}

// TestAssignUsesNoSlotTwice checks with random demand that the routers together use no more than
// each target's slots and get all slots they request.
func TestAssignUsesNoSlotTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var targets []Target
		total := 0
		for range rapid.IntRange(1, 8).Draw(t, "targets") {
			n := rapid.IntRange(1, 9).Draw(t, "slots")
			targets = append(targets, Target{Slots: n, DataCentre: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "centre")})
			total += n
		}
		var centres []string
		var want []int
		for range rapid.IntRange(1, 6).Draw(t, "routers") {
			n := rapid.IntRange(0, total).Draw(t, "want")
			total -= n
			want = append(want, n)
			centres = append(centres, rapid.SampledFrom([]string{"x", "y", "w"}).Draw(t, "centre"))
		}
		taken := make([]int, len(targets))
		for self := range want {
			sum := 0
			for i, n := range Assign(targets, centres, want, self) {
				taken[i] += n
				sum += n
			}
			if sum != want[self] {
				t.Fatalf("router %d got %d of %d", self, sum, want[self])
			}
		}
		for i, n := range taken {
			if n > targets[i].Slots {
				t.Fatalf("target %d has %d slots, %d are taken", i, targets[i].Slots, n)
			}
		}
	})
}
