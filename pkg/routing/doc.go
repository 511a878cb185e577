// Package routing chooses the upstream of an attempt.
//
// Candidates that hold the target and were not tried before are compared by their
// load relative to their limit; the own availability zone is preferred at equal load.
// The package has no clock and no goroutines and allocates nothing for a decision.
package routing
