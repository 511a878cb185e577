// Package skew measures step-time skew and the cost of rebalancing under drift.
//
// A drift generates the load of each expert for every interval. A policy plans with the loads
// of one interval and is measured with those of the next. Replicas loaded by the planner take
// effect one interval later; the full recompute, which serves for comparison, takes effect
// immediately.
package skew
