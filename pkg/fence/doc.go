// Package fence decides whether an attempt may start, so that "not run" is true.
//
// Every attempt is addressed to an incarnation of the agent and has a start budget.
// It starts at most once, and only while the incarnation is the addressed one, the
// budget is left and no tombstone stands. A cancel that arrives before the start
// leaves a tombstone, so that the attempt can never start afterwards, even when the
// cancel overtakes the attempt itself. The package has no clock and no goroutines.
package fence
