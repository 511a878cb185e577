// Package fence decides whether an attempt may start, so that "not run" is true.
//
// Every attempt is addressed to an incarnation of the agent and carries its issue time on
// the clock of that incarnation. The entry computes the issue time from the newest status
// of the agent and the time passed since that status arrived. The result is never later
// than the actual time of sending, however long a message takes, and needs no synchronised
// clocks. An attempt starts at most once, and only if the addressed incarnation is the
// current one, its start budget since the issue time has not run out and it has no
// tombstone.
//
// A cancel that arrives before the start leaves a tombstone, so that the attempt can
// never start afterwards, even when the cancel overtakes the attempt. A rejection leaves
// a tombstone too, so that a second copy of the rejected message cannot start either.
//
// Records are dropped behind a horizon on the agent's clock. An attempt issued at or before
// the horizon can no longer start. Without a record it is not known whether it ever did; the
// result is then "outcome unknown" and never "not run". The horizon follows the clock at the
// distance MaxStartDelay. When the number of records reaches its limit, the horizon rises sooner,
// which bounds the memory without a wrong result.
//
// The package has no clock and no goroutines.
package fence
