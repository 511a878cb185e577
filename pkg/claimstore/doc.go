// Package claimstore stores the documents of package idempotency at the platform.
//
// Operations on a partition that arrive during a commit, or within CommitInterval of the last
// one, are batched into the next commit: one conditional update for all of them. The
// document and its revision are cached in memory, so that a commit needs no read unless
// another process wrote in between. Only committed decisions are returned.
//
// An update that fails for any reason but a conflict may have taken effect. The document
// is then read back and the operations are applied again. They are idempotent: a claim
// found under an operation's own identity is granted, and no other claim is. After a
// failed commit the partition rejects operations at once for Backoff, which keeps retries
// from overloading the platform during an outage.
//
// Each partition with queued operations has one goroutine that commits them. The only
// lock is partition.mu; it is not held during I/O.
package claimstore
