// Package policy measures the decisions of entries and agents together, in virtual time.
//
// Nine entries with stale reports and a number of agents run the real packages for
// routing, retries, admission and fairness against modelled engines and callers. A run
// with a given seed gives the same figures each time.
package policy
