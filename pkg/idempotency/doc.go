// Package idempotency decides how to handle a request whose caller may send it more than
// once, to any entry, under one idempotency key.
//
// Keys are scoped by organisation and spread over a fixed number of partitions. A
// partition is one document with a claim for each key. An entry requests a claim before
// it runs the request. At most one claim of a key exists at a time, and only the entry
// whose request ID the claim carries runs the request. Requesting the claim again under
// the same ID gives the same decision, which resolves a platform response that was lost
// after the write took effect.
//
// A claim is pending until its run has ended. It is then done, with the response if that
// is small enough to store, or unsettled when it is unknown whether the run took place.
// The claim of a run that certainly did not take place is released. A pending claim past
// its deadline counts as unsettled, because its entry was lost.
//
// A claim is dropped only when it has expired. When a document is full of claims that
// have not expired, further keys are rejected before their requests run. Stored responses
// are dropped earlier, oldest first.
//
// The coordinator of a partition is the entry that commits its claims in groups. It is
// only an optimisation: the conditional update of the document is what prevents two claims
// of one key. The package has no I/O, no clock and no goroutines.
package idempotency
