package fairness

import "container/list"

// flow holds the waiting items of one organisation in order of arrival.
type flow struct {
	name   string
	weight float64
	class  *class
	items  list.List
	// load is the part of the queue that the items fill, in items and bytes.
	load float64
	// tag is the virtual time at which the next item is due.
	tag float64

	tagAt  int
	loadAt int
}

func (f *flow) share() float64 { return f.load / f.weight }

// isDue reports whether a is served before b. Of two that are due at the same time,
// the one that holds less of the queue goes first.
func isDue(a, b *flow) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.share() < b.share()
}

// class holds the flows of one priority.
type class struct {
	weight float64
	// now is the virtual time of the class.
	now   float64
	tag   float64
	tagAt int
	flows indexed[*flow]
}

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

// entry is one item in its flow.
type entry struct {
	item Item
	flow *flow
}
