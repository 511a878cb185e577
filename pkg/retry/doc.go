// Package retry bounds the attempts that entries add to the load of the callers, and
// tells refused callers when to come back.
//
// Each organisation has a budget that every answered request raises by a fraction and
// every retry lowers by one. When nothing is answered, only the saved burst is spent: the
// amplification falls towards 1. Moves away from an upstream that leaves are free.
//
// A refused caller is told the time until the backlog of the target has drained, and
// not less than the slots that earlier refused callers were given, plus jitter. The
// package has no clock, no random source and no goroutines.
package retry
