package fairness

import "container/list"

// flow is the waiting items of one organisation in order of arrival.
type flow struct {
	name   string
	weight float64
	class  *class
	items  list.List
	// load is the fraction of the queue's item and byte limits that the items fill.
	load float64
	// tag is the virtual time at which the next item is due.
	tag float64

	// tagIndex and loadIndex are the positions in the heaps class.flows and Queue.flowsByLoad.
	tagIndex  int
	loadIndex int
}

// relativeLoad returns the part of the queue that the flow fills, relative to its weight.
func (f *flow) relativeLoad() float64 { return f.load / f.weight }

// isServedBefore reports whether a is served before b. Of two flows that are due at the same
// time, the one that fills less of the queue is served first.
func isServedBefore(a, b *flow) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.relativeLoad() < b.relativeLoad()
}

// class is the waiting flows of one priority.
type class struct {
	weight float64
	// virtualTime is the largest tag of a flow of the class that has been served.
	virtualTime float64
	// tag is the virtual time of the queue at which the class is due, tagIndex the position
	// of the class in Queue.waitingClasses.
	tag   float64
	tagAt int
	flows indexedHeap[*flow]
}

// newClass returns an empty class with the weight of its priority.
func newClass(priority int) *class {
	c := &class{weight: 1, tagAt: absent}
	for range priority {
		c.weight *= PriorityFactor
	}
	c.flows = indexedHeap[*flow]{
		less:  isServedBefore,
		index: func(f *flow) *int { return &f.tagIndex },
	}
	return c
}

// queuedItem is one waiting item with its flow.
type queuedItem struct {
	item Item
	flow *flow
}
