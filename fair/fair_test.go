package fair

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testLimits = Limits{PerCustomer: 1 << 20}

func push(t testing.TB, q *Queue[int], c Customer, class Class, item int) {
	t.Helper()
	assert.NilError(t, q.Push(c, class, item))
}

func TestNextServesTheCustomerWithTheLowestLevel(t *testing.T) {
	q := New[int](testLimits)
	q.SetWeight(1, 1)
	q.SetWeight(2, 3)
	for i := range 40 {
		push(t, q, 1, Normal, i)
		push(t, q, 2, Normal, i)
	}
	served := map[Customer]int{}
	for range 40 {
		g, ok := q.Next()
		assert.Assert(t, ok)
		served[g.Customer]++
		q.Charge(g.Customer, 10)
	}
	assert.Equal(t, served[1], 10)
	assert.Equal(t, served[2], 30)
}

func TestUrgentGoesFirstInsideItsCustomerOnly(t *testing.T) {
	q := New[int](testLimits)
	push(t, q, 1, Normal, 10)
	push(t, q, 1, Urgent, 11)
	push(t, q, 2, Normal, 20)
	q.Charge(1, 5)
	var order []int
	for {
		g, ok := q.Next()
		if !ok {
			break
		}
		order = append(order, g.Item)
	}
	assert.DeepEqual(t, order, []int{20, 11, 10})
}

func TestIdleTimeEarnsNoCredit(t *testing.T) {
	q := New[int](testLimits)
	push(t, q, 1, Normal, 1)
	q.Charge(1, 1000)
	push(t, q, 2, Normal, 1)
	assert.Equal(t, q.Level(2), 1000.0)
}

func TestCustomerBackloggedElsewhereKeepsItsLevel(t *testing.T) {
	q := New[int](testLimits)
	q.SetRemoteBacklog(2, true)
	push(t, q, 1, Normal, 1)
	q.Charge(1, 1000)
	push(t, q, 2, Normal, 1)
	assert.Equal(t, q.Level(2), 0.0)
}

func TestFullQueueIsRefused(t *testing.T) {
	q := New[int](Limits{PerCustomer: 2})
	push(t, q, 1, Normal, 1)
	push(t, q, 1, Urgent, 2)
	var full *FullError
	assert.Assert(t, errors.As(q.Push(1, Normal, 3), &full))
	assert.Equal(t, full.Waiting, 2)
	push(t, q, 2, Normal, 4)
}

func TestRemoveDropsOnlyMatchingRequests(t *testing.T) {
	q := New[int](testLimits)
	for i := range 4 {
		push(t, q, 1, Normal, i)
	}
	n := q.Remove(1, func(i int) bool { return i%2 == 0 })
	assert.Equal(t, n, 2)
	assert.Equal(t, q.Waiting(), 2)
	g, _ := q.Next()
	assert.Equal(t, g.Item, 1)
}

func TestForgetKeepsCustomersWithWork(t *testing.T) {
	q := New[int](testLimits)
	push(t, q, 1, Normal, 1)
	assert.Assert(t, !q.Forget(1))
	q.Next()
	q.Reserve(1, 5)
	assert.Assert(t, !q.Forget(1))
	q.Reserve(1, -5)
	assert.Assert(t, q.Forget(1))
	assert.Assert(t, q.Forget(7))
}

func TestBoundDebtLimitsAJump(t *testing.T) {
	q := New[int](Limits{PerCustomer: 10})
	push(t, q, 1, Normal, 1)
	push(t, q, 2, Normal, 1)
	q.Observe(2, 100_000)
	q.BoundDebt(100)
	assert.Equal(t, q.Level(2), 100.0)
}

// TestGapStaysBounded serves requests of random classes and costs one at a time. It
// checks that the difference in service between customers that stay backlogged is
// bounded, and that a request is served whenever one waits.
func TestGapStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const customers, maxCost = 5, 50
		q := New[int](testLimits)
		weight := make([]float64, customers)
		for c := range customers {
			w := rapid.Uint32Range(1, 8).Draw(t, "weight")
			weight[c] = float64(w)
			q.SetWeight(Customer(c), w)
		}
		served := make([]float64, customers)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			for c := range customers {
				for q.WaitingOf(Customer(c)) < 2 {
					_ = q.Push(Customer(c), Class(rapid.IntRange(0, 1).Draw(t, "class")), 0)
				}
			}
			g, ok := q.Next()
			if !ok {
				t.Fatal("no request granted while requests wait")
			}
			cost := rapid.Uint64Range(1, maxCost).Draw(t, "cost")
			q.Charge(g.Customer, cost)
			served[g.Customer] += float64(cost) / weight[g.Customer]
		}
		for a := range customers {
			for b := range customers {
				gap := served[a] - served[b]
				if bound := maxCost/weight[a] + 1e-6; gap > bound {
					t.Fatalf("gap %v over bound %v", gap, bound)
				}
			}
		}
	})
}

func BenchmarkDecision(b *testing.B) {
	for _, customers := range []int{16, 100, 600} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			q := New[int](testLimits)
			for c := range customers {
				push(b, q, Customer(c), Normal, 0)
				push(b, q, Customer(c), Normal, 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				g, _ := q.Next()
				q.Charge(g.Customer, 100)
				_ = q.Push(g.Customer, Normal, 0)
			}
		})
	}
}
