// Package policy tests the combined decisions of entries and agents in a simulation with virtual
// time.
//
// Nine entries with delayed reports and a number of agents run the real packages for routing,
// retries, admission and fairness against modelled engines and callers. A run is deterministic
// for a given seed.
package policy
