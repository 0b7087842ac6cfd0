package fair

import "container/heap"

// The heaps of which an account can be a member.
const (
	localHeap = iota
	fleetHeap
	numHeaps
)

const notInHeap = -1

// key returns the value by which a heap orders an account. Reservations are known
// only to this router, so only the local heap includes them.
func (a *account[T]) key(id int) float64 {
	if id == localHeap {
		return a.level + a.reserved/a.weight
	}
	return a.level
}

// levelHeap orders accounts by key and equal keys by customer, so that the same
// sequence of operations always gives the same order. Its users call only set and
// min; the exported methods are for package heap.
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

// set adds account a to the heap or removes it, and restores the order.
func (h *levelHeap[T]) set(a *account[T], member bool) {
	i := a.pos[h.id]
	switch {
	case member && i == notInHeap:
		heap.Push(h, a)
	case member:
		heap.Fix(h, i)
	case i != notInHeap:
		heap.Remove(h, i)
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
	a.pos[h.id] = notInHeap
	return a
}
