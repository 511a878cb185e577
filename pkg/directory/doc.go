// Package directory answers callers which entry addresses to use.
//
// The answer lists the entries that are live, reachable and in an availability zone
// that is in, in an order that differs from answer to answer so that callers that
// take the first address spread. A caller keeps the answer for its stated life.
package directory
