// Package routing chooses the upstream of an attempt.
//
// The candidates of a target are compared by the expected time to the first token:
//
//	cost = service time x load + prefill time of the prompt blocks that are not cached
//	       + distance of the availability zone
//
// Load is the work at the upstream relative to its limit. The work is the requests of the
// other entries in the newest report plus this entry's attempts in progress, which are known
// exactly. An attempt that the report does not show yet counts once per entry, because the
// other entries see the same report and choose in the same way; otherwise all entries would
// send to the upstream that looks idle at the same time. As a report ages, its load is
// replaced by the mean load of the candidates.
//
// A cold upstream warms up only with work. Its work is therefore compared relative to the
// mean limit and not to its own small limit. To keep entries with the same report from all
// sending to it, each entry may send to it only in some time slots: in each slot about as
// many entries as the upstream has room for requests.
//
// Candidates of other regions are chosen only when the entry's own region has none left, and
// those with expired reports only when no region has a fresh one: a rejection by the agent
// costs less than a request that was not tried at all. Candidates without room for one more
// request rank after all others. Where no upstream is known to have the prefix of the prompt
// cached, the rendezvous owner of the prefix is preferred while its load is at most
// MaxRelativeLoad times the mean. The same limit ends the preference for an upstream with a cached
// prefix, so that requests with a hot prefix spread.
//
// The package has no clock and no goroutines and allocates nothing for a decision.
package routing
