// Package retry bounds the attempts that entries add to the load of the callers.
//
// Each organisation has a budget that every first attempt raises by a fraction and
// every retry lowers by one. The package has no clock and no goroutines.
package retry
