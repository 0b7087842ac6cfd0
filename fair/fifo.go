package fair

import "slices"

// fifo is a first-in, first-out queue that reuses its backing array.
type fifo[T any] struct {
	items []T
	head  int
}

func (f *fifo[T]) len() int { return len(f.items) - f.head }

func (f *fifo[T]) push(item T) {
	if f.head > 0 && len(f.items) == cap(f.items) {
		f.compact()
	}
	f.items = append(f.items, item)
}

func (f *fifo[T]) pop() T {
	var zero T
	item := f.items[f.head]
	f.items[f.head] = zero
	f.head++
	if f.head == len(f.items) {
		f.items, f.head = f.items[:0], 0
	}
	return item
}

func (f *fifo[T]) compact() {
	n := copy(f.items, f.items[f.head:])
	clear(f.items[n:])
	f.items, f.head = f.items[:n], 0
}

// remove removes the items for which drop returns true and returns their number.
func (f *fifo[T]) remove(drop func(T) bool) int {
	f.compact()
	before := len(f.items)
	f.items = slices.DeleteFunc(f.items, drop)
	return before - len(f.items)
}
