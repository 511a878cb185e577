// Package retry limits the retries that entries add to the load of the callers, and computes
// the retry-after times of rejected callers.
//
// Each organisation has a budget that every successful request raises by a fraction and
// every retry lowers by one. When no request succeeds, only the saved burst can be spent, so
// that the ratio of attempts to requests falls towards 1. Retries that move a request away
// from a leaving upstream cost nothing.
//
// The retry-after time of a rejected caller is the time until the backlog of the target has
// drained, but no earlier than the slots assigned to callers that were rejected before,
// plus jitter. The package has no clock, no random source and no goroutines.
package retry
