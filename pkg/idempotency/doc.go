// Package idempotency decides what becomes of a request whose caller may send it more
// than once, at any entry, under one idempotency key.
//
// Keys are scoped by organisation and spread over a fixed number of partitions. A
// partition is one document with a claim for each key. An entry asks for a claim
// before it runs the request; at most one claim of a key exists at a time, and only
// the entry that asked under the claim's own identity runs. Asking twice under the
// same identity gives the same answer, which settles an answer of the platform that
// was lost after the write took effect.
//
// A claim is pending until its run has ended. It is then done, with the answer where
// that is small enough to keep, or unsettled when the run may or may not have taken
// place. The claim of a run that truly did not take place is released. A pending
// claim past its deadline counts as unsettled: its entry died.
//
// A claim is dropped only when it has expired; when a document is full of claims that
// have not, further keys are refused before they run. Kept answers are dropped first,
// oldest first.
//
// The home of a partition is the entry that commits its claims in groups. The home
// is only an optimisation: the conditional update of the document is the fence. The
// package has no I/O, no clock and no goroutines.
package idempotency
