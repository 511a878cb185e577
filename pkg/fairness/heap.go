package fairness

import "container/heap"

// indexed is a binary heap that stores in each element its position, so that an element can
// be moved or removed in O(log n).
type indexed[T any] struct {
	items []T
	less  func(a, b T) bool
	// place returns the field of an element that stores its position.
	place func(t T) *int
}

// absent is the position of an element that is not in the heap.
const absent = -1

// Len implements heap.Interface.
func (h *indexed[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexed[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexed[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]) = i
	*h.place(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *indexed[T]) Push(x any) {
	t := x.(T)
	*h.place(t) = len(h.items)
	h.items = append(h.items, t)
}

// Pop implements heap.Interface.
func (h *indexed[T]) Pop() any {
	last := len(h.items) - 1
	t := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.place(t) = absent
	return t
}

// first returns the smallest element. The heap must not be empty.
func (h *indexed[T]) first() T { return h.items[0] }

// update adds t if it is absent, and otherwise restores the heap order after t has changed.
func (h *indexed[T]) update(t T) {
	if at := *h.place(t); at != absent {
		heap.Fix(h, at)
		return
	}
	heap.Push(h, t)
}

// remove removes t if it is in the heap.
func (h *indexed[T]) remove(t T) {
	if at := *h.place(t); at != absent {
		heap.Remove(h, at)
	}
}
