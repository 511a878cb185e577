// Package client is a caller of the system, for the demo and for tests.
//
// It requests the directory of entry addresses from an entry, caches it for its TTL, and
// distinguishes a complete response from one that ended early.
package client
