// Package route holds the configuration that maps the requests of callers to services.
//
// A Configuration is immutable once decoded. Compile turns it into a Table, which looks up
// the route of a request by host and longest path prefix and the organisation of an API key.
// A process replaces its Table as a whole, so that each request is handled under a single
// version.
//
// The package has no I/O, no clock and no goroutines.
package route
