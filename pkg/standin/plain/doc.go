// Package plain is a small stand-in for a plain service.
//
// It answers each call with its method, path and body, and keeps a ledger of what ran
// by request and by idempotency key.
package plain
