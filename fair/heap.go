package fair

import "container/heap"

// Heaps an account can be in.
const (
	localHeap = iota
	fleetHeap
	heaps
)

const absent = -1

// key is the value by which a heap orders an account. Reservations are known
// to this router alone, so only the local order counts them.
func (a *account[T]) key(id int) float64 {
	if id == localHeap {
		return a.level + a.reserved/a.weight
	}
	return a.level
}

// levelHeap orders accounts by key, ties by customer so that every run of the
// same history gives the same order. Only set and min are for its users.
type levelHeap[T any] struct {
	id    int
	items []*account[T]
}

func (h *levelHeap[T]) min() *account[T] {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// set makes a a member or not and restores its place.
func (h *levelHeap[T]) set(a *account[T], member bool) {
	at := a.pos[h.id]
	switch {
	case member && at == absent:
		heap.Push(h, a)
	case member:
		heap.Fix(h, at)
	case at != absent:
		heap.Remove(h, at)
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.

func (h *levelHeap[T]) Len() int { return len(h.items) }

func (h *levelHeap[T]) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	ka, kb := a.key(h.id), b.key(h.id)
	if ka != kb {
		return ka < kb
	}
	return a.customer < b.customer
}

func (h *levelHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].pos[h.id] = i
	h.items[j].pos[h.id] = j
}

func (h *levelHeap[T]) Push(x any) {
	a := x.(*account[T])
	a.pos[h.id] = len(h.items)
	h.items = append(h.items, a)
}

func (h *levelHeap[T]) Pop() any {
	last := len(h.items) - 1
	a := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	a.pos[h.id] = absent
	return a
}
