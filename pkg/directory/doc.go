// Package directory resolves the entry addresses that callers should use.
//
// A response lists the usable entries in the region of the entry that responds: those that
// are reachable and whose availability zone is not taken out. If there are none, it lists the
// usable entries of other regions, then unconfirmed entries, and leaving ones last. The order
// is random, so that callers that use the first address are spread over the entries. A caller
// caches a response for its TTL. TTLTracker tracks when the last response expires, so that
// a leaving entry can keep serving until then.
package directory
