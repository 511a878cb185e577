package fairness

import "container/list"

// Item is one waiting request.
type Item struct {
	// ID identifies the item in the queue.
	ID string
	// Organisation is the owner of the request.
	Organisation string
	// Weight is the share of the organisation relative to the others; 0 counts as 1.
	Weight int
	// Priority is the scheduling priority; a higher number gets a larger share.
	Priority int
	// Cost is the expected cost in tokens; 0 counts as 1.
	Cost int64
	// Bytes is the memory that the item occupies.
	Bytes int64
}

// Options are the limits of a queue.
type Options struct {
	// Items is the largest number of waiting items.
	Items int
	// Bytes is the largest memory that the waiting items occupy; 0 means no limit.
	Bytes int64
	// Burst is the service in tokens that an organisation of weight 1 may save up while it
	// uses less than its share; the zero value means none.
	Burst int64
}

// PriorityFactor is the ratio of the shares of two successive priorities while requests of
// both are waiting.
const PriorityFactor = 8

// idleFlows is the largest number of organisations without waiting items whose state is kept.
const idleFlows = 4096

// Queue is a fair queue of requests. It is not safe for concurrent use.
type Queue struct {
	opts Options
	// capacity is the item limit that the load of a flow is relative to. SetItems does not
	// change it.
	capacity float64
	// bytes is the memory that the waiting items occupy.
	bytes int64
	// byID holds the element of each waiting item in the list of its flow.
	byID    map[string]*list.Element
	flows   map[string]*flow
	classes map[int]*class
	// now is the virtual time of the classes.
	now float64
	// waiting holds the classes with waiting items, ordered by tag.
	waiting indexed[*class]
	// loads holds the flows with waiting items; the first one fills most of the queue
	// relative to its weight.
	loads indexed[*flow]
}

// New returns an empty queue.
func New(o Options) *Queue {
	q := &Queue{opts: o, capacity: float64(max(o.Items, 1)), byID: map[string]*list.Element{}, flows: map[string]*flow{}, classes: map[int]*class{}}
	q.waiting = indexed[*class]{
		less:  func(a, b *class) bool { return a.tag < b.tag },
		place: func(c *class) *int { return &c.tagAt },
	}
	q.loads = indexed[*flow]{
		less:  func(a, b *flow) bool { return a.share() > b.share() },
		place: func(f *flow) *int { return &f.loadAt },
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.byID) }

// Push adds an item. It returns the items that were evicted because the queue was full,
// which may include the new one.
func (q *Queue) Push(i Item) []Item {
	f := q.flow(i)
	e := f.items.PushBack(&entry{item: i, flow: f})
	q.byID[i.ID] = e
	q.bytes += i.Bytes
	f.load += q.load(i)
	q.arrange(f)
	return q.trim()
}

// SetItems changes the largest number of waiting items and returns the evicted items.
func (q *Queue) SetItems(n int) []Item {
	q.opts.Items = n
	return q.trim()
}

// trim evicts items until the queue is within its limits.
func (q *Queue) trim() []Item {
	var out []Item
	for len(q.byID) > 0 && q.full() {
		last := q.loads.first().items.Back()
		out = append(out, last.Value.(*entry).item)
		q.take(last)
	}
	return out
}

func (q *Queue) full() bool {
	return len(q.byID) > q.opts.Items || q.opts.Bytes > 0 && q.bytes > q.opts.Bytes
}

// Peek returns the next item without removing it.
func (q *Queue) Peek() (Item, bool) {
	if len(q.byID) == 0 {
		return Item{}, false
	}
	f := q.waiting.first().flows.first()
	return f.items.Front().Value.(*entry).item, true
}

// Pop removes and returns the next item and charges its cost to the organisation.
func (q *Queue) Pop() (Item, bool) {
	if len(q.byID) == 0 {
		return Item{}, false
	}
	c := q.waiting.first()
	f := c.flows.first()
	e := f.items.Front()
	i := e.Value.(*entry).item
	q.now = c.tag
	c.now = max(c.now, f.tag)
	c.tag += float64(max(i.Cost, 1)) / c.weight
	f.tag += float64(max(i.Cost, 1)) / f.weight
	q.take(e)
	return i, true
}

// Remove removes the item with the ID and reports whether it was in the queue.
func (q *Queue) Remove(id string) bool {
	e, ok := q.byID[id]
	if ok {
		q.take(e)
	}
	return ok
}

// Settle corrects the charge of an organisation once the actual cost is known.
func (q *Queue) Settle(organisation string, expected, actual int64) {
	f, ok := q.flows[organisation]
	if !ok {
		return
	}
	c := f.class
	diff := float64(actual - max(expected, 1))
	f.tag = max(c.now-q.saved(), f.tag+diff/f.weight)
	c.tag = max(q.now, c.tag+diff/c.weight)
	q.arrange(f)
}

// saved returns how far the tag of a flow may lag behind the virtual time.
func (q *Queue) saved() float64 { return float64(q.opts.Burst) }

// take removes an item from its flow and from the queue.
func (q *Queue) take(e *list.Element) {
	n := e.Value.(*entry)
	n.flow.items.Remove(e)
	delete(q.byID, n.item.ID)
	q.bytes -= n.item.Bytes
	n.flow.load -= q.load(n.item)
	q.arrange(n.flow)
}

// load returns the fraction of the queue that an item fills: of its item limit plus, if there
// is one, of its byte limit.
func (q *Queue) load(i Item) float64 {
	load := 1 / q.capacity
	if q.opts.Bytes > 0 {
		load += float64(i.Bytes) / float64(q.opts.Bytes)
	}
	return load
}

// arrange adds a flow and its class to the heaps, moves them or removes them, depending on
// whether they have waiting items.
func (q *Queue) arrange(f *flow) {
	if f.items.Len() == 0 {
		f.load = 0
		f.class.flows.remove(f)
		q.loads.remove(f)
	} else {
		f.class.flows.update(f)
		q.loads.update(f)
	}
	if f.class.flows.Len() == 0 {
		q.waiting.remove(f.class)
		return
	}
	q.waiting.update(f.class)
}

// flow returns the flow of the item's organisation. If the flow was idle, its weight and class
// are set from the item and its tag is raised to the virtual time of the class.
func (q *Queue) flow(i Item) *flow {
	f, ok := q.flows[i.Organisation]
	if !ok {
		q.forget()
		f = &flow{name: i.Organisation, class: q.class(i.Priority), tagAt: absent, loadAt: absent}
		q.flows[i.Organisation] = f
	}
	if f.items.Len() > 0 {
		return f
	}
	f.weight = float64(max(i.Weight, 1))
	if c := q.class(i.Priority); c != f.class {
		f.class = c
		f.tag = c.now - q.saved()
	}
	if f.class.flows.Len() == 0 {
		f.class.tag = max(f.class.tag, q.now)
	}
	f.tag = max(f.tag, f.class.now-q.saved())
	return f
}

// class returns the class of a priority, which it adds if there is none.
func (q *Queue) class(priority int) *class {
	c, ok := q.classes[priority]
	if !ok {
		c = newClass(priority)
		q.classes[priority] = c
	}
	return c
}

// forget bounds the number of idle flows. It first drops those whose tag a new flow would
// get anyway, and all idle flows if too many are left.
func (q *Queue) forget() {
	if len(q.flows)-q.loads.Len() < idleFlows {
		return
	}
	for name, f := range q.flows {
		if f.items.Len() == 0 && f.tag <= f.class.now-q.saved() {
			delete(q.flows, name)
		}
	}
	if len(q.flows)-q.loads.Len() < idleFlows {
		return
	}
	for name, f := range q.flows {
		if f.items.Len() == 0 {
			delete(q.flows, name)
		}
	}
}
