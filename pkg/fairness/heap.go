package fairness

import "container/heap"

// indexedHeap is a binary heap that stores in each element its position, so that an element can
// be moved or removed in O(log n).
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// index returns the field of an element that stores its position.
	index func(t T) *int
}

// absent is the position of an element that is not in the heap.
const absent = -1

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	t := x.(T)
	*h.index(t) = len(h.items)
	h.items = append(h.items, t)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	t := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(t) = absent
	return t
}

// first returns the smallest element. The heap must not be empty.
func (h *indexedHeap[T]) first() T { return h.items[0] }

// update adds t if it is absent, and otherwise restores the heap order after t has changed.
func (h *indexedHeap[T]) update(t T) {
	if at := *h.index(t); at != absent {
		heap.Fix(h, at)
		return
	}
	heap.Push(h, t)
}

// remove removes t if it is in the heap.
func (h *indexedHeap[T]) remove(t T) {
	if at := *h.index(t); at != absent {
		heap.Remove(h, at)
	}
}
