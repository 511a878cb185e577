// Package fairness orders the work that waits at an agent.
//
// Items wait in order of priority and then of arrival. The package has no clock and
// no goroutines. A Queue is bounded; Push refuses an item beyond the bound.
package fairness
