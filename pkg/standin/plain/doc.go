// Package plain is a small stand-in for a plain service.
//
// It responds to each call with the method, path and body of the call, and counts the runs by
// request ID and by idempotency key in a ledger.
package plain
