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

	// tagAt and loadAt are the positions in the heaps class.flows and Queue.loads.
	tagAt  int
	loadAt int
}

// share returns the part of the queue that the flow fills, relative to its weight.
func (f *flow) share() float64 { return f.load / f.weight }

// isDue reports whether a is served before b. Of two flows that are due at the same time,
// the one that fills less of the queue is served first.
func isDue(a, b *flow) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.share() < b.share()
}

// class is the waiting flows of one priority.
type class struct {
	weight float64
	// now is the virtual time of the class.
	now float64
	// tag is the virtual time of the queue at which the class is due, tagAt the position
	// of the class in Queue.waiting.
	tag   float64
	tagAt int
	flows indexed[*flow]
}

// newClass returns an empty class with the weight of its priority.
func newClass(priority int) *class {
	c := &class{weight: 1, tagAt: absent}
	for range priority {
		c.weight *= PriorityFactor
	}
	c.flows = indexed[*flow]{
		less:  isDue,
		place: func(f *flow) *int { return &f.tagAt },
	}
	return c
}

// entry is one waiting item with its flow.
type entry struct {
	item Item
	flow *flow
}
