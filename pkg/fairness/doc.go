// Package fairness orders the requests that wait at an agent.
//
// It implements start-time fair queueing in two levels: the priorities share the upstream,
// and the organisations of a priority share the service of that priority. Every
// organisation has a flow with a start tag, the virtual time at which its next item is
// due. The queue serves the flow with the smallest tag and adds the cost of the item in
// tokens, divided by the weight, to the tag. A flow that was idle starts at the virtual time
// of its priority. It therefore accumulates no credit while idle, beyond an optional burst,
// and is not charged for service that it received while no other flow was waiting. Settle
// corrects the tag once the actual cost is known.
//
// The priorities are scheduled in the same way, with weights that grow by the factor
// PriorityFactor from one priority to the next. A higher priority therefore gets most of
// the service, and a lower one always gets a share.
//
// A Queue is limited in items and bytes. When it is full, it evicts the newest item of the
// organisation that fills the largest part of the queue relative to its weight. One
// organisation can fill the queue only while the others leave room.
//
// Push, Pop, Remove and Settle take O(log n) for n organisations. The package has no
// clock and no goroutines.
package fairness
