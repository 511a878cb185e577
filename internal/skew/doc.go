// Package skew measures step-time skew and the cost of rebalancing under drift.
//
// A drift gives the load of each expert, interval by interval. Policies see the loads of
// the interval before and are measured by those of the next one. Replicas that a policy
// loads are in force one interval later; the full recompute, which serves for
// comparison, is in force at once.
package skew
