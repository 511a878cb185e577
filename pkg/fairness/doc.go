// Package fairness orders the work that waits at an agent.
//
// Start-time fair queueing in two levels: the priorities share the upstream, and within
// a priority the organisations do. Every flow (an organisation) has a tag, the virtual
// time at which its next item is due. The item of the flow with the smallest tag is
// served; its cost in tokens, divided by the weight, is added to the tag. A flow that
// starts to wait begins at the virtual time of its priority, so that it neither saves
// up service while it offers nothing nor pays for service that it took while nobody
// else waited. Settle corrects the tag once the actual cost is known.
//
// The priorities are served in the same way with weights that grow by the factor
// PriorityFactor from one to the next. A higher priority therefore gets most of the
// service, and a lower one always a part of it.
//
// A Queue is bounded in items and bytes. When it is full, the newest item of the
// organisation that holds most of it for its weight is pushed out. An organisation can
// thus fill the queue only as long as the others leave room.
//
// Push, Pop, Remove and Settle take O(log n) for n organisations. The package has no
// clock and no goroutines.
package fairness
