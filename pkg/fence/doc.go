// Package fence decides whether an attempt may start, so that "not run" is true.
//
// Every attempt is addressed to an incarnation of the agent and names the time of its
// issue on the clock of that incarnation. The entry works the time out from the
// newest status of the agent and the time passed since that status arrived; the
// result is never later than the true sending, however long a message takes, and
// needs no synchronised clocks. An attempt starts at most once, and only while the
// incarnation is the addressed one, its start budget since the issue is left and no
// tombstone stands.
//
// A cancel that arrives before the start leaves a tombstone, so that the attempt can
// never start afterwards, even when the cancel overtakes the attempt. A refusal leaves
// one too: a second copy of a refused message finds it.
//
// Records are dropped behind a horizon on the agent's clock. What was issued at or
// before the horizon can no longer start, and without a record nobody can tell
// whether it did; the answer is then "outcome unknown" and never "not run". The
// horizon follows the clock at the distance Window and rises sooner when the records
// exceed their bound, so that memory is bounded without a false answer.
//
// The package has no clock and no goroutines.
package fence
