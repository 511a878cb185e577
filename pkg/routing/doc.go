// Package routing chooses the upstream of an attempt.
//
// The candidates of one target are compared by the expected time to the first token:
//
//	cost = service time x load + prefill time of the prompt blocks that are not cached
//	       + distance of the availability zone
//
// Load is the work at the upstream relative to its limit. The work is what the newest
// report shows of the other entries, plus the attempts of this entry in progress, which
// are known exactly. An attempt that the report does not show yet counts once for each
// entry, because the others see the same report and send as this one does; without
// that, all entries together would rush to the upstream that looks idle. A report
// loses weight with its age, in favour of the mean load of the candidates.
//
// A cold upstream is compared by its work, not by its small limit, because it warms up
// only with work. So that entries with equal news do not all send to it, each has a turn
// there in as many slots of time as the upstream has room, shared among the entries.
//
// Candidates of other regions count only when the own region has none left, and those
// with old reports only when no region has a fresh one: a refusal by the agent costs
// less than a request that was not tried at all.
// Candidates without room for one more request come after all others. Where nobody is known to hold the
// prefix of the prompt, the upstream that rendezvous hashing gives is preferred, as
// long as its load is bounded by LoadBound times the mean; the same bound ends the
// preference for a cached prefix, so that a hot prefix spreads.
//
// The package has no clock and no goroutines and allocates nothing for a decision.
package routing
