// Package claimstore keeps the documents of package idempotency at the platform.
//
// Operations on a partition that arrive while a commit is under way, or within Interval
// of the last one, go into the next commit together: one conditional update for all of
// them. The document and its revision are kept in memory, so that a commit needs no
// read unless another process wrote in between. Only a committed decision is given out.
//
// An update that fails otherwise than by a conflict may have taken effect. The document
// is then read back and the operations are applied again; they are idempotent, so that
// a claim found under its own identity is given and no other. After a failure the
// partition refuses at once for Backoff, so that an outage is not met with a storm.
//
// One goroutine commits for each partition with waiting operations. Lock order:
// partition.mu only; it is not held during I/O.
package claimstore
