// Package admission decides how many requests an upstream bears.
//
// A Limiter starts at the cold limit. Each completed request raises the limit by
// one until it reaches the maximum; a new incarnation of the upstream, a crash or a
// long idle time sets it back to the cold limit at once. The package has no clock
// and no goroutines: callers pass the time in.
package admission
