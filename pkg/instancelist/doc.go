// Package instancelist is the client of the platform's list of live and leaving instances.
//
// The list is served as objects of kind "instance" by the platform and lags behind
// the truth: an instance may be gone before the list says so.
package instancelist
