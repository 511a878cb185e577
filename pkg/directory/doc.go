// Package directory answers callers which entry addresses to use.
//
// The answer lists the entries of the answering entry's own region that are live,
// reachable and in an availability zone that is in; those of other regions when there
// are none; then entries in doubt; leaving ones last. The order differs from answer to
// answer so that callers that take the first address spread. A caller keeps the answer
// for its stated life; Life tells a leaving entry when the last such answer has expired.
package directory
