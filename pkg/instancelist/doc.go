// Package instancelist keeps a local copy of the platform's list of live and leaving instances.
//
// The platform serves the list as objects of kind "instance". The list lags behind: an instance
// may have ended while the list still contains it.
package instancelist
