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
	// MaxItems is the largest number of waiting items.
	MaxItems int
	// MaxBytes is the largest memory that the waiting items occupy; 0 means no limit.
	MaxBytes int64
	// Burst is the service in tokens that an organisation of weight 1 may save up while it
	// uses less than its share; the zero value means none.
	Burst int64
}

// PriorityFactor is the ratio of the shares of two successive priorities while requests of
// both are waiting.
const PriorityFactor = 8

// maxIdleFlows is the largest number of organisations without waiting items whose state is kept.
const maxIdleFlows = 4096

// Queue is a fair queue of requests. It is not safe for concurrent use.
type Queue struct {
	opts Options
	// itemCapacity is the item limit that the load of a flow is relative to. SetMaxItems does
	// not change it.
	itemCapacity float64
	// bytes is the memory that the waiting items occupy.
	bytes int64
	// byID holds the element of each waiting item in the list of its flow.
	byID    map[string]*list.Element
	flows   map[string]*flow
	classes map[int]*class
	// virtualTime is the tag of the class that was served last.
	virtualTime float64
	// waitingClasses holds the classes with waiting items, ordered by tag.
	waitingClasses indexedHeap[*class]
	// flowsByLoad holds the flows with waiting items; the first one fills most of the queue
	// relative to its weight.
	flowsByLoad indexedHeap[*flow]
}

// New returns an empty queue.
func New(o Options) *Queue {
	q := &Queue{opts: o, itemCapacity: float64(max(o.MaxItems, 1)), byID: map[string]*list.Element{}, flows: map[string]*flow{}, classes: map[int]*class{}}
	q.waitingClasses = indexedHeap[*class]{
		less:  func(a, b *class) bool { return a.tag < b.tag },
		index: func(c *class) *int { return &c.tagAt },
	}
	q.flowsByLoad = indexedHeap[*flow]{
		less:  func(a, b *flow) bool { return a.relativeLoad() > b.relativeLoad() },
		index: func(f *flow) *int { return &f.loadIndex },
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.byID) }

// Push adds an item. It returns the items that were evicted because the queue was full,
// which may include the new one.
func (q *Queue) Push(i Item) []Item {
	f := q.flowFor(i)
	e := f.items.PushBack(&queuedItem{item: i, flow: f})
	q.byID[i.ID] = e
	q.bytes += i.Bytes
	f.load += q.loadOf(i)
	q.updateHeaps(f)
	return q.evictExcess()
}

// SetMaxItems changes the largest number of waiting items and returns the evicted items.
func (q *Queue) SetMaxItems(n int) []Item {
	q.opts.MaxItems = n
	return q.evictExcess()
}

// evictExcess evicts items until the queue is within its limits.
func (q *Queue) evictExcess() []Item {
	var out []Item
	for len(q.byID) > 0 && q.isFull() {
		last := q.flowsByLoad.first().items.Back()
		out = append(out, last.Value.(*queuedItem).item)
		q.unlink(last)
	}
	return out
}

func (q *Queue) isFull() bool {
	return len(q.byID) > q.opts.MaxItems || q.opts.MaxBytes > 0 && q.bytes > q.opts.MaxBytes
}

// Peek returns the next item without removing it.
func (q *Queue) Peek() (Item, bool) {
	if len(q.byID) == 0 {
		return Item{}, false
	}
	f := q.waitingClasses.first().flows.first()
	return f.items.Front().Value.(*queuedItem).item, true
}

// Pop removes and returns the next item and charges its cost to the organisation.
func (q *Queue) Pop() (Item, bool) {
	if len(q.byID) == 0 {
		return Item{}, false
	}
	c := q.waitingClasses.first()
	f := c.flows.first()
	e := f.items.Front()
	i := e.Value.(*queuedItem).item
	q.virtualTime = c.tag
	c.virtualTime = max(c.virtualTime, f.tag)
	c.tag += float64(max(i.Cost, 1)) / c.weight
	f.tag += float64(max(i.Cost, 1)) / f.weight
	q.unlink(e)
	return i, true
}

// Remove removes the item with the ID and reports whether it was in the queue.
func (q *Queue) Remove(id string) bool {
	e, ok := q.byID[id]
	if ok {
		q.unlink(e)
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
	f.tag = max(c.virtualTime-q.maxCredit(), f.tag+diff/f.weight)
	c.tag = max(q.virtualTime, c.tag+diff/c.weight)
	q.updateHeaps(f)
}

// maxCredit returns how far the tag of a flow may lag behind the virtual time.
func (q *Queue) maxCredit() float64 { return float64(q.opts.Burst) }

// unlink removes an item from its flow and from the queue.
func (q *Queue) unlink(e *list.Element) {
	n := e.Value.(*queuedItem)
	n.flow.items.Remove(e)
	delete(q.byID, n.item.ID)
	q.bytes -= n.item.Bytes
	n.flow.load -= q.loadOf(n.item)
	q.updateHeaps(n.flow)
}

// loadOf returns the fraction of the queue that an item fills: of its item limit plus, if there
// is one, of its byte limit.
func (q *Queue) loadOf(i Item) float64 {
	load := 1 / q.itemCapacity
	if q.opts.MaxBytes > 0 {
		load += float64(i.Bytes) / float64(q.opts.MaxBytes)
	}
	return load
}

// updateHeaps adds a flow and its class to the heaps, moves them or removes them, depending on
// whether they have waiting items.
func (q *Queue) updateHeaps(f *flow) {
	if f.items.Len() == 0 {
		f.load = 0
		f.class.flows.remove(f)
		q.flowsByLoad.remove(f)
	} else {
		f.class.flows.update(f)
		q.flowsByLoad.update(f)
	}
	if f.class.flows.Len() == 0 {
		q.waitingClasses.remove(f.class)
		return
	}
	q.waitingClasses.update(f.class)
}

// flowFor returns the flow of the item's organisation, which it adds if there is none. If the
// flow is idle, its weight and class are set from the item, and its tag is raised so that it
// lags behind the virtual time of the class by maxCredit at most.
func (q *Queue) flowFor(i Item) *flow {
	f, ok := q.flows[i.Organisation]
	if !ok {
		q.dropIdleFlows()
		f = &flow{name: i.Organisation, class: q.classFor(i.Priority), tagIndex: absent, loadIndex: absent}
		q.flows[i.Organisation] = f
	}
	if f.items.Len() > 0 {
		return f
	}
	f.weight = float64(max(i.Weight, 1))
	if c := q.classFor(i.Priority); c != f.class {
		f.class = c
		f.tag = c.virtualTime - q.maxCredit()
	}
	if f.class.flows.Len() == 0 {
		f.class.tag = max(f.class.tag, q.virtualTime)
	}
	f.tag = max(f.tag, f.class.virtualTime-q.maxCredit())
	return f
}

// classFor returns the class of a priority, which it adds if there is none.
func (q *Queue) classFor(priority int) *class {
	c, ok := q.classes[priority]
	if !ok {
		c = newClass(priority)
		q.classes[priority] = c
	}
	return c
}

// dropIdleFlows bounds the number of idle flows. It first drops those whose tag a new flow would
// get anyway, and all idle flows if too many are left.
func (q *Queue) dropIdleFlows() {
	if len(q.flows)-q.flowsByLoad.Len() < maxIdleFlows {
		return
	}
	for name, f := range q.flows {
		if f.items.Len() == 0 && f.tag <= f.class.virtualTime-q.maxCredit() {
			delete(q.flows, name)
		}
	}
	if len(q.flows)-q.flowsByLoad.Len() < maxIdleFlows {
		return
	}
	for name, f := range q.flows {
		if f.items.Len() == 0 {
			delete(q.flows, name)
		}
	}
}
