// Package route holds the configuration that decides where a request of a caller may go.
//
// A Configuration is immutable once decoded. Compile turns it into a Table, which finds
// the route of a request by host and longest path prefix and the organisation of a key.
// A process replaces its Table as a whole, so that a request sees one version throughout.
//
// The package has no I/O, no clock and no goroutines.
package route
